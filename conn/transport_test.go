// SPDX-License-Identifier: MIT

package conn

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/standin/cut"
	"shalewick/standin/early"
	"shalewick/standin/malformed"
)

// TestMalformedProbeIsNoSuccess guards against a malformed response to a probe that counts as that of a backend server that
// is ready.
func TestMalformedProbeIsNoSuccess(t *testing.T) {
	const body = `{"state":"ready","boot":"b","inFlight":1,"slots":4}`
	for _, x := range malformed.All("Content-Type: application/json\r\n", body) {
		s := &cut.Server{Respond: func(*http.Request) cut.Response { return cut.Response{Text: x.Text} }}
		assert.NilError(t, s.Start())
		_, err := Probe(t.Context(), NewProbeClient(giveUpDeadline), s.Address())
		assert.Check(t, err != nil, x.Name)
		s.Close()
	}
}

// TestStrictReadsWholeResponses checks that responses on one connection are read, in two pieces or at once, with interim
// responses before them, and that a malformed one ends their connection.
func TestStrictReadsWholeResponses(t *testing.T) {
	const interim, head = "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n"
	malformedNext := false
	texts := []string{head + "Content-Length: 2\r\n\r\nok", interim + head + chunked + "2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n"}
	n, split := 0, 0
	s := &cut.Server{Respond: func(*http.Request) cut.Response {
		if malformedNext {
			return cut.Response{Text: "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n", KeepOpen: true}
		}
		text := texts[n%len(texts)]
		n++
		split = (split + 1) % len(text)
		return cut.Response{Text: text, Split: split, KeepOpen: true}
	}}
	assert.NilError(t, s.Start())
	defer s.Close()
	client := &http.Client{Transport: Strict(&http.Transport{MaxConnsPerHost: 1}), Timeout: giveUpDeadline}
	defer client.CloseIdleConnections()
	post := func() (string, error) {
		res, err := client.Post("http://"+s.Address(), "", strings.NewReader("body"))
		if err != nil {
			return "", err
		}
		defer res.Body.Close()
		b, err := io.ReadAll(res.Body)
		return string(b), err
	}
	for range 200 {
		got, err := post()
		assert.NilError(t, err)
		assert.Equal(t, got, "ok")
	}
	malformedNext = true
	_, err := post()
	assert.ErrorIs(t, err, ErrMalformed)
	malformedNext = false
	_, err = post()
	assert.NilError(t, err)
}

// TestResetDuringUploadIsNoEndOfStrictResponse guards against the fault of TestResetDuringUploadIsNoEnd in a client that
// does not use a Pool.
func TestResetDuringUploadIsNoEndOfStrictResponse(t *testing.T) {
	const uploads = 300
	p := startEarlyBackend(t, untilClose, reset)
	client := &http.Client{Transport: Strict(&http.Transport{DisableKeepAlives: true}), Timeout: giveUpDeadline}
	whole := 0
	for range uploads {
		res, err := client.Post("http://"+p.Address, "", early.NewUpload(0, 64, 200*time.Microsecond))
		if err != nil {
			continue
		}
		if _, err := io.Copy(io.Discard, res.Body); err == nil {
			whole++
		}
		_ = res.Body.Close()
	}
	assert.Assert(t, whole == 0, "%d of %d are taken for whole", whole, uploads)
}
