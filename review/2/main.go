// SPDX-License-Identifier: MIT

/*
Command 2 is a case of the review. Upstreams answer before they have read a long body, keep the
connection and read on. It checks that what they read then is the rest of that body, and that no
request runs with another body than the client sent.
*/
package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"shalewick/review/harness"
)

const (
	instances = 3
	upstreams = 6
	slots     = 6
	runTime   = 30 * time.Second
	drainTime = 5 * time.Second // longer than any request may take
	budget    = 4 * time.Second
	workTime  = 20 * time.Millisecond

	host   = "jepu9.example"
	path   = "/fiti832/ti23/2f"
	prefix = "/fiti832/ti23/"

	// pieceBytes is how much of a body a client sends at a time.
	pieceBytes = 64 << 10

	// Of the requests, the upstreams answer earlyShare before they have read the body: rejectedShare of
	// those with a rejection, and the others with a failure, after up to maxEarlyBytes.
	earlyShare    = 0.4
	rejectedShare = 0.8
	maxEarlyBytes = 1536 << 10
	// wordBytes is the size of the words that a body consists of: the hash of its request's id, and
	// the number of the word.
	wordBytes = 8
)

// crowd is a number of clients that upload bodies of one size.
type crowd struct {
	clients   int
	bodyBytes int
	pause     time.Duration // between two pieces
	thinkTime time.Duration
}

// crowds are clients with slow and with quick links.
var crowds = []crowd{
	{clients: 6, bodyBytes: 3 << 20, pause: 12 * time.Millisecond, thinkTime: 100 * time.Millisecond},
	{clients: 15, bodyBytes: 1280 << 10, thinkTime: 10 * time.Millisecond},
}

// newBody returns the body of a request.
func newBody(id string, size int) []byte {
	body := make([]byte, size)
	for i := range size / wordBytes {
		binary.BigEndian.PutUint32(body[i*wordBytes:], hashOf(id))
		binary.BigEndian.PutUint32(body[i*wordBytes+4:], uint32(i))
	}
	return body
}

func hashOf(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum32()
}

// difference returns the offset at which got is no longer a beginning of want, or -1.
func difference(got, want []byte) int {
	for i := range got {
		if i >= len(want) || got[i] != want[i] {
			return i
		}
	}
	return -1
}

// site holds what the stand-ins saw.
type site struct {
	record *harness.Record

	mu         sync.Mutex
	random     *rand.Rand
	sizes      map[string]int // of the bodies, by request
	otherBytes []string       // after an early answer
	changed    []string       // requests that ran with another body
	early      int
	ran        int
	served     int
}

func (s *site) float() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// bodyOf returns the body that the client sent.
func (s *site) bodyOf(id string) []byte {
	s.mu.Lock()
	size := s.sizes[id]
	s.mu.Unlock()
	return newBody(id, size)
}

// handle serves a request at an upstream.
func (s *site) handle(u *harness.Upstream, c net.Conn, r *http.Request) bool {
	id := r.Header.Get(harness.Wire.ID)
	if harness.Trouble() && s.float() < earlyShare {
		return s.answerEarly(u, c, r, id)
	}
	got, err := io.ReadAll(r.Body)
	if err != nil {
		s.record.Printf("not run %s at %s: its body ends after %d bytes: %v", id, u.ID, len(got), err)
		return false
	}
	s.mu.Lock()
	s.ran++
	s.mu.Unlock()
	s.record.Printf("ran %s at %s with %d bytes", id, u.ID, len(got))
	want := s.bodyOf(id)
	if at := difference(got, want); at >= 0 || len(got) != len(want) {
		s.note(&s.changed, "%s ran at %s with another body: %d of %d bytes, the first difference at %d", id, u.ID, len(got), len(want), at)
	}
	time.Sleep(workTime)
	return write(c, "200 OK", id, harness.Wire.Seal+": seal."+u.ID+"."+id+"\r\n", "answer to "+id)
}

// answerEarly answers a request before its body is read, and reads on.
func (s *site) answerEarly(u *harness.Upstream, c net.Conn, r *http.Request, id string) bool {
	status, header, text, first := "503 Service Unavailable", harness.Wire.NotRun+": 1\r\n", "", int64(0)
	if s.float() >= rejectedShare {
		status, header, text = "500 Internal Server Error", harness.Wire.Seal+": seal."+u.ID+"."+id+"\r\n", "failure of "+id
		first = int64(s.float() * maxEarlyBytes)
	}
	got, err := io.ReadAll(io.LimitReader(r.Body, first))
	if err != nil || !write(c, status, id, header, text) {
		return false
	}
	s.mu.Lock()
	s.early++
	s.mu.Unlock()
	s.record.Printf("answered early %s at %s after %d bytes: %s", id, u.ID, len(got), status)
	rest, err := io.ReadAll(r.Body)
	got = append(got, rest...)
	want := s.bodyOf(id)
	s.record.Printf("read on %s at %s until %d of %d: %v", id, u.ID, len(got), len(want), err)
	if at := difference(got, want); at >= 0 {
		s.note(&s.otherBytes, "%s at %s, which had answered after %d bytes, got other bytes at %d of %d: those of %d", id, u.ID, first, at, len(want), offsetOf(got, at, id))
	}
	return err == nil
}

// offsetOf returns the offset in the body that the client sent of what was received at an offset, or -1.
func offsetOf(got []byte, at int, id string) int {
	const words = 2 // the first whole word that follows
	for i := at; i+words*wordBytes <= len(got); i++ {
		if i < at+wordBytes && binary.BigEndian.Uint32(got[i:]) == hashOf(id) {
			return int(binary.BigEndian.Uint32(got[i+4:])) * wordBytes
		}
	}
	return -1
}

