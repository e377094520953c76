// SPDX-License-Identifier: MIT

package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"shalewick/process/held"
	"shalewick/request"
	"shalewick/standin/early"
	"shalewick/version"
)

const (
	earlyRouteTimeout = 4 * time.Second
	// maxEarlyDelay is the time within which the caller gets a response that was sent early.
	maxEarlyDelay = 300 * time.Millisecond
)

func startEarly(t *testing.T, s *early.Server) *early.Server {
	t.Helper()
	s.Names = request.OwnNames
	assert.NilError(t, s.Start())
	t.Cleanup(s.Close)
	return s
}

// checkEarly checks that a backend server has read a beginning of the body of each request, and that a part did
// not look like the whole.
func checkEarly(t *testing.T, s *early.Server, body []byte) {
	t.Helper()
	requests := s.Requests()
	assert.Assert(t, len(requests) > 0)
	for _, r := range requests {
		assert.Check(t, bytes.HasPrefix(body, r.Body), "%s: %d bytes differ from those that the caller sent", r.ID, len(r.Body))
		assert.Check(t, !r.Whole || len(r.Body) == len(body), "%s: the body looks whole after %d of %d bytes", r.ID, len(r.Body), len(body))
	}
}

// newEarlyFixture returns a proxy with an early server that gets the first attempt of each request, and another
// backend server.
func newEarlyFixture(t *testing.T, s *early.Server) (*fixture, *early.Server) {
	t.Helper()
	startEarly(t, s)
	f := newFixture(t, 1)
	f.backend("early", s.Address())
	for _, name := range []string{"reads", "bids"} {
		f.config.Resources[version.Key{Kind: version.KindRoute, Name: name}].Route.Timeout = version.Duration(earlyRouteTimeout)
	}
	f.install()
	return f, s
}

// uploader is a caller that sends one large body.
type uploader struct {
	id, object string
	body       []byte
	chunked    bool
	pause      time.Duration // between two pieces of 64 KB
	stopAfter  int           // bytes after which the caller stops sending; zero: none
	pauseTime  time.Duration // after stopAfter, before it goes on; zero: it does not
}

// start sends the request, the body in the background, and returns the connection.
func (u *uploader) start(t *testing.T, f *fixture) (c net.Conn, sent chan struct{}) {
	t.Helper()
	const pieceBytes = 64 << 10
	framing := fmt.Sprintf("Content-Length: %d", len(u.body))
	if u.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	c = f.sendRaw(rawRequestHead("POST", "/bids/1", u.id, request.OwnNames.Affinity+": "+u.object+"\r\n"+framing+"\r\n"))
	assert.NilError(t, c.SetDeadline(time.Now().Add(2*earlyRouteTimeout)))
	sent = make(chan struct{})
	go func() {
		defer close(sent)
		for rest := u.body; len(rest) > 0; {
			piece := rest[:min(pieceBytes, len(rest))]
			rest = rest[len(piece):]
			if u.chunked {
				piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
			}
			if _, err := c.Write(piece); err != nil {
				return
			}
			if u.stopAfter > 0 && len(u.body)-len(rest) >= u.stopAfter {
				if u.pauseTime == 0 {
					return
				}
				time.Sleep(u.pauseTime)
				u.stopAfter = 0
			}
			time.Sleep(u.pause)
		}
		if u.chunked {
			_, _ = c.Write([]byte("0\r\n\r\n"))
		}
	}()
	return c, sent
}

func readReply(c net.Conn) reply {
	start := time.Now()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return reply{err: err, took: time.Since(start)}
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, header: res.Header, body: string(b), err: err, took: time.Since(start)}
}

// delayLine delays the lines of a log that contain a text.
type delayLine struct {
	text  string
	delay time.Duration
}

func (d delayLine) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(d.text)) {
		time.Sleep(d.delay)
	}
	return len(line), nil
}

