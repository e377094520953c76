// SPDX-License-Identifier: MIT

package entry

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"shalewick/process/peer"
)

// Bounds of the listeners for callers and operators.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeader is what is read at all, in bytes; package front refuses less
	// with a result.
	maxHeader = 1 << 20
)

// listen opens the listeners. If one can not be opened, none stays open.
func (e *Entry) listen() error {
	adminHandler, err := e.adminServer()
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
	frontL := open("front", e.settings.Front)
	peerL := open("peer", e.settings.Peer)
	adminL := open("admin", e.settings.Admin)
	if err != nil {
		for _, l := range opened {
			_ = l.Close() // the first error is the one to tell
		}
		return err
	}
	options := []grpc.ServerOption{grpc.StatsHandler(e.peers.traffic)}
	if e.identity != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(e.identity.Server(true))))
		adminL = tls.NewListener(adminL, e.identity.Server(false))
	}
	e.grpc = grpc.NewServer(options...)
	peer.RegisterPeerServer(e.grpc, &peerServer{e: e})
	go func() { _ = e.grpc.Serve(peerL) }() // ends when the entry stops
	e.frontServer = e.serveHTTP(frontL, http.HandlerFunc(e.serveCaller))
	e.serveHTTP(adminL, adminHandler)
	return nil
}

func (e *Entry) serveHTTP(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
	e.servers = append(e.servers, s)
	go func() { _ = s.Serve(l) }() // ends when the entry stops
	return s
}
