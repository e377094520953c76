// SPDX-License-Identifier: MIT

package drain

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"regexp"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"shalewick/process/logging"
	"shalewick/process/metric"
	"shalewick/request"
)

// TestStopLogsRequestsThatItCuts checks the lines of a stop with a request in flight on a connection that had one before, a part of
// another request, and an idle connection; and that a late step is logged.
func TestStopLogsRequestsThatItCuts(t *testing.T) {
	service, release := "s", make(chan struct{})
	conns, address := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var tracked Request
		tracked.Begin(r.Context(), r.URL.Path, time.Now())
		tracked.SetService(&service, request.ClassCommit)
		if r.URL.Path == "/slow" {
			tracked.BeginAttempt()
			tracked.SetSent()
			<-release
		}
	}))
	defer close(release)
	kept, part, idle := dial(t, address), dial(t, address), dial(t, address)
	for _, c := range []net.Conn{kept, idle} {
		_, err := io.WriteString(c, "GET /fast HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
		_, err = http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
	}
	_, err := io.WriteString(part, "GET /part HTTP")
	assert.NilError(t, err)
	_, err = io.WriteString(kept, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	var log bytes.Buffer
	stop := &Stop{Log: logging.New(&log), Metrics: metric.NewSet(), InFlight: func() int64 { return 1 }, Callers: conns}
	await(t, "a request is being sent", func() bool {
		for _, c := range conns.list() {
			if r := c.request.Load(); r != nil && r.sent.Load() > 0 {
				return len(conns.list()) == 3
			}
		}
		return false
	})
	await(t, "the others are idle and reading", func() bool {
		log.Reset()
		stop.Begin("announce", time.Now())
		return bytes.Contains(log.Bytes(), []byte("connsIdle=1 connsNew=0 connsReading=1 connsServing=1 running=1 step=announce"))
	})
	stop.CountRejected()
	stop.Step("reject", time.Now())
	assert.Assert(t, !bytes.Contains(log.Bytes(), []byte("stop-late")))
	stop.Step("close", time.Now().Add(-time.Second))
	stop.Cut()
	stop.End().Msg("stopped")
	for _, want := range []string{
		`event=stop-step after=[\d.]+ .*step=reject`, `event=stop-late by=1000.* step=close`,
		`event=request-cut attempts=1 class=commit connAge=[\d.]+ connRequests=2 id=/slow read=[\d.]+ sent=true sentAgo=[\d.]+ service=s step=close took=`,
		`event=stopped .*requestsCut=1 requestsEnded=0 requestsRejected=1`,
	} {
		assert.Assert(t, regexp.MustCompile(want).Match(log.Bytes()), "%s in\n%s", want, log.String())
	}
	assert.Equal(t, bytes.Count(log.Bytes(), []byte("request-cut")), 1, log.String())
}

// abortFunc implements Aborter.
type abortFunc func()

func (f abortFunc) Abort() { f() }

// TestStopNeverEndsResponsesThatHaveBegun guards against a stop that aborts a request whose response is being written, or closes its
// connection before, however late the response comes.
func TestStopNeverEndsResponsesThatHaveBegun(t *testing.T) {
	answering := make(chan struct{})
	conns, address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var tracked Request
		tracked.Begin(r.Context(), r.URL.Path, time.Now())
		aborted := make(chan struct{})
		assert.Check(t, tracked.SetAborter(abortFunc(func() { close(aborted) })))
		status := http.StatusOK
		if r.URL.Path == "/runs" {
			<-aborted
			status = http.StatusBadGateway
		}
		assert.Check(t, tracked.BeginAnswer() == (status == http.StatusOK))
		answering <- struct{}{}
		time.Sleep(100 * time.Millisecond)
		assert.Check(t, tracked.Ended() == (status != http.StatusOK))
		w.Header().Set("Connection", "close")
		w.WriteHeader(status)
	}))
	stop := &Stop{Log: zerolog.Nop(), Metrics: metric.NewSet(), InFlight: func() int64 { return 0 }, Callers: conns}
	answers, runs := dial(t, address), dial(t, address)
	_, err := io.WriteString(runs, "GET /runs HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	_, err = io.WriteString(answers, "GET /answers HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	<-answering
	await(t, "both are served", func() bool { return len(stop.inFlight()) == 2 })
	go func() { <-answering }()
	stop.EndRequests(time.Time{})
	stop.Cut()
	assert.Assert(t, stop.ended == 1 && stop.cut == 0, "%d ended, %d cut", stop.ended, stop.cut)
	for status, c := range map[int]net.Conn{http.StatusOK: answers, http.StatusBadGateway: runs} {
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, status)
	}
}

// TestStopEndsNoRequestEarly guards against a stop that ends a request long before its grace time is over: one that began right after the stop
// had seen that no request was in flight.
func TestStopEndsNoRequestEarly(t *testing.T) {
	t.Parallel()
	const work, grace = 300 * time.Millisecond, 10 * time.Second
	begun := make(chan struct{})
	conns, address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var tracked Request
		tracked.Begin(r.Context(), r.URL.Path, time.Now())
		aborted := make(chan struct{})
		assert.Check(t, tracked.SetAborter(abortFunc(func() { close(aborted) })))
		close(begun)
		select {
		case <-aborted:
			w.WriteHeader(http.StatusBadGateway)
		case <-time.After(work):
		}
		tracked.BeginAnswer()
	}))
	c := dial(t, address)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	<-begun
	stop := &Stop{Log: zerolog.Nop(), Metrics: metric.NewSet(), InFlight: func() int64 { return 0 }, Callers: conns}
	start := time.Now()
	stop.EndRequests(start.Add(grace))
	took := time.Since(start)
	assert.Check(t, took < grace/2, "%s", took)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusOK)
}