func write(c net.Conn, status, id, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s: %s\r\n%s%s: 1,0,6\r\nContent-Length: %d\r\n\r\n%s", status, harness.Wire.ID, id, header, harness.Wire.Load, len(body), body)
	return err == nil
}

// note records a violation.
func (s *site) note(list *[]string, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.record.Printf("UNASKED broken: %s", text)
	s.mu.Lock()
	defer s.mu.Unlock()
	*list = append(*list, text)
}

// newID returns the id of a new request with a body of a size.
func (s *site) newID(size int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := fmt.Sprintf("b%015x", len(s.sizes)+1)
	s.sizes[id] = size
	return id
}

// runClient uploads until a time, every other body in chunks.
func (s *site) runClient(n int, w crowd, d *harness.Deployment, until time.Time) {
	c := harness.Client{Source: harness.ClientIP(n)}
	defer c.Close()
	for i := 0; time.Now().Before(until); i++ {
		x := d.Instances[n%len(d.Instances)]
		chunked := i%2 == 0
		id := s.newID(w.bodyBytes)
		body := newBody(id, w.bodyBytes)
		r := harness.Request{Method: http.MethodPost, Host: host, Path: path, ID: id, Key: fmt.Sprint((n*7 + i) % 24), Budget: budget}
		s.record.Printf("sent %s to %s: %d bytes, in chunks: %t", id, x.Name, len(body), chunked)
		answer := upload(&c, x.Front, &r, body, chunked, w.pause)
		s.record.Printf("answered %s: %d %v", id, answer.Status, answer.Err)
		s.mu.Lock()
		if answer.Status == http.StatusOK {
			s.served++
		}
		s.mu.Unlock()
		time.Sleep(w.thinkTime)
	}
}

// upload sends a request with its body in pieces, and returns the answer. It stops sending once there
// is one.
func upload(c *harness.Client, address string, r *harness.Request, body []byte, chunked bool, pause time.Duration) harness.Answer {
	if err := c.Open(address, r.Budget); err != nil {
		return harness.Answer{Err: err}
	}
	answered, stop, sent := make(chan harness.Answer, 1), make(chan struct{}), make(chan struct{})
	go func(conn net.Conn) {
		defer close(sent)
		sendBody(conn, r, body, chunked, pause, stop)
	}(c.Conn())
	go func() { answered <- c.Read(r.Method) }()
	answer := <-answered
	close(stop)
	select {
	case <-sent:
	default: // the rest of the body isn't sent
		c.Close()
		<-sent
	}
	return answer
}

func sendBody(conn net.Conn, r *harness.Request, body []byte, chunked bool, pause time.Duration, stop <-chan struct{}) {
	framing := fmt.Sprintf("Content-Length: %d", len(body))
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	if _, err := conn.Write(r.Head(framing)); err != nil {
		return
	}
	for len(body) > 0 {
		piece := body[:pieceBytes]
		body = body[pieceBytes:]
		if chunked {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := conn.Write(piece); err != nil {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
	if chunked {
		_, _ = conn.Write([]byte("0\r\n\r\n")) // the answer tells whether it arrived
	}
}

func main() { os.Exit(runCase()) }

func runCase() int {
	record, err := harness.NewRecord(filepath.Join("review", "2", "record.txt"))
	if err != nil {
		return harness.Fail(err)
	}
	defer record.Close()
	s := &site{record: record, random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 2)), sizes: make(map[string]int)}
	d, err := harness.Start(instances, harness.Config{
		Version: "00000007",
		Routes: map[string]harness.Route{"r-2upl0ad": {
			Host: host, PathPrefix: prefix, Kind: "upload", TimeoutS: 3.5, TargetLatencyS: 1, Priority: 1, Service: "mo3dia", MaxAttempts: 2, Sticky: true,
		}},
		Services: map[string]harness.Service{"mo3dia": harness.DefaultService()},
		Limits:   harness.DefaultLimits(),
	})
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return harness.Fail(err)
	}
	started, err := d.StartUpstreams("mo3dia", upstreams, slots, s.handle)
	if err != nil {
		return harness.Fail(err)
	}
	for _, u := range started {
		defer u.Close()
	}
	if err := d.AwaitReady(); err != nil {
		return harness.Fail(err)
	}
	time.Sleep(4 * time.Second) // contactS, and the end of the start
	var group sync.WaitGroup
	until := time.Now().Add(runTime)
	n := 0
	for _, w := range crowds {
		for range w.clients {
			client := n
			group.Go(func() { s.runClient(client, w, d, until) })
			n++
		}
	}
	group.Wait()
	time.Sleep(drainTime)
	return s.report()
}

// report writes the outcome, and returns the exit code.
func (s *site) report() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	summary := fmt.Sprintf("%d requests, %d served, %d ran, %d answered early", len(s.sizes), s.served, s.ran, s.early)
	s.record.Printf("%s", summary)
	fmt.Println(summary)
	for what, list := range map[string][]string{"another body ran": s.changed, "other bytes after an early answer": s.otherBytes} {
		if len(list) > 0 {
			fmt.Printf("UNASKED broken %d times (%s), first: %s\n", len(list), what, list[0])
		}
	}
	if s.served < len(s.sizes)/4 || s.served == 0 {
		return harness.Fail(errors.New("less than a quarter of the requests are served"))
	}
	if len(s.otherBytes)+len(s.changed) > 0 {
		return harness.ExitBroken
	}
	return harness.ExitHeld
}
