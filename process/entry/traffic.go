// SPDX-License-Identifier: MIT

package entry

import (
	"context"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc/stats"
)

// traffic is a stats.Handler that counts the bytes of the messages between
// instances as sent, without HTTP/2 framing.
type traffic struct {
	in  metrics.Counter
	out metrics.Counter
}

// TagRPC implements stats.Handler.
func (t *traffic) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (t *traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (t *traffic) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC counts received and sent bytes.
func (t *traffic) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch s := s.(type) {
	case *stats.InPayload:
		t.in.Inc(int64(s.WireLength))
	case *stats.OutPayload:
		t.out.Inc(int64(s.WireLength))
	case *stats.InHeader:
		t.in.Inc(int64(s.WireLength))
	}
}
