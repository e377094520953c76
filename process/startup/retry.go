// SPDX-License-Identifier: MIT

package startup

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/pflag"

	"shalewick/clock"
)

// DefaultTimeout is the default of Retrier.Timeout. A planned stop of the predecessor takes less.
const DefaultTimeout = 10 * time.Second

const (
	retryInterval = 100 * time.Millisecond // between two attempts
	logInterval   = time.Second            // between two log lines of one wait
)

// timeoutFlag is the name of the flag of Retrier.Timeout.
const timeoutFlag = "start-timeout"

// AddTimeoutFlag adds the flag of Retrier.Timeout to a command.
func AddTimeoutFlag(f *pflag.FlagSet, timeout *time.Duration) {
	f.DurationVar(timeout, timeoutFlag, DefaultTimeout,
		"how long a start waits for what is not there yet, such as an address that another process still uses; 0: not at all")
}

// CheckTimeout checks the value of the flag.
func CheckTimeout(timeout time.Duration) error {
	if timeout < 0 {
		return errors.Errorf("--%s: %s must not be negative", timeoutFlag, timeout)
	}
	return nil
}

// Retrier says how long, and with which log, a step of a start is repeated whose failure may be temporary.
type Retrier struct {
	Timeout time.Duration // how long it is repeated; zero: it is attempted once
	Log     zerolog.Logger
}

// Retry calls f until it succeeds or returns an error that is not temporary, for at most r.Timeout, and returns its last result. Each
// second it logs what it waits for. If the context ends, its error is returned at once, also while f runs: a file system may not respond.
func Retry[T any](ctx context.Context, r Retrier, step string, temporary func(error) bool, f func() (T, error)) (T, error) {
	start, logged := time.Now(), time.Time{}
	for attempts := 1; ; attempts++ {
		v, err := attempt(ctx, f)
		waited := time.Since(start)
		if ctx.Err() != nil {
			r.Log.Info().Str("step", step).Dur("waited", waited).Msg("start-canceled")
			return v, ctx.Err()
		}
		if err == nil {
			if attempts > 1 {
				r.Log.Info().Str("step", step).Dur("waited", waited).Int("attempts", attempts).Msg("start-continued")
			}
			return v, nil
		}
		if !temporary(err) {
			return v, err
		}
		if waited >= r.Timeout {
			return v, errors.Annotatef(err, "start not completed within %s (--%s)", r.Timeout, timeoutFlag)
		}
		if time.Since(logged) >= logInterval {
			logged = time.Now()
			r.Log.Warn().Err(err).Str("step", step).Dur("waited", waited).Dur("timeout", r.Timeout).Msg("start-waiting")
		}
		clock.Sleep(ctx, min(retryInterval, r.Timeout-waited))
	}
}

// attempt calls f, and returns without its result if the context ends first.
func attempt[T any](ctx context.Context, f func() (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	go func() {
		v, err := f()
		done <- result{v, err}
	}()
	select {
	case r := <-done:
		return r.value, r.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}
