// SPDX-License-Identifier: MIT

/*
Package balance chooses an upstream for each request that a route resource
directs.

	table.Install(routing)         // a new version, or upstreams that changed
	pick, why := table.Pick(query) // one decision
	pick.Done(outcome)             // what came of it

Every instance ranks the upstreams of a service for an object in the same
order (version.RoutedUpstream.Rank), so that the requests for one object meet
at one upstream without instances asking each other. The first in rank that can
answer in time is taken. What it can do is estimated from three things: the
upstream's own load reports, which grow old; what this instance has under way
there; and the time that answers took.

An upstream that is cold, or was drained until now, gets a share of its warming
rate from each instance: the rate divided by the number of instances.

An upstream that fails is suspended for a short time that doubles; afterwards
one request tries it.
*/
package balance
