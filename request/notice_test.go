// SPDX-License-Identifier: MIT

package request

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestNotice(t *testing.T) {
	head := func(pairs ...string) http.Header {
		h := http.Header{}
		for i := 0; i < len(pairs); i += 2 {
			h.Set(pairs[i], pairs[i+1])
		}
		return h
	}
	leaving, notRun := OwnNames.Leaving, OwnNames.NotRun
	for name, x := range map[string]struct {
		status int
		head   http.Header
		want   Notice
	}{
		"nothing":                     {200, head(), Notice{}},
		"leaving":                     {200, head(leaving, "1"), Notice{Leaving: true}},
		"not leaving":                 {200, head(leaving, "0"), Notice{}},
		"refused by a leaving server": {503, head(leaving, "1", "Retry-After", "2"), Notice{Leaving: true, RetryAfter: 2 * time.Second}},
		"backoff":                     {503, head("Retry-After", "3", notRun, "1"), Notice{RetryAfter: 3 * time.Second}},
		"fraction of a second":        {503, head("Retry-After", "0.25"), Notice{RetryAfter: 250 * time.Millisecond}},
		"429, not run":                {429, head("Retry-After", "1", notRun, "1"), Notice{RetryAfter: time.Second}},
		"429 for the caller":          {429, head("Retry-After", "1"), Notice{}},
		"other status":                {200, head("Retry-After", "1"), Notice{}},
		"date":                        {503, head("Retry-After", "Fri, 31 Dec 2027 23:59:59 GMT"), Notice{}},
		"negative":                    {503, head("Retry-After", "-4"), Notice{}},
		"not a number":                {503, head("Retry-After", "NaN"), Notice{}},
		"infinite":                    {503, head("Retry-After", "+Inf"), Notice{RetryAfter: maxRetryAfter}},
		"overflow":                    {503, head("Retry-After", "1e300"), Notice{RetryAfter: maxRetryAfter}},
	} {
		assert.Equal(t, OwnNames.Notice(x.status, x.head), x.want, name)
	}
	assert.Equal(t, (&Names{}).Notice(200, head("", "1")), Notice{}, "no leaving header is configured")
}

func FuzzNotice(f *testing.F) {
	f.Add(503, "3", "1")
	f.Add(503, "1e400", "")
	f.Fuzz(func(t *testing.T, status int, after, leaving string) {
		h := http.Header{}
		h.Set("Retry-After", after)
		h.Set(OwnNames.Leaving, leaving)
		n := OwnNames.Notice(status, h)
		assert.Assert(t, n.RetryAfter >= 0 && n.RetryAfter <= maxRetryAfter)
	})
}
