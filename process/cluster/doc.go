// SPDX-License-Identifier: MIT

/*
Package cluster tracks the other instances: their addresses, which of them are
live, and which to request the tables of the store from.

	members := cluster.NewMembers(self, now)
	gossiper, err := cluster.NewGossiper(members, socket) // UDP; run with gossiper.Run
	peers := cluster.NewPeers(members, dial)
	members.Live()    // the live instances
	members.Sources() // where to request the tables

# Rows

Each instance writes one row to the store when it starts and deletes it when it
stops. It reads the rows of the others once at its start and then periodically. An
instance known only from its row counts as live for a grace period.

# Failure detection

Instances learn from datagrams which others are live (beat.go, datagram.go). In a
small region each sends every heartbeat to all others. In a larger one it sends to
a few and gossips when the others were last seen, so that its traffic does not
grow with the region. In a large one it probes a few and gossips only about those
that do not respond (probe.go, evidence.go). An instance that stops announces it.
New incarnations are gossiped for a while, and an instance that receives gossip
about an unknown one requests the member list.

# Distribution tree

Tables travel from the store to the relay of each region, from there to the heads
of each hall, and from those to the others (sources.go, answer.go). The relay of a
region is the live instance whose name has the lowest hash. A relay to which the store
does not respond announces it at once, and another instance takes over. This needs
no agreement: two relays cost extra calls, and a short time without one only delays
updates until each instance queries the store itself.
*/
package cluster
