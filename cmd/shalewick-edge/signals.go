// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// signals are the signals that the process receives.
type signals struct {
	// stop gets the time of the first SIGTERM or SIGINT. Later ones have no effect.
	stop <-chan time.Time
	// running is canceled by the first SIGTERM or SIGINT.
	running context.Context
	// reload gets a value after SIGHUP. Several signals may result in one.
	reload <-chan os.Signal
}

// catchSignals starts to receive signals. SIGTERM has a channel of its own: os/signal drops a signal that finds its channel
// full, as that of SIGHUP is while the settings are read.
func catchSignals() signals {
	stopSignals, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	stop := make(chan time.Time, 1)
	running, cancel := context.WithCancel(context.Background())
	go func() {
		<-stopSignals
		stop <- time.Now()
		cancel()
	}()
	return signals{stop: stop, running: running, reload: reload}
}
