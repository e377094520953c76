// SPDX-License-Identifier: MIT

package edge

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/process/drain"
	"shalewick/process/proxy"
)

// TestStopAwaitsListener guards against a stop that ends while connections wait to be accepted, which resets them.
func TestStopAwaitsListener(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	queue := drain.NewQueue(l.(*net.TCPListener))
	e := &Edge{proxy: new(proxy.Proxy), frontListener: &limitedListener{Queue: queue}}
	const acceptsAfter = 3 * minIdleTime
	time.AfterFunc(acceptsAfter, func() { _ = queue.Close() })
	start := time.Now()
	e.awaitIdle(start.Add(time.Minute))
	took := time.Since(start)
	assert.Assert(t, took >= acceptsAfter && took < time.Minute, "%s", took)
}
