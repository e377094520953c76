// SPDX-License-Identifier: MIT

// Command shalewick runs an instance of the traffic steering system, and provides the
// operators' commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"shalewick/process/logging"
	"shalewick/process/setting"
	"shalewick/process/startup"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := newRootCommand().ExecuteContext(ctx); err != nil {
		logging.WriteLast(os.Stderr, "error: "+err.Error())
		stop()
		os.Exit(startup.ExitCode(err))
	}
}

func newRootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "shalewick",
		Short:         "Global traffic steering: chooses a region and a backend server for each request",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			return setting.FromEnvironment(cmd.Flags())
		},
	}
	cmd.AddCommand(entryCommand(), standinCommand(), loadCommand(), demoCommand(), explainCommand(), reportCommand(), checkCommand())
	cmd.AddCommand(operatorCommands()...)
	for _, sub := range cmd.Commands() {
		setting.Describe(sub.Flags())
		for _, subsub := range sub.Commands() {
			setting.Describe(subsub.Flags())
		}
	}
	return cmd
}
