// SPDX-License-Identifier: MIT

package tablestore

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// faultFor returns the fault that applies to the sender of a request.
func (s *Store) faultFor(r *http.Request) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	if len(s.fault.Clients) > 0 && !slices.Contains(s.fault.Clients, host) {
		return Fault{}
	}
	return s.fault
}

// headerEpoch carries the epoch of the store in each response. The epoch rises by one each time that
// the store is restored from a backup.
const headerEpoch = "Store-Era"

// setEpochHeader adds the epoch to a response; zero adds no header.
func setEpochHeader(w http.ResponseWriter, epoch int64) {
	if epoch != 0 {
		w.Header().Set(headerEpoch, strconv.FormatInt(epoch, 10))
	}
}

// currentEpoch returns the epoch of the store.
func (s *Store) currentEpoch() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	setEpochHeader(w, s.currentEpoch())
	if !s.admit(r) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	f := s.faultFor(r)
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if s.injectFault(w, r, f) {
		return
	}
	switch r.URL.Path {
	case "/v1/rows-get":
		s.serveGet(w, r, f)
	case "/v1/rows-feed":
		s.serveFeed(w, r)
	case pathWrite:
		s.serveTransaction(w, r, f)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// admit counts a call and reports whether the rate limits allow it.
func (s *Store) admit(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[r.URL.Path]++
	if table := r.URL.Query().Get("table"); table != "" {
		s.tableReads[table]++
	}
	if r.URL.Path == pathWrite {
		return s.writeLimit.allow(time.Now())
	}
	return s.readLimit.allow(time.Now())
}

// injectFault fails a call as the fault demands. It reports whether it wrote a response, and panics
// with http.ErrAbortHandler to close the connection without one.
func (s *Store) injectFault(w http.ResponseWriter, r *http.Request, f Fault) bool {
	switch {
	case f.Unresponsive:
		select {
		case <-r.Context().Done():
		case <-s.closing:
		}
		panic(http.ErrAbortHandler)
	case f.Reset:
		panic(http.ErrAbortHandler)
	case f.Status != 0:
		w.WriteHeader(f.Status)
		return true
	case f.Endless != "":
		respondEndlessly(w, f)
		return true
	}
	return false
}

// endlessWriteBytes is the number of bytes of an endless response that are written at a time, about.
const endlessWriteBytes = 64 << 10

// respondEndlessly writes a body that has no end, until the client closes the connection.
func respondEndlessly(w http.ResponseWriter, f Fault) {
	_, err := io.WriteString(w, f.Endless)
	units := strings.Repeat(f.EndlessUnit, endlessWriteBytes/len(f.EndlessUnit))
	for err == nil {
		_, err = io.WriteString(w, units)
	}
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request, f Fault) {
	q := r.URL.Query()
	s.mu.Lock()
	at := max(0, s.version-f.ReadLag)
	rows := s.rows(q.Get("table"), at)
	setEpochHeader(w, s.epoch)
	s.mu.Unlock()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 {
		limit = 500
	}
	from := q.Get("from")
	rows = slices.DeleteFunc(rows, func(r Row) bool { return r.Key < from })
	more := len(rows) > limit
	respond(w, map[string]any{"rows": rows[:min(limit, len(rows))], "more": more, "ver": at, "now_s": s.Clock().Seconds()})
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, version, compactedTo, hold := s.changed, s.version, s.compactedTo, s.fault.HoldFeeds
		setEpochHeader(w, s.epoch)
		rows := []Row{}
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.Version > after && !hold {
				rows = append(rows, x)
			}
		}
		s.mu.Unlock()
		if after < compactedTo {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 {
			respond(w, map[string]any{"rows": rows, "ver": version, "now_s": s.Clock().Seconds()})
			return
		}
		if after > version {
			w.WriteHeader(http.StatusGone) // the store was restored from a backup
			return
		}
		select {
		case <-changed:
			if s.injectFault(w, r, s.faultFor(r)) { // a fault also fails requests that wait already
				return
			}
		case <-timeout:
			if hold {
				version = after
			}
			respond(w, map[string]any{"rows": rows, "ver": version, "now_s": s.Clock().Seconds()})
			return
		case <-r.Context().Done():
			return
		case <-s.closing:
			return
		}
	}
}

// pathWrite is the path of write transactions.
const pathWrite = "/v1/rows-tx"

// readOnlyTable is the table of the backend servers, which clients may not write.
const readOnlyTable = "servers"

type transaction struct {
	Expected    []Row `json:"expectedRevision"`
	Put         []Row `json:"put"`
	Delete      []Row `json:"delete"`
	AcrossParts bool  `json:"across"`

	epoch int64 // of the store at commit
}

// check returns the status with which an invalid transaction is rejected, or 0.
func (x *transaction) check() int {
	parts := make(map[string]bool)
	for _, r := range slices.Concat(x.Expected, x.Put, x.Delete) {
		parts[r.Part] = true
	}
	if len(parts) > 1 && !x.AcrossParts {
		return http.StatusBadRequest
	}
	for _, r := range slices.Concat(x.Put, x.Delete) {
		if r.Table == readOnlyTable {
			return http.StatusForbidden
		}
	}
	return 0
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request, f Fault) {
	var x transaction
	if json.NewDecoder(r.Body).Decode(&x) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if status := x.check(); status != 0 {
		w.WriteHeader(status)
		return
	}
	time.Sleep(f.WriteDelay)
	if f.CommitDelay > 0 {
		time.AfterFunc(f.CommitDelay, func() { s.commit(&x) })
		panic(http.ErrAbortHandler)
	}
	version, present, ok := s.commit(&x)
	setEpochHeader(w, x.epoch)
	if ok {
		s.recordWriter(r, &x)
	}
	if f.LoseResponses {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"rows": present, "ver": version, "now_s": s.Clock().Seconds()}) // the client may have disconnected
		return
	}
	respond(w, map[string]any{"ver": version, "now_s": s.Clock().Seconds()})
}

// commit carries out a transaction if all rows have the versions that it expects. Otherwise it
// changes nothing and returns the present state of these rows.
func (s *Store) commit(x *transaction) (version int64, present []Row, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	x.epoch = s.epoch
	for _, e := range x.Expected {
		found := Row{Table: e.Table, Part: e.Part, Key: e.Key}
		for _, r := range s.rows(e.Table, s.version) {
			if r.Key == e.Key && r.Part == e.Part {
				found = r
			}
		}
		present = append(present, found)
		ok = ok && found.Version == e.Version
	}
	if !ok {
		return s.version, present, false
	}
	s.version++
	for _, r := range x.Put {
		r.Version = s.version
		s.append(r)
	}
	for _, r := range x.Delete {
		r.Version, r.Deleted = s.version, true
		s.append(r)
	}
	return s.version, nil, true
}

func respond(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
