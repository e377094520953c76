// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"shalewick/conn"
	"shalewick/process/drain"
	"shalewick/process/held"
	"shalewick/request"
)

// memoryRetryAfter is the minimum Retry-After time of a request that was refused for lack of memory;
// the maximum is twice that. Stalled readers are cut off within it.
const memoryRetryAfter = 500 * time.Millisecond

// admit reserves the minimum memory that a request needs.
func (p *Proxy) admit(c *call, cancel context.CancelFunc) *request.Result {
	lease, ok := p.Memory.Admit(c.memoryOwner(), func(kind held.Kind) { p.cutOff(c, kind, cancel) })
	if !ok {
		return notRun(request.MemoryFull, memoryRetryAfter+rand.N(memoryRetryAfter))
	}
	if n := excessHeadMemory(c.r); n > 0 && !lease.Grow(held.Requests, n) {
		lease.End()
		return notRun(request.MemoryFull, memoryRetryAfter+rand.N(memoryRetryAfter))
	}
	c.lease = lease
	return nil
}

const (
	// includedHeadMemory is the memory of a head, in bytes, that held.RequestOverhead includes.
	includedHeadMemory = 16 << 10
	// headerCopies is the number of header maps of a request: that of the caller, and that for the backend server, which
	// shares its strings.
	headerCopies = 2
)

// excessHeadMemory returns by how many bytes the memory of a head exceeds includedHeadMemory.
func excessHeadMemory(r *http.Request) int64 {
	lines := 0
	for _, values := range r.Header {
		lines += len(values)
	}
	return max(0, headerSize(r)+headerCopies*drain.HeaderLineOverhead*int64(lines)-includedHeadMemory)
}

// memoryOwner returns the owner that the request's memory is charged to: its workspace, or else its
// caller's address.
func (c *call) memoryOwner() string {
	if c.workspace != nil {
		return "workspace " + c.workspace.Name
	}
	host, _, err := net.SplitHostPort(c.r.RemoteAddr)
	if err != nil {
		return c.r.RemoteAddr // has no port, as in tests
	}
	return host
}

// cutOff ends a request that has waited too long for the peer that the kind denotes.
func (p *Proxy) cutOff(c *call, kind held.Kind, cancel context.CancelFunc) {
	p.recordCutOff(c, kind)
	switch kind {
	case held.Requests:
		c.abortBodyRead()
	case held.Bodies:
		cancel()
	case held.Responses:
		c.isCutOff.Store(true)
		_ = http.NewResponseController(c.w).SetWriteDeadline(aLongTimeAgo) // an error means that the caller has disconnected
	}
}

// recordCutOff counts and logs that a request was cut off.
func (p *Proxy) recordCutOff(c *call, kind held.Kind) {
	p.Metrics.CutOff(kind.String())
	p.Log.Info().Str("id", c.id).Str("service", c.service).Str("workspace", c.workspaceName()).Str("waitedFor", kind.String()).
		Dur("took", time.Since(c.startedAt)).Msg("cut-off")
}

// callerBody reads a request body and records in the lease when it waits for the caller.
type callerBody struct {
	io.Reader
	lease *held.Lease
}

func (w callerBody) Read(p []byte) (int, error) {
	w.lease.Wait(held.Requests)
	n, err := w.Reader.Read(p)
	w.lease.StopWaiting()
	return n, err
}

// errCutOff is returned for a response whose caller was cut off.
const errCutOff = errors.ConstError("the caller does not read")

// writeBuffered writes buffered data to the caller. A caller that accepts no chunk within
// held.MaxStall is cut off, so that its connection blocks neither memory nor a planned stop. The
// request's deadline does not apply here: late responses are delivered.
func (c *call) writeBuffered(data []byte) error {
	for {
		chunk := data[:min(len(data), held.ChunkSize)]
		data = data[len(chunk):]
		if err := c.writeChunk(chunk); err != nil || len(data) == 0 {
			return err
		}
	}
}

func (c *call) writeChunk(chunk []byte) error {
	c.lease.Wait(held.Responses)
	defer c.lease.StopWaiting()
	// An error means that the caller has disconnected, which Write reports as well.
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(held.MaxStall))
	if c.isCutOff.Load() { // the deadline just set may have replaced that of the cut-off
		return errCutOff
	}
	_, err := c.w.Write(chunk)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errCutOff
	}
	return err
}

// chunkPool holds the buffers of responses that are streamed.
var chunkPool = sync.Pool{New: func() any { return new([held.ChunkSize]byte) }}

// streamRest copies the remainder of a response to the caller as it is received.
func (c *call) streamRest(ex *conn.Exchange) error {
	chunk := chunkPool.Get().(*[held.ChunkSize]byte)
	defer chunkPool.Put(chunk)
	for {
		if err := ex.DetachUntil(time.Now().Add(held.MaxStall)); err != nil {
			return err
		}
		n, err := ex.Response.Body.Read(chunk[:])
		if n > 0 {
			if err := c.writeChunk(chunk[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
