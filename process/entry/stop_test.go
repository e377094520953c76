// SPDX-License-Identifier: MIT

package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"shalewick/process/logging"
	"shalewick/process/peer"
	"shalewick/process/platform"
	"shalewick/request"
	"shalewick/standin/fleet"
	"shalewick/standin/server"
	"shalewick/version"
)

// startStopFixture starts an entry whose routes have one backend server.
func startStopFixture(t *testing.T, grace time.Duration) (*Entry, *server.Server) {
	t.Helper()
	backend := &server.Server{Name: "u0", Names: request.OwnNames, Slots: 40, Work: 300 * time.Millisecond}
	assert.NilError(t, backend.Start())
	t.Cleanup(backend.Close)
	return startStopping(t, grace, io.Discard, backend.Address()), backend
}

// startStopping starts an entry whose routes have a backend server at an address. More documents may be added.
func startStopping(t *testing.T, grace time.Duration, log io.Writer, backend string, more ...string) *Entry {
	t.Helper()
	var ports fleet.Ports
	addresses, err := ports.Allocate(3)
	assert.NilError(t, err)
	s := validSettings()
	s.Front, s.Peer, s.Admin, s.Grace = addresses[0].String(), addresses[1].String(), addresses[2].String(), grace
	e, err := Start(s, log)
	assert.NilError(t, err)
	rs, err := version.Parse(fmt.Appendf(nil, "%s---\nkind: backend\nname: u0\nspec: {service: s, hall: h, address: %q, slots: 40}\n%s", routeDocuments, backend, strings.Join(more, "")))
	assert.NilError(t, err)
	config, _, err := (&version.Config{}).Propose(version.Change{Operation: "o", Puts: rs})
	assert.NilError(t, err)
	assert.NilError(t, e.store.AdoptSnapshot(config))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go runPeriodically(ctx, 500*time.Millisecond, func() { e.confirm(e.now()) })
	return e
}

// TestStopEndsUnderLoadAndCutsNoRequest guards against a stop that serves the requests of routes on kept connections for up to ten
// minutes, and then cuts those in flight.
func TestStopEndsUnderLoadAndCutsNoRequest(t *testing.T) {
	e, backend := startStopFixture(t, time.Second)
	var stopped atomic.Bool
	var served, rejected atomic.Int64
	var mu sync.Mutex
	unanswered := make(map[string]bool)
	var callers sync.WaitGroup
	for n := range 16 {
		callers.Go(func() {
			time.Sleep(rand.N(300 * time.Millisecond)) // so that some request is in flight at any time
			var c net.Conn
			var in *bufio.Reader
			for i := 0; !stopped.Load(); i++ {
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", e.settings.Front); err != nil {
						return
					}
					in = bufio.NewReader(c)
				}
				id := fmt.Sprintf("c%d-%d", n, i)
				fmt.Fprintf(c, "POST /bids/1 HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\nContent-Length: 4\r\n\r\nbody", request.HeaderID, id)
				res, err := http.ReadResponse(in, nil)
				switch {
				case err != nil:
					mu.Lock()
					unanswered[id] = true
					mu.Unlock()
				case res.StatusCode == http.StatusOK:
					served.Add(1)
				case res.Header.Get(request.HeaderRan) == string(request.RanNo):
					rejected.Add(1)
				default:
					t.Errorf("%s: %d", id, res.StatusCode)
				}
				if err != nil || res.Close {
					_ = c.Close()
					c = nil
				} else {
					_, _ = io.Copy(io.Discard, res.Body)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	done := make(chan struct{})
	start := time.Now()
	go func() {
		e.Stop(context.Background())
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(8 * time.Second):
		t.Error("the stop has not ended after 8 s")
		e.Kill()
	}
	stopped.Store(true)
	callers.Wait()
	t.Logf("%d served, %d rejected, %d unanswered in %s", served.Load(), rejected.Load(), len(unanswered), time.Since(start))
	assert.Check(t, served.Load() > 0 && rejected.Load() > 0)
	for _, run := range backend.Runs() {
		assert.Check(t, !unanswered[run.ID], "%s ran and got no response", run.ID)
	}
}

// TestStopEndsRequests guards against requests whose connection is closed without a response and without a log line at the end
// of a stop. Only one whose response has begun, and does not go on, is cut.
func TestStopEndsRequests(t *testing.T) {
	const size = 2 << 20 // more than is buffered
	var text bytes.Buffer
	log := logging.NewAsyncWriter(&text)
	begun := make(chan struct{}, 2)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/bids/cut" {
			w.Header().Set(request.HeaderID, r.Header.Get(request.HeaderID))
			w.Header().Set("Content-Length", strconv.Itoa(size))
			_, _ = w.Write(make([]byte, size/2+size/4))
			_ = http.NewResponseController(w).Flush()
		}
		begun <- struct{}{}
		<-r.Context().Done()
	}))
	defer backend.Close()
	e := startStopping(t, time.Second, log, backend.Listener.Addr().String())
	responses := make(map[string]*http.Response)
	for _, id := range []string{"cut", "ended"} {
		c, err := net.Dial("tcp", e.settings.Front)
		assert.NilError(t, err)
		defer c.Close()
		fmt.Fprintf(c, "POST /bids/%s HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\nContent-Length: 4\r\n\r\nbody", id, request.HeaderID, id)
		<-begun
		if id == "ended" {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			go e.Stop(ctx)
		}
		responses[id], err = http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
	}
	res := responses["ended"]
	assert.Equal(t, res.StatusCode, http.StatusBadGateway)
	assert.Equal(t, res.Header.Get(request.HeaderResult), request.Leaving.String())
	assert.Equal(t, res.Header.Get(request.HeaderRan), string(request.RanUnknown))
	assert.Assert(t, res.Close)
	_, err := io.Copy(io.Discard, responses["cut"].Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	e.loops.Wait()
	time.Sleep(100 * time.Millisecond) // until the last line is written
	log.Close()
	for _, want := range []string{"event=request-cut answeredAgo=", "id=cut", "sent=true", "step=close", "requestsCut=1 requestsEnded=1"} {
		assert.Check(t, bytes.Contains(text.Bytes(), []byte(want)), "%s in\n%s", want, text.String())
	}
}

