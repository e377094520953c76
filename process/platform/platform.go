// SPDX-License-Identifier: MIT

package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"shalewick/conn"
)

// Errors of calls to the platform.
const (
	ErrConflict       = errors.ConstError("a condition of the transaction did not hold")
	ErrUnavailable    = errors.ConstError("the platform is not available; nothing was written")
	ErrUnknownOutcome = errors.ConstError("the platform's answer was lost; the write may have taken effect")
	ErrNotFound       = errors.ConstError("no such row or object")
)

// Row is one row of a table.
type Row struct {
	Key string `json:"key"`
	// Revision increases with each write of the row.
	Revision int64           `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// OpKind is the kind of an operation on one row.
type OpKind string

// The kinds of operations. OpCheck only checks the row's revision.
const (
	OpCheck  OpKind = "check"
	OpPut    OpKind = "put"
	OpDelete OpKind = "delete"
)

// AnyRevision is the Revision of an Op without a condition.
const AnyRevision int64 = -1

// Op is one operation of a transaction.
type Op struct {
	Kind  OpKind `json:"kind"`
	Table string `json:"table"`
	Key   string `json:"key"`
	// Revision is the revision that the row must have. Zero means that the row
	// must not exist, AnyRevision that there is no condition.
	Revision int64           `json:"revision"`
	Value    json.RawMessage `json:"value,omitempty"`
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// The states of a listed instance.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Instance is an entry of the platform's list of instances. The list can be out
// of date.
type Instance struct {
	Name  string        `json:"name"`
	State InstanceState `json:"state"`
}

// Platform is the interface of the platform.
type Platform interface {
	// Get returns one row, or ErrNotFound.
	Get(ctx context.Context, table, key string) (Row, error)
	// Scan returns the rows with keys greater than after, in key order.
	Scan(ctx context.Context, table, after string) ([]Row, error)
	// Commit carries out all ops atomically.
	Commit(ctx context.Context, ops []Op) error
	// GetObject returns an object, or ErrNotFound.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// PutObject stores an object.
	PutObject(ctx context.Context, name string, data []byte) error
	// Instances returns the list of instances.
	Instances(ctx context.Context) ([]Instance, error)
}

// Client implements Platform over HTTP.
type Client struct {
	baseURL    string
	httpClient http.Client
}

// CallTimeout limits the duration of each call of a Client.
const CallTimeout = 2 * time.Second

// Limits of the size of a response from the platform, in bytes.
const (
	maxRowsBytes      = 64 << 20 // rows and objects
	maxInstancesBytes = 4 << 20
	maxAckBytes       = 64 << 10 // the response to a write
)

// NewClient returns a client of the platform at baseURL, like "http://127.0.0.1:7000".
func NewClient(baseURL string) *Client {
	dialer := &net.Dialer{Timeout: CallTimeout, Control: conn.ReuseLocalAddress}
	transport := &http.Transport{MaxIdleConnsPerHost: 4, DialContext: dialer.DialContext, MaxResponseHeaderBytes: conn.MaxHeadBytes}
	return &Client{baseURL: baseURL, httpClient: http.Client{Transport: conn.Strict(transport), Timeout: CallTimeout}}
}

// Get implements Platform.
func (c *Client) Get(ctx context.Context, table, key string) (Row, error) {
	var r Row
	err := c.getJSON(ctx, "/v1/tables/"+url.PathEscape(table)+"/"+url.PathEscape(key), maxRowsBytes, &r)
	return r, err
}

// Scan implements Platform.
func (c *Client) Scan(ctx context.Context, table, after string) ([]Row, error) {
	var rs []Row
	err := c.getJSON(ctx, "/v1/tables/"+url.PathEscape(table)+"?after="+url.QueryEscape(after), maxRowsBytes, &rs)
	return rs, err
}

// Instances implements Platform.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var is []Instance
	err := c.getJSON(ctx, "/v1/instances", maxInstancesBytes, &is)
	return is, err
}

// GetObject implements Platform.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.call(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(name), nil, maxRowsBytes)
}

// PutObject implements Platform.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := c.call(ctx, http.MethodPut, "/v1/objects/"+url.PathEscape(name), data, maxAckBytes)
	return err
}

// Commit implements Platform.
func (c *Client) Commit(ctx context.Context, ops []Op) error {
	b, err := json.Marshal(ops)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = c.call(ctx, http.MethodPost, "/v1/commit", b, maxAckBytes)
	return err
}

// getJSON decodes the response to a GET request, of up to limit bytes, into v.
func (c *Client) getJSON(ctx context.Context, path string, limit int, v any) error {
	b, err := c.call(ctx, http.MethodGet, path, nil, limit)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, v); err != nil {
		return errors.WithType(err, ErrUnavailable)
	}
	return nil
}

// call sends one request and returns the response body, of up to limit bytes.
func (c *Client) call(ctx context.Context, method, path string, body []byte, limit int) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithType(err, ErrUnavailable)
	}
	res, err := c.httpClient.Do(req)
	if err != nil {
		return nil, callError(method, err)
	}
	defer res.Body.Close()
	b, err := conn.ReadBody(res, limit)
	if err != nil {
		return nil, callError(method, err)
	}
	switch res.StatusCode {
	case http.StatusOK:
		return b, nil
	case http.StatusConflict:
		return nil, ErrConflict
	case http.StatusNotFound:
		return nil, ErrNotFound
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return nil, errors.WithType(errors.Errorf("status %d", res.StatusCode), ErrUnavailable)
	}
	return nil, callError(method, errors.Errorf("status %d", res.StatusCode))
}

// callError returns ErrUnavailable if the call can't have taken effect, because
// it only reads or no connection was made, and else ErrUnknownOutcome.
func callError(method string, err error) error {
	var opErr *net.OpError
	connected := !(errors.As(err, &opErr) && opErr.Op == "dial")
	if method == http.MethodGet || !connected {
		return errors.WithType(err, ErrUnavailable)
	}
	return errors.WithType(err, ErrUnknownOutcome)
}
