// SPDX-License-Identifier: MIT

package operator

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"shalewick/clock"
	"shalewick/process/admin"
	"shalewick/request"
	"shalewick/version"
)

// Client calls the first of several instances that answers.
type Client struct {
	Addresses []string // admin addresses of instances
	HTTP      *http.Client
	Token     string // of the workspace; "" where none is needed
	TLS       bool   // call over TLS, with HTTP's settings
}

// url returns the URL of a path at an instance.
func (c *Client) url(address, path string) string {
	if c.TLS {
		return "https://" + address + path
	}
	return "http://" + address + path
}

// request returns a request that carries the token.
func (c *Client) request(ctx context.Context, method, url string, body io.Reader) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err == nil && c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	return req, err
}

// New returns a client.
func New(addresses []string) *Client {
	return &Client{Addresses: addresses, HTTP: &http.Client{}}
}

// RefusedError is a call that was refused, with the result.
type RefusedError struct {
	admin.Refused
}

// Error gives the result's number, name and detail.
func (e *RefusedError) Error() string {
	return e.Code.String() + ": " + e.Detail
}

// Apply writes resources, each against the version that it names. After a
// lost answer it asks again with the same operation id.
func (c *Client) Apply(ctx context.Context, rs []version.Resource) (admin.Applied, error) {
	var body bytes.Buffer
	for i := range rs {
		b, err := json.Marshal(rs[i])
		if err != nil {
			return admin.Applied{}, errors.Trace(err)
		}
		body.Write(b)
		body.WriteString("\n---\n")
	}
	return c.ApplyDocuments(ctx, body.Bytes())
}

// ApplyDocuments writes YAML or JSON documents.
func (c *Client) ApplyDocuments(ctx context.Context, docs []byte) (admin.Applied, error) {
	return c.submitChange(ctx, http.MethodPost, "/v1/apply", docs)
}

// Delete removes a resource at a version.
func (c *Client) Delete(ctx context.Context, k version.Key, v int64) (admin.Applied, error) {
	return c.submitChange(ctx, http.MethodDelete, resourcePath(k)+"?version="+strconv.FormatInt(v, 10), nil)
}

// changePause is the time between two askings for the outcome of a change.
const changeRetryInterval = 200 * time.Millisecond

// change makes a change. After an answer that was lost, or one that does not
// tell whether it was accepted, it asks again with the same operation id until
// it knows or the context ends. From then on, a refusal because the platform
// is down no longer means that nothing was written.
func (c *Client) submitChange(ctx context.Context, method, path string, body []byte) (admin.Applied, error) {
	operation := rand.Text()
	unsure := false
	for {
		var out admin.Applied
		err := c.call(ctx, method, path, operation, body, &out)
		if err == nil {
			return out, nil
		}
		var refused *RefusedError
		told := errors.As(err, &refused) && refused.Code != request.CommitUnknown
		if told && !(unsure && refused.Code == request.PlatformDown) {
			return out, err
		}
		unsure = true
		if !clock.Sleep(ctx, changeRetryInterval) {
			return out, errors.Annotatef(err, "not known whether operation %s was accepted", operation)
		}
	}
}

// Get returns one resource.
func (c *Client) Get(ctx context.Context, k version.Key) (version.Resource, error) {
	var r version.Resource
	err := c.call(ctx, http.MethodGet, resourcePath(k), "", nil, &r)
	return r, err
}

// List returns the resources of a kind, or all for "".
func (c *Client) List(ctx context.Context, kind version.Kind) ([]version.Resource, error) {
	path := "/v1/resources"
	if kind != "" {
		path += "/" + url.PathEscape(string(kind))
	}
	var rs []version.Resource
	err := c.call(ctx, http.MethodGet, path, "", nil, &rs)
	return rs, err
}

// Status returns what each instance has in force.
func (c *Client) Status(ctx context.Context) (admin.Status, error) {
	var st admin.Status
	err := c.call(ctx, http.MethodGet, "/v1/status", "", nil, &st)
	return st, err
}

// WaitInForce returns once a version is in force everywhere, or with the
// status at the end of the time and an error.
func (c *Client) WaitInForce(ctx context.Context, v int64, timeout time.Duration) (admin.Status, error) {
	var st admin.Status
	path := "/v1/status?wait=" + strconv.FormatInt(v, 10) + "&timeout=" + timeout.String()
	if err := c.call(ctx, http.MethodGet, path, "", nil, &st); err != nil {
		return st, err
	}
	if !st.InForce {
		return st, errors.Errorf("version %d is not in force everywhere after %s", v, timeout)
	}
	return st, nil
}

// Watch calls f for each change above a version, until the context ends or f
// returns an error. A broken stream is resumed at another instance.
func (c *Client) Watch(ctx context.Context, from int64, f func(version.Change) error) error {
	for ctx.Err() == nil {
		for _, a := range c.Addresses {
			stop, err := c.watchInstance(ctx, a, &from, f)
			if stop {
				return err
			}
		}
		clock.Sleep(ctx, watchRetryInterval)
	}
	return ctx.Err()
}

const (
	watchRetryInterval = 200 * time.Millisecond
	maxLineBytes       = 32 << 20
)

func (c *Client) watchInstance(ctx context.Context, address string, from *int64, f func(version.Change) error) (stop bool, err error) {
	req, err := c.request(ctx, http.MethodGet, c.url(address, "/v1/watch?from="+strconv.FormatInt(*from, 10)), nil)
	if err != nil {
		return true, errors.Trace(err)
	}
	res, err := c.HTTP.Do(req)
	if err != nil {
		return false, err
	}
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var ch version.Change
		if err := json.Unmarshal(lines.Bytes(), &ch); err != nil {
			return false, errors.Trace(err)
		}
		if ch.Seq <= *from {
			continue // another instance may lag behind
		}
		*from = ch.Seq
		if err := f(ch); err != nil {
			return true, err
		}
	}
	return false, lines.Err()
}

func resourcePath(k version.Key) string {
	return "/v1/resources/" + url.PathEscape(string(k.Kind)) + "/" + url.PathEscape(k.Name)
}

const (
	callTimeout      = 20 * time.Second
	maxResponseBytes = 64 << 20
)

// call makes one call at the first instance that answers.
func (c *Client) call(ctx context.Context, method, path, operation string, body []byte, v any) error {
	err := errors.New("no admin address is known")
	for _, a := range c.Addresses {
		var done bool
		if done, err = c.callInstance(ctx, a, method, path, operation, body, v); done {
			return err
		}
	}
	return err
}

func (c *Client) callInstance(ctx context.Context, address, method, path, operation string, body []byte, v any) (done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := c.request(ctx, method, c.url(address, path), bytes.NewReader(body))
	if err != nil {
		return true, errors.Trace(err)
	}
	if operation != "" {
		req.Header.Set(request.HeaderOperation, operation)
	}
	res, err := c.HTTP.Do(req)
	if err != nil {
		return false, errors.Annotatef(err, "call %s", address)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return false, errors.Annotatef(err, "call %s", address)
	}
	if code := res.Header.Get(request.HeaderResult); code != "" && code != request.NotInForce.String() {
		var r RefusedError
		if err := json.Unmarshal(b, &r.Refused); err != nil {
			return false, errors.Annotatef(err, "call %s", address)
		}
		return true, &r
	}
	return true, errors.Trace(json.Unmarshal(b, v))
}
