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
	"shalewick/conn"
	"shalewick/process/admin"
	"shalewick/request"
	"shalewick/version"
)

// Client calls the admin API of the first of several instances that responds.
type Client struct {
	Addresses []string // admin addresses of instances
	HTTP      *http.Client
	Token     string // token of the workspace; "" if the instances need none
	TLS       bool   // call over TLS, as configured in HTTP
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

// New returns a client of the instances at the given admin addresses.
func New(addresses []string) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = conn.MaxHeadBytes
	return &Client{Addresses: addresses, HTTP: &http.Client{Transport: conn.Strict(transport)}}
}

// RefusedError is the error of a call that was rejected, with its result.
type RefusedError struct {
	admin.ErrorResponse
}

// Error returns the code, name and detail of the result.
func (e *RefusedError) Error() string {
	return e.Code.String() + ": " + e.Detail
}

// Apply writes resources, each if its version is still the current one. After
// a lost response it retries with the same operation id.
func (c *Client) Apply(ctx context.Context, rs []version.Resource) (admin.ApplyResponse, error) {
	var body bytes.Buffer
	for i := range rs {
		b, err := json.Marshal(rs[i])
		if err != nil {
			return admin.ApplyResponse{}, errors.Trace(err)
		}
		body.Write(b)
		body.WriteString("\n---\n")
	}
	return c.ApplyDocuments(ctx, body.Bytes())
}

// ApplyDocuments writes resources given as YAML or JSON documents.
func (c *Client) ApplyDocuments(ctx context.Context, docs []byte) (admin.ApplyResponse, error) {
	return c.submitChange(ctx, http.MethodPost, "/v1/apply", docs)
}

// Delete removes a resource if v is still its version.
func (c *Client) Delete(ctx context.Context, k version.Key, v int64) (admin.ApplyResponse, error) {
	return c.submitChange(ctx, http.MethodDelete, resourcePath(k)+"?version="+strconv.FormatInt(v, 10), nil)
}

// changeRetryInterval is the time between two queries for the outcome of a change.
const changeRetryInterval = 200 * time.Millisecond

// submitChange makes a change. If the response is lost, or does not state
// whether the change was accepted, it retries with the same operation id until
// the outcome is known or the context ends. After such a retry, PlatformDown no
// longer means that nothing was written, since an earlier attempt may have been.
func (c *Client) submitChange(ctx context.Context, method, path string, body []byte) (admin.ApplyResponse, error) {
	operation := rand.Text()
	ambiguous := false // an earlier attempt may have been accepted
	for {
		var out admin.ApplyResponse
		err := c.call(ctx, method, path, operation, body, &out)
		if err == nil {
			return out, nil
		}
		var refused *RefusedError
		definite := errors.As(err, &refused) && refused.Code != request.CommitUnknown
		if definite && !(ambiguous && refused.Code == request.PlatformDown) {
			return out, err
		}
		ambiguous = true
		if !clock.Sleep(ctx, changeRetryInterval) {
			return out, errors.Annotatef(err, "operation %s may have been accepted", operation)
		}
	}
}

// Get returns one resource.
func (c *Client) Get(ctx context.Context, k version.Key) (version.Resource, error) {
	var r version.Resource
	err := c.call(ctx, http.MethodGet, resourcePath(k), "", nil, &r)
	return r, err
}

// List returns the resources of a kind, or all resources if kind is "".
func (c *Client) List(ctx context.Context, kind version.Kind) ([]version.Resource, error) {
	path := "/v1/resources"
	if kind != "" {
		path += "/" + url.PathEscape(string(kind))
	}
	var rs []version.Resource
	err := c.call(ctx, http.MethodGet, path, "", nil, &rs)
	return rs, err
}

// Status returns the version that each instance has in force.
func (c *Client) Status(ctx context.Context) (admin.StatusResponse, error) {
	var st admin.StatusResponse
	err := c.call(ctx, http.MethodGet, "/v1/status", "", nil, &st)
	return st, err
}

// WaitInForce waits until a version is in force at all instances. On timeout it
// returns the last status and an error.
func (c *Client) WaitInForce(ctx context.Context, v int64, timeout time.Duration) (admin.StatusResponse, error) {
	var st admin.StatusResponse
	path := "/v1/status?wait=" + strconv.FormatInt(v, 10) + "&timeout=" + timeout.String()
	if err := c.call(ctx, http.MethodGet, path, "", nil, &st); err != nil {
		return st, err
	}
	if !st.InForce {
		return st, errors.Errorf("version %d is not in force everywhere after %s", v, timeout)
	}
	return st, nil
}

// Watch calls f for each change after version from, until the context ends or f
// returns an error. When the stream breaks, it resumes at another instance.
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
			continue // already seen: this instance lags behind the previous one
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

// call sends a request to the instances in turn until one responds, and decodes
// the response into v.
func (c *Client) call(ctx context.Context, method, path, operation string, body []byte, v any) error {
	err := errors.New("no admin addresses configured")
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
	b, err := conn.ReadBody(res, maxResponseBytes)
	if err != nil {
		return false, errors.Annotatef(err, "call %s", address)
	}
	if code := res.Header.Get(request.HeaderResult); code != "" && code != request.NotInForce.String() {
		var r RefusedError
		if err := json.Unmarshal(b, &r.ErrorResponse); err != nil {
			return false, errors.Annotatef(err, "call %s", address)
		}
		return true, &r
	}
	return true, errors.Trace(json.Unmarshal(b, v))
}
