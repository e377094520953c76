// SPDX-License-Identifier: MIT

package version_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"shalewick/version"
)

const valid = `
kind: region
name: north
spec: {}
---
kind: hall
name: north-1
spec: {region: north, clients: [10.0.0.0/16]}
---
kind: service
name: catalogue
spec:
  hosts: [catalogue.example]
  routes:
  - {prefix: /, methods: [GET], class: read, repeatable: true, deadline: 2s}
---
kind: backend
name: c1
spec: {service: catalogue, hall: north-1, address: "127.0.0.1:9000", slots: 4}
`

// TestErrorsReportFieldAndRule checks that the error for an invalid document names the
// resource, the field and the rule.
func TestErrorsReportFieldAndRule(t *testing.T) {
	for _, tc := range []struct{ replace, with, want string }{
		{"kind: region", "kind: zebra", "kind: must be one of"},
		{"name: north\n", "name: North\n", "name: must be"},
		{"region: north,", "region: south,", `hall/north-1: spec.region: names region "south", which does not exist`},
		{"slots: 4", "slots: 0", "backend/c1: spec.slots: must be 1 to 4096"},
		{"slots: 4", "slots: 4, colour: red", "backend/c1: spec: json: unknown field \"colour\""},
		{"class: read", "class: slow", "class \"slow\" is not one of"},
		{"deadline: 2s", "deadline: 2", "a duration is text"},
		{"deadline: 2s", "deadline: 2h", "spec.routes[0].deadline: must be above 0 and at most 10m"},
		{"prefix: /", "prefix: lots", "spec.routes[0].prefix: must begin with '/'"},
		{"127.0.0.1:9000", "localhost:9000", "unable to parse IP"},
		{"10.0.0.0/16", "10.0.0.0/99", "prefix length out of range"},
		{"kind: hall", "kind: hall\nkind: hall", "key \"kind\" already set"},
		{"", "kind: region\nname: north\nspec: {}\n---", "appears twice in one change"},
		{"spec: {}", "spec: {", "document"},
	} {
		text := strings.Replace(valid, tc.replace, tc.with, 1)
		rs, err := version.Parse([]byte(text))
		if err == nil {
			_, _, err = (&version.Config{}).Propose(version.Change{Operation: "o", Puts: rs})
		}
		assert.ErrorContains(t, err, tc.want)
	}
}

// TestConflictReportsPresentResource checks that a change against an outdated version fails
// and that the error holds the present resource.
func TestConflictReportsPresentResource(t *testing.T) {
	rs, err := version.Parse([]byte(valid))
	assert.NilError(t, err)
	c, _, err := (&version.Config{}).Propose(version.Change{Operation: "o", Puts: rs})
	assert.NilError(t, err)
	assert.Equal(t, c.Seq, int64(1))
	_, _, err = c.Propose(version.Change{Operation: "p", Puts: rs[:1]}) // against version 0
	var conflict *version.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Present.Version, int64(1))
	_, _, err = c.Propose(version.Change{Operation: "q", Deletes: []version.Ref{{Key: rs[0].Key, Version: 1}}})
	assert.ErrorContains(t, err, `names region "north", which does not exist`)
}

func TestDocumentRoundTrip(t *testing.T) {
	rs, err := version.Parse([]byte(valid))
	assert.NilError(t, err)
	for _, r := range rs {
		b, err := json.Marshal(r)
		assert.NilError(t, err)
		var decoded version.Resource
		assert.NilError(t, json.Unmarshal(b, &decoded))
		assert.DeepEqual(t, decoded.Key, r.Key)
		again, err := json.Marshal(decoded)
		assert.NilError(t, err)
		assert.Equal(t, string(again), string(b))
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("kind: drain\nname: d\nspec: {hall: x}\n"))
	f.Add([]byte("{\"kind\":\"link\",\"name\":\"l\",\"spec\":{\"from\":\"a\",\"to\":\"b\",\"cap\":1,\"latency\":\"1ms\"}}"))
	f.Add([]byte("--- \n- 1\n---\nnull\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		rs, err := version.Parse(b)
		if err != nil {
			return
		}
		c, _, err := (&version.Config{}).Propose(version.Change{Operation: "o", Puts: rs})
		if err != nil {
			return
		}
		if _, err := version.Compile(c); err != nil {
			t.Fatalf("valid, but does not compile: %v", err)
		}
	})
}

// TestDeprecatedNamesAreAccepted checks that documents and references written for an
// earlier release are accepted, that the deprecated names are reported, and that they are
// not written again.
func TestDeprecatedNamesAreAccepted(t *testing.T) {
	rs, err := version.Parse([]byte(`{"kind":"upstream","name":"b-1","spec":{"service":"s","hall":"h","address":"10.0.0.1:80","slots":2}}
---
{"kind":"drain","name":"d","spec":{"upstream":"b-1"}}
`))
	assert.NilError(t, err)
	assert.Equal(t, rs[0].Key, version.Key{Kind: version.KindBackend, Name: "b-1"})
	assert.DeepEqual(t, rs[0].Deprecated, []string{"kind: upstream"})
	assert.Equal(t, rs[1].Drain.Backend, "b-1")
	assert.DeepEqual(t, rs[1].Deprecated, []string{"spec.upstream"})

	text, err := json.Marshal(rs)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(text), "upstream"), "%s", text)

	var ref version.Ref
	assert.NilError(t, json.Unmarshal([]byte(`{"kind":"upstream","name":"b-1","version":3}`), &ref))
	assert.Equal(t, ref.Kind, version.KindBackend)
}
