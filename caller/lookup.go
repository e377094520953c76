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

// pickInstance returns the instance to use. If all failed recently, it returns
// the one whose failure is the oldest, since a slow instance is better than none.
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
	return "", errors.New("no instances known")
}

// cachedEntries returns the instances of the last lookup, and whether that
// lookup is still valid.
func (c *Client) cachedEntries() (entries []string, fresh bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries, time.Now().Before(c.entriesExpire)
}

// refresh looks up which instances to use. Concurrent requests share one lookup:
// while it runs, the others continue with a usable stale instance, or wait.
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
		return entries, nil // another request has done the lookup
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

// earliestFailed returns the instance whose avoidance expires first.
func (c *Client) earliestFailed(entries []string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	earliest := ""
	for _, e := range entries {
		if earliest == "" || c.avoidUntil[e].Before(c.avoidUntil[earliest]) {
			earliest = e
		}
	}
	return earliest
}

// lookup queries the cached instances and the seeds in turn. Instances that
// failed recently are skipped unless there is no other.
func (c *Client) lookup(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	candidates := append(append([]string(nil), c.entries...), c.Seeds...)
	c.mu.Unlock()
	usable := slices.DeleteFunc(slices.Clone(candidates), c.isAvoided)
	if len(usable) == 0 {
		usable = append(usable, c.earliestFailed(candidates))
	}
	err := errors.New("no instances known")
	for _, address := range usable {
		var entries []string
		if entries, err = c.lookupAt(ctx, address); err == nil {
			return entries, nil
		}
		c.markFailed(address)
	}
	return nil, err
}

// lookupAt queries one instance for the instances to use, and caches its response.
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

// callInstance calls an endpoint of an instance itself and decodes the JSON
// response into v.
func (c *Client) callInstance(ctx context.Context, address, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+front.ReservedPrefix+path, nil)
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

// takeTicket returns an unused ticket of an instance. It fetches a batch when
// none is cached that is recent enough.
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
	fetchedAt := time.Now()
	if err := c.callInstance(ctx, entry, "tickets?n="+strconv.Itoa(ticketBatch), &ts); err != nil {
		return "", err
	}
	if len(ts.Tickets) == 0 {
		return "", errors.Errorf("%s issued no tickets", entry)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tickets == nil {
		c.tickets = make(map[string][]ticket)
	}
	for _, t := range ts.Tickets[1:] {
		c.tickets[entry] = append(c.tickets[entry], ticket{text: t, fetchedAt: fetchedAt})
	}
	return ts.Tickets[0], nil
}

// markFailed avoids an instance for avoidDuration, drops its unused tickets and
// expires the lookup.
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

// expireLookup makes the next request look up the instances again.
func (c *Client) expireLookup() {
	c.mu.Lock()
	c.entriesExpire = time.Time{}
	c.mu.Unlock()
}
