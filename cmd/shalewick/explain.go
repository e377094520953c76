// SPDX-License-Identifier: MIT

package main

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"shalewick/explain"
)

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Print from the logs of instances what happened to a request, and why",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var logs []explain.Log
			for _, path := range args[1:] {
				logs = append(logs, explain.Log{Name: path, Open: func() (io.ReadCloser, error) { return os.Open(path) }})
			}
			trace, err := explain.Find(args[0], logs)
			if err != nil {
				return err
			}
			return trace.Write(cmd.OutOrStdout())
		},
	}
}
