// SPDX-License-Identifier: MIT

package tablestore

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// struck returns the trouble for a caller.
func (s *Store) struck(r *http.Request) Trouble {
	s.mu.Lock()
	defer s.mu.Unlock()
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	if len(s.trouble.Only) > 0 && !slices.Contains(s.trouble.Only, host) {
		return Trouble{}
	}
	return s.trouble
}

// headerEra is in all answers. It rises by one each time that the store comes back from an older copy.
const headerEra = "Store-Era"

// tellEra adds an era to an answer; zero: none.
func tellEra(w http.ResponseWriter, era int64) {
	if era != 0 {
		w.Header().Set(headerEra, strconv.FormatInt(era, 10))
	}
}

// present returns the era.
func (s *Store) present() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	tellEra(w, s.present())
	if !s.count(r) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	t := s.struck(r)
	if t.Delay > 0 {
		time.Sleep(t.Delay)
	}
	if s.fail(w, r, t) {
		return
	}
	switch r.URL.Path {
	case "/v1/rows-get":
		s.serveGet(w, r, t)
	case "/v1/rows-feed":
		s.serveFeed(w, r)
	case pathWrite:
		s.serveTransaction(w, r, t)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// count counts a call, and reports whether the rates allow it.
func (s *Store) count(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[r.URL.Path]++
	if table := r.URL.Query().Get("table"); table != "" {
		s.asked[table]++
	}
	if r.URL.Path == pathWrite {
		return s.writes.take(time.Now())
	}
	return s.reads.take(time.Now())
}

// fail ends a call that trouble strikes, and reports whether it does.
func (s *Store) fail(w http.ResponseWriter, r *http.Request, t Trouble) bool {
	switch {
	case t.Silent:
		select {
		case <-r.Context().Done():
		case <-s.released:
		}
		panic(http.ErrAbortHandler)
	case t.Reset:
		panic(http.ErrAbortHandler)
	case t.Status != 0:
		w.WriteHeader(t.Status)
		return true
	}
	return false
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request, t Trouble) {
	q := r.URL.Query()
	s.mu.Lock()
	at := max(0, s.version-t.Behind)
	rows := s.rows(q.Get("table"), at)
	tellEra(w, s.era)
	s.mu.Unlock()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 {
		limit = 500
	}
	from := q.Get("from")
	rows = slices.DeleteFunc(rows, func(r Row) bool { return r.Key < from })
	more := len(rows) > limit
	answer(w, map[string]any{"rows": rows[:min(limit, len(rows))], "more": more, "ver": at, "now_s": s.Clock().Seconds()})
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, version, floor, hold := s.changed, s.version, s.floor, s.trouble.Hold
		tellEra(w, s.era)
		rows := []Row{}
		for _, x := range s.log {
			if x.Table == q.Get("table") && x.Ver > after && !hold {
				rows = append(rows, x)
			}
		}
		s.mu.Unlock()
		if after < floor {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 {
			answer(w, map[string]any{"rows": rows, "ver": version, "now_s": s.Clock().Seconds()})
			return
		}
		if after > version {
			w.WriteHeader(http.StatusGone) // the store has gone back
			return
		}
		select {
		case <-changed:
			if s.fail(w, r, s.struck(r)) { // trouble strikes questions that are held, too
				return
			}
		case <-over:
			if hold {
				version = after
			}
			answer(w, map[string]any{"rows": rows, "ver": version, "now_s": s.Clock().Seconds()})
			return
		case <-r.Context().Done():
			return
		case <-s.released:
			return
		}
	}
}

// pathWrite is the path of the call that writes.
const pathWrite = "/v1/rows-tx"

// readOnlyTable is the table that the system may not write.
const readOnlyTable = "servers"

type transaction struct {
	Expected []Row `json:"expectedRevision"`
	Put      []Row `json:"put"`
	Delete   []Row `json:"delete"`
	Across   bool  `json:"across"`

	era int64 // in which it was carried out
}

// check returns the status with which a transaction is refused, or 0.
func (x *transaction) check() int {
	parts := make(map[string]bool)
	for _, r := range slices.Concat(x.Expected, x.Put, x.Delete) {
		parts[r.Part] = true
	}
	if len(parts) > 1 && !x.Across {
		return http.StatusBadRequest
	}
	for _, r := range slices.Concat(x.Put, x.Delete) {
		if r.Table == readOnlyTable {
			return http.StatusForbidden
		}
	}
	return 0
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request, t Trouble) {
	var x transaction
	if json.NewDecoder(r.Body).Decode(&x) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if status := x.check(); status != 0 {
		w.WriteHeader(status)
		return
	}
	time.Sleep(t.WriteDelay)
	if t.Late > 0 {
		time.AfterFunc(t.Late, func() { s.commit(&x) })
		panic(http.ErrAbortHandler)
	}
	version, present, ok := s.commit(&x)
	tellEra(w, x.era)
	if ok {
		s.noteWriter(r, &x)
	}
	if t.Lose {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"rows": present, "ver": version, "now_s": s.Clock().Seconds()}) // the caller may be gone
		return
	}
	answer(w, map[string]any{"ver": version, "now_s": s.Clock().Seconds()})
}

// commit carries a transaction out if all that it expects is there; otherwise it
// returns the rows as they are.
func (s *Store) commit(x *transaction) (version int64, present []Row, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	x.era = s.era
	for _, e := range x.Expected {
		found := Row{Table: e.Table, Part: e.Part, Key: e.Key}
		for _, r := range s.rows(e.Table, s.version) {
			if r.Key == e.Key && r.Part == e.Part {
				found = r
			}
		}
		present = append(present, found)
		ok = ok && found.Ver == e.Ver
	}
	if !ok {
		return s.version, present, false
	}
	s.version++
	for _, r := range x.Put {
		r.Ver = s.version
		s.append(r)
	}
	for _, r := range x.Delete {
		r.Ver, r.Gone = s.version, true
		s.append(r)
	}
	return s.version, nil, true
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a caller that is gone needs no answer
}
