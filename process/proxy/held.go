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
	"shalewick/process/held"
	"shalewick/request"
)

// memoryRetry is when a caller should come back for whose request there was no memory, at least;
// it is twice that at most. Stalled readers are cut off within it.
const memoryRetryAfter = 500 * time.Millisecond

// admit takes the memory that the request needs at least.
func (p *Proxy) admit(c *call, cancel context.CancelFunc) *request.Result {
	lease, ok := p.Memory.Admit(c.memoryOwner(), func(k held.Kind) { p.cutOff(c, k, cancel) })
	if !ok {
		return notRun(request.MemoryFull, memoryRetryAfter+rand.N(memoryRetryAfter))
	}
	c.lease = lease
	return nil
}

// owner returns whose memory the request takes: that of its workspace, else of its caller's
// address.
func (c *call) memoryOwner() string {
	if c.workspace != nil {
		return "workspace " + c.workspace.Name
	}
	host, _, err := net.SplitHostPort(c.r.RemoteAddr)
	if err != nil {
		return c.r.RemoteAddr // of another form, as in tests
	}
	return host
}

// cutOff ends a request that waits too long for the side that a kind names.
func (p *Proxy) cutOff(c *call, k held.Kind, cancel context.CancelFunc) {
	p.recordCutOff(c, k)
	switch k {
	case held.Requests:
		c.abortBodyRead()
	case held.Bodies:
		cancel()
	case held.Responses:
		c.isCutOff.Store(true)
		_ = http.NewResponseController(c.w).SetWriteDeadline(aLongTimeAgo) // an error means that the caller is gone
	}
}

// noteCutOff counts and logs that a request was cut off.
func (p *Proxy) recordCutOff(c *call, k held.Kind) {
	p.Metrics.CutOff(k.String())
	p.Log.Info().Str("id", c.id).Str("service", c.service).Str("workspace", c.workspaceName()).Str("waitedFor", k.String()).
		Dur("took", time.Since(c.startedAt)).Msg("cut-off")
}

// waitedFor reads from a caller that is waited for.
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

// errCutOff is the error of an answer whose caller was cut off.
const errCutOff = errors.ConstError("the caller does not read")

// write passes a part of an answer on. A caller that takes no chunk within held.StalledMost is
// cut off, so that its connection holds up neither memory nor a planned stop. The request's
// deadline does not count here: late answers are delivered.
func (c *call) writeBuffered(text []byte) error {
	for {
		chunk := text[:min(len(text), held.ChunkSize)]
		text = text[len(chunk):]
		if err := c.writeChunk(chunk); err != nil || len(text) == 0 {
			return err
		}
	}
}

func (c *call) writeChunk(chunk []byte) error {
	c.lease.Wait(held.Responses)
	defer c.lease.StopWaiting()
	// An error means that the caller is gone, which the write tells as well.
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(held.MaxStall))
	if c.isCutOff.Load() { // possibly before the deadline was set
		return errCutOff
	}
	_, err := c.w.Write(chunk)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errCutOff
	}
	return err
}

// chunks are buffers of answers that are passed on as they come.
var chunkPool = sync.Pool{New: func() any { return new([held.ChunkSize]byte) }}

// passOn passes the rest of an answer on as it comes.
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
