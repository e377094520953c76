// SPDX-License-Identifier: MIT

package version_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shalewick/request"
	"shalewick/version"
)

// TestRouteMatchesLinearSearch compares the lookup of a route with a linear search over
// random prefixes.
func TestRouteMatchesLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.StringMatching(`[ab]{0,2}`)
		path := func(label string) string {
			return "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, label), "/")
		}
		c := &version.Config{Seq: 1, Resources: map[version.Key]version.Resource{}}
		service := version.Key{Kind: version.KindService, Name: "s"}
		c.Resources[service] = version.Resource{Key: service, Service: &version.Service{}}
		prefixes := map[string]bool{}
		for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
			prefix := strings.TrimSuffix(path(fmt.Sprint("prefix", i)), "/") + "/"
			if prefixes[prefix] {
				continue
			}
			prefixes[prefix] = true
			key := version.Key{Kind: version.KindRoute, Name: fmt.Sprint("r", i)}
			c.Resources[key] = version.Resource{Key: key, Route: &version.Route{
				Host: "a.example", Prefix: prefix, Class: request.ClassRead, Timeout: version.Duration(time.Second),
				Split: []version.WeightedService{{Service: "s", Weight: 1}},
			}}
		}
		requested := path("requested")
		want := ""
		for prefix := range prefixes {
			if strings.HasPrefix(requested, prefix) && len(prefix) > len(want) {
				want = prefix
			}
		}
		got := ""
		if v := version.CompileRouting(c, nil).Route("a.example:80", requested); v != nil {
			got = v.Prefix
		}
		if got != want {
			t.Fatalf("%q: got %q, want %q, of %v", requested, got, want, prefixes)
		}
	})
}
