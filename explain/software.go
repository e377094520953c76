// SPDX-License-Identifier: MIT

package explain

import "fmt"

// versionText tells which version of its software the backend server of a line runs, and
// why the request went to it; "" if the line does not say.
func (s *Trace) describeVersion(l *Line) string {
	software := l.Get("software")
	switch {
	case software == "":
		return ""
	case l.Get("target") == "true":
		return fmt.Sprintf(" of version %s (%s)", software, s.describeTarget(l))
	case l.Get("declined") == "true":
		return fmt.Sprintf(" of version %s (in force; the target of a roll-out could not take the request)", software)
	default:
		return fmt.Sprintf(" of version %s (in force)", software)
	}
}

// targetText tells why a target got a request, from the last record of the roll-out that
// the instance knew.
func (s *Trace) describeTarget(l *Line) string {
	phase := ""
	for _, b := range s.Context {
		if b.Event == "rollout-record" && b.Instance == l.Instance && !b.Time.After(l.Time) {
			phase = b.Get("phase")
		}
	}
	switch phase {
	case "promote":
		return "promoted: it gets all requests"
	case "canary":
		return "canary: it gets a few"
	default:
		return "the target of a roll-out"
	}
}
