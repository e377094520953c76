// SPDX-License-Identifier: MIT

// Command shalewick-edge runs an instance on the users' platform, configured by
// the platform's settings file.
package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"shalewick/conn"
	"shalewick/platform"
	"shalewick/process/edge"
	"shalewick/process/logging"
	"shalewick/process/setting"
	"shalewick/process/startup"
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
	received := catchSignals()
	logging.IgnoreBrokenPipes()
	if err := newCommand(received).ExecuteContext(received.running); err != nil {
		logging.WriteLast(os.Stderr, "error: "+err.Error())
		os.Exit(startup.ExitCode(err))
	}
}

func newCommand(received signals) *cobra.Command {
	var path, level, source string
	var startTimeout time.Duration
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
			return run(cmd.Context(), path, level, source, startTimeout, received)
		},
	}
	f := cmd.Flags()
	f.StringVar(&path, "boot", platform.DefaultSettingsPath, "path of the platform's settings file")
	f.StringVar(&level, "log-level", "info", "minimum level of log lines: debug, info, warn, error")
	f.StringVar(&source, "source", "", "IP address that connections to backend servers come from; empty: chosen by the system")
	f.BoolVar(&check, "check", false, "check the settings, print them, and exit")
	f.IntVar(&gcPercent, "collect", 50, "growth of the heap, in percent, that triggers a garbage collection")
	startup.AddTimeoutFlag(f, &startTimeout)
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

func run(ctx context.Context, path, level, source string, startTimeout time.Duration, received signals) error {
	out := logging.NewAsyncWriter(os.Stdout)
	defer out.Close()
	logging.RedirectStandardLog(out)
	live, err := loadSettings(ctx, path, startTimeout, out)
	if errors.Is(err, context.Canceled) {
		return nil // there is nothing to stop yet
	}
	if err != nil {
		return err
	}
	settings := live.Settings().Edge()
	settings.LogLevel, settings.StartTimeout = level, startTimeout
	if err := setSource(&settings, source); err != nil {
		return err
	}
	if settings.Memory > 0 {
		debug.SetMemoryLimit(settings.Memory / 2)
	}
	e, err := edge.StartContext(ctx, settings, live.Deployment(conn.NewDialer(storeDialTimeout, storeAckTimeout).DialContext), out)
	if errors.Is(err, context.Canceled) {
		return nil // there is nothing to stop yet
	}
	if err != nil {
		return err
	}
	reloads, cancel := context.WithCancel(context.Background())
	go reloadSettings(reloads, live, e, received.reload)
	signalledAt := <-received.stop
	cancel()
	e.Stop(signalledAt)
	return nil
}

// loadSettings reads the settings file. If that can't be read, or is not complete, it is read again for at most timeout: the platform may
// be writing it.
func loadSettings(ctx context.Context, path string, timeout time.Duration, logTo io.Writer) (*platform.SettingsFile, error) {
	retrier := startup.Retrier{Timeout: timeout, Log: logging.New(logTo)}
	return startup.Retry(ctx, retrier, "settings", platform.IsIncomplete, func() (*platform.SettingsFile, error) {
		return platform.LoadSettingsFile(path)
	})
}

// reloadSettings reloads the settings on SIGHUP and whenever the file has changed, until the context ends. Reading the
// file may take any time.
func reloadSettings(ctx context.Context, live *platform.SettingsFile, e *edge.Edge, reload <-chan os.Signal) {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-reload:
			e.SettingsReloaded(live.Reload())
		case <-poll.C:
			if live.Modified() {
				e.SettingsReloaded(live.Reload())
			}
		case <-ctx.Done():
			return
		}
	}
}
