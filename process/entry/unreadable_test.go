// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/process/config"
	"shalewick/process/logging"
	"shalewick/process/platform"
	standin "shalewick/standin/platform"
	"shalewick/version"
)

// TestOddRowsDoNotStopPolling guards against an instance that refuses all requests because another writer
// left an odd row in the tables that it reads, or damaged a change that it had not read yet.
func TestOddRowsDoNotStopPolling(t *testing.T) {
	for _, x := range []struct{ name, table, key, reason, value string }{
		{"stray row between changes", "changes", "00000000000000000001x", "key", `{"seq":"2"}`},
		{"damaged change", "changes", "00000000000000000002", "unreadable", `{"seq":"2"}`},
		{"head", "config", "head", "unreadable", `{"seq":"2"}`},
		{"member", "members", "odd", "unreadable", `{"seq":"2"}`},
		{"member of another name", "members", "odd", "key", `{"id":"live","gone":true}`},
	} {
		t.Run(x.name, func(t *testing.T) {
			var s standin.Server
			srv := httptest.NewServer(s.Handler())
			defer srv.Close()
			operator := &config.Log{Platform: platform.NewClient(srv.URL), Store: &config.Store{Now: newTestEntry().now, OnInstall: func(*version.Config, *version.View) {}}}
			commit := func(text string, v int64) {
				_, err := operator.Commit(context.Background(), version.Change{Operation: text, Puts: []version.Resource{{
					Key: version.Key{Kind: version.KindRegion, Name: "r"}, Version: v, Region: &version.Region{Description: text},
				}}}, func(*version.Config, *version.Change) error { return nil })
				assert.NilError(t, err)
			}
			e := newTestEntry()
			var log strings.Builder
			e.platform = platform.NewClient(srv.URL)
			e.changes.Platform = e.platform
			e.skipped.log = logging.New(&log)
			commit("1", 0)
			e.poll(context.Background())
			assert.Assert(t, e.Ready())
			commit("2", 1)
			op := platform.Op{Kind: platform.OpPut, Table: x.table, Key: x.key, Revision: platform.AnyRevision, Value: json.RawMessage(x.value)}
			assert.NilError(t, e.platform.Commit(context.Background(), []platform.Op{op}))
			for range 3 {
				time.Sleep(20 * time.Millisecond) // since the last confirmation
				polledAt := e.now()
				e.poll(context.Background())
				age, _ := e.steer.ConfigAge()
				assert.Assert(t, e.now()-age >= polledAt, "the poll did not confirm the configuration: %s", age)
			}
			assert.Equal(t, strings.Count(log.String(), "row-skipped"), 1, log.String())
			assert.Assert(t, strings.Contains(log.String(), "row="+x.key) && strings.Contains(log.String(), "reason="+x.reason), log.String())
		})
	}
}
