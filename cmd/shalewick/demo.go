// SPDX-License-Identifier: MIT

package main

import (
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"shalewick/demo"
	rollout "shalewick/platform/demo"
)

// logFolder is who may read the folder of the instances' logs.
const logDirMode = 0o755

func demoCommand() *cobra.Command {
	o := rollout.Options{}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Show the whole system at work in this process, on stand-ins",
		Example: `  shalewick demo
  shalewick demo --rollout late --onset 4s --fails 0.4 --rate 400 --duration 12s --fault owner-killed --seed 7`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.Kind != "" {
				return demoRollout(cmd, o)
			}
			if cmd.Flags().NFlag() > 0 {
				return errors.New("--rollout: must be set, as the other flags are about a roll-out")
			}
			return demo.Run(cmd.Context(), cmd.OutOrStdout())
		},
	}
	f := cmd.Flags()
	f.StringVar((*string)(&o.Kind), "rollout", "", "show a roll-out instead, to a version that is: good, fails, slow, late, loaded, route")
	f.StringVar((*string)(&o.Fault), "fault", string(rollout.NoFault), "what fails meanwhile: none, owner-killed, store-away, store-slow, cut, all-killed, late-servers, replaced")
	f.DurationVar(&o.Onset, "onset", 4*time.Second, "time from the order until a late version turns bad")
	f.Float64Var(&o.Fails, "fails", 0.4, "share of a bad version's answers that fail")
	f.Float64Var(&o.Slower, "slower", 4, "how many times as long a slow version takes")
	f.Float64Var(&o.Rate, "rate", 400, "requests a second")
	f.DurationVar(&o.Within, "duration", 12*time.Second, "time that the order gives")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the requests, the failures and the moment of the fault")
	f.StringVar(&o.Logs, "logs", "", "folder for the logs of the instances; without it they are not kept")
	return cmd
}

func demoRollout(cmd *cobra.Command, o rollout.Options) error {
	if err := o.Check(); err != nil {
		return err
	}
	if o.Logs != "" {
		if err := os.MkdirAll(o.Logs, logDirMode); err != nil {
			return errors.Annotate(err, "--logs")
		}
	}
	return rollout.Run(cmd.Context(), o, cmd.OutOrStdout())
}
