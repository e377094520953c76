// SPDX-License-Identifier: MIT

// Package fleet makes configurations of the users' sizes, for tests and the
// demonstration: six halls in three regions, about 20 backend servers for reading
// and a dozen each for the ledger and for uploads.
package fleet

import (
	"fmt"
	"net/netip"
	"time"

	"shalewick/request"
	"shalewick/version"
)

// Size is the shape of one user's fleet.
type Size struct {
	Regions  [3]string
	Read     string // service for reading
	Ledger   string // service whose commits may not be repeated
	Upload   string // service for uploads
	Latency  time.Duration
	LinkCap  int
	Slots    int
	ReadN    int
	LedgerN  int
	UploadN  int
	Deadline time.Duration // of reads and commits
}

// Caroni is the fleet of Caroni Gavel.
func Caroni() Size {
	return Size{
		Regions: [3]string{"north", "central", "south"}, Read: "catalogue", Ledger: "ledger", Upload: "media",
		Latency: 12 * time.Millisecond, LinkCap: 24, Slots: 4, ReadN: 20, LedgerN: 12, UploadN: 12, Deadline: 2 * time.Second,
	}
}

// Kitakaze is the fleet of Kitakaze Roster Works.
func Kitakaze() Size {
	return Size{
		Regions: [3]string{"ishikari", "kamikawa", "oshima"}, Read: "roster", Ledger: "assignment", Upload: "claims",
		Latency: 35 * time.Millisecond, LinkCap: 24, Slots: 4, ReadN: 20, LedgerN: 12, UploadN: 12, Deadline: 2 * time.Second,
	}
}

// Backends is the number of backend servers.
func (s *Size) Backends() int { return s.ReadN + s.LedgerN + s.UploadN }

// Halls returns the names of the halls, two in each region.
func (s *Size) Halls() []string {
	var out []string
	for _, r := range s.Regions {
		out = append(out, r+"-1", r+"-2")
	}
	return out
}

// Hall returns the hall of an instance or backend server by its number; one after
// the other takes the next hall.
func (s *Size) Hall(i int) string {
	h := s.Halls()
	return h[i%len(h)]
}

// Client returns an address in the block of a hall's clients.
func (s *Size) Client(hall int) string { return fmt.Sprintf("10.%d.0.7", hall%len(s.Halls())) }

// UploadDeadline is the deadline of uploads.
const UploadDeadline = 10 * time.Second

// MaxUpload bounds an upload, in bytes.
const MaxUpload = 256 << 20

// Resources returns the configuration, with backend servers at the addresses.
func (s *Size) Resources(backends []netip.AddrPort) []version.Resource {
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
			Backend: &version.Backend{Service: s.ServiceOf(i), Hall: s.Hall(i), Address: a, Slots: s.Slots},
		})
	}
	return rs
}

// BackendName returns the name of a backend server by its number.
func (s *Size) BackendName(i int) string { return fmt.Sprintf("%s-%d", s.ServiceOf(i), i) }

// ServiceOf returns the service of a backend server by its number.
func (s *Size) ServiceOf(i int) string {
	switch {
	case i < s.ReadN:
		return s.Read
	case i < s.ReadN+s.LedgerN:
		return s.Ledger
	}
	return s.Upload
}

func (s *Size) services() []version.Resource {
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
	return []version.Resource{service(s.Read, read), service(s.Ledger, commit, read), service(s.Upload, upload, read)}
}

func (s *Size) links() []version.Resource {
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
