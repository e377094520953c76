// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"shalewick/conn"
	"shalewick/process/drain"
	"shalewick/process/metric"
	"shalewick/process/peer"
	"shalewick/process/startup"
)

// Limits of the listeners for callers and operators.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// headMemory is the memory in bytes that request heads of callers may take while they are being read.
	headMemory = 64 << 20
)

// listen opens all listeners and serves on them.
func (e *Entry) listen(ctx context.Context, retrier startup.Retrier) error {
	adminHandler, err := e.adminHandler()
	if err != nil {
		return err
	}
	start := e.now()
	sockets, err := retrier.Listen(ctx, e.settings.addresses())
	if err != nil {
		return err
	}
	e.metrics.Gauge("start_wait_ms").Update((e.now() - start).Milliseconds())
	var adminListener net.Listener = sockets.TCP[flagAdmin]
	options := []grpc.ServerOption{grpc.StatsHandler(e.peers.traffic), grpc.MaxHeaderListSize(conn.MaxHeadBytes)}
	if e.identity != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(e.identity.ServerConfig(true))))
		adminListener = tls.NewListener(adminListener, e.identity.ServerConfig(false))
	}
	e.grpc = grpc.NewServer(options...)
	peer.RegisterPeerServer(e.grpc, &peerServer{entry: e})
	go func() { _ = e.grpc.Serve(sockets.TCP[flagPeer]) }() // ends when the entry stops
	e.frontServer = e.newServer(http.HandlerFunc(e.serveCaller))
	recordFirstByte := e.firstByteRecorder()
	e.frontServer.ConnState = func(c net.Conn, state http.ConnState) {
		e.frontConns.OnStateChange(c, state)
		recordFirstByte(c, state)
	}
	e.frontServer.ConnContext = e.frontConns.ConnContext
	e.frontConns.Heads = &drain.HeadBudget{Limit: headMemory, Response: e.routes.proxy.MemoryFullResponse(), Log: e.log, Metrics: e.metrics}
	e.serveFront(sockets.TCP[flagFront])
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
		MaxHeaderBytes:    drain.MaxRequestHeadBytes,
	}
	e.servers = append(e.servers, s)
	return s
}

func (e *Entry) serve(s *http.Server, l net.Listener) {
	go func() { _ = s.Serve(l) }() // ends when the entry stops
}
