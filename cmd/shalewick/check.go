// SPDX-License-Identifier: MIT

package main

import (
	"fmt"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"shalewick/version"
)

// checkCommand validates documents by the rules of the resource API, as the first
// change to an empty configuration. It works offline.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Validate a whole configuration in a file, - for standard input, without applying it",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			docs, err := readFile(cmd, args[0])
			if err != nil {
				return err
			}
			resources, err := version.Parse(docs)
			if err != nil {
				return errors.Annotate(err, args[0])
			}
			if _, _, err := (&version.Config{}).Propose(version.Change{Operation: "check", Puts: resources}); err != nil {
				return errors.Annotate(err, args[0])
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d resources, all rules kept\n", len(resources))
			return nil
		},
	}
}
