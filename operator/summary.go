// SPDX-License-Identifier: MIT

package operator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"shalewick/process/admin"
	"shalewick/version"
)

// limitKey identifies a row of the summary: the slots of a service in a region,
// a link, or a shift.
type limitKey struct {
	kind string
	name string
}

// limitTotals sums the tokens of all instances by limit.
type limitTotals struct {
	keys   []limitKey
	totals map[limitKey]*admin.PoolStatus
}

func (l *limitTotals) add(k limitKey, p *admin.PoolStatus, size int32) {
	s := l.totals[k]
	if s == nil {
		s = &admin.PoolStatus{}
		l.totals[k] = s
		l.keys = append(l.keys, k)
	}
	s.Size += size
	s.Home += p.Home
	s.Free += p.Free
	s.Busy += p.Busy
	s.Lent += p.Lent
}

// PrintSummary writes a status as tables: the version in force at each
// instance, how much of each limit is held, used and lent, and which backend
// servers are draining.
func PrintSummary(w io.Writer, st *admin.StatusResponse, resources []version.Resource) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "version %d, in force everywhere: %v\n", st.Version, st.InForce)
	printEntries(t, st.Entries)
	byKey := make(map[string]version.Resource, len(resources))
	for _, r := range resources {
		byKey[r.Key.String()] = r
	}
	printLimits(t, st.Entries, byKey)
	printDraining(t, st.Entries, byKey)
	_ = t.Flush() // an error means that the output is closed
}

func printEntries(w io.Writer, entries []admin.EntryStatus) {
	fmt.Fprintln(w, "INSTANCE\tHALL\tVERSION\tSINCE\tCONFIRMED\tEPOCH\tSTATE")
	for _, e := range entries {
		state := "live"
		if e.Leaving {
			state = "leaving"
		}
		if e.Missing != "" {
			fmt.Fprintf(w, "%s\t%s\t-\t-\t-\t-\tmissing: %s\n", e.Instance, e.Hall, e.Missing)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%dms\t%d\t%s\n", e.Instance, e.Hall, e.Version,
			e.Since.Format("15:04:05.000"), e.ConfirmedMs, e.Epoch, state)
	}
}

// printLimits writes a row for the slots of each service in each region, each
// link that is in use, and each shift.
func printLimits(w io.Writer, entries []admin.EntryStatus, byKey map[string]version.Resource) {
	l := limitTotals{totals: make(map[limitKey]*admin.PoolStatus)}
	counted := make(map[string]bool) // pools whose size is in the totals already
	for _, e := range entries {
		for i := range e.Pools {
			p := &e.Pools[i]
			size := p.Size
			if counted[p.Pool] {
				size = 0
			}
			counted[p.Pool] = true
			l.add(limitKeyOf(p.Pool, byKey), p, size)
		}
	}
	fmt.Fprintln(w, "LIMIT\tNAME\tSIZE\tHELD\tFREE\tBUSY\tLENT")
	for _, k := range l.keys {
		s := l.totals[k]
		if k.kind == "link" && s.Busy == 0 {
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\n", k.kind, k.name, s.Size, s.Home, s.Free, s.Busy, s.Lent)
	}
}

func limitKeyOf(pool string, byKey map[string]version.Resource) limitKey {
	kind, name, _ := strings.Cut(pool, "/")
	backend := byKey[pool].Backend
	if backend == nil {
		return limitKey{kind, name}
	}
	hall := byKey[version.Key{Kind: version.KindHall, Name: backend.Hall}.String()]
	region := "?"
	if hall.Hall != nil {
		region = hall.Hall.Region
	}
	return limitKey{"slots", backend.Service + "@" + region}
}

// printDraining writes a row for each backend server that is drained or has
// reported that it is leaving, with the number of requests that still run there
// and the time within which they end.
func printDraining(w io.Writer, entries []admin.EntryStatus, byKey map[string]version.Resource) {
	busy, reportedLeaving := make(map[string]int32), make(map[string]bool)
	for _, e := range entries {
		for _, p := range e.Pools {
			busy[p.Pool] += p.Busy
		}
		for _, name := range e.BackendsLeaving {
			reportedLeaving[name] = true
		}
	}
	fmt.Fprintln(w, "DRAINING\tRUNNING\tAT MOST")
	for _, r := range sortedResources(byKey, version.KindBackend) {
		if !reportedLeaving[r.Name] && !isDrained(&r, byKey) {
			continue
		}
		timeLeft := "done"
		if n := busy[r.Key.String()]; n > 0 {
			timeLeft = maxRouteDeadline(byKey[version.Key{Kind: version.KindService, Name: r.Backend.Service}.String()].Service).String()
		}
		fmt.Fprintf(w, "%s\t%d\t%s\n", r.Name, busy[r.Key.String()], timeLeft)
	}
}

func sortedResources(byKey map[string]version.Resource, kind version.Kind) []version.Resource {
	c := version.Config{Resources: make(map[version.Key]version.Resource, len(byKey))}
	for _, r := range byKey {
		c.Resources[r.Key] = r
	}
	return c.List(kind)
}

func isDrained(r *version.Resource, byKey map[string]version.Resource) bool {
	hall := byKey[version.Key{Kind: version.KindHall, Name: r.Backend.Hall}.String()].Hall
	for _, d := range byKey {
		if d.Drain == nil {
			continue
		}
		inRegion := hall != nil && d.Drain.Region == hall.Region
		if d.Drain.Backend == r.Name || d.Drain.Hall == r.Backend.Hall || inRegion {
			return true
		}
	}
	return false
}

// maxRouteDeadline returns the longest deadline of a service's routes. Requests
// that run now end within it.
func maxRouteDeadline(s *version.Service) time.Duration {
	var d time.Duration
	if s == nil {
		return 0
	}
	for _, r := range s.Routes {
		d = max(d, time.Duration(r.Deadline))
	}
	return d
}
