// SPDX-License-Identifier: MIT

package request

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func TestRateLimit(t *testing.T) {
	names := Names{Limit: "Limit"}
	for _, c := range []struct {
		values []string
		want   float64
		bad    bool
	}{
		{values: nil},
		{values: []string{"4.7"}, want: 4.7},
		{values: []string{"0.5"}, want: 0.5},
		{values: []string{"100"}, want: 100},
		{values: []string{""}, bad: true},
		{values: []string{"0"}, bad: true},
		{values: []string{"-3"}, bad: true},
		{values: []string{"NaN"}, bad: true},
		{values: []string{"Inf"}, bad: true},
		{values: []string{"1e300"}, bad: true},
		{values: []string{"4.7;x"}, bad: true},
		{values: []string{"none"}, bad: true},
		{values: []string{"4.7", "4.7"}, bad: true},
	} {
		got, err := names.RateLimit(http.Header{"Limit": c.values})
		assert.Equal(t, got, c.want, "%q", c.values)
		assert.Equal(t, err != nil, c.bad, "%q", c.values)
	}
	got, err := new(Names).RateLimit(http.Header{"Limit": {"3"}})
	assert.NilError(t, err)
	assert.Equal(t, got, 0.0)
}
