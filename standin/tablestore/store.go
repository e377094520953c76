// SPDX-License-Identifier: MIT

/*
Package tablestore is a stand-in of the store of the users' platform: rows in
tables under a version that rises with each transaction, and a feed of what
changed; calls beyond its rates are refused. It misbehaves on demand: refuses,
resets, is silent, is slow, loses answers of writes or carries them out late,
forgets its history, reads behind, and turns some callers away. It is for tests.
*/
package tablestore

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Row is a row as the store writes it.
type Row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"privateKey"`
	Value []byte `json:"value,omitempty"`
	Ver   int64  `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

// Trouble says how the store misbehaves. The zero value is a well one.
type Trouble struct {
	Status int           // answers this to everything, if not zero
	Silent bool          // answers nothing
	Reset  bool          // breaks each call off
	Delay  time.Duration // before each answer
	// WriteDelay is how long writes take to be carried out.
	WriteDelay time.Duration
	Lose       bool // carries writes out and breaks the call off
	// Late breaks writes off and carries them out so much later, if what they
	// expect still holds.
	Late time.Duration
	// Hold hides changes from feeds.
	Hold bool
	// Behind is the number of versions that reads are behind.
	Behind int64
	// Only lists the callers, by IP number, that Trouble strikes; empty: all.
	Only []string
}

// Store is the stand-in.
type Store struct {
	mu       sync.Mutex
	version  int64
	floor    int64 // the history up to here is forgotten
	log      []Row
	trouble  Trouble
	changed  chan struct{}
	calls    map[string]int
	asked    map[string]int // calls that read, by table
	began    time.Time
	server   *httptest.Server
	released chan struct{}
	reads    rate
	writes   rate
	writers  map[string]string // by table and key
}

// rate bounds calls a second; zero is no bound.
type rate struct {
	perSecond int
	second    int64
	used      int
}

// take uses one call, or reports that none is left in this second.
func (r *rate) take(now time.Time) bool {
	if second := now.Unix(); second != r.second {
		r.second, r.used = second, 0
	}
	r.used++
	return r.perSecond == 0 || r.used <= r.perSecond
}

// Start starts a store on loopback.
func Start() *Store {
	s := &Store{
		changed: make(chan struct{}), calls: make(map[string]int), asked: make(map[string]int),
		released: make(chan struct{}), began: time.Now(), writers: make(map[string]string),
	}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

// Address is where the store listens.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close ends the store.
func (s *Store) Close() {
	close(s.released)
	s.server.CloseClientConnections()
	s.server.Close()
}

// Set makes the store misbehave, or well again.
func (s *Store) Set(t Trouble) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble = t
	s.wake()
}

// SetRates bounds the calls that read and that write, in calls a second over all
// callers; zero is no bound.
func (s *Store) SetRates(reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads.perSecond, s.writes.perSecond = reads, writes
}

// Put writes a row, as the operator or a backend server would.
func (s *Store) Put(table, key string, value string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.append(Row{Table: table, Key: key, Value: []byte(value), Ver: s.version})
	return s.version
}

// Drop removes a row.
func (s *Store) Drop(table, key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.append(Row{Table: table, Key: key, Ver: s.version, Gone: true})
	return s.version
}

// Compact forgets the history: feeds that are behind get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor = s.version
	s.wake()
}

// Calls returns the number of calls of a path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Asked returns the number of calls that read a table or asked for its changes.
func (s *Store) Asked(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked[table]
}

// clockStart is what the steady clock showed at the start.
const clockStart = 1000 * time.Second

// Clock returns the steady clock that answers carry.
func (s *Store) Clock() time.Duration { return clockStart + time.Since(s.began) }

// Value returns the value of a row, and whether it is there.
func (s *Store) Value(table, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.rows(table, s.version) {
		if r.Key == key {
			return r.Value, true
		}
	}
	return nil, false
}

// Writer returns the IP number of the caller that wrote a row last, "" if none did.
func (s *Store) Writer(table, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writers[table+"/"+key]
}

// noteWriter notes who carried a transaction out.
func (s *Store) noteWriter(r *http.Request, x *transaction) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range x.Put {
		s.writers[row.Table+"/"+row.Key] = host
	}
}

func (s *Store) append(r Row) {
	s.log = append(s.log, r)
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// rows returns the rows of a table as of a version, by rising key.
func (s *Store) rows(table string, at int64) []Row {
	last := make(map[string]Row)
	for _, r := range s.log {
		if r.Table == table && r.Ver <= at {
			last[r.Key] = r
		}
	}
	var out []Row
	for _, r := range last {
		if !r.Gone {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return out
}

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

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
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
