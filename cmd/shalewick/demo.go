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

// logDirMode is the mode of the directory of the instances' logs.
const logDirMode = 0o755

func demoCommand() *cobra.Command {
	o := rollout.Options{}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Demonstrate the whole system in this process, with stand-ins",
		Example: `  shalewick demo
  shalewick demo --rollout late --onset 4s --fails 0.4 --rate 400 --duration 12s --fault owner-killed --seed 7`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.Kind != "" {
				return demoRollout(cmd, o)
			}
			if cmd.Flags().NFlag() > 0 {
				return errors.New("--rollout: must be set, since the other flags apply to rollouts only")
			}
			return demo.Run(cmd.Context(), cmd.OutOrStdout())
		},
	}
	f := cmd.Flags()
	f.StringVar((*string)(&o.Kind), "rollout", "", "demonstrate a rollout instead, to a version that is: good, fails, slow, late, loaded, route")
	f.StringVar((*string)(&o.Fault), "fault", string(rollout.NoFault), "fault injected during the rollout: none, owner-killed, store-away, store-slow, cut, all-killed, late-servers, replaced")
	f.DurationVar(&o.Onset, "onset", 4*time.Second, "time from the order until a late version starts to fail")
	f.Float64Var(&o.FailureRate, "fails", 0.4, "fraction of a bad version's responses that fail")
	f.Float64Var(&o.Slowdown, "slower", 4, "factor by which a slow version is slower")
	f.Float64Var(&o.Rate, "rate", 400, "requests per second")
	f.DurationVar(&o.Duration, "duration", 12*time.Second, "time limit of the order")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the requests, the failures and the time of the fault")
	f.StringVar(&o.LogDir, "logs", "", "directory for the logs of the instances; they are discarded if it is not set")
	return cmd
}

func demoRollout(cmd *cobra.Command, o rollout.Options) error {
	if err := o.Check(); err != nil {
		return err
	}
	if o.LogDir != "" {
		if err := os.MkdirAll(o.LogDir, logDirMode); err != nil {
			return errors.Annotate(err, "--logs")
		}
	}
	return rollout.Run(cmd.Context(), o, cmd.OutOrStdout())
}
