// SPDX-License-Identifier: MIT

package operator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"shalewick/clock"
	"shalewick/process/rollout"
	"shalewick/process/rolloutview"
	"shalewick/request"
	"shalewick/version"
)

// rolloutPollInterval is the time between two queries for the status of a rollout.
const rolloutPollInterval = 250 * time.Millisecond

// OrderRollout writes the order for a rollout of a service, and replaces an existing one.
// It returns the version of the order.
func (c *Client) OrderRollout(ctx context.Context, order version.Rollout) (int64, error) {
	r := version.Resource{Key: version.Key{Kind: version.KindRollout, Name: order.Service}, Rollout: &order}
	existing, err := c.Get(ctx, r.Key)
	if err != nil && !isRefusedWith(err, request.NotFound) {
		return 0, err
	}
	r.Version = existing.Version
	applied, err := c.Apply(ctx, []version.Resource{r})
	return applied.Version, err
}

// isRefusedWith reports whether err is a RefusedError with the given code.
func isRefusedWith(err error, code request.Code) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Code == code
}

// Rollout returns the status of the latest rollout of a service.
func (c *Client) Rollout(ctx context.Context, service string) (rolloutview.Status, error) {
	var s rolloutview.Status
	err := c.call(ctx, http.MethodGet, "/v1/rollouts/"+url.PathEscape(service), "", nil, &s)
	return s, err
}

// FollowRollout calls f with the status of a service's rollout, once at the start and on
// each change of its state, until the rollout has ended. Order is the version of the order
// to follow, which the queried instance may not have received yet; zero follows any that
// the instance knows. It keeps polling while no instance responds.
func (c *Client) FollowRollout(ctx context.Context, service string, order int64, f func(rolloutview.Status)) (rolloutview.Status, error) {
	var last rolloutview.State
	for {
		s, err := c.Rollout(ctx, service)
		var refused *RefusedError
		notYetKnown := order != 0 && isRefusedWith(err, request.NotFound)
		if errors.As(err, &refused) && !notYetKnown {
			return s, err
		}
		known := err == nil && (order == 0 || s.Order >= order || s.Record != nil && s.Record.Order >= order)
		if known && s.State() != last {
			last = s.State()
			f(s)
		}
		if known && s.Ended() {
			return s, nil
		}
		if !clock.Sleep(ctx, rolloutPollInterval) {
			return s, errors.Annotatef(ctx.Err(), "the roll-out of %s has not ended", service)
		}
	}
}

// PrintRollout writes the status of a rollout as a table.
func PrintRollout(w io.Writer, s *rolloutview.Status) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	line := func(name, value string) {
		if value != "" {
			fmt.Fprintf(t, "%s\t%s\n", name, value)
		}
	}
	line("service", s.Service)
	line("state", string(s.State()))
	line("in force", s.InForce)
	if s.Order != 0 {
		line("order", fmt.Sprintf("%d: %s within %s", s.Order, s.Target, time.Duration(s.Within)))
	}
	if r := s.Record; r != nil {
		line("record", fmt.Sprintf("order %d: from %s to %s, %s", r.Order, r.Previous, r.Target, r.Phase))
		line("cause", r.Cause)
		line("evidence", r.Evidence)
	}
	if s.Remaining > 0 {
		line("left", time.Duration(s.Remaining).String())
	}
	_ = t.Flush() // an error means that the output is closed
}

// RevertedError reports that a rollout was reverted: the previous version stays in force.
type RevertedError struct {
	Record rollout.Record
}

// Error describes the rollout and why it was reverted.
func (e *RevertedError) Error() string {
	return fmt.Sprintf("roll-out of %s to %s was reverted: %s", e.Record.Service, e.Record.Target, e.Record.Cause)
}
