// SPDX-License-Identifier: MIT

package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"
)

// The ways in which a call fails.
const (
	Conflict    = errors.ConstError("a condition of the transaction did not hold")
	Unavailable = errors.ConstError("the platform is not available; nothing was written")
	Unknown     = errors.ConstError("the platform's answer was lost; the write may have taken effect")
	NotFound    = errors.ConstError("no such row or object")
)

// Row is one row of a table.
type Row struct {
	Key string `json:"key"`
	// Revision rises with each write of the row.
	Revision int64           `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// OpKind is what a transaction does with one row.
type OpKind string

// The kinds of Op.
const (
	OpCheck  OpKind = "check"
	OpPut    OpKind = "put"
	OpDelete OpKind = "delete"
)

// AnyRevision is the Revision of an Op without a condition.
const AnyRevision int64 = -1

// Op is one step of a transaction.
type Op struct {
	Kind  OpKind `json:"kind"`
	Table string `json:"table"`
	Key   string `json:"key"`
	// Revision is the one that the row must have: zero, the row must not
	// exist; AnyRevision, no condition.
	Revision int64           `json:"revision"`
	Value    json.RawMessage `json:"value,omitempty"`
}

// InstanceState is what the list says of an instance.
type InstanceState string

// The states of a listed instance.
const (
	Live    InstanceState = "live"
	Leaving InstanceState = "leaving"
)

// Instance is an entry of the platform's list of instances, which lags.
type Instance struct {
	Name  string        `json:"name"`
	State InstanceState `json:"state"`
}

// Platform is what shalewick needs of the platform.
type Platform interface {
	// Get returns one row, or NotFound.
	Get(ctx context.Context, table, key string) (Row, error)
	// Scan returns the rows with keys above after, in order of their keys.
	Scan(ctx context.Context, table, after string) ([]Row, error)
	// Commit carries out all ops or none.
	Commit(ctx context.Context, ops []Op) error
	// GetObject returns an object, or NotFound.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// PutObject stores an object.
	PutObject(ctx context.Context, name string, data []byte) error
	// Instances returns the list of instances.
	Instances(ctx context.Context) ([]Instance, error)
}

// Client is the HTTP form of Platform.
type Client struct {
	base string
	http http.Client
}

// Timeout bounds each call of a Client.
const Timeout = 2 * time.Second

// maxObject bounds what is read from the platform in one call, in bytes.
const maxObject = 64 << 20

// NewClient returns a client of the platform at base, like "http://127.0.0.1:7000".
func NewClient(base string) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: 4, DialContext: (&net.Dialer{Timeout: Timeout}).DialContext}
	return &Client{base: base, http: http.Client{Transport: t, Timeout: Timeout}}
}

// Get returns one row.
func (c *Client) Get(ctx context.Context, table, key string) (Row, error) {
	var r Row
	err := c.read(ctx, "/v1/tables/"+url.PathEscape(table)+"/"+url.PathEscape(key), &r)
	return r, err
}

// Scan returns the rows above a key.
func (c *Client) Scan(ctx context.Context, table, after string) ([]Row, error) {
	var rs []Row
	err := c.read(ctx, "/v1/tables/"+url.PathEscape(table)+"?after="+url.QueryEscape(after), &rs)
	return rs, err
}

// Instances returns the list of instances.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var is []Instance
	err := c.read(ctx, "/v1/instances", &is)
	return is, err
}

// GetObject returns an object.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.call(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(name), nil)
}

// PutObject stores an object.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := c.call(ctx, http.MethodPut, "/v1/objects/"+url.PathEscape(name), data)
	return err
}

// Commit carries out a transaction.
func (c *Client) Commit(ctx context.Context, ops []Op) error {
	b, err := json.Marshal(ops)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = c.call(ctx, http.MethodPost, "/v1/commit", b)
	return err
}

func (c *Client) read(ctx context.Context, path string, v any) error {
	b, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, v); err != nil {
		return errors.WithType(err, Unavailable)
	}
	return nil
}

func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithType(err, Unavailable)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, lost(method, err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxObject))
	if err != nil {
		return nil, lost(method, err)
	}
	switch res.StatusCode {
	case http.StatusOK:
		return b, nil
	case http.StatusConflict:
		return nil, Conflict
	case http.StatusNotFound:
		return nil, NotFound
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return nil, errors.WithType(errors.Errorf("status %d", res.StatusCode), Unavailable)
	}
	return nil, lost(method, errors.Errorf("status %d", res.StatusCode))
}

// lost tells a call that can not have taken effect from one that may have.
func lost(method string, err error) error {
	var op *net.OpError
	dialed := !(errors.As(err, &op) && op.Op == "dial")
	if method == http.MethodGet || !dialed {
		return errors.WithType(err, Unavailable)
	}
	return errors.WithType(err, Unknown)
}
