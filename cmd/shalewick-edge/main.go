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
	storeDial    = time.Second
	storeSilence = time.Second
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var path, level string
	var collect int
	cmd := &cobra.Command{
		Use:           "shalewick-edge",
		Short:         "Run an instance of shalewick on the users' platform",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		PreRunE: func(cmd *cobra.Command, _ []string) error {
			return setting.FromEnvironment(cmd.Flags())
		},
		RunE: func(*cobra.Command, []string) error {
			debug.SetGCPercent(collect)
			return run(path, level)
		},
	}
	f := cmd.Flags()
	f.StringVar(&path, "boot", platform.DefaultSettings, "path of the platform's settings file")
	f.StringVar(&level, "log-level", "info", "least level of log lines: debug, info, warn, error")
	f.IntVar(&collect, "collect", 50, "growth of the heap in percent after which garbage is collected")
	setting.Describe(f)
	return cmd
}

func run(path, level string) error {
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	out := logging.NewAsync(os.Stdout)
	defer out.Close()
	settings := s.Edge()
	settings.LogLevel = level
	e, err := edge.Start(settings, s.Deployment(conn.NewDialer(storeDial, storeSilence).DialContext), out)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
	}
	e.Stop()
	return nil
}
