// SPDX-License-Identifier: MIT

package main

import (
	"github.com/spf13/cobra"

	"shalewick/demo"
)

func demoCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "demo",
		Short: "Show the whole system at work in this process, on stand-ins",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return demo.Run(cmd.Context(), cmd.OutOrStdout())
		},
	}
}
