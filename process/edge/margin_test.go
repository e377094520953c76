// SPDX-License-Identifier: MIT

package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStopEndsBeforeKill checks that a stopping process has time to accept requests, to finish them
// and to exit before it would be killed, however short KillAfter is. It guards against a stop that
// ends requests before the last sixth of that time, in which alone the users' rules allow it.
func TestStopEndsBeforeKill(t *testing.T) {
	for _, killAfter := range []time.Duration{minKillAfter, 2 * time.Second, 6 * time.Second, time.Minute} {
		s := Settings{KillAfter: killAfter}
		assert.Assert(t, s.linger() > 0 && s.linger() <= maxLinger, "%s", killAfter)
		assert.Assert(t, s.linger() < s.grace(), "%s", killAfter)
		assert.Assert(t, s.grace() < killAfter, "%s", killAfter)
		assert.Assert(t, s.grace() >= killAfter-killAfter/6, "%s: requests are ended after %s", killAfter, s.grace())
	}
}

func TestSettingsCheck(t *testing.T) {
	good := Settings{
		Instance: "a", Hall: "z", Region: "r", Front: "127.0.0.1:1", Ready: "127.0.0.1:2", Directory: "127.0.0.1:3",
		Control: "127.0.0.1:4", Peer: "127.0.0.1:5", KillAfter: time.Second, DrainWithin: time.Second, RetrySpan: time.Second, LogLevel: "info",
	}
	assert.NilError(t, good.Check())
	for name, change := range map[string]func(*Settings){
		"instance":   func(s *Settings) { s.Instance = "" },
		"hall":       func(s *Settings) { s.Hall = "" },
		"front":      func(s *Settings) { s.Front = "host:1" },
		"peer":       func(s *Settings) { s.Peer = "127.0.0.1" },
		"kill after": func(s *Settings) { s.KillAfter = minKillAfter - 1 },
		"drain":      func(s *Settings) { s.DrainWithin = 0 },
		"retry":      func(s *Settings) { s.RetryFixed = -1 },
		"log-level":  func(s *Settings) { s.LogLevel = "loud" },
	} {
		s := good
		change(&s)
		assert.ErrorContains(t, s.Check(), name)
	}
}
