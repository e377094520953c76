// SPDX-License-Identifier: MIT

/*
Package quota keeps the requests of each workspace within its rate and burst, over
all instances together.

	q.Install(workspaces)       // a new version
	ok, why := q.Take(ctx, w)   // may a request of the workspace come in now?
	q.Return(w)                 // one that was let in has not run
	q.Tick()                    // every TickTime: tell owners what was used

# Tokens

One token lets one request in. For each workspace one instance, its owner, has a
bucket that fills at the workspace's rate up to its burst (ledger.go). The others
ask it for tokens ahead of their demand (account.go), in datagrams that hold the
asks of several workspaces (wire.go). Which instance is the owner follows from
who is alive, by rendezvous hashing; nobody has to agree on it.

While the bucket is more than half full, an instance lets requests in before it
has tokens for them, and tells the owner afterwards. So a workspace that stays below
its rate waits for no datagram, and one that is quiet costs none.

# Failures

An instance that the owner does not answer goes on with a part of its share, from a
pace that starts empty: its share is the part of the workspace's rate that it used when
the owner last answered. After it has turned to another owner it stays within that for
a while, and an owner keeps the share of an instance that it no longer hears; so two
owners that can't hear each other give no more than one would. The bucket of a new
owner starts nearly empty and stays small for one window, since nobody knows what the
one before has given. An instance that is asked without being the owner, since some learn
later than others who that is, gives them what they used before, or, if it never was the
owner, what those who lost theirs go on with. How
many instances there are is the most that there were lately, since one that is cut off
takes few for alive.

What instances have in hand beside a full bucket is left out of account up to a
quarter of what is tolerated; beyond that, the bucket holds less.

The ways compared in the model (TestFloodThatMeetsACut with -every-flood): a workspace
sends 12 or 20 times its usual, and 0.2 to 0.5 of the instances are cut off, with kills,
freezes and an owner that dies beside. "most" is what comes in within a window relative to
what is tolerated; "kills" the same in four of the cases with kills, 24 times each; then,
for 12 of 75 that take requests, 0.4 of them cut off for 6 s: what all let in relative to
the limit, those cut off relative to their share, and when these let in 0.36 of it.

	                                          most   kills  all    cut off  after
	full paces, missed after 3 s              1.44   1.39   0.97   0.40     0.0 s
	empty paces that also wait out what was
	  used lately, missed after 3 s           1.02          0.92   0.25     4.5 s
	empty paces, missed after 1 s             1.00          0.82   0.32     2.7 s
	  and tokens in hand counted              0.96   1.08   0.82   0.31     3.6 s
	  and wait out                            0.95          0.79   0.25     4.5 s
	  without that; new owners' buckets small,
	  keptPart 0.8                            1.03   0.99    0.87   0.31     3.4 s

The last is in use. Of its 1.03 and more, in floods whose cut heals within them, a part came
from instances that granted without being the owner: in 384 such floods of 75 instances that
all take requests 4 were above 1 and 1.08 the most, now none and 0.91. Another part was an
owner that is cut off alone with its bucket full: 25 of 300 floods of 12 instances with others
frozen beside, up to 1.09, were 1 and 1.01 once the burst shrinks with the rate that is kept.
"Missed after" is the time until an owner keeps the share of an instance that it does not hear.
*/
package quota
