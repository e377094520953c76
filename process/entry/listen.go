// SPDX-License-Identifier: MIT

package entry

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"shalewick/conn"
	"shalewick/process/drain"
	"shalewick/process/metric"
	"shalewick/process/peer"
)

// Limits of the listeners for callers and operators.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes is the limit of the HTTP server. Package front refuses
	// smaller headers with a result.
	maxHeaderBytes = 1 << 20
)

// listen opens all listeners and serves on them. If one can't be opened, it
// closes the others.
func (e *Entry) listen() error {
	adminHandler, err := e.adminHandler()
	if err != nil {
		return err
	}
	var opened []net.Listener
	open := func(flag, address string) net.Listener {
		if err != nil {
			return nil
		}
		var l net.Listener
		l, err = net.Listen("tcp", address)
		err = errors.Annotatef(err, "--%s", flag)
		if err == nil {
			opened = append(opened, l)
		}
		return l
	}
	frontListener := open("front", e.settings.Front)
	peerListener := open("peer", e.settings.Peer)
	adminListener := open("admin", e.settings.Admin)
	if err != nil {
		for _, l := range opened {
			_ = l.Close() // the first error is returned
		}
		return err
	}
	options := []grpc.ServerOption{grpc.StatsHandler(e.peers.traffic), grpc.MaxHeaderListSize(conn.MaxHeadBytes)}
	if e.identity != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(e.identity.ServerConfig(true))))
		adminListener = tls.NewListener(adminListener, e.identity.ServerConfig(false))
	}
	e.grpc = grpc.NewServer(options...)
	peer.RegisterPeerServer(e.grpc, &peerServer{entry: e})
	go func() { _ = e.grpc.Serve(peerListener) }() // ends when the entry stops
	e.frontServer = e.newServer(http.HandlerFunc(e.serveCaller))
	recordFirstByte := e.firstByteRecorder()
	e.frontServer.ConnState = func(c net.Conn, state http.ConnState) {
		e.frontConns.OnStateChange(c, state)
		recordFirstByte(c, state)
	}
	e.frontServer.ConnContext = e.frontConns.ConnContext
	e.serveFront(frontListener.(*net.TCPListener))
	e.serve(e.newServer(adminHandler), adminListener)
	return nil
}

// serveFront serves callers.
func (e *Entry) serveFront(l *net.TCPListener) {
	e.frontQueue = drain.NewQueue(l)
	e.serve(e.frontServer, drain.Listener{TCPListener: e.frontQueue, Conns: &e.frontConns})
}

// firstByteRecorder returns a callback that records how long a new connection waits
// until the first byte of its first request is read.
func (e *Entry) firstByteRecorder() func(net.Conn, http.ConnState) {
	var acceptedAt sync.Map // time.Duration by net.Conn
	return func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			acceptedAt.Store(c, e.now())
			return
		}
		if at, ok := acceptedAt.LoadAndDelete(c); ok && state == http.StateActive {
			e.metrics.Stage(metric.StageFirstByte, e.now()-at.(time.Duration))
		}
	}
}

func (e *Entry) newServer(h http.Handler) *http.Server {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	e.servers = append(e.servers, s)
	return s
}

func (e *Entry) serve(s *http.Server, l net.Listener) {
	go func() { _ = s.Serve(l) }() // ends when the entry stops
}
