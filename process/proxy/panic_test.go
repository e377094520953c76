// SPDX-License-Identifier: MIT

package proxy

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/process/logging"
)

// TestPanicIsLoggedWithID guards against the panic of a handler that can't be told from its request.
func TestPanicIsLoggedWithID(t *testing.T) {
	f := newFixture(t, 1)
	var log syncBuffer
	f.proxy.Log = logging.New(&log)
	f.proxy.ConfigAge = func() time.Duration { panic("a defect") }
	assert.Assert(t, f.send("x1", "/no/such/route", "").err != nil)
	lines := log.lines("handler-panicked")
	assert.Assert(t, len(lines) == 1 && strings.Contains(lines[0], "id=x1 ") && strings.Contains(lines[0], `panic="a defect"`) && strings.Contains(lines[0], "ServeHTTP"), "%q", lines)
}
