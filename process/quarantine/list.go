// SPDX-License-Identifier: MIT

package quarantine

import (
	"cmp"
	"slices"

	"shalewick/request"
)

// Entry states whether a request is in quarantine.
type Entry struct {
	Request request.Fingerprint `json:"request"`
	// Service is the service whose backend servers the request crashed. Path is its host and
	// path, possibly truncated.
	Service string `json:"service"`
	Path    string `json:"path"`
	// Crashes is the number of crashes attributed to the request at the time of the verdict.
	Crashes int `json:"crashes"`
	// At is the time of the verdict in milliseconds, by the clock of the instance that made it.
	// It only decides which entries are dropped when there are too many.
	At int64 `json:"at"`
	// Stamp increases with each change. An even stamp means that the entry was withdrawn.
	Stamp uint32 `json:"stamp"`
}

// Quarantined reports whether the entry is in force.
func (e Entry) Quarantined() bool { return e.Stamp%2 == 1 }

// hash returns a hash of request and stamp (the finalizer of MurmurHash3), from which the
// digest of a list is computed.
func (e Entry) hash() uint64 {
	x := uint64(e.Request) ^ (uint64(e.Stamp)+1)*0x9e3779b97f4a7c15
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// list holds the entries that an instance knows. Create it with newList. Lists into which the
// same entries were merged are equal, whatever the order.
type list struct {
	entries map[request.Fingerprint]Entry
	digest  uint64 // XOR of the hashes of all entries
}

func newList() *list { return &list{entries: make(map[request.Fingerprint]Entry)} }

// merge adds an entry if it is newer than the known one, and reports whether it was.
func (l *list) merge(e Entry) bool {
	old, known := l.entries[e.Request]
	if e.Request == 0 || e.Stamp == 0 || known && e.Stamp <= old.Stamp {
		return false
	}
	if known {
		l.digest ^= old.hash()
	}
	l.entries[e.Request] = e
	l.digest ^= e.hash()
	for len(l.entries) > MaxEntries {
		l.drop(l.sorted()[0])
	}
	_, kept := l.entries[e.Request]
	return kept
}

func (l *list) drop(e Entry) {
	delete(l.entries, e.Request)
	l.digest ^= e.hash()
}

// sorted returns the entries, oldest first, in the order in which they are dropped.
func (l *list) sorted() []Entry {
	out := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Request, b.Request))
	})
	return out
}
