// SPDX-License-Identifier: MIT

package server

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
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
		if s.track(c) {
			go s.serve(c)
		}
	}
}

// track counts a connection and records it for Kill. It reports whether the connection is served.
func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened++
	if s.killed {
		_ = c.Close()
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Server) closeConn(c net.Conn) {
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) serve(c net.Conn) {
	defer s.closeConn(c)
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !s.handle(c, r, req) {
			return
		}
	}
}

// queuePollInterval is the interval at which a queued request checks for a free slot.
const queuePollInterval = time.Millisecond

// acquireSlot takes the next fault and, unless the request is rejected, a slot, for which it may
// wait. It returns the load report at arrival, and whether the request runs.
func (s *Server) acquireSlot(c net.Conn, req *http.Request) (f Fault, load string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, load, ok = s.admit(c, req)
	if !ok || s.running < s.Slots {
		return f, load, ok && s.takeSlot()
	}
	if s.waiting >= s.Queue {
		return Shed, load, false
	}
	s.waiting++
	for s.running >= s.Slots {
		s.mu.Unlock()
		time.Sleep(queuePollInterval)
		s.mu.Lock()
	}
	s.waiting--
	return f, load, s.takeSlot()
}

// takeSlot takes a free slot and returns true. The caller holds the lock.
func (s *Server) takeSlot() bool {
	s.running++
	s.maxRunning = max(s.maxRunning, s.running)
	return true
}

// admit takes the next fault, records the arrival unless the request is for another backend server,
// and reports whether the request may run. The caller holds the lock.
func (s *Server) admit(c net.Conn, req *http.Request) (f Fault, load string, ok bool) {
	if len(s.faults) > 0 {
		f, s.faults = s.faults[0], s.faults[1:]
	}
	if f == NoFault && s.FaultOf != nil {
		f = s.FaultOf(req)
	}
	load = fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.Slots)
	if s.Slowdown != "" {
		load += "," + s.Slowdown
	}
	if target := req.Header.Get(s.Names.Target); target != "" && target != s.Name {
		return Misdirected, load, false
	}
	now := time.Now()
	s.arrivals = append(s.arrivals, Arrival{ID: req.Header.Get(s.Names.ID), From: remoteIP(c), At: now, Restarts: s.restarts})
	if now.Before(s.coldUntil) {
		s.coldArrivals = append(s.coldArrivals, now)
	}
	if now.Before(s.rejectUntil) {
		return Shed, load, false
	}
	return f, load, f != Shed && f != ShedSlowly && f != Misdirected && f != RejectEarly && f != FailEarly
}

// workTime returns how long the work for an object takes: UncachedWork for the first request, Work
// for the following ones.
func (s *Server) workTime(object string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if object == "" || s.seenObjects[object] {
		return s.Work
	}
	s.seenObjects[object] = true
	return max(s.UncachedWork, s.Work)
}

// handle serves one request and reports whether the connection stays open.
func (s *Server) handle(c net.Conn, r *bufio.Reader, req *http.Request) bool {
	id := req.Header.Get(s.Names.ID)
	f, load, ok := s.acquireSlot(c, req)
	if !ok {
		if f == RejectEarly || f == FailEarly {
			return s.respondEarly(c, req, f, load)
		}
		_, err := io.Copy(io.Discard, req.Body)
		if f == ShedSlowly {
			time.Sleep(shedDelay)
		}
		status := "503 Service Unavailable"
		if f == Misdirected {
			status = "421 Misdirected Request"
		}
		s.reject(c, status, id, f, load)
		return err == nil
	}
	body, err := s.readBody(req.Body)
	if err != nil {
		s.releaseSlot()
		return false
	}
	s.mu.Lock()
	s.runs = append(s.runs, Run{
		ID: id, Method: req.Method, Path: req.RequestURI, Body: string(body),
		Object: req.Header.Get(s.Names.Affinity), Header: req.Header, At: time.Now(),
	})
	s.mu.Unlock()
	if s.CrashOn != nil && s.CrashOn(req) {
		s.crash()
		return false
	}
	o := s.outcome(id, req.URL.Path)
	work := time.Duration(o.slowdown * float64(s.workTime(req.Header.Get(s.Names.Affinity))))
	disconnected := s.simulateWork(c, r, work)
	s.releaseSlot()
	if disconnected {
		return false
	}
	if o.defective() {
		s.recordDefective(id, o)
	}
	if o.fails && f == NoFault {
		f = InternalError
	}
	return s.respond(c, f, id, load)
}

