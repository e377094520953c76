// SPDX-License-Identifier: MIT

/*
Package balance chooses a backend server for each request that a route resource
directs.

	table.Install(routing)         // a new version, or backend servers that changed
	pick, why := table.Pick(query) // one decision
	pick.Done(outcome)             // what came of it

Every instance ranks the backend servers of a service for an object in the same
order (version.RoutedBackend.Distance), so that the requests for one object meet
at one backend server without instances asking each other. Of the first few in the
orders the one of the lowest cost is taken: the wait there, and the work on an
object that it has not seen.

# Estimates

What a backend server can do is estimated (estimate.go) from three things: its own load
reports, which grow old; what this instance has under way there; and the time that
answers took. One that has not answered yet is taken to be like the others of its
service.

# Shares

A backend server that is busier than the others, by its reports, gives up some of its
objects, a few at a time and always the same ones (share.go). So demand that is
uneven, or turns from region to region, is spread without disturbing the objects
that stay, and far more slowly than operators allow traffic to move.

# Admission

A request that could not be answered within its objective is refused at once, with
a time to come back, one that comes back as any other (admit.go).
One with less time than the backend server needs is not sent.

# Failures

A backend server that can't be reached, or that loses two answers in a row, is suspended
for a time that doubles (outcome.go). Then a connection is opened to it (reach.go),
and one request tries it.

# What backend servers ask for

A backend server says in its answers that it leaves, or for how long it wants to be left alone
(notice.go). That holds for its present start and all requests of this instance, whatever its
row says: it gets nothing more, or only what no other can take (departure.go, backoff.go).

# What others saw

Instances tell each other which backend servers can't be reached and which have no slot
free (observe.go), since in a large fleet each meets a backend server once in a minute.
One that another instance could not reach gets nothing until a connection to it was
opened; the word of an instance to which most of a service fails is not told.

# Warming

A backend server that is cold, or was drained until now, gets a share of its warming
rate from each instance: the rate divided by the number of instances (turn.go).

All figures stand in Policy; docs/POLICY.md tells what each mechanism is worth.
*/
package balance
