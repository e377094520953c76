// SPDX-License-Identifier: MIT

/*
Package tablestore is a test double of the table store of the users' platform. It keeps rows in
tables under a version that rises with each transaction, serves a feed of changes, and rejects calls
beyond its rate limits.

It injects faults on demand: error responses, closed connections, no responses, delays, lost responses
to writes, late commits, a compacted history, stale reads, and a restore from a backup. Faults can be
limited to some clients.
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

// Row is a row in the store's JSON form.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"privateKey"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"gone,omitempty"`

	writtenAt time.Time
}

// Fault describes how the store misbehaves. The zero value injects no fault.
type Fault struct {
	Status       int           // of every response, if not zero
	Unresponsive bool          // calls get no response until the client gives up
	Reset        bool          // closes the connection of each call without a response
	Delay        time.Duration // before each response
	// Endless, if not empty, is the beginning of the body of each response; EndlessUnit follows it until the client closes
	// the connection.
	Endless, EndlessUnit string
	// WriteDelay is the additional delay before a transaction is carried out.
	WriteDelay    time.Duration
	LoseResponses bool // carries transactions out and closes the connection
	// CommitDelay closes the connection of each transaction and commits it after this time, if its
	// conditions still hold.
	CommitDelay time.Duration
	// HoldFeeds hides changes from feeds while it is set.
	HoldFeeds bool
	// ReadLag is the number of versions by which reads lag behind.
	ReadLag int64
	// Clients lists the IP addresses of the clients that the fault affects; empty: all.
	Clients []string
}

// Store is a table store on loopback. Use Start.
type Store struct {
	mu          sync.Mutex
	version     int64
	epoch       int64 // in all responses; zero: in none
	compactedTo int64 // history up to this version was dropped
	history     []Row
	fault       Fault
	changed     chan struct{}
	calls       map[string]int
	tableReads  map[string]int // calls that read rows or changes, by table
	startedAt   time.Time
	server      *httptest.Server
	closing     chan struct{}
	readLimit   rateLimit
	writeLimit  rateLimit
	writers     map[string]string // IP address of the last writer, by table/key
}

// rateLimit limits calls a second; zero is no limit.
type rateLimit struct {
	perSecond int
	second    int64
	used      int
}

// allow counts one call and reports whether the limit of the present second allows it.
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

// Address returns the host and port at which the store listens.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close stops the store and closes its connections.
func (s *Store) Close() {
	close(s.closing)
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFault replaces the present fault. The zero value ends it.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.notifyFeeds()
}

// SetRateLimits limits the calls that read and those that write, in calls a second of all clients
// together; zero is no limit.
func (s *Store) SetRateLimits(reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readLimit.perSecond, s.writeLimit.perSecond = reads, writes
}

// Put writes a row as the operator or a backend server would, and returns its version.
func (s *Store) Put(table, key string, value string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.append(Row{Table: table, Key: key, Value: []byte(value), Version: s.version})
	return s.version
}

// Delete deletes a row and returns the version of its tombstone.
func (s *Store) Delete(table, key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.append(Row{Table: table, Key: key, Version: s.version, Deleted: true})
	return s.version
}

// Compact drops the history: feeds that ask for changes after an older version get status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedTo = s.version
	s.notifyFeeds()
}

// RestoreBackup restores the store to its state of some time ago: later writes are lost, their
// versions are assigned again, and the epoch rises.
func (s *Store) RestoreBackup(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	backupTime := time.Now().Add(-age)
	s.history = slices.DeleteFunc(s.history, func(r Row) bool { return r.writtenAt.After(backupTime) })
	s.version = 0
	for _, r := range s.history {
		s.version = max(s.version, r.Version)
	}
	s.compactedTo = min(s.compactedTo, s.version)
	s.epoch++
	s.notifyFeeds()
}

// SetEpoch sets the epoch in all responses; zero: responses carry none.
func (s *Store) SetEpoch(epoch int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = epoch
}

// Calls returns the number of calls of a path, rejected ones included.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// TableReads returns the number of calls that read a table or its feed of changes.
func (s *Store) TableReads(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tableReads[table]
}

// clockStart is the reading of the monotonic clock at Start.
const clockStart = 1000 * time.Second

// Clock returns the reading of the monotonic clock that responses carry.
func (s *Store) Clock() time.Duration { return clockStart + time.Since(s.startedAt) }

// Value returns the value of a row, and whether the row exists.
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

// Writer returns the IP address of the client that wrote a row last, "" if none did.
func (s *Store) Writer(table, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writers[table+"/"+key]
}

// recordWriter records the client of a transaction as the last writer of its rows.
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

// notifyFeeds wakes the feeds that wait for a change. The caller holds the lock.
func (s *Store) notifyFeeds() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// rows returns the rows of a table as of a version, sorted by key. The caller holds the lock.
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
