// SPDX-License-Identifier: MIT

package cluster

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/klauspost/compress/s2"
	"github.com/vmihailenco/msgpack/v5"

	"shalewick/process/packed"
	"shalewick/process/state"
)

// maxResponseBytes bounds a response of another instance, and all decompressed tables in it together.
const maxResponseBytes = 16 << 20

// encodedTable is one table of a changes response.
type encodedTable struct {
	// Delta is a compressed state.Delta without its age.
	Delta []byte        `json:"d"`
	Age   time.Duration `json:"a"`
}

// encodeDelta encodes and compresses a delta without its age.
func encodeDelta(d state.Delta) ([]byte, error) {
	d.Age = 0
	b, err := marshal(d)
	if err != nil {
		return nil, err
	}
	return s2.Encode(nil, b), nil
}

// decodeDelta decodes a table that may have up to maxBytes. It returns its decompressed size, too.
func decodeDelta(p encodedTable, maxBytes int) (d state.Delta, size int, err error) {
	size, err = s2.DecodedLen(p.Delta)
	if err != nil || size > maxBytes {
		return d, 0, errors.Errorf("compressed table of %d bytes, %d are allowed: %v", size, maxBytes, err)
	}
	b, err := s2.Decode(nil, p.Delta)
	if err != nil {
		return d, 0, errors.Annotate(err, "decompress table")
	}
	if err := unmarshal(b, &d); err != nil {
		return d, 0, err
	}
	d.Age = p.Age
	return d, size, nil
}

// decodeResponse decodes a changes response.
func decodeResponse(b []byte) (map[string]state.Delta, error) {
	var parts map[string]encodedTable
	if err := unmarshal(b, &parts); err != nil {
		return nil, err
	}
	out := make(map[string]state.Delta, len(parts))
	left := maxResponseBytes
	for name, p := range parts {
		d, size, err := decodeDelta(p, left)
		if err != nil {
			return nil, errors.Annotatef(err, "table %s", name)
		}
		left -= size
		out[name] = d
	}
	return out, nil
}

// responseEncoder encodes changes responses. A snapshot is encoded once per version, because many
// instances request it at the same time when the whole fleet starts and each encoding takes
// memory. The zero value is ready to use.
type responseEncoder struct {
	mu        sync.Mutex
	snapshots map[string]encodedSnapshot // by table
}

type encodedSnapshot struct {
	version int64
	bytes   []byte
}

// encode returns the encoded response for some tables.
func (a *responseEncoder) encode(tables map[string]state.Delta) ([]byte, error) {
	parts := make(map[string]encodedTable, len(tables))
	for name, d := range tables {
		b, err := a.encodeTable(name, d)
		if err != nil {
			return nil, err
		}
		parts[name] = encodedTable{Delta: b, Age: d.Age}
	}
	return marshal(parts)
}

func (a *responseEncoder) encodeTable(name string, d state.Delta) ([]byte, error) {
	if !d.Full {
		return encodeDelta(d)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if e, ok := a.snapshots[name]; ok && e.version == d.Version {
		return e.bytes, nil
	}
	b, err := encodeDelta(d)
	if err != nil {
		return nil, err
	}
	if a.snapshots == nil {
		a.snapshots = make(map[string]encodedSnapshot)
	}
	a.snapshots[name] = encodedSnapshot{version: d.Version, bytes: b}
	return b, nil
}

func marshal(v any) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.SetCustomStructTag("json")
	if err := e.Encode(v); err != nil {
		return nil, errors.Annotate(err, "encode")
	}
	return b.Bytes(), nil
}

// unmarshal decodes exactly one value.
func unmarshal(b []byte, v any) error {
	if err := packed.Check(b); err != nil {
		return errors.Annotate(err, "decode")
	}
	r := bytes.NewReader(b)
	d := msgpack.NewDecoder(r)
	d.SetCustomStructTag("json")
	if err := d.Decode(v); err != nil {
		return errors.Annotate(err, "decode")
	}
	if _, err := r.ReadByte(); err != io.EOF {
		return errors.New("decode: trailing bytes after the value")
	}
	return nil
}
