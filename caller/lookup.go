// SPDX-License-Identifier: MIT

package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"shalewick/process/front"
)

// pick returns the instance to use now. If all have failed lately the one that
// did so first is used: better one that may be slow than none.
func (c *Client) pickInstance(ctx context.Context) (string, error) {
	entries, fresh := c.cachedEntries()
	if !fresh || c.firstUsable(entries) == "" {
		found, err := c.refresh(ctx, entries)
		if err != nil && len(entries) == 0 {
			return "", err
		}
		if err == nil {
			entries = found
		}
	}
	if e := c.firstUsable(entries); e != "" {
		return e, nil
	}
	if e := c.earliestFailed(entries); e != "" {
		return e, nil
	}
	return "", errors.New("no instance is known")
}

// cached returns the instances that the last look-up named, and whether they may
// still be used without another one.
func (c *Client) cachedEntries() (entries []string, fresh bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries, time.Now().Before(c.entriesExpire)
}

// refresh looks up which instances to use. One request does that for all: the
// others go on with what they have, if one of it is usable, or wait for it.
func (c *Client) refresh(ctx context.Context, stale []string) ([]string, error) {
	if c.firstUsable(stale) != "" {
		select {
		case c.lookupSlot <- struct{}{}:
		default:
			return stale, nil
		}
	} else {
		select {
		case c.lookupSlot <- struct{}{}:
		case <-ctx.Done():
			return nil, errors.Trace(ctx.Err())
		}
	}
	defer func() { <-c.lookupSlot }()
	if entries, fresh := c.cachedEntries(); fresh && c.firstUsable(entries) != "" {
		return entries, nil // looked up meanwhile
	}
	return c.lookup(ctx)
}

func (c *Client) firstUsable(entries []string) string {
	for _, e := range entries {
		if !c.isAvoided(e) {
			return e
		}
	}
	return ""
}

// failedFirst returns the instance that will be avoided no longer soonest.
func (c *Client) earliestFailed(entries []string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := ""
	for _, e := range entries {
		if first == "" || c.avoidUntil[e].Before(c.avoidUntil[first]) {
			first = e
		}
	}
	return first
}

// lookup asks the cached and the known instances, in turn, which to use: those
// that failed lately only if there is no other.
func (c *Client) lookup(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	ask := append(append([]string(nil), c.entries...), c.Seeds...)
	c.mu.Unlock()
	usable := slices.DeleteFunc(slices.Clone(ask), c.isAvoided)
	if len(usable) == 0 {
		usable = append(usable, c.earliestFailed(ask))
	}
	err := errors.New("no instance is known")
	for _, address := range usable {
		var entries []string
		if entries, err = c.lookupAt(ctx, address); err == nil {
			return entries, nil
		}
		c.markFailed(address)
	}
	return nil, err
}

// ask asks one instance which to use, and keeps its answer.
func (c *Client) lookupAt(ctx context.Context, address string) ([]string, error) {
	var l front.Lookup
	if err := c.callInstance(ctx, address, "lookup?client="+url.QueryEscape(c.Address), &l); err != nil {
		return nil, err
	}
	entries := make([]string, 0, len(l.Entries))
	for _, e := range l.Entries {
		entries = append(entries, e.Address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = entries
	c.entriesExpire = time.Now().Add(time.Duration(l.LifeMs) * time.Millisecond)
	return entries, nil
}

// call makes one of the system's own calls.
func (c *Client) callInstance(ctx context.Context, address, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+front.Reserved+path, nil)
	if err != nil {
		return errors.Trace(err)
	}
	res, err := c.HTTP.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %d", address, res.StatusCode)
	}
	return errors.Trace(json.NewDecoder(io.LimitReader(res.Body, maxLookupBytes)).Decode(v))
}

// takeTicket returns a ticket of an instance.
func (c *Client) takeTicket(ctx context.Context, entry string) (string, error) {
	c.mu.Lock()
	for ts := c.tickets[entry]; len(ts) > 0; ts = c.tickets[entry] {
		t := ts[len(ts)-1]
		c.tickets[entry] = ts[:len(ts)-1]
		if time.Since(t.fetchedAt) < ticketMaxAge {
			c.mu.Unlock()
			return t.text, nil
		}
	}
	c.mu.Unlock()
	var ts front.Tickets
	taken := time.Now()
	if err := c.callInstance(ctx, entry, "tickets?n="+strconv.Itoa(ticketBatch), &ts); err != nil {
		return "", err
	}
	if len(ts.Tickets) == 0 {
		return "", errors.Errorf("%s gave no ticket", entry)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tickets == nil {
		c.tickets = make(map[string][]ticket)
	}
	for _, t := range ts.Tickets[1:] {
		c.tickets[entry] = append(c.tickets[entry], ticket{text: t, fetchedAt: taken})
	}
	return ts.Tickets[0], nil
}

// failed avoids an instance for a while and drops its unused tickets.
func (c *Client) markFailed(entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.avoidUntil == nil {
		c.avoidUntil = make(map[string]time.Time)
	}
	c.avoidUntil[entry] = time.Now().Add(avoidDuration)
	delete(c.tickets, entry)
	c.entriesExpire = time.Time{}
}

func (c *Client) isAvoided(entry string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.avoidUntil[entry])
}

// forget makes the next request ask which instances to use.
func (c *Client) expireLookup() {
	c.mu.Lock()
	c.entriesExpire = time.Time{}
	c.mu.Unlock()
}
