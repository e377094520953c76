// SPDX-License-Identifier: MIT

package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"shalewick/process/front"
)

// pick returns the instance to use now.
func (c *Client) pick(ctx context.Context) (string, error) {
	c.mu.Lock()
	entries, fresh := c.entries, time.Now().Before(c.until)
	c.mu.Unlock()
	if !fresh || c.firstUsable(entries) == "" {
		found, err := c.lookup(ctx)
		if err != nil {
			return "", err
		}
		entries = found
	}
	if e := c.firstUsable(entries); e != "" {
		return e, nil
	}
	return "", errors.New("no instance answers")
}

func (c *Client) firstUsable(entries []string) string {
	for _, e := range entries {
		if !c.avoided(e) {
			return e
		}
	}
	return ""
}

// lookup asks the cached and the known instances, in turn, which to use.
func (c *Client) lookup(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	ask := append(append([]string(nil), c.entries...), c.Known...)
	c.mu.Unlock()
	err := errors.New("no instance is known")
	for _, address := range ask {
		if c.avoided(address) {
			continue
		}
		var l front.Lookup
		if err = c.call(ctx, address, "lookup?client="+url.QueryEscape(c.Address), &l); err != nil {
			c.failed(address)
			continue
		}
		var entries []string
		for _, e := range l.Entries {
			entries = append(entries, e.Address)
		}
		c.mu.Lock()
		c.entries = entries
		c.until = time.Now().Add(time.Duration(l.LifeMs) * time.Millisecond)
		c.mu.Unlock()
		return entries, nil
	}
	return nil, err
}

// call makes one of the system's own calls.
func (c *Client) call(ctx context.Context, address, path string, v any) error {
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
	return errors.Trace(json.NewDecoder(io.LimitReader(res.Body, maxLookup)).Decode(v))
}

// takeTicket returns a ticket of an instance.
func (c *Client) takeTicket(ctx context.Context, entry string) (string, error) {
	c.mu.Lock()
	for ts := c.tickets[entry]; len(ts) > 0; ts = c.tickets[entry] {
		t := ts[len(ts)-1]
		c.tickets[entry] = ts[:len(ts)-1]
		if time.Since(t.taken) < ticketKeep {
			c.mu.Unlock()
			return t.text, nil
		}
	}
	c.mu.Unlock()
	var ts front.Tickets
	taken := time.Now()
	if err := c.call(ctx, entry, "tickets?n="+strconv.Itoa(ticketBatch), &ts); err != nil {
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
		c.tickets[entry] = append(c.tickets[entry], ticket{text: t, taken: taken})
	}
	return ts.Tickets[0], nil
}

// failed avoids an instance for a while and drops its unused tickets.
func (c *Client) failed(entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.avoid == nil {
		c.avoid = make(map[string]time.Time)
	}
	c.avoid[entry] = time.Now().Add(avoidTime)
	delete(c.tickets, entry)
	c.until = time.Time{}
}

func (c *Client) avoided(entry string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.avoid[entry])
}

// forget makes the next request ask which instances to use.
func (c *Client) forget() {
	c.mu.Lock()
	c.until = time.Time{}
	c.mu.Unlock()
}