// reject sends a response that says that the request has not run.
func (s *Server) reject(c net.Conn, status, id string, f Fault, load string) {
	fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s: %s\r\n%s: 1\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n", status, s.Names.ID, id, s.Names.NotRun, s.Names.Load, load, s.noticeHeaders(c, id, f))
}

// respondEarly responds before it reads the body, and reports whether the connection stays open.
func (s *Server) respondEarly(c net.Conn, req *http.Request, f Fault, load string) bool {
	id := req.Header.Get(s.Names.ID)
	if f == RejectEarly {
		s.reject(c, "503 Service Unavailable", id, f, load)
	} else {
		_, _ = io.WriteString(c, strings.Replace(s.response(c, id, load), "200 OK", "500 Internal Server Error", 1))
		_, _ = c.Write(padding(s.PaddingBytes))
	}
	var body bytes.Buffer
	_, err := body.ReadFrom(req.Body)
	if s.OnEarly != nil {
		s.OnEarly(EarlyResponse{ID: id, Ran: f == FailEarly, Body: body.Bytes(), Whole: err == nil})
	}
	return err == nil
}

// readBody reads a body, with a pause after each byte if ReadPause is set.
func (s *Server) readBody(r io.Reader) (body []byte, err error) {
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

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// simulateWork waits for the time of work, and reports whether the client disconnected meanwhile.
func (s *Server) simulateWork(c net.Conn, r *bufio.Reader, d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := r.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	if n, ok := err.(net.Error); err == nil || ok && n.Timeout() {
		return false
	}
	s.mu.Lock()
	s.disconnects++
	s.mu.Unlock()
	return true
}

// ResponseBody returns the body of the response to a request.
func ResponseBody(id string) string { return "answer to " + id }

// respond writes the response, with its fault, and reports whether the connection stays open.
func (s *Server) respond(c net.Conn, f Fault, id, load string) bool {
	text := s.response(c, id, load)
	switch f {
	case Truncated:
		_, _ = io.WriteString(c, text[:len(text)-3])
		return false
	case CutHead:
		_, _ = io.WriteString(c, text[:rand.IntN(strings.Index(text, "\r\n\r\n"))])
		return false
	case CloseDelimited, CloseDelimitedReset:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\n\r\n%s", s.Names.ID, id, s.Names.Seal, id, ResponseBody(id))
		if tcp, ok := c.(*net.TCPConn); ok && f == CloseDelimitedReset {
			time.Sleep(20 * time.Millisecond) // lets the client receive the body before the reset
			_ = tcp.SetLinger(0)
		}
		return false
	case ExtraBefore:
		_, _ = io.WriteString(c, s.response(c, "of-another", load)+text)
		return true
	case ExtraAfter:
		_, _ = io.WriteString(c, text+s.response(c, "of-another", load))
		return true
	case ResetAfterRun:
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	case InternalError:
		text = strings.Replace(text, "200 OK", "500 Internal Server Error", 1)
	case NoResponse:
		_, _ = io.Copy(io.Discard, c)
		return false
	case EndlessHeaderLine, EndlessHeader, EndlessShortLines, EndlessInterim, EndlessTrailer, EndlessBody:
		s.respondEndlessly(c, f, id)
		return false
	case NotHTTP:
		_, _ = io.WriteString(c, "this is no answer\r\n\r\n")
		return false
	}
	if _, err := io.WriteString(c, text); err != nil {
		return false
	}
	_, err := c.Write(padding(s.PaddingBytes))
	return err == nil
}

// padding returns a number of bytes, from memory that all responses share.
func padding(size int) []byte {
	if size == 0 {
		return nil
	}
	paddingOnce.Do(func() { paddingBytes = bytes.Repeat([]byte{'x'}, maxPaddingBytes) })
	return paddingBytes[:size]
}

// maxPaddingBytes is the maximum of Server.PaddingBytes.
const maxPaddingBytes = 16 << 20

var (
	paddingOnce  sync.Once
	paddingBytes []byte
)

// response returns the response without its padding.
func (s *Server) response(c net.Conn, id, load string) string {
	body := ResponseBody(id)
	return "HTTP/1.1 200 OK\r\n" + s.Names.ID + ": " + id + "\r\n" + s.Names.Seal + ": seal-" + id + "\r\n" +
		s.Names.Load + ": " + load + "\r\n" + s.noticeHeaders(c, id, NoFault) + "Keep-Alive: timeout=10\r\nContent-Length: " + strconv.Itoa(len(body)+s.PaddingBytes) + "\r\n\r\n" + body
}
