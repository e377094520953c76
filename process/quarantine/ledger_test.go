// SPDX-License-Identifier: MIT

package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shalewick/process/crash"
	"shalewick/request"
)

func suspects(fs ...request.Fingerprint) (out []crash.Suspect) {
	for _, f := range fs {
		out = append(out, crash.Suspect{Request: f, Path: "a.example/" + f.String()})
	}
	return out
}

// newCrashLedger returns a ledger with one crash per second, with the given suspects.
func newCrashLedger(list ...[]request.Fingerprint) *ledger {
	l := new(ledger)
	for i, requests := range list {
		at := time.Duration(i) * time.Second
		l.add(crashID(i), at, suspects(requests...), at)
	}
	return l
}

func culpritsOf(l *ledger) (out []request.Fingerprint) {
	for _, x := range l.culprits(time.Hour) {
		out = append(out, x.Request)
	}
	return out
}

// TestMostFrequentSuspectIsCulprit checks which requests are found for crashes caused by
// request 1 while others are in flight.
func TestMostFrequentSuspectIsCulprit(t *testing.T) {
	for name, x := range map[string]struct {
		crashes [][]request.Fingerprint
		want    []request.Fingerprint
	}{
		"two crashes are too few":       {[][]request.Fingerprint{{1}, {1}}, nil},
		"no other suspects":             {[][]request.Fingerprint{{1}, {1}, {1}}, []request.Fingerprint{1}},
		"different other suspects":      {[][]request.Fingerprint{{2, 1, 3}, {6, 4, 1}, {5, 1}}, []request.Fingerprint{1}},
		"another suspect repeats":       {[][]request.Fingerprint{{2, 1, 3}, {3, 4, 1}, {5, 1}}, nil},
		"next crash decides":            {[][]request.Fingerprint{{2, 1, 3}, {3, 4, 1}, {5, 1}, {6, 1}}, []request.Fingerprint{1}},
		"two suspects at three crashes": {[][]request.Fingerprint{{1, 2}, {1, 2}, {1, 2}}, nil},
		"fifth crash decides":           {[][]request.Fingerprint{{1, 2}, {1, 2}, {1, 2}, {1, 2}, {1}}, []request.Fingerprint{1}},
		"two suspects at five crashes":  {[][]request.Fingerprint{{1, 2}, {1, 2}, {1, 2}, {1, 2}, {1, 2}}, []request.Fingerprint{1, 2}},
		"unrelated crashes":             {[][]request.Fingerprint{{1, 2}, {3, 4}, {5, 6}, {7, 1}, {2, 8}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			l := newCrashLedger(x.crashes...)
			got := culpritsOf(l)
			assert.Equal(t, len(got), len(x.want))
			for _, f := range x.want {
				assert.Assert(t, got[0] == f || got[len(got)-1] == f)
			}
		})
	}
}

// TestAttributedCrashesDoNotCount checks that a request which was in flight beside the culprit
// at several crashes is no culprit once these are attributed.
func TestAttributedCrashesDoNotCount(t *testing.T) {
	l := newCrashLedger([]request.Fingerprint{1, 2}, []request.Fingerprint{1, 2}, []request.Fingerprint{1, 2}, []request.Fingerprint{1, 2}, []request.Fingerprint{1})
	assert.DeepEqual(t, culpritsOf(l), []request.Fingerprint{1})
	l.attribute(1)
	assert.Equal(t, len(l.crashes), 0)
	for id := range crashID(5) { // late reports
		l.add(id, 0, suspects(2), 0)
	}
	assert.Equal(t, len(l.crashes), 0)
}

// TestTwoCulpritsAreFoundInTurn checks two culprits that alternate, while a third request was in
// flight beside both.
func TestTwoCulpritsAreFoundInTurn(t *testing.T) {
	l := newCrashLedger([]request.Fingerprint{1, 9}, []request.Fingerprint{2}, []request.Fingerprint{1}, []request.Fingerprint{2, 9},
		[]request.Fingerprint{1}, []request.Fingerprint{1}, []request.Fingerprint{2}, []request.Fingerprint{1})
	assert.DeepEqual(t, culpritsOf(l), []request.Fingerprint{1})
	l.attribute(1)
	assert.DeepEqual(t, culpritsOf(l), []request.Fingerprint{2})
	l.attribute(2)
	assert.Equal(t, len(culpritsOf(l)), 0)
}

// TestAnsweredRequestIsNoSuspect checks that crashes before a response do not count, and those
// after it do.
func TestAnsweredRequestIsNoSuspect(t *testing.T) {
	l := newCrashLedger([]request.Fingerprint{1}, []request.Fingerprint{1}, []request.Fingerprint{1})
	l.removeSuspect(1, 1500*time.Millisecond)
	assert.Equal(t, len(culpritsOf(l)), 0)
	l.add(4, 4*time.Second, suspects(1), 4*time.Second)
	l.add(5, 5*time.Second, suspects(1), 5*time.Second)
	assert.DeepEqual(t, culpritsOf(l), []request.Fingerprint{1})
}

// TestDuplicateReportsAreOneCrash checks repeated reports of several instances.
func TestDuplicateReportsAreOneCrash(t *testing.T) {
	l := new(ledger)
	for range 5 {
		l.add(7, 0, suspects(1), 0)
		l.add(7, 0, suspects(2), time.Second)
	}
	assert.Equal(t, len(l.crashes), 1)
	assert.Equal(t, len(l.crashes[0].suspects), 2)
	assert.Equal(t, len(culpritsOf(l)), 0)
}

// TestVerdictWaitsForOtherReports checks that a crash does not count until settleTime has passed.
func TestVerdictWaitsForOtherReports(t *testing.T) {
	l := newCrashLedger([]request.Fingerprint{1}, []request.Fingerprint{1}, []request.Fingerprint{1})
	assert.Equal(t, len(l.culprits(2*time.Second+settleTime-1)), 0)
	assert.Equal(t, len(l.culprits(2*time.Second+settleTime)), 1)
}

// TestLedgerIsBounded checks the limits of a ledger, and that old crashes are dropped.
func TestLedgerIsBounded(t *testing.T) {
	l := new(ledger)
	for i := range 4 * maxCrashes {
		var requests []request.Fingerprint
		for j := range 2 * maxSuspects {
			requests = append(requests, request.Fingerprint(i*1000+j+1))
		}
		l.add(crashID(i), time.Duration(i), suspects(requests...), time.Duration(i))
	}
	assert.Equal(t, len(l.crashes), maxCrashes)
	for _, c := range l.crashes {
		assert.Equal(t, len(c.suspects), maxSuspects)
	}
	l.add(1, 2*crashLifetime, nil, 2*crashLifetime)
	assert.Equal(t, len(l.crashes), 1)
}

// BenchmarkVerdict measures the search for culprits in a full ledger.
func BenchmarkVerdict(b *testing.B) {
	l := new(ledger)
	for i := range maxCrashes {
		var requests []request.Fingerprint
		for j := range maxSuspects {
			requests = append(requests, request.Fingerprint(i*1000+j+1))
		}
		l.add(crashID(i), 0, suspects(requests...), 0)
	}
	b.ReportAllocs()
	for b.Loop() {
		l.culprits(time.Hour)
	}
}
