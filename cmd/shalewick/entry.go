// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"io"
	"log"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"google.golang.org/grpc/grpclog"

	"shalewick/process/entry"
	"shalewick/process/logging"
	"shalewick/process/startup"
)

func entryCommand() *cobra.Command {
	var s entry.Settings
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Run an instance",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			signal.Ignore(syscall.SIGHUP) // files are read again after a change without it
			logging.IgnoreBrokenPipes()
			out := logging.NewAsyncWriter(os.Stderr)
			defer out.Close()
			logging.RedirectStandardLog(out)
			grpclog.SetLoggerV2(grpclog.NewLoggerV2(io.Discard, io.Discard, log.Writer()))
			e, err := entry.StartContext(cmd.Context(), s, out)
			if errors.Is(err, context.Canceled) {
				return nil // there is nothing to stop yet
			}
			if err != nil {
				return err
			}
			<-cmd.Context().Done()
			e.Stop(context.Background())
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&s.Instance, "instance", "", "name of this instance in the platform's list")
	f.StringVar(&s.Hall, "hall", "", "name of the hall in which this instance is")
	f.StringVar(&s.Front, "front", "127.0.0.1:8000", "address for callers, IP address and port")
	f.StringVar(&s.Peer, "peer", "127.0.0.1:8001", "address for other instances, IP address and port")
	f.StringVar(&s.Admin, "admin", "127.0.0.1:8002", "address for operators, IP address and port")
	f.StringVar(&s.Platform, "platform", "http://127.0.0.1:7000", "URL of the platform")
	f.StringSliceVar(&s.Peers, "peers", nil, "peer addresses of some other instances, used to start while the platform is down")
	f.DurationVar(&s.Grace, "grace", entry.DefaultGrace, "how long a stopping instance continues to serve requests")
	f.StringVar(&s.WorkspaceTokens, "workspace-tokens", "", "file with the workspaces' tokens; without it the instance serves loopback only")
	f.StringVar(&s.Cert, "cert", "", "PEM file of this instance's certificate, which must contain its IP addresses")
	f.StringVar(&s.Key, "key", "", "PEM file of the certificate's key")
	f.StringVar(&s.Authority, "authority", "", "PEM file of the certificate authority of all instances")
	f.StringVar(&s.LogLevel, "log-level", "info", "minimum level of log lines: debug, info, warn, error")
	startup.AddTimeoutFlag(f, &s.StartTimeout)
	return cmd
}
