// SPDX-License-Identifier: MIT

package balance

import "time"

// maxSeenPairs bounds the recorded pairs of object and backend server.
const maxSeenPairs = 1 << 16

// seenObjects records which objects backend servers have processed for this instance. The zero
// value is empty.
type seenObjects struct {
	at map[uint64]time.Duration // by pair
}

func pair(object, backend uint64) uint64 { return object*0x9e3779b97f4a7c15 ^ backend }

// record records that a backend server processed an object. Object zero means none.
func (s *seenObjects) record(object, backend uint64, now time.Duration) {
	if object == 0 {
		return
	}
	if s.at == nil || len(s.at) >= maxSeenPairs {
		s.at = make(map[uint64]time.Duration) // the next requests add entries again
	}
	s.at[pair(object, backend)] = now
}

// has reports whether a backend server processed an object within a time.
func (s *seenObjects) has(object, backend uint64, now, within time.Duration) bool {
	at, ok := s.at[pair(object, backend)]
	return ok && now-at < within
}
