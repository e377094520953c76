// SPDX-License-Identifier: MIT

// Package fleet generates configurations of the size of the users' fleets, for tests and the
// demonstration: six halls in three regions, about 20 backend servers for reads
// and a dozen each for commits and for uploads.
package fleet

import (
	"fmt"
	"net/netip"
	"time"

	"shalewick/request"
	"shalewick/version"
)

// Spec describes the fleet of one user.
type Spec struct {
	Regions        [3]string
	ReadService    string // name of the service for reads
	LedgerService  string // name of the service whose commits must not be retried
	UploadService  string // name of the service for uploads
	Latency        time.Duration
	LinkCap        int
	Slots          int
	ReadBackends   int
	LedgerBackends int
	UploadBackends int
	Deadline       time.Duration // of reads and commits
}

// Caroni returns the fleet of Caroni Gavel.
func Caroni() Spec {
	return Spec{
		Regions: [3]string{"north", "central", "south"}, ReadService: "catalogue", LedgerService: "ledger", UploadService: "media",
		Latency: 12 * time.Millisecond, LinkCap: 24, Slots: 4, ReadBackends: 20, LedgerBackends: 12, UploadBackends: 12, Deadline: 2 * time.Second,
	}
}

// Kitakaze returns the fleet of Kitakaze Roster Works.
func Kitakaze() Spec {
	return Spec{
		Regions: [3]string{"ishikari", "kamikawa", "oshima"}, ReadService: "roster", LedgerService: "assignment", UploadService: "claims",
		Latency: 35 * time.Millisecond, LinkCap: 24, Slots: 4, ReadBackends: 20, LedgerBackends: 12, UploadBackends: 12, Deadline: 2 * time.Second,
	}
}

// Backends returns the number of backend servers.
func (s *Spec) Backends() int { return s.ReadBackends + s.LedgerBackends + s.UploadBackends }

// Halls returns the names of the halls, two in each region.
func (s *Spec) Halls() []string {
	var out []string
	for _, r := range s.Regions {
		out = append(out, r+"-1", r+"-2")
	}
	return out
}

// HallOf returns the hall of an instance or backend server by its number. Numbers are assigned to
// the halls in turn.
func (s *Spec) HallOf(i int) string {
	h := s.Halls()
	return h[i%len(h)]
}

// ClientAddress returns an IP address in the client block of a hall, given by its number.
func (s *Spec) ClientAddress(hall int) string { return fmt.Sprintf("10.%d.0.7", hall%len(s.Halls())) }

// UploadDeadline is the deadline of uploads.
const UploadDeadline = 10 * time.Second

// MaxUpload is the maximum size of an upload, in bytes.
const MaxUpload = 256 << 20

// Resources returns the configuration, with a backend server at each of the addresses.
func (s *Spec) Resources(backends []netip.AddrPort) []version.Resource {
	var rs []version.Resource
	for _, r := range s.Regions {
		rs = append(rs, version.Resource{Key: version.Key{Kind: version.KindRegion, Name: r}, Region: &version.Region{}})
	}
	for i, h := range s.Halls() {
		block := netip.MustParsePrefix(fmt.Sprintf("10.%d.0.0/16", i))
		rs = append(rs, version.Resource{
			Key:  version.Key{Kind: version.KindHall, Name: h},
			Hall: &version.Hall{Region: s.Regions[i/2], Clients: []netip.Prefix{block}},
		})
	}
	rs = append(rs, s.services()...)
	rs = append(rs, s.links()...)
	for i, a := range backends {
		rs = append(rs, version.Resource{
			Key:     version.Key{Kind: version.KindBackend, Name: s.BackendName(i)},
			Backend: &version.Backend{Service: s.ServiceOf(i), Hall: s.HallOf(i), Address: a, Slots: s.Slots},
		})
	}
	return rs
}

// BackendName returns the name of a backend server by its number.
func (s *Spec) BackendName(i int) string { return fmt.Sprintf("%s-%d", s.ServiceOf(i), i) }

// ServiceOf returns the service of a backend server by its number.
func (s *Spec) ServiceOf(i int) string {
	switch {
	case i < s.ReadBackends:
		return s.ReadService
	case i < s.ReadBackends+s.LedgerBackends:
		return s.LedgerService
	}
	return s.UploadService
}

func (s *Spec) services() []version.Resource {
	d := version.Duration(s.Deadline)
	read := version.ServiceRoute{Prefix: "/", Methods: []string{"GET", "HEAD"}, Class: request.ClassRead, Repeatable: true, Deadline: d}
	commit := version.ServiceRoute{Prefix: "/", Methods: []string{"POST"}, Class: request.ClassCommit, Deadline: d}
	upload := version.ServiceRoute{
		Prefix: "/", Methods: []string{"POST", "PUT"}, Class: request.ClassUpload, Repeatable: true,
		Deadline: version.Duration(UploadDeadline), MaxBody: MaxUpload,
	}
	service := func(name string, routes ...version.ServiceRoute) version.Resource {
		return version.Resource{
			Key:     version.Key{Kind: version.KindService, Name: name},
			Service: &version.Service{Hosts: []string{name + ".example"}, Routes: routes},
		}
	}
	return []version.Resource{service(s.ReadService, read), service(s.LedgerService, commit, read), service(s.UploadService, upload, read)}
}

func (s *Spec) links() []version.Resource {
	var rs []version.Resource
	for _, from := range s.Regions {
		for _, to := range s.Regions {
			if from == to {
				continue
			}
			rs = append(rs, version.Resource{
				Key:  version.Key{Kind: version.KindLink, Name: from + "-" + to},
				Link: &version.Link{From: from, To: to, Cap: s.LinkCap, Latency: version.Duration(s.Latency)},
			})
		}
	}
	return rs
}
