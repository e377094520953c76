// SPDX-License-Identifier: MIT

/*
Package cluster knows the other instances: where they are, which are alive, and
whom to ask for the tables of the store.

	members := cluster.NewMembers(self, now)
	beats, err := cluster.Listen(members) // datagrams; run with beats.Run
	peers := cluster.NewPeers(members, dial)
	members.Live()    // who is alive
	members.Sources() // whom to ask for the tables

# Rows

Each instance writes one row when it starts and removes it when it stops; it reads
the rows of the others once, and now and then again. An instance that was never
heard of counts as alive for a grace after its row was read.

# Datagrams

That an instance is alive is learned from datagrams (beat.go, datagram.go). In a
small region each tells all others at each beat. In a larger one it tells a few and
passes on when the others were last known to live, so that what an instance sends
does not grow with the region. In a large one it probes a few and tells of those alone that do
not answer (probe.go, evidence.go). One that stops says so. New starts are told on for a
while, and whoever hears of one that it does not know asks for the list.

# The tree

Tables travel from the store to the relay of each region, from there to the heads of
each hall, and from those to the others (sources.go, answer.go). The relay of a
region is the live instance whose name has the lowest hash; one that the store does
not answer says so at once, and another takes its place. It needs no agreement: two
relays cost calls, none costs a moment until each instance asks the store itself.
*/
package cluster
