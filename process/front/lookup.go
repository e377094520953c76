// SPDX-License-Identifier: MIT

package front

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"shalewick/process/peer"
	"shalewick/request"
	"shalewick/version"
)

// LookupLife is how long a caller may keep the answer to a look-up.
const LookupLife = 3 * time.Second

// maxEntries bounds the instances in an answer to a look-up.
const maxEntries = 4

// maxTickets bounds the tickets in one answer.
const maxTickets = 64

// Lookup is the answer to a look-up.
type Lookup struct {
	Entries []Entry `json:"entries"` // the best first
	LifeMs  int64   `json:"lifeMs"`
}

// Entry is one instance to send requests to.
type Entry struct {
	Address string `json:"address"`
	Hall    string `json:"hall"`
}

// Tickets is the answer to a request for tickets.
type Tickets struct {
	Tickets []string `json:"tickets"`
}

func (f *Front) serveReserved(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case Reserved + "lookup":
		f.serveLookup(w, r)
	case Reserved + "tickets":
		f.serveTickets(w, r)
	default:
		request.NotRun(request.UnknownRoute, 0).Write(w)
	}
}

func (f *Front) serveLookup(w http.ResponseWriter, r *http.Request) {
	b := f.Steer.Active()
	if b == nil || !f.Steer.ConfigFresh() {
		request.NotRun(request.NoVersion, time.Second).Write(w)
		return
	}
	client, err := clientAddress(r)
	if err != nil {
		request.NotRun(request.BadRequest, 0).Write(w)
		return
	}
	hall := version.None
	if site := b.View.Blocks.Lookup(client); site != version.NoSite {
		hall = int32(site)
	}
	now := f.Now()
	tiers := f.tiers.get(b.View, hall, now, func() []*peer.Member { return f.Members.Live(now) })
	writeJSON(w, Lookup{Entries: pickEntries(tiers, client), LifeMs: LookupLife.Milliseconds()})
}

// clientAddress is the "client" parameter, or else where the call came from.
func clientAddress(r *http.Request) (netip.Addr, error) {
	if c := r.URL.Query().Get("client"); c != "" {
		return netip.ParseAddr(c)
	}
	ap, err := netip.ParseAddrPort(r.RemoteAddr)
	return ap.Addr(), err
}

func (f *Front) serveTickets(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(cmp.Or(r.URL.Query().Get("n"), "1"))
	if err != nil || n < 1 {
		request.NotRun(request.BadRequest, 0).Write(w)
		return
	}
	if f.closed.Load() || f.Members.Leaving() {
		request.NotRun(request.Leaving, minRetry).Write(w)
		return
	}
	var ts Tickets
	for range min(n, maxTickets) {
		ts.Tickets = append(ts.Tickets, f.Ledger.Issue().String())
	}
	writeJSON(w, ts)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a caller that is gone needs no answer
}

// candidate is one instance that a look-up can name.
type candidate struct {
	entry Entry
	id    string
}

// tier is instances that are equally near to a hall.
type tier []candidate

// rankTiers groups the instances that are not leaving by how near they are to
// a hall: those in it first, then those in its region, then by the latency
// between regions. For hall None all are alike.
func rankTiers(v *version.View, hall int32, live []*peer.Member) []tier {
	region := version.None
	if hall != version.None {
		region = v.Halls[hall].Region
	}
	byDistance := make(map[time.Duration]tier)
	for _, m := range live {
		if m.GetLeaving() || m.GetGone() {
			continue
		}
		d := distance(v, hall, region, v.Hall(m.GetHall()))
		c := candidate{entry: Entry{Address: m.GetFront(), Hall: m.GetHall()}, id: m.GetId()}
		byDistance[d] = append(byDistance[d], c)
	}
	var out []tier
	for _, d := range slices.Sorted(maps.Keys(byDistance)) {
		out = append(out, byDistance[d])
	}
	return out
}

// pickEntries returns the instances that a client should use, the nearest tier
// first. Within a tier they are ordered by a hash of client and instance, which
// spreads clients evenly and keeps each with the same instances.
func pickEntries(tiers []tier, client netip.Addr) []Entry {
	type hashed struct {
		candidate
		hash uint64
	}
	addr := client.As16()
	entries := make([]Entry, 0, maxEntries)
	for _, t := range tiers {
		hs := make([]hashed, 0, len(t))
		for _, c := range t {
			hs = append(hs, hashed{c, xxhash.Sum64(append(addr[:], c.id...))})
		}
		slices.SortFunc(hs, func(a, b hashed) int { return cmp.Compare(a.hash, b.hash) })
		for _, h := range hs {
			if len(entries) == maxEntries {
				return entries
			}
			entries = append(entries, h.entry)
		}
	}
	return entries
}

// tiersLife is how long ranked instances are kept. entry.DefaultGrace allows
// for it.
const tiersLife = 100 * time.Millisecond

// tierCache keeps the ranked instances of each hall for a short time, so that
// a look-up does not go through all members. The zero value is empty.
type tierCache struct {
	mu     sync.Mutex
	view   *version.View
	at     time.Duration
	byHall map[int32][]tier
}

// get returns the tiers of a hall, ranked anew from live when they are too old
// or of another version.
func (c *tierCache) get(v *version.View, hall int32, now time.Duration, live func() []*peer.Member) []tier {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view != v || now-c.at > tiersLife {
		c.view, c.at = v, now
		c.byHall = make(map[int32][]tier)
	}
	ts, ok := c.byHall[hall]
	if !ok {
		ts = rankTiers(v, hall, live())
		c.byHall[hall] = ts
	}
	return ts
}

// Distances of places that no link tells the latency of.
const (
	sameRegion = time.Microsecond
	farAway    = time.Hour
)

func distance(v *version.View, hall, region, to int32) time.Duration {
	switch {
	case region == version.None:
		return 0 // the client's place is not known; all are alike
	case to == version.None:
		return farAway
	case hall == to:
		return 0
	case v.Halls[to].Region == region:
		return sameRegion
	}
	for _, x := range v.Links[region] {
		if x.To == v.Halls[to].Region {
			return sameRegion + x.Latency
		}
	}
	return farAway
}
