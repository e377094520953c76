// SPDX-License-Identifier: MIT

/*
Package balance chooses a backend server for each request that a route resource
directs.

	table.Install(routing)             // a new version, or changed backend servers
	pick, refusal := table.Pick(query) // one choice
	pick.Done(outcome, report)         // its result

Every instance ranks the backend servers of a service for an object in the same
order (weighted rendezvous hashing, version.RoutedBackend.Distance), so that the
requests for one object meet at one backend server without coordination between
instances. Among the first few of the orders the one of the lowest cost is chosen.
The cost is the queueing time there, and the extra work on an object that the
backend server has not seen.

# Estimates

The load of a backend server is estimated (estimate.go) from its own load reports,
which lose weight with age, from this instance's requests in flight there, and from
the duration of responses. One that has not answered yet is assumed to be like the
others of its service.

# Shares

A backend server whose reports show it busier than the others sheds some of its
objects, a few at a time and always the same ones (share.go). Demand that is uneven,
or shifts from region to region, is thus spread without disturbing the objects that
stay, and far more slowly than the limits that operators set for shifts of traffic.

# Admission control

A request that could not be answered within its objective is refused at once, with a
retry-after time (admit.go); its retry is treated like any other request. One with less
time left than the backend server needs is not sent.

# Failures

A backend server that can't be reached, or that loses two consecutive responses, is
suspended for a time that doubles (outcome.go). Then a connection is opened to it
(reach.go), and a single request tries it.

# Notices

A backend server announces in its responses that it is leaving, or for how long it wants
no requests (notice.go). A notice holds for the present incarnation and all requests of
this instance, whatever the row says: the backend server gets no more requests, or only
those that no other can accept (departure.go, backoff.go).

# Gossip

Instances gossip which backend servers can't be reached and which have no free slot
(observe.go), since in a large fleet each instance sends about one request a minute to
a backend server. One that another instance could not reach gets nothing until a
connection to it was opened. An instance to which most backend servers of a service
fail does not report this.

# Warming

A backend server that is cold, or was drained until now, gets a share of its warming
rate from each instance: the rate divided by the number of instances (turn.go).

All parameters are in Policy; docs/POLICY.md describes the effect of each mechanism.
*/
package balance