// TestSecondAttemptSendsWholeBody guards against requests that run with a hole in their body. The sender of the first
// attempt, which a backend server had rejected early, took a part of the body after the decision to make
// another attempt.
func TestSecondAttemptSendsWholeBody(t *testing.T) {
	body := early.NumberedBody(maxBufferedBody + 200<<10)
	for _, first := range []int64{0, 700 << 10, maxBufferedBody + 100<<10} {
		for _, chunked := range []bool{true, false} {
			for _, pause := range []time.Duration{0, 10 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d,%t,%s", first, chunked, pause), func(t *testing.T) {
					t.Parallel()
					f, s := newEarlyFixture(t, &early.Server{Rejects: true, ReadFirst: first})
					f.proxy.Log = zerolog.New(delayLine{"tried-again", 50 * time.Millisecond})
					const uploads = 6
					for i := range uploads {
						u := uploader{id: fmt.Sprint("x", i), object: fmt.Sprint(i), body: body, chunked: chunked, pause: pause}
						c, _ := u.start(t, f)
						r := readReply(c)
						assert.NilError(t, r.err)
						if r.status != http.StatusOK {
							assert.Equal(t, r.status, http.StatusServiceUnavailable)
							assert.Equal(t, r.header.Get(request.HeaderRan), string(request.RanNo))
						}
						_ = c.Close()
					}
					for _, run := range f.runs() {
						assert.Check(t, run.Body == string(body), "%s ran with another body of %d bytes", run.ID, len(run.Body))
					}
					f.awaitIdle()
					checkEarly(t, s, body)
				})
			}
		}
	}
}

// TestEarlyServerReadsOnTheSameBody guards against a backend server that responds early, reads on and gets other bytes.
// The instance discarded parts of the body on the caller's connection while the attempt sent the others.
func TestEarlyServerReadsOnTheSameBody(t *testing.T) {
	body := early.NumberedBody(2 << 20)
	for _, first := range []int64{0, 700 << 10, maxBufferedBody + 100<<10} {
		for _, chunked := range []bool{true, false} {
			for _, readOn := range []time.Duration{0, 300 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d,%t,%s", first, chunked, readOn), func(t *testing.T) {
					t.Parallel()
					f, s := newEarlyFixture(t, &early.Server{ReadFirst: first, ReadOn: readOn})
					const uploads = 6
					var callers sync.WaitGroup
					for i := range uploads {
						u := uploader{id: fmt.Sprint("x", i), object: fmt.Sprint(i), body: body, chunked: chunked, pause: 2 * time.Millisecond}
						c, sent := u.start(t, f)
						callers.Go(func() {
							r := readReply(c)
							assert.Check(t, r.err == nil, "%v", r.err)
							<-sent
							_ = c.Close()
						})
					}
					callers.Wait()
					checkEarly(t, s, body)
					for _, run := range f.runs() {
						assert.Check(t, run.Body == string(body))
					}
				})
			}
		}
	}
}

// TestEarlyResponseReachesStalledCaller guards against responses that are withheld until the caller sends more of
// its body. It covers callers of which the instance has read less, and more, than it buffers.
func TestEarlyResponseReachesStalledCaller(t *testing.T) {
	body := early.NumberedBody(3 << 20)
	for _, x := range []struct {
		name    string
		rejects bool
		want    int
	}{
		{"rejected", true, http.StatusServiceUnavailable}, {"failed", false, http.StatusInternalServerError},
	} {
		for _, chunked := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s,%t", x.name, chunked), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, 0)
				s := startEarly(t, &early.Server{Rejects: x.rejects, ReadFirst: maxBufferedBody})
				f.backend("early", s.Address())
				f.install()
				u := uploader{id: "x", body: body, chunked: chunked, stopAfter: maxBufferedBody + 128<<10}
				c, sent := u.start(t, f)
				<-sent
				r := readReply(c)
				assert.NilError(t, r.err)
				assert.Equal(t, r.status, x.want)
				assert.Assert(t, r.took < maxEarlyDelay, "%s", r.took)
				checkEarly(t, s, body)
			})
		}
	}
}

