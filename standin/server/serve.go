// SPDX-License-Identifier: MIT

package server

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func (s *Server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if s.hold(c) {
			go s.serve(c)
		}
	}
}

// hold counts a connection and keeps it for Kill. It reports whether it is served.
func (s *Server) hold(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened++
	if s.killed {
		_ = c.Close()
		return false
	}
	s.open[c] = true
	return true
}

func (s *Server) letGo(c net.Conn) {
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

func (s *Server) serve(c net.Conn) {
	defer s.letGo(c)
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !s.answer(c, r, req) {
			return
		}
	}
}

// queueStep is the time between two looks at whether a slot is free.
const queueStep = time.Millisecond

// begin takes a fault and, unless it means that nothing runs, a slot, for which
// it may wait.
func (s *Server) begin(req *http.Request) (f Fault, load string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, load, ok = s.arrive(req)
	if !ok || s.running < s.Slots {
		return f, load, ok && s.take()
	}
	if s.waiting >= s.Queue {
		return Shed, load, false
	}
	s.waiting++
	for s.running >= s.Slots {
		s.mu.Unlock()
		time.Sleep(queueStep)
		s.mu.Lock()
	}
	s.waiting--
	return f, load, s.take()
}

func (s *Server) take() bool {
	s.running++
	s.most = max(s.most, s.running)
	return true
}

// arrive takes the fault of a request, and reports whether it may run.
func (s *Server) arrive(req *http.Request) (f Fault, load string, ok bool) {
	if len(s.faults) > 0 {
		f, s.faults = s.faults[0], s.faults[1:]
	}
	load = fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.Slots)
	if s.Pace != "" {
		load += "," + s.Pace
	}
	if want := req.Header.Get(s.Names.Target); want != "" && want != s.Name {
		return Moved, load, false
	}
	now := time.Now()
	s.sent = append(s.sent, Arrival{ID: req.Header.Get(s.Names.ID), At: now, Start: s.started})
	if now.Before(s.cold) {
		s.arrivals = append(s.arrivals, now)
	}
	if now.Before(s.away) {
		return Shed, load, false
	}
	return f, load, f != Shed && f != ShedLate && f != Moved && f != Early
}

func (s *Server) work(object string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if object == "" || s.seen[object] {
		return s.Work
	}
	s.seen[object] = true
	return max(s.First, s.Work)
}

// answer serves one request and reports whether the connection goes on.
func (s *Server) answer(c net.Conn, r *bufio.Reader, req *http.Request) bool {
	id := req.Header.Get(s.Names.ID)
	f, load, ok := s.begin(req)
	if !ok {
		if f != Early {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		if f == ShedLate {
			time.Sleep(lateShed)
		}
		status := "503 Service Unavailable"
		if f == Moved {
			status = "421 Misdirected Request"
		}
		fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s: %s\r\n%s: 1\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n", status, s.Names.ID, id, s.Names.NotRun, s.Names.Load, load, s.notice(id, f))
		_, err := io.Copy(io.Discard, req.Body)
		return err == nil
	}
	body, err := s.readAll(req.Body)
	if err != nil {
		s.end()
		return false
	}
	s.mu.Lock()
	s.runs = append(s.runs, Run{
		ID: id, Method: req.Method, Path: req.RequestURI, Body: string(body),
		Object: req.Header.Get(s.Names.Affinity), Header: req.Header,
	})
	s.mu.Unlock()
	if s.Crashes != nil && s.Crashes(req) {
		s.crash()
		return false
	}
	how := s.conduct(id, req.URL.Path)
	work := time.Duration(how.slower * float64(s.work(req.Header.Get(s.Names.Affinity))))
	left := s.wait(c, r, work)
	s.end()
	if left {
		return false
	}
	if how.bad() {
		s.noteBad(id, how)
	}
	if how.fails && f == None {
		f = Broken
	}
	return s.write(c, f, id, load)
}

// readAll reads a body, slowly if the backend server does so.
func (s *Server) readAll(r io.Reader) (body []byte, err error) {
	s.mu.Lock()
	pause := s.ReadPause
	s.mu.Unlock()
	if pause == 0 {
		return io.ReadAll(r)
	}
	for {
		var b [1]byte
		_, err := io.ReadFull(r, b[:])
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		body = append(body, b[0])
		time.Sleep(pause)
	}
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// wait works for a time, and reports whether the client left meanwhile.
func (s *Server) wait(c net.Conn, r *bufio.Reader, d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := r.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	if n, ok := err.(net.Error); err == nil || ok && n.Timeout() {
		return false
	}
	s.mu.Lock()
	s.closed++
	s.mu.Unlock()
	return true
}

// Body is the body of the answer to a request.
func Body(id string) string { return "answer to " + id }

func (s *Server) write(c net.Conn, f Fault, id, load string) bool {
	text := s.text(id, load)
	switch f {
	case Cut:
		_, _ = io.WriteString(c, text[:len(text)-3])
		return false
	case Unframed, UnframedCut:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\n\r\n%s", s.Names.ID, id, s.Names.Seal, id, Body(id))
		if tcp, ok := c.(*net.TCPConn); ok && f == UnframedCut {
			time.Sleep(20 * time.Millisecond) // so that what was written arrives
			_ = tcp.SetLinger(0)
		}
		return false
	case Surplus:
		_, _ = io.WriteString(c, s.text("of-another", load)+text)
		return true
	case SurplusAfter:
		_, _ = io.WriteString(c, text+s.text("of-another", load))
		return true
	case Lost:
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	case Broken:
		text = strings.Replace(text, "200 OK", "500 Internal Server Error", 1)
	case Silent:
		_, _ = io.Copy(io.Discard, c)
		return false
	case NotAnswer:
		_, _ = io.WriteString(c, "this is no answer\r\n\r\n")
		return false
	}
	if _, err := io.WriteString(c, text); err != nil {
		return false
	}
	_, err := c.Write(padding(s.Size))
	return err == nil
}

// padding returns so many bytes, the same memory each time.
func padding(size int) []byte {
	if size == 0 {
		return nil
	}
	onePadding.Do(func() { paddingBytes = bytes.Repeat([]byte{'x'}, mostSize) })
	return paddingBytes[:size]
}

// mostSize bounds Server.Size.
const mostSize = 16 << 20

var (
	onePadding   sync.Once
	paddingBytes []byte
)

func (s *Server) text(id, load string) string {
	body := Body(id)
	return "HTTP/1.1 200 OK\r\n" + s.Names.ID + ": " + id + "\r\n" + s.Names.Seal + ": seal-" + id + "\r\n" +
		s.Names.Load + ": " + load + "\r\n" + s.notice(id, None) + "Keep-Alive: timeout=10\r\nContent-Length: " + strconv.Itoa(len(body)+s.Size) + "\r\n\r\n" + body
}
