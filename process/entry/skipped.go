// SPDX-License-Identifier: MIT

package entry

import (
	"fmt"
	"sync"

	"github.com/rs/zerolog"

	"shalewick/process/metric"
	"shalewick/process/state"
)

// Reasons why a row can't be used.
const (
	reasonUnreadable = "unreadable" // it has another format
	reasonKey        = "key"        // it contains another id than its key
)

// maxSkippedRows bounds the number of rows that are remembered as logged, because rows may be written by
// anyone.
const maxSkippedRows = 1000

// skippedRows logs and counts rows of the platform that can't be used. A row is reported once, and again
// when it can't be used for another reason. Log and metrics must be set before use.
type skippedRows struct {
	log     zerolog.Logger
	metrics *metric.Set

	mu       sync.Mutex
	reported map[string]string // errors by table and key
}

// report logs and counts a row.
func (s *skippedRows) report(table string, err *state.RowError) {
	id, text := table+"/"+err.Key, err.Error()
	s.mu.Lock()
	known := s.reported[id] == text
	if s.reported == nil || len(s.reported) >= maxSkippedRows {
		s.reported = make(map[string]string)
	}
	s.reported[id] = text
	s.mu.Unlock()
	if known {
		return
	}
	s.metrics.Counter(fmt.Sprintf("rows_skipped_total{table=%q,reason=%q}", table, err.Reason)).Inc(1)
	s.log.Warn().Err(err.Err).Str("table", table).Str("row", err.Key).Str("reason", err.Reason).Msg("row-skipped")
}
