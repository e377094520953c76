// SPDX-License-Identifier: MIT

package crash

import (
	"fmt"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/request"
)

var errRefused = &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}

// crashLog collects the reported crashes.
type crashLog struct {
	mu   sync.Mutex
	list []Crash
}

func (l *crashLog) add(c Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, c)
}

func (l *crashLog) suspects() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.list {
		n += len(c.Suspects)
	}
	return n
}

func lossAt(backend string, n int, open func() error) Loss {
	return Loss{Backend: backend, Service: "s", Suspect: Suspect{Request: request.Fingerprint(n)}, Open: open}
}

func refuse() error { return errRefused }

func newDetector() (*Detector, *crashLog, *atomic.Int64) {
	var now atomic.Int64
	log := &crashLog{}
	return &Detector{Now: func() time.Duration { return time.Duration(now.Load()) }, OnCrash: log.add}, log, &now
}

// TestLostRequestsAreOneCrash checks that the requests in flight at a process that ended are
// reported together, with a single probe, and late ones as well.
func TestLostRequestsAreOneCrash(t *testing.T) {
	d, got, _ := newDetector()
	var opened atomic.Int64
	open := func() error { opened.Add(1); return errRefused }
	for i := range 3 {
		d.RecordLoss(lossAt("u", i, open))
	}
	time.Sleep(4 * gatherDelay)
	assert.Equal(t, got.suspects(), 3)
	d.RecordLoss(lossAt("u", 3, open))
	assert.Equal(t, got.suspects(), 4)
	assert.Equal(t, opened.Load(), int64(1))
}

// TestLiveBackendHasNotCrashed checks that a backend server that accepts connections, does not
// respond or is unreachable does not count as crashed.
func TestLiveBackendHasNotCrashed(t *testing.T) {
	for _, err := range []error{nil, os.ErrDeadlineExceeded, syscall.EHOSTUNREACH} {
		d, got, _ := newDetector()
		d.RecordLoss(lossAt("u", 1, func() error { return err }))
		time.Sleep(4 * gatherDelay)
		assert.Equal(t, got.suspects(), 0, "%v", err)
		d.RecordLoss(lossAt("u", 1, refuse)) // probed again
		time.Sleep(4 * gatherDelay)
		assert.Equal(t, got.suspects(), 1)
	}
}

// TestRestartedBackendCanCrashAgain checks that a second crash under the same name is reported.
func TestRestartedBackendCanCrashAgain(t *testing.T) {
	d, got, now := newDetector()
	for range 2 {
		d.RecordLoss(lossAt("u", 1, refuse))
		time.Sleep(4 * gatherDelay)
		now.Add(int64(crashWindow))
	}
	assert.Equal(t, got.suspects(), 2)
}

// TestDetectorIsBounded checks the limits for many losses at many backend servers.
func TestDetectorIsBounded(t *testing.T) {
	d, got, _ := newDetector()
	for b := range 3 * maxCandidates {
		for i := range 2 * MaxSuspects {
			d.RecordLoss(lossAt(fmt.Sprint("u", b), i, refuse))
		}
	}
	time.Sleep(8 * gatherDelay)
	assert.Assert(t, got.suspects() <= maxCandidates*MaxSuspects, "%d", got.suspects())
	assert.Assert(t, len(d.candidates) <= maxCandidates)
}

// TestPathsOfSuspectsAreCut guards against requests with long paths that fill the memory when they are lost: a suspect is remembered for
// as long as its crash.
func TestPathsOfSuspectsAreCut(t *testing.T) {
	const pathBytes, losses = 64 << 10, 1000
	d, got, _ := newDetector()
	before := heapBytes()
	for i := range losses {
		loss := lossAt(fmt.Sprint("b", i%maxCandidates), i, refuse)
		loss.Suspect.Path = "a.example/" + strings.Repeat("x", pathBytes)
		d.RecordLoss(loss)
	}
	assert.Assert(t, heapBytes()-before < losses*pathBytes/4)
	for end := time.Now().Add(5 * time.Second); got.suspects() < losses && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, got.suspects(), losses)
	for _, c := range got.list {
		for _, s := range c.Suspects {
			assert.Assert(t, len(s.Path) == maxPathBytes && strings.HasPrefix(s.Path, "a.example/xxx"), s.Path)
		}
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
