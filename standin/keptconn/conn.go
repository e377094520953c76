// SPDX-License-Identifier: MIT

// Package keptconn simulates callers that keep one connection for many requests, and pause between them.
package keptconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout = time.Second
	// lookTime is how long Open waits for the end of a connection that was idle.
	lookTime = time.Millisecond
)

// Conn is a connection to one address, which is opened anew when it has ended. The zero value is closed.
type Conn struct {
	conn net.Conn
	in   *bufio.Reader
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Open opens a connection unless one is open. Ended reports whether it found that the one that was open had ended.
func (c *Conn) Open(address string) (ended bool, err error) {
	if c.conn != nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(lookTime))
		var timeout net.Error
		if _, err := c.in.Peek(1); !errors.As(err, &timeout) || !timeout.Timeout() {
			c.Close()
			ended = true
		}
	}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			return ended, err
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	return ended, nil
}

// Do sends the parts of a request on the open connection, with a pause between two, and returns the response, which may
// arrive before all parts are sent. An error means that there is no complete one, and that the connection is closed.
func (c *Conn) Do(timeout, pause time.Duration, parts ...[]byte) (*Response, error) {
	_ = c.conn.SetDeadline(time.Now().Add(timeout)) // reads and writes fail too if this does
	sent, stop := make(chan struct{}), make(chan struct{})
	go func(conn net.Conn) {
		defer close(sent)
		for i, part := range parts {
			if _, err := conn.Write(part); err != nil {
				return // the response tells whether the request arrived
			}
			if i == len(parts)-1 {
				return
			}
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
		}
	}(c.conn)
	res, err := c.read()
	incomplete := false
	select {
	case <-sent:
	default:
		incomplete = true // an early response
	}
	close(stop)
	if err != nil || res.Header.Get("Connection") == "close" || incomplete {
		c.Close()
	}
	<-sent
	if err != nil {
		return nil, err
	}
	return res, nil
}

func (c *Conn) read() (*Response, error) {
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return &Response{}, err
	}
	defer res.Body.Close()
	if res.Close {
		res.Header.Set("Connection", "close") // ReadResponse removes it
	}
	body, err := io.ReadAll(res.Body)
	return &Response{Status: res.StatusCode, Header: res.Header, Body: body}, err
}

// Close closes the connection if one is open.
func (c *Conn) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
