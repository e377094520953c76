// SPDX-License-Identifier: MIT

package crash

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/request"
)

var errRefused = &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}

// told collects crashes.
type crashLog struct {
	mu   sync.Mutex
	list []Crash
}

func (t *crashLog) add(c Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list = append(t.list, c)
}

func (t *crashLog) suspects() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.list {
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
	t := &crashLog{}
	return &Detector{Now: func() time.Duration { return time.Duration(now.Load()) }, OnCrash: t.add}, t, &now
}

// TestRequestsThatAreLostTogetherAreOneCrash checks that what was in flight at a process
// that ended is told, with one connection opened for all of it, and late ones as well.
func TestLostRequestsAreOneCrash(t *testing.T) {
	w, got, _ := newDetector()
	var opened atomic.Int64
	open := func() error { opened.Add(1); return errRefused }
	for i := range 3 {
		w.RecordLoss(lossAt("u", i, open))
	}
	time.Sleep(4 * gatherDelay)
	assert.Equal(t, got.suspects(), 3)
	w.RecordLoss(lossAt("u", 3, open))
	assert.Equal(t, got.suspects(), 4)
	assert.Equal(t, opened.Load(), int64(1))
}

// TestBackendThatLivesHasNotCrashed checks that neither one that takes connections nor one
// that is silent counts.
func TestLiveBackendHasNotCrashed(t *testing.T) {
	for _, err := range []error{nil, os.ErrDeadlineExceeded, syscall.EHOSTUNREACH} {
		w, got, _ := newDetector()
		w.RecordLoss(lossAt("u", 1, func() error { return err }))
		time.Sleep(4 * gatherDelay)
		assert.Equal(t, got.suspects(), 0, "%v", err)
		w.RecordLoss(lossAt("u", 1, refuse)) // it is asked anew
		time.Sleep(4 * gatherDelay)
		assert.Equal(t, got.suspects(), 1)
	}
}

// TestBackendThatIsBackCanCrashAgain checks that a second end under the same name is a
// crash of its own.
func TestRestartedBackendCanCrashAgain(t *testing.T) {
	w, got, now := newDetector()
	for range 2 {
		w.RecordLoss(lossAt("u", 1, refuse))
		time.Sleep(4 * gatherDelay)
		now.Add(int64(crashWindow))
	}
	assert.Equal(t, got.suspects(), 2)
}

// TestWatchIsBounded checks that many losses at many backend servers keep little.
func TestDetectorIsBounded(t *testing.T) {
	w, got, _ := newDetector()
	for b := range 3 * maxCandidates {
		for i := range 2 * MaxSuspects {
			w.RecordLoss(lossAt(fmt.Sprint("u", b), i, refuse))
		}
	}
	time.Sleep(8 * gatherDelay)
	assert.Assert(t, got.suspects() <= maxCandidates*MaxSuspects, "%d", got.suspects())
	assert.Assert(t, len(w.candidates) <= maxCandidates)
}
