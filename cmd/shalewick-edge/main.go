// SPDX-License-Identifier: MIT

// Command shalewick-edge runs an instance on the users' platform, configured by
// the platform's settings file.
package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"shalewick/conn"
	"shalewick/platform"
	"shalewick/process/edge"
	"shalewick/process/logging"
	"shalewick/process/setting"
)

// Timeouts of connections to the store.
const (
	storeDialTimeout = time.Second
	storeAckTimeout  = time.Second
)

// settingsPollInterval is the time between two checks whether the settings file
// has changed.
const settingsPollInterval = 2 * time.Second

func main() {
	// Before anything else, since a SIGHUP that is not caught ends the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if err := newCommand(signals).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

func newCommand(signals <-chan os.Signal) *cobra.Command {
	var path, level, source string
	var gcPercent int
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
				return checkSettings(cmd, path, level, source)
			}
			debug.SetGCPercent(gcPercent)
			return run(path, level, source, signals)
		},
	}
	f := cmd.Flags()
	f.StringVar(&path, "boot", platform.DefaultSettingsPath, "path of the platform's settings file")
	f.StringVar(&level, "log-level", "info", "minimum level of log lines: debug, info, warn, error")
	f.StringVar(&source, "source", "", "IP address that connections to backend servers come from; empty: chosen by the system")
	f.BoolVar(&check, "check", false, "check the settings, print them, and exit")
	f.IntVar(&gcPercent, "collect", 50, "growth of the heap, in percent, that triggers a garbage collection")
	setting.Describe(f)
	return cmd
}

// checkSettings prints the instance's settings that result from the file, or
// returns an error that names the invalid field.
func checkSettings(cmd *cobra.Command, path, level, source string) error {
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	settings := s.Edge()
	settings.LogLevel = level
	if err := setSource(&settings, source); err != nil {
		return err
	}
	if err := settings.Check(); err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%+v\n", settings)
	return nil
}

// setSource sets the source address of connections to backend servers.
func setSource(s *edge.Settings, source string) (err error) {
	if source != "" {
		s.Source, err = netip.ParseAddr(source)
	}
	return errors.Annotate(err, "--source")
}

func run(path, level, source string, signals <-chan os.Signal) error {
	live, err := platform.LoadSettingsFile(path)
	if err != nil {
		return err
	}
	logging.IgnoreBrokenPipes()
	out := logging.NewAsyncWriter(os.Stdout)
	defer out.Close()
	logging.RedirectStandardLog(out)
	settings := live.Settings().Edge()
	settings.LogLevel = level
	if err := setSource(&settings, source); err != nil {
		return err
	}
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

// waitForStop returns on SIGTERM or SIGINT. Until then it reloads the settings on
// SIGHUP and whenever the file has changed.
func waitForStop(live *platform.SettingsFile, e *edge.Edge, signals <-chan os.Signal) {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
			e.SettingsReloaded(live.Reload())
		case <-poll.C:
			if live.Modified() {
				e.SettingsReloaded(live.Reload())
			}
		}
	}
}
