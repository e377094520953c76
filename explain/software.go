// SPDX-License-Identifier: MIT

package explain

import "fmt"

// describeVersion returns the software version of the backend server in a line and why the
// request was sent to that version, or "" if the line doesn't state the version.
func (t *Trace) describeVersion(l *Line) string {
	software := l.Get("software")
	switch {
	case software == "":
		return ""
	case l.Get("target") == "true":
		return fmt.Sprintf(" of version %s (%s)", software, t.describeTarget(l))
	case l.Get("declined") == "true":
		return fmt.Sprintf(" of version %s (in force; the target of a roll-out could not take the request)", software)
	default:
		return fmt.Sprintf(" of version %s (in force)", software)
	}
}

// describeTarget explains why the target of a rollout got a request, by the last record of
// the rollout that the instance had logged by then.
func (t *Trace) describeTarget(l *Line) string {
	phase := ""
	for _, c := range t.Context {
		if c.Event == "rollout-record" && c.Instance == l.Instance && !c.Time.After(l.Time) {
			phase = c.Get("phase")
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
