// SPDX-License-Identifier: MIT

package harness

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Answer is what a client got.
type Answer struct {
	Status int // 0: no complete answer
	Header http.Header
	Body   []byte
	Err    error
}

// Client sends one request at a time. It never sends a request twice.
type Client struct {
	// Source is the IP address that it sends from; nil: chosen by the system.
	Source net.IP

	conn net.Conn
	in   *bufio.Reader
}

// dialTimeout is how long a client waits for a new connection.
const dialTimeout = time.Second

// Request is a request with a body of a known length.
type Request struct {
	Method, Host, Path, ID, Key string
	Budget                      time.Duration
	Body                        []byte
}

// Do sends a request to an address, on the connection that is open if the client keeps it, and returns
// the answer.
func (c *Client) Do(address string, r *Request) Answer {
	if err := c.Open(address, r.Budget); err != nil {
		return Answer{Err: err}
	}
	_, err := c.conn.Write(append(r.Head(fmt.Sprintf("Content-Length: %d", len(r.Body))), r.Body...))
	if err != nil {
		c.Close()
		return Answer{Err: err}
	}
	return c.Read(r.Method)
}

// Head returns the head of the request, with a line that says how its body is framed.
func (r *Request) Head(framing string) []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n\r\n",
		r.Method, r.Path, r.Host, Wire.ID, r.ID, Wire.Object, r.Key, Wire.Deadline, r.Budget.Milliseconds(), framing)
}

// Open opens a connection unless one is open, and sets its deadline.
func (c *Client) Open(address string, budget time.Duration) error {
	if c.conn == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		if c.Source != nil {
			dialer.LocalAddr = &net.TCPAddr{IP: c.Source}
		}
		conn, err := dialer.Dial("tcp4", address)
		if err != nil {
			return err
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	return c.conn.SetDeadline(time.Now().Add(budget))
}

// Conn returns the open connection.
func (c *Client) Conn() net.Conn { return c.conn }

// Read reads the answer to the request that was sent.
func (c *Client) Read(method string) Answer {
	res, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		c.Close()
		return Answer{Err: err}
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		c.Close()
		return Answer{Err: err}
	}
	if res.Close {
		c.Close()
	}
	return Answer{Status: res.StatusCode, Header: res.Header, Body: body}
}

// ClientIP returns the IP address of the n-th client.
func ClientIP(n int) net.IP {
	const perNetwork = 250
	return net.IPv4(127, 0, byte(20+n/perNetwork), byte(n%perNetwork+1))
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// IsPromise reports whether a status promises that the request has not run and never will.
func IsPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
