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

// LookupTTL is how long callers may cache the response to a lookup.
const LookupTTL = 3 * time.Second

// maxLookupEntries limits the instances in the response to a lookup.
const maxLookupEntries = 4

// maxIssuedTickets limits the tickets in one response.
const maxIssuedTickets = 64

// Lookup is the response to a lookup.
type Lookup struct {
	Entries []Entry `json:"entries"` // in order of preference
	LifeMs  int64   `json:"lifeMs"`
}

// Entry is one instance to send requests to.
type Entry struct {
	Address string `json:"address"`
	Hall    string `json:"hall"`
}

// Tickets is the response to a request for tickets.
type Tickets struct {
	Tickets []string `json:"tickets"`
}

func (f *Front) serveReserved(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case ReservedPrefix + "lookup":
		f.serveLookup(w, r)
	case ReservedPrefix + "tickets":
		f.serveTickets(w, r)
	default:
		request.NotRun(request.UnknownRoute, 0).Write(w)
	}
}

func (f *Front) serveLookup(w http.ResponseWriter, r *http.Request) {
	bound := f.Steer.Active()
	if bound == nil || !f.Steer.ConfigFresh() {
		request.NotRun(request.NoVersion, time.Second).Write(w)
		return
	}
	client, err := lookupClient(r)
	if err != nil {
		request.NotRun(request.BadRequest, 0).Write(w)
		return
	}
	hall := version.None
	if site := bound.View.Blocks.Lookup(client); site != version.NoSite {
		hall = int32(site)
	}
	now := f.Now()
	tiers := f.tierCache.get(bound.View, hall, now, func() []*peer.Member { return f.Members.Live(now) })
	writeJSON(w, Lookup{Entries: pickEntries(tiers, client), LifeMs: LookupTTL.Milliseconds()})
}

// lookupClient returns the address in the "client" parameter, or else the remote address.
func lookupClient(r *http.Request) (netip.Addr, error) {
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
	if f.closing.Load() || f.Members.Leaving() {
		request.NotRun(request.Leaving, minRetryAfter).Write(w)
		return
	}
	var ts Tickets
	for range min(n, maxIssuedTickets) {
		ts.Tickets = append(ts.Tickets, f.Ledger.Issue().String())
	}
	writeJSON(w, ts)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has disconnected
}

// candidate is one instance that a lookup can return.
type candidate struct {
	entry Entry
	id    string
}

// tier is a group of instances at equal distance from a hall.
type tier []candidate

// rankTiers groups the instances that are not leaving by their distance from a
// hall: first those in the hall, then those in its region, then the others by
// the latency between the regions. If hall is None, all are in one tier.
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

// pickEntries returns the instances that a client should use, nearest tier
// first. Within a tier, rendezvous hashing of client and instance spreads
// clients evenly and keeps each client on the same instances.
func pickEntries(tiers []tier, client netip.Addr) []Entry {
	type hashed struct {
		candidate
		hash uint64
	}
	addr := client.As16()
	entries := make([]Entry, 0, maxLookupEntries)
	for _, t := range tiers {
		hs := make([]hashed, 0, len(t))
		for _, c := range t {
			hs = append(hs, hashed{c, xxhash.Sum64(append(addr[:], c.id...))})
		}
		slices.SortFunc(hs, func(a, b hashed) int { return cmp.Compare(a.hash, b.hash) })
		for _, h := range hs {
			if len(entries) == maxLookupEntries {
				return entries
			}
			entries = append(entries, h.entry)
		}
	}
	return entries
}

// tierCacheTTL is how long ranked instances are cached. entry.DefaultGrace
// takes it into account.
const tierCacheTTL = 100 * time.Millisecond

// tierCache caches the ranked instances of each hall, so that a lookup does
// not have to rank all members. The zero value is an empty cache.
type tierCache struct {
	mu     sync.Mutex
	view   *version.View
	at     time.Duration
	byHall map[int32][]tier
}

// get returns the tiers of a hall. If the cache has expired or was built for
// another view, they are ranked again from live.
func (c *tierCache) get(v *version.View, hall int32, now time.Duration, live func() []*peer.Member) []tier {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view != v || now-c.at > tierCacheTTL {
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

// Distances within a region, and between regions without a known link latency.
const (
	sameRegionDistance = time.Microsecond
	unknownDistance    = time.Hour
)

// distance returns the distance from a hall and its region to the hall to.
func distance(v *version.View, hall, region, to int32) time.Duration {
	switch {
	case region == version.None:
		return 0 // the client's region is unknown: all instances are equally near
	case to == version.None:
		return unknownDistance
	case hall == to:
		return 0
	case v.Halls[to].Region == region:
		return sameRegionDistance
	}
	for _, crossing := range v.Links[region] {
		if crossing.To == v.Halls[to].Region {
			return sameRegionDistance + crossing.Latency
		}
	}
	return unknownDistance
}