// TestRejectionReachesCallerThatStalls guards against a rejection that is withheld until a part of the body has come, which the
// instance does not need.
func TestRejectionReachesCallerThatStalls(t *testing.T) {
	f := newFixture(t, 1)
	for _, framing := range []string{"Transfer-Encoding: chunked", "Content-Length: 1000"} {
		c := f.sendRaw("POST /no/such/route HTTP/1.1\r\nHost: a.example\r\n" + framing + "\r\n\r\n")
		assert.NilError(t, c.SetDeadline(time.Now().Add(2*time.Second)))
		r := readReply(c)
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, http.StatusNotFound)
		assert.Assert(t, r.took < maxEarlyDelay, "%s", r.took)
	}
}

// TestEarlyResponseSurvivesUnreadBody guards against an early response that is lost to a reset of the connection, since the
// caller sends its whole body before it reads.
func TestEarlyResponseSurvivesUnreadBody(t *testing.T) {
	for _, chunked := range []bool{true, false} {
		t.Run(fmt.Sprint(chunked), func(t *testing.T) {
			t.Parallel()
			f, s := newEarlyFixture(t, &early.Server{ReadFirst: 0})
			u := uploader{body: early.NumberedBody(3 << 20), chunked: chunked, pause: 30 * time.Millisecond}
			for i := range 4 { // some of them go to the early server first
				u.id, u.object = fmt.Sprint("x", i), fmt.Sprint(i)
				c, sent := u.start(t, f)
				<-sent
				r := readReply(c)
				assert.NilError(t, r.err)
				assert.Assert(t, r.status == http.StatusOK || r.status == http.StatusInternalServerError, "%d", r.status)
			}
			checkEarly(t, s, u.body)
		})
	}
}

// TestDeadlineReachesStalledCaller guards against a caller that gets no response at its deadline, since the instance waits for
// more of its body.
func TestDeadlineReachesStalledCaller(t *testing.T) {
	f := newFixture(t, 1)
	const timeout = 600 * time.Millisecond // of the route
	for _, chunked := range []bool{true, false} {
		u := uploader{id: "x", body: early.NumberedBody(2 << 20), chunked: chunked, stopAfter: maxBufferedBody + 128<<10}
		c, sent := u.start(t, f)
		<-sent
		r := readReply(c)
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, http.StatusGatewayTimeout)
		assert.Assert(t, r.took < timeout+maxEarlyDelay, "%s", r.took)
	}
	assert.Equal(t, len(f.runs()), 0)
}

// TestUploadSurvivesPause checks that a caller that stops for a second in the remainder of its body is served, also after an
// early rejection of the first attempt.
func TestUploadSurvivesPause(t *testing.T) {
	body := early.NumberedBody(maxBufferedBody + 320<<10)
	f, s := newEarlyFixture(t, &early.Server{Rejects: true})
	var callers sync.WaitGroup
	for i := range 8 {
		u := uploader{id: fmt.Sprint("x", i), object: fmt.Sprint(i), body: body, chunked: i%2 == 0, stopAfter: maxBufferedBody + 64<<10, pauseTime: time.Second}
		c, _ := u.start(t, f)
		callers.Go(func() {
			r := readReply(c)
			assert.Check(t, r.err == nil, "%v", r.err)
			notRun := r.status == http.StatusServiceUnavailable && r.header.Get(request.HeaderRan) == string(request.RanNo)
			assert.Check(t, r.status == http.StatusOK || notRun, "%d", r.status)
			_ = c.Close()
		})
	}
	callers.Wait()
	assert.Assert(t, len(f.runs()) > 0)
	for _, run := range f.runs() {
		assert.Check(t, run.Body == string(body), "%s ran with another body", run.ID)
	}
	checkEarly(t, s, body)
}

