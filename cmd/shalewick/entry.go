// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"os"

	"github.com/spf13/cobra"

	"shalewick/process/entry"
)

func entryCommand() *cobra.Command {
	var s entry.Settings
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Run an instance",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			e, err := entry.Start(s, os.Stderr)
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
	f.StringVar(&s.Hall, "hall", "", "name of the hall that this instance stands in")
	f.StringVar(&s.Front, "front", "127.0.0.1:8000", "address for callers, IP number and port")
	f.StringVar(&s.Peer, "peer", "127.0.0.1:8001", "address for other instances, IP number and port")
	f.StringVar(&s.Admin, "admin", "127.0.0.1:8002", "address for operators, IP number and port")
	f.StringVar(&s.Platform, "platform", "http://127.0.0.1:7000", "URL of the platform")
	f.StringSliceVar(&s.Peers, "peers", nil, "peer addresses of some other instances, for a start without the platform")
	f.DurationVar(&s.Grace, "grace", entry.DefaultGrace, "how long a stopping instance goes on serving")
	f.StringVar(&s.WorkspaceTokens, "workspace-tokens", "", "file of the workspaces' tokens; without it the instance serves loopback only")
	f.StringVar(&s.Cert, "cert", "", "PEM file of this instance's certificate, which names its IP numbers")
	f.StringVar(&s.Key, "key", "", "PEM file of the certificate's key")
	f.StringVar(&s.Authority, "authority", "", "PEM file of the authority that signed all instances' certificates")
	f.StringVar(&s.LogLevel, "log-level", "info", "least level of log lines: debug, info, warn, error")
	return cmd
}
