// SPDX-License-Identifier: MIT

// Command shalewick-edge runs an instance on the users' platform. It reads the
// platform's settings file and passes it on to the library.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"shalewick/conn"
	"shalewick/platform"
	"shalewick/process/edge"
	"shalewick/process/logging"
	"shalewick/process/setting"
)

// Times of connections to the store.
const (
	storeDialTimeout = time.Second
	storeAckTimeout  = time.Second
)

// lookPause is the time between two looks at whether the settings file changed.
const settingsPollInterval = 2 * time.Second

func main() {
	// First of all, since a SIGHUP that is not asked for ends the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if err := newCommand(signals).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

func newCommand(signals <-chan os.Signal) *cobra.Command {
	var path, level string
	var collect int
	var check bool
	cmd := &cobra.Command{
		Use:           "shalewick-edge",
		Short:         "Run an instance of shalewick on the users' platform",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		PreRunE: func(cmd *cobra.Command, _ []string) error {
			return setting.FromEnvironment(cmd.Flags())
		},
		RunE: func(cmd *cobra.Command, _ []string) error {
			if check {
				return checkSettings(cmd, path, level)
			}
			debug.SetGCPercent(collect)
			return run(path, level, signals)
		},
	}
	f := cmd.Flags()
	f.StringVar(&path, "boot", platform.DefaultSettings, "path of the platform's settings file")
	f.StringVar(&level, "log-level", "info", "least level of log lines: debug, info, warn, error")
	f.BoolVar(&check, "check", false, "check the settings, print what they say, and end")
	f.IntVar(&collect, "collect", 50, "growth of the heap in percent after which garbage is collected")
	setting.Describe(f)
	return cmd
}

// checkSettings prints the product's settings that the file stands for, or
// returns an error that names the field that is wrong.
func checkSettings(cmd *cobra.Command, path, level string) error {
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	settings := s.Edge()
	settings.LogLevel = level
	if err := settings.Check(); err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%+v\n", settings)
	return nil
}

func run(path, level string, signals <-chan os.Signal) error {
	live, err := platform.ReadLive(path)
	if err != nil {
		return err
	}
	out := logging.NewAsyncWriter(os.Stdout)
	defer out.Close()
	settings := live.Settings().Edge()
	settings.LogLevel = level
	if settings.Memory > 0 {
		debug.SetMemoryLimit(settings.Memory / 2)
	}
	e, err := edge.Start(settings, live.Deployment(conn.NewDialer(storeDialTimeout, storeAckTimeout).DialContext), out)
	if err != nil {
		return err
	}
	waitForStop(live, e, signals)
	e.Stop()
	return nil
}

// awaitEnd waits for the signal to end, and takes up changed settings
// meanwhile, which may come with a signal or without.
func waitForStop(live *platform.Live, e *edge.Edge, signals <-chan os.Signal) {
	look := time.NewTicker(settingsPollInterval)
	defer look.Stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
			e.Reloaded(live.Reload())
		case <-look.C:
			if live.Changed() {
				e.Reloaded(live.Reload())
			}
		}
	}
}
