// SPDX-License-Identifier: MIT

/*
Package tablestore is a stand-in of the store of the users' platform: rows in
tables under a version that rises with each transaction, and a feed of what
changed; calls beyond its rates are refused. It misbehaves on demand: refuses,
resets, is silent, is slow, loses answers of writes or carries them out late,
forgets its history, reads behind, turns some callers away, and comes back from an older copy.
It is for tests.
*/
package tablestore

import (
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"
)

// Row is a row as the store writes it.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"privateKey"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"gone,omitempty"`

	writtenAt time.Time // when it was written
}

// Trouble says how the store misbehaves. The zero value is a well one.
type Fault struct {
	Status       int           // answers this to everything, if not zero
	Unresponsive bool          // answers nothing
	Reset        bool          // breaks each call off
	Delay        time.Duration // before each answer
	// WriteDelay is how long writes take to be carried out.
	WriteDelay    time.Duration
	LoseResponses bool // carries writes out and breaks the call off
	// Late breaks writes off and carries them out so much later, if what they
	// expect still holds.
	CommitDelay time.Duration
	// Hold hides changes from feeds.
	HoldFeeds bool
	// Behind is the number of versions that reads are behind.
	ReadLag int64
	// Only lists the callers, by IP number, that Trouble strikes; empty: all.
	Callers []string
}

// Store is the stand-in.
type Store struct {
	mu          sync.Mutex
	version     int64
	epoch       int64 // in all answers; zero: in none
	compactedTo int64 // the history up to here is forgotten
	history     []Row
	fault       Fault
	changed     chan struct{}
	calls       map[string]int
	tableReads  map[string]int // calls that read, by table
	startedAt   time.Time
	server      *httptest.Server
	closing     chan struct{}
	readLimit   rateLimit
	writeLimit  rateLimit
	writers     map[string]string // by table and key
}

// rate bounds calls a second; zero is no bound.
type rateLimit struct {
	perSecond int
	second    int64
	used      int
}

// take uses one call, or reports that none is left in this second.
func (r *rateLimit) allow(now time.Time) bool {
	if second := now.Unix(); second != r.second {
		r.second, r.used = second, 0
	}
	r.used++
	return r.perSecond == 0 || r.used <= r.perSecond
}

// Start starts a store on loopback.
func Start() *Store {
	s := &Store{
		changed: make(chan struct{}), calls: make(map[string]int), tableReads: make(map[string]int),
		closing: make(chan struct{}), startedAt: time.Now(), writers: make(map[string]string),
	}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

// Address is where the store listens.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close ends the store.
func (s *Store) Close() {
	close(s.closing)
	s.server.CloseClientConnections()
	s.server.Close()
}

// Set makes the store misbehave, or well again.
func (s *Store) SetFault(t Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = t
	s.notifyFeeds()
}

// SetRates bounds the calls that read and that write, in calls a second over all
// callers; zero is no bound.
func (s *Store) SetRateLimits(reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readLimit.perSecond, s.writeLimit.perSecond = reads, writes
}

// Put writes a row, as the operator or a backend server would.
func (s *Store) Put(table, key string, value string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.append(Row{Table: table, Key: key, Value: []byte(value), Version: s.version})
	return s.version
}

// Drop removes a row.
func (s *Store) Delete(table, key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.append(Row{Table: table, Key: key, Version: s.version, Deleted: true})
	return s.version
}

// Compact forgets the history: feeds that are behind get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedTo = s.version
	s.notifyFeeds()
}

// GoBack makes the store come back from a copy of some time ago: what was written since is gone, its
// versions are given out again, and the era rises.
func (s *Store) RestoreBackup(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := time.Now().Add(-age)
	s.history = slices.DeleteFunc(s.history, func(r Row) bool { return r.writtenAt.After(from) })
	s.version = 0
	for _, r := range s.history {
		s.version = max(s.version, r.Version)
	}
	s.compactedTo = min(s.compactedTo, s.version)
	s.epoch++
	s.notifyFeeds()
}

// SetEra sets the era in all answers; zero: none has it.
func (s *Store) SetEpoch(era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = era
}

// Calls returns the number of calls of a path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Asked returns the number of calls that read a table or asked for its changes.
func (s *Store) TableReads(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tableReads[table]
}

// clockStart is what the steady clock showed at the start.
const clockStart = 1000 * time.Second

// Clock returns the steady clock that answers carry.
func (s *Store) Clock() time.Duration { return clockStart + time.Since(s.startedAt) }

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
func (s *Store) recordWriter(r *http.Request, x *transaction) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range x.Put {
		s.writers[row.Table+"/"+row.Key] = host
	}
}

func (s *Store) append(r Row) {
	r.writtenAt = time.Now()
	s.history = append(s.history, r)
	s.notifyFeeds()
}

func (s *Store) notifyFeeds() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// rows returns the rows of a table as of a version, by rising key.
func (s *Store) rows(table string, at int64) []Row {
	last := make(map[string]Row)
	for _, r := range s.history {
		if r.Table == table && r.Version <= at {
			last[r.Key] = r
		}
	}
	var out []Row
	for _, r := range last {
		if !r.Deleted {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return out
}
