// SPDX-License-Identifier: MIT

/*
Package state replicates the tables that an instance makes its routing decisions
from, and keeps them up to date.

A Table is a set of rows, each with the version of the transaction that last wrote
it. A Table only moves forward: a row is replaced only by a row of a higher version,
and deltas older than the table as a whole are ignored. So it does not matter which
source a row comes from.

A store may be restored from an older copy and assign versions a second time. Its
epoch increases then. A Version holds the epoch in its high bits (VersionOf), so
that the later history prevails everywhere. What a table had before is retained
until it is written again, for a bounded time (Retention).

A source of rows is the store or another instance. Both are sent the same query,
"what has changed after this version", and both respond with a Delta, which says
how old it is.

A Follower keeps the tables of one process up to date. Few instances (relays) query
the store; the others query instances closer to it, two at a time. An instance
whose tables no source has confirmed for a while queries the store itself, so that
it depends on no other instance, and an instance to which the store does not respond
gets the tables from the others. At its start an instance waits a bounded time for
others, so that few query the store even if all start at once. A table that the
instance does not subscribe to at present causes no calls (Follower.Subscribed).
*/
package state
