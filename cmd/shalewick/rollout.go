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

// rolloutGrace is how long beyond its time the end of a roll-out is waited for: requests
// that are under way at the version before are not cut off.
const rolloutWaitMargin = time.Minute

func rolloutCommand() *cobra.Command {
	var target string
	var within time.Duration
	var wait bool
	cmd := &cobra.Command{
		Use: "rollout SERVICE", Short: "Move a service to another version of its software, or show where that stands", Args: cobra.ExactArgs(1),
		Long: "With --target, orders a roll-out: the version is tried with a few requests and then gets all, or\n" +
			"none. Without, shows where the newest one stands. --wait prints each step until it has ended,\n" +
			"and fails if it was reverted.",
	}
	reach := addAdminFlags(cmd)
	cmd.Flags().StringVar(&target, "target", "", "version of the software that is to serve")
	cmd.Flags().DurationVar(&within, "within", 0, "time that there is for it")
	cmd.Flags().BoolVar(&wait, "wait", false, "return once it has ended")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if target == "" && within != 0 || target != "" && within <= 0 {
			return errors.New("--target and --within: both must be set, or none")
		}
		c, err := reach.client()
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

// followRollout prints each step of a roll-out until its end. One that was ordered just
// now is waited for as long as it may take.
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
