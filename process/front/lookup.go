// SPDX-License-Identifier: MIT

package front

import (
	"cmp"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
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
	b := f.Steer.Bound()
	if b == nil || !f.Steer.Fresh() {
		request.NotRun(request.NoVersion, time.Second).Write(w)
		return
	}
	client, err := clientAddress(r)
	if err != nil {
		request.NotRun(request.BadRequest, 0).Write(w)
		return
	}
	entries := Order(b.View, client, f.Members.Live(f.Now()))
	writeJSON(w, Lookup{Entries: entries, LifeMs: LookupLife.Milliseconds()})
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

// Order returns the instances that a client should use: those in its hall
// first, then in its region, then by the latency between regions. Instances
// that are equally near are ordered by a hash of client and instance, which
// spreads clients evenly. Leaving instances are left out.
func Order(v *version.View, client netip.Addr, live []*peer.Member) []Entry {
	hall, region := version.None, version.None
	if site := v.Blocks.Lookup(client); site != version.NoSite {
		hall = int32(site)
		region = v.Halls[hall].Region
	}
	type ranked struct {
		entry    Entry
		distance time.Duration
		hash     uint64
	}
	var rs []ranked
	addr := client.As16()
	for _, m := range live {
		if m.GetLeaving() || m.GetGone() {
			continue
		}
		rs = append(rs, ranked{
			entry:    Entry{Address: m.GetFront(), Hall: m.GetHall()},
			distance: distance(v, hall, region, v.Hall(m.GetHall())),
			hash:     xxhash.Sum64(append(addr[:], m.GetId()...)),
		})
	}
	slices.SortFunc(rs, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.hash, b.hash))
	})
	entries := make([]Entry, 0, maxEntries)
	for _, r := range rs[:min(len(rs), maxEntries)] {
		entries = append(entries, r.entry)
	}
	return entries
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
	for _, x := range v.Crossings[region] {
		if x.To == v.Halls[to].Region {
			return sameRegion + x.Latency
		}
	}
	return farAway
}
