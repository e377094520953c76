// SPDX-License-Identifier: MIT

package front

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"shalewick/process/drain"
	"shalewick/process/metric"
	"shalewick/request"
)

// TestStopAnswersRequestsThatItEnds guards against requests in flight at the end of a stop whose connection is closed without a
// response, and that count as failures of their backend server.
func TestStopAnswersRequestsThatItEnds(t *testing.T) {
	begun := make(chan struct{}, 2)
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		<-r.Context().Done()
	}))
	defer backend.Close()
	f := newFixtureAt(t, backend.Listener.Addr().String())
	var conns drain.Conns
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &http.Server{Handler: f.front, ConnState: conns.OnStateChange, ConnContext: conns.ConnContext}
	go func() { _ = s.Serve(drain.Listener{TCPListener: l.(*net.TCPListener), Conns: &conns}) }() // returns when the server is closed
	defer s.Close()
	stop := &drain.Stop{Log: zerolog.Nop(), Metrics: metric.NewSet(), InFlight: f.front.InFlight, Callers: &conns}
	f.front.PlannedStop = stop
	var in []*bufio.Reader
	for _, text := range []string{"GET /lots/1 HTTP/1.1\r\n", "PUT /videos/1 HTTP/1.1\r\nContent-Length: 10\r\n"} {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		fmt.Fprintf(c, "%sHost: a\r\n%s: catalogue\r\n\r\n", text, request.HeaderService)
		in = append(in, bufio.NewReader(c))
	}
	<-begun
	for f.front.InFlight() < 2 {
		time.Sleep(time.Millisecond)
	}
	stop.Begin("announce", time.Now())
	go stop.EndRequests(time.Time{})
	for i, ran := range []request.Ran{request.RanUnknown, request.RanNo} {
		res, err := http.ReadResponse(in[i], nil)
		assert.NilError(t, err)
		assert.Equal(t, res.Header.Get(request.HeaderResult), request.Leaving.String())
		assert.Equal(t, res.Header.Get(request.HeaderRan), string(ran))
		assert.Assert(t, res.Close)
	}
	assert.Assert(t, !f.front.Steer.AnyFailing("catalogue"))
}
