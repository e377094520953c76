// SPDX-License-Identifier: MIT

package cluster

import (
	"fmt"
	"testing"
	"time"
)

// newFleetMember returns the members of one instance in a fleet of nine halls in three regions.
func newFleetMember(fleet int) *Members {
	now := time.Hour
	m := NewMembers(Member{Name: "edge-self", Region: "r0", Hall: "h0", Peer: "10.0.0.1:1"}, func() time.Duration { return now })
	for i := range fleet {
		m.Merge(true, Member{
			Name: fmt.Sprintf("edge-%d-%d", i%9, i), Incarnation: 1, Region: fmt.Sprintf("r%d", i%3), Hall: fmt.Sprintf("h%d", i%9),
			Front: fmt.Sprintf("10.1.%d.%d:8548", i/250, i%250), Peer: fmt.Sprintf("10.1.%d.%d:7540", i/250, i%250),
		})
	}
	m.MarkListed()
	return m
}

// BenchmarkMembers measures the frequent operations of an instance in fleets of several sizes.
func BenchmarkMembers(b *testing.B) {
	for _, fleet := range []int{89, 985, 3550} {
		m := newFleetMember(fleet)
		text, err := marshal(datagram{Self: m.sorted[3].Member})
		if err != nil {
			b.Fatal(err)
		}
		for name, f := range map[string]func(){
			"receive": func() {
				d, _ := decodeDatagram(text) // always valid
				m.receive(&d)
				m.respond(&d)
			},
			"sources": func() { m.Sources() },
			"relay":   func() { m.Relay() },
			"live":    func() { m.Live() },
			"tick":    func() { m.advance(false) },
			"heartbeat": func() {
				m.heartbeatTargets()
				m.probeDatagrams(m.gossip(false))
			},
		} {
			b.Run(fmt.Sprintf("%s/%d", name, fleet), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					f()
				}
			})
		}
	}
}
