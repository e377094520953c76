// SPDX-License-Identifier: MIT

package startup

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// TestListenOpensAllOrNone checks that no address is open while one of them is in use, and all are as soon as it is free.
func TestListenOpensAllOrNone(t *testing.T) {
	t.Parallel()
	held, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	free, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, free.Close())
	addresses := []Address{
		{Setting: "peer", Network: "udp4", Address: "127.0.0.1:0"},
		{Setting: "ready", Network: "tcp4", Address: free.Addr().String()},
		{Setting: "front", Network: "tcp4", Address: held.Addr().String()},
	}
	_, err = Retrier{Log: zerolog.Nop()}.Listen(t.Context(), addresses)
	assert.Equal(t, ExitCode(errors.Trace(err)), ExitUnavailable)
	assert.ErrorIs(t, err, syscall.EADDRINUSE)
	_, err = net.Dial("tcp4", free.Addr().String())
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)

	time.AfterFunc(2*retryInterval, func() { _ = held.Close() })
	var log bytes.Buffer
	s, err := Retrier{Timeout: DefaultTimeout, Log: zerolog.New(&log)}.Listen(t.Context(), addresses)
	assert.NilError(t, err)
	defer s.Close()
	assert.Equal(t, len(s.UDP)+len(s.TCP), 3)
	assert.Equal(t, s.TCP["front"].Addr().String(), held.Addr().String())
	assert.Check(t, strings.Contains(log.String(), "start-waiting") && strings.Contains(log.String(), "start-continued"), log.String())
}

// TestRetriesEnd checks when a step is not repeated any more.
func TestRetriesEnd(t *testing.T) {
	t.Parallel()
	temporary := func(err error) bool { return errors.Is(err, os.ErrNotExist) }
	calls := 0
	fail := func(err error) func() (int, error) {
		return func() (int, error) {
			calls++
			return calls, err
		}
	}
	r := Retrier{Timeout: 2 * retryInterval, Log: zerolog.Nop()}
	_, err := Retry(t.Context(), r, "x", temporary, fail(os.ErrInvalid))
	assert.ErrorIs(t, err, os.ErrInvalid)
	assert.Equal(t, calls, 1, "an error that is not temporary")
	start := time.Now()
	_, err = Retry(t.Context(), r, "x", temporary, fail(os.ErrNotExist))
	assert.ErrorIs(t, err, os.ErrNotExist)
	assert.ErrorContains(t, err, "--start-timeout")
	assert.Check(t, time.Since(start) >= r.Timeout && calls >= 3, "%d attempts", calls)
	assert.Equal(t, ExitCode(err), ExitFailure)
	ctx, cancel := context.WithCancel(t.Context())
	r.Timeout = time.Hour
	_, err = Retry(ctx, r, "x", temporary, func() (int, error) {
		cancel()
		select {} // as a read of a file system that does not respond
	})
	assert.ErrorIs(t, err, context.Canceled)
}

// TestWaitIsLoggedEachSecond checks that a long wait shows in the log, and doesn't fill it.
func TestWaitIsLoggedEachSecond(t *testing.T) {
	t.Parallel()
	var log bytes.Buffer
	r := Retrier{Timeout: 2 * logInterval, Log: zerolog.New(&log)}
	start := time.Now()
	_, err := Retry(t.Context(), r, "x", func(error) bool { return true }, func() (int, error) { return 0, os.ErrNotExist })
	assert.ErrorIs(t, err, os.ErrNotExist)
	lines := strings.Count(log.String(), "start-waiting")
	assert.Check(t, lines >= 1 && lines <= 1+int(time.Since(start)/logInterval), "%d lines", lines)
}

func TestSameAddressTwice(t *testing.T) {
	t.Parallel()
	same := func(setting string) Address { return Address{Setting: setting, Network: "tcp", Address: "127.0.0.1:1"} }
	_, err := Retrier{Timeout: time.Hour, Log: zerolog.Nop()}.Listen(t.Context(), []Address{same("front"), same("ready")})
	assert.ErrorContains(t, err, "front and ready")
	assert.Equal(t, ExitCode(err), ExitFailure)
}

func TestExplanations(t *testing.T) {
	t.Parallel()
	for err, want := range map[error]string{
		syscall.EADDRINUSE: "another process", syscall.EADDRNOTAVAIL: "does not have", syscall.ENFILE: "open files",
	} {
		u := &UnavailableError{Address: Address{Setting: "front"}, Err: fmt.Errorf("listen: %w", err)}
		assert.ErrorContains(t, u, want)
		assert.Check(t, isTemporary(u.Err))
	}
	assert.Check(t, !isTemporary(syscall.EACCES))
}
