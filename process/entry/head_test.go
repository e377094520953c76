// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"gotest.tools/v3/assert"

	"shalewick/conn"
	"shalewick/process/metric"
	"shalewick/process/peer"
	"shalewick/standin/fleet"
)

// largeMetadata is metadata that exceeds the limit of a message's head.
var largeMetadata = metadata.Pairs("x-large", strings.Repeat("x", 2*conn.MaxHeadBytes))

// largeHeadPeer is a peer whose responses have a large head.
type largeHeadPeer struct{ peer.UnimplementedPeerServer }

func (largeHeadPeer) Exchange(ctx context.Context, _ *peer.State) (*peer.State, error) {
	return &peer.State{}, grpc.SetHeader(ctx, largeMetadata)
}

// TestHeadOfPeerResponseIsLimited guards against the response of another entry whose head takes 16 MB, the default limit
// of gRPC.
func TestHeadOfPeerResponseIsLimited(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	s := grpc.NewServer()
	peer.RegisterPeerServer(s, largeHeadPeer{})
	go func() { _ = s.Serve(l) }() // ends when the server stops
	defer s.Stop()
	conns := newPeerConns(metric.NewSet())
	defer conns.retain(nil)
	client, err := conns.client(l.Addr().String())
	assert.NilError(t, err)
	_, err = client.Exchange(t.Context(), &peer.State{})
	assert.Assert(t, err != nil)
}

// TestHeadOfPeerRequestIsLimited guards against the request of another entry whose head takes 16 MB, the default limit of
// gRPC.
func TestHeadOfPeerRequestIsLimited(t *testing.T) {
	var ports fleet.Ports
	ps, err := ports.Allocate(3)
	assert.NilError(t, err)
	settings := validSettings()
	settings.Front, settings.Peer, settings.Admin = ps[0].String(), ps[1].String(), ps[2].String()
	e, err := Start(settings, io.Discard)
	assert.NilError(t, err)
	defer e.Kill()
	conns := newPeerConns(metric.NewSet())
	defer conns.retain(nil)
	client, err := conns.client(settings.Peer)
	assert.NilError(t, err)
	_, err = client.Exchange(t.Context(), &peer.State{})
	assert.NilError(t, err)
	_, err = client.Exchange(metadata.NewOutgoingContext(t.Context(), largeMetadata), &peer.State{})
	assert.Assert(t, err != nil)
}