// TestBodyOverLimitIsNoBackendFailure guards against a body that exceeds the limit in its remainder: the backend server
// counted as failed, and the caller got 504. What has been sent on may have run.
func TestBodyOverLimitIsNoBackendFailure(t *testing.T) {
	f := newFixture(t, 1)
	u := uploader{id: "x", body: early.NumberedBody(3<<20 + 1), chunked: true}
	c, _ := u.start(t, f)
	r := readReply(c)
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, r.header.Get(request.HeaderRan), string(request.RanUnknown))
	assert.Equal(t, len(f.runs()), 0)
	f.assertServed(f.send("next", "/reads/1", ""), "next")
}

// TestIncompleteBodyNeverLooksWhole guards against a backend server that takes a part of a body for the whole, since the
// caller left or sent less than it announced.
func TestIncompleteBodyNeverLooksWhole(t *testing.T) {
	for _, chunked := range []bool{true, false} {
		f := newFixture(t, 1)
		u := uploader{id: "x", body: early.NumberedBody(maxBufferedBody + 300<<10), chunked: chunked, stopAfter: maxBufferedBody + 200<<10}
		c, sent := u.start(t, f)
		<-sent
		assert.NilError(t, c.Close())
		f.awaitIdle()
		assert.Equal(t, len(f.runs()), 0)
	}
}

// TestForwardedUploadIsWholeAfterEarlyResponse guards against the same hole over two instances: the second one gets an early
// rejection, and the first sends the request to a third.
func TestForwardedUploadIsWholeAfterEarlyResponse(t *testing.T) {
	body := early.NumberedBody(maxBufferedBody + 200<<10)
	f := newForwardFixture(t, 2)
	var rejecting []*early.Server
	for _, h := range f.helpers[:1] {
		s := startEarly(t, &early.Server{Rejects: true})
		rejecting = append(rejecting, s)
		for i := range 2 {
			h.backend(fmt.Sprint("u", i), s.Address())
		}
		h.install()
	}
	f.proxy.Log = zerolog.New(delayLine{"forwarded", 50 * time.Millisecond})
	for _, h := range append(f.helpers, f.fixture) {
		h.config.Resources[version.Key{Kind: version.KindRoute, Name: "bids"}].Route.Timeout = version.Duration(earlyRouteTimeout)
		h.install()
	}
	for i := range 8 {
		u := uploader{id: fmt.Sprint("x", i), object: fmt.Sprint(i), body: body, chunked: i%2 == 0}
		c, _ := u.start(t, f.fixture)
		r := readReply(c)
		assert.NilError(t, r.err)
		assert.Assert(t, r.status == http.StatusOK || r.header.Get(request.HeaderRan) == string(request.RanNo), "%d %v", r.status, r.header)
		_ = c.Close()
	}
	for _, run := range f.helperRuns() {
		assert.Check(t, run.Body == string(body), "%s ran with another body", run.ID)
	}
	for _, s := range rejecting {
		checkEarly(t, s, body)
	}
}

// TestBufferedBodyIsHeldUntilItIsSent guards against memory that is no longer accounted for while the sender of an early
// response still uses it.
func TestBufferedBodyIsHeldUntilItIsSent(t *testing.T) {
	f := newFixture(t, 0)
	s := startEarly(t, &early.Server{ReadOn: 300 * time.Millisecond})
	f.backend("early", s.Address())
	f.install()
	budget := f.limitMemory(1000)
	r := f.send("x", "/bids/1", strings.Repeat("x", maxBufferedBody))
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusInternalServerError)
	assert.Assert(t, budgetTotal(budget) >= maxBufferedBody, "%d bytes held while the body is sent", budgetTotal(budget))
	for start := time.Now(); budgetTotal(budget) > 0; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Since(start) < 2*time.Second, "%d bytes still held", budgetTotal(budget))
	}
}

func budgetTotal(b *held.Budget) int64 {
	return b.Held(held.Requests) + b.Held(held.Bodies) + b.Held(held.Responses)
}
