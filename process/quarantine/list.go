// SPDX-License-Identifier: MIT

package quarantine

import (
	"cmp"
	"slices"

	"shalewick/request"
)

// Entry says of a request whether it is in quarantine.
type Entry struct {
	Request request.Fingerprint `json:"request"`
	// Service is the one whose backend servers it crashed, and Path its host and path,
	// which may be cut short.
	Service string `json:"service"`
	Path    string `json:"path"`
	// Crashes is the number of backend servers that had ended under it at the verdict.
	Crashes int `json:"crashes"`
	// At is when the verdict was made, in milliseconds of the time of day of the instance
	// that made it. It orders entries only where there are too many.
	At int64 `json:"at"`
	// Stamp rises with each change. An even one says that the entry was withdrawn.
	Stamp uint32 `json:"stamp"`
}

// Quarantined reports whether the request is to be refused.
func (e Entry) Quarantined() bool { return e.Stamp%2 == 1 }

// mark mixes request and stamp, so that the marks of two lists differ where they do (the
// finalizer of MurmurHash3).
func (e Entry) hash() uint64 {
	x := uint64(e.Request) ^ (uint64(e.Stamp)+1)*0x9e3779b97f4a7c15
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// list is the entries that an instance knows. Use newList. Lists that were merged with the
// same entries are the same, in whichever order.
type list struct {
	entries map[request.Fingerprint]Entry
	digest  uint64 // of all marks
}

func newList() *list { return &list{entries: make(map[request.Fingerprint]Entry)} }

// merge takes up an entry if it is newer than what is known, and reports whether it was.
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

// sorted returns the entries, the one to be dropped first before the others: the oldest.
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
