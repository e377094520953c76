// SPDX-License-Identifier: MIT

package conn

import (
	"context"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Strict returns a RoundTripper that sends requests with t and gives up malformed responses as a Pool does: an error of a
// malformed head is ErrMalformed or ErrMerged, and a reset is no end of a response. T must not be used otherwise, and bounds
// the size of heads. Responses over TLS are not checked.
func Strict(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &strictConn{socket: socket{Conn: c}}, nil
	}
	return &strictTransport{t}
}

type strictTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *strictTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*strictConn); ok {
			c.expectHead()
		}
	}}
	return t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
}

// strictConn is a connection of a strictTransport. It checks the head of each response as it is read.
type strictConn struct {
	socket

	mu      sync.Mutex   // the connection is read while it is taken for a request
	scanner *headScanner // of the current head; nil within a body and between responses
	head    []byte       // what was read of the current head
}

// expectHead prepares the connection for a request, whose response comes next.
func (c *strictConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginHead(nil)
}

// beginHead begins a head with the bytes that have been read of it.
func (c *strictConn) beginHead(read []byte) {
	c.scanner = &headScanner{statusLine: true, maxLines: math.MaxInt}
	c.head = read
}

// Read implements io.Reader.
func (c *strictConn) Read(p []byte) (int, error) {
	n, err := c.socket.Read(p)
	if checkErr := c.check(p[:n]); checkErr != nil {
		return 0, checkErr
	}
	return n, err
}

// check checks bytes that were read, as far as they belong to a head.
func (c *strictConn) check(read []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.scanner == nil {
		return nil // within a body
	}
	c.head = append(c.head, read...)
	for {
		size, err := c.scanner.scan(c.head)
		if size == 0 || err != nil {
			return err
		}
		if !c.scanner.interim {
			c.scanner, c.head = nil, nil
			return nil
		}
		c.beginHead(c.head[size:])
	}
}