// TestStopServesLongRequestsAndUploads guards against requests that get a response of the instance while their backend server works on them,
// since they last longer than the grace time, or since their body is still on its way when it ends.
func TestStopServesLongRequestsAndUploads(t *testing.T) {
	t.Parallel()
	const grace, work, piecePause = 300 * time.Millisecond, 1500 * time.Millisecond, 200 * time.Millisecond
	backend := &server.Server{Name: "u0", Names: request.OwnNames, Slots: 40, Work: work}
	assert.NilError(t, backend.Start())
	t.Cleanup(backend.Close)
	const route = `---
kind: route
name: long
spec: {host: a.example, prefix: /long/, class: commit, repeatable: false, timeout: 30s, attempts: 2, split: [{service: s, weight: 1}]}
`
	e := startStopping(t, grace, io.Discard, backend.Address(), route)
	var callers sync.WaitGroup
	send := func(id string, pieces int) {
		c, err := net.Dial("tcp", e.settings.Front)
		assert.NilError(t, err)
		callers.Go(func() {
			defer c.Close()
			fmt.Fprintf(c, "POST /long/1 HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", request.HeaderID, id, 4*pieces)
			for range pieces {
				_, err := io.WriteString(c, "body")
				assert.Check(t, err)
				if pieces > 1 {
					time.Sleep(piecePause)
				}
			}
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if assert.Check(t, err, id) {
				assert.Check(t, res.StatusCode == http.StatusOK, "%s: %d %s", id, res.StatusCode, res.Header.Get(request.HeaderResult))
			}
		})
	}
	for i := range 8 {
		send(fmt.Sprint("long-", i), 1)
		send(fmt.Sprint("upload-", i), 2+i)
	}
	for e.inFlight() < 16 {
		time.Sleep(time.Millisecond)
	}
	e.Stop(context.Background())
	callers.Wait()
	assert.Equal(t, len(backend.Runs()), 16)
}

// TestStopAnswersWaitingConnections guards against connections that have sent a request, wait to be accepted, and are reset when
// the stop closes the listener.
func TestStopAnswersWaitingConnections(t *testing.T) {
	e := &Entry{log: zerolog.Nop()}
	hold := make(chan struct{})
	e.frontServer = &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		ConnState: func(c net.Conn, to http.ConnState) {
			if to == http.StateNew {
				<-hold // the server accepts no more meanwhile
			}
			e.frontConns.OnStateChange(c, to)
		},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e.serveFront(l.(*net.TCPListener))
	var callers sync.WaitGroup
	for range 8 {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		assert.NilError(t, err)
		callers.Go(func() {
			_, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.Check(t, err)
		})
	}
	time.AfterFunc(100*time.Millisecond, func() { close(hold) })
	e.refuseFront(context.Background(), nil)
	e.awaitResponses(context.Background())
	callers.Wait()
}

// TestNoHeartbeatAfterDeletion guards against a row that a heartbeat on its way writes again after the stop has deleted it.
func TestNoHeartbeatAfterDeletion(t *testing.T) {
	t.Parallel()
	e := newTestEntry()
	started, release := make(chan struct{}), make(chan struct{})
	kinds := make(chan platform.OpKind, 2)
	e.platform = &fakePlatform{onCommit: func(ops []platform.Op) error {
		if ops[0].Kind == platform.OpPut {
			close(started)
			<-release
		}
		kinds <- ops[0].Kind
		return nil
	}}
	var calls sync.WaitGroup
	calls.Go(func() { assert.Check(t, e.heartbeat(t.Context())) })
	<-started
	e.members.UpdateSelf(func(m *peer.Member) { m.Gone = true })
	calls.Go(func() { e.deleteRow(t.Context()) })
	time.Sleep(50 * time.Millisecond) // for a deletion that does not wait
	close(release)
	calls.Wait()
	assert.Equal(t, <-kinds, platform.OpPut)
	assert.Equal(t, <-kinds, platform.OpDelete)
	assert.NilError(t, e.heartbeat(t.Context()))
	assert.Equal(t, len(kinds), 0, "a heartbeat after the deletion")
}
