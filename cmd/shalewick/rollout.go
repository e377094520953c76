// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"shalewick/operator"
	"shalewick/process/rollout"
	"shalewick/process/rolloutview"
	"shalewick/version"
)

// rolloutWaitMargin is how long --wait waits beyond the time limit of a rollout, since
// requests in progress at the previous version may finish first.
const rolloutWaitMargin = time.Minute

func rolloutCommand() *cobra.Command {
	var target string
	var within time.Duration
	var wait bool
	cmd := &cobra.Command{
		Use: "rollout SERVICE", Short: "Roll out another software version of a service, or show the status of a rollout", Args: cobra.ExactArgs(1),
		Long: "With --target, orders a rollout: the version first gets a few requests, and then all or none.\n" +
			"Without --target, shows the status of the latest rollout. --wait prints each step until the\n" +
			"rollout has ended, and fails if it was reverted.",
	}
	access := addAdminFlags(cmd)
	cmd.Flags().StringVar(&target, "target", "", "software version to roll out")
	cmd.Flags().DurationVar(&within, "within", 0, "time limit of the rollout")
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until the rollout has ended")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if target == "" && within != 0 || target != "" && within <= 0 {
			return errors.New("--target and --within: must be set together")
		}
		c, err := access.client()
		if err != nil {
			return err
		}
		order := int64(0)
		if target != "" {
			order, err = orderRollout(cmd, c, version.Rollout{Service: args[0], Target: target, Within: version.Duration(within)})
			if err != nil {
				return err
			}
		}
		if wait {
			return followRollout(cmd, c, args[0], order, within)
		}
		if order != 0 {
			return nil
		}
		return showRollout(cmd, c, args[0])
	}
	return cmd
}

func orderRollout(cmd *cobra.Command, c *operator.Client, r version.Rollout) (int64, error) {
	ctx, cancel := context.WithTimeout(cmd.Context(), changeTimeout)
	defer cancel()
	order, err := c.OrderRollout(ctx, r)
	if err != nil {
		return 0, err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "order=%d\n", order)
	return order, err
}

func showRollout(cmd *cobra.Command, c *operator.Client, service string) error {
	s, err := c.Rollout(cmd.Context(), service)
	if err != nil {
		return err
	}
	operator.PrintRollout(cmd.OutOrStdout(), &s)
	return nil
}

// followRollout prints each step of a rollout until it ends. Within limits the wait for a
// rollout that was just ordered; with zero there is no limit.
func followRollout(cmd *cobra.Command, c *operator.Client, service string, order int64, within time.Duration) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), within+rolloutWaitMargin)
	defer cancel()
	if within == 0 {
		ctx = cmd.Context()
	}
	end, err := c.FollowRollout(ctx, service, order, func(s rolloutview.Status) {
		operator.PrintRollout(cmd.OutOrStdout(), &s)
		fmt.Fprintln(cmd.OutOrStdout())
	})
	if err != nil {
		return err
	}
	if end.Record.Phase == rollout.Reverted {
		return &operator.RevertedError{Record: *end.Record}
	}
	return nil
}
