// SPDX-License-Identifier: MIT

/*
Package state holds what an instance knows of the tables that decide how it
steers, and keeps it new.

A Table is a set of rows, each with the version of the transaction that last
wrote it. A Table only ever moves forward: a row is replaced by a row of a
higher version, never by a lower one, and what is older than the table as a
whole is not taken up. So it does not matter from whom a row is learned.

A store may come back from an older copy and give versions out again. Its epoch rises then, and a
Version has the epoch in its high bits (VersionOf), so that the later history counts
everywhere. What a table had is held until it is written again, for a bounded time (Hold).

A Source is where rows come from: a store, or another instance. Both are
asked the same question, "what has changed after this version", and both
answer with a Delta, which says how old it is.

A Follower keeps the tables of one process new. Few instances (relays) ask the
store; the others ask instances that are nearer to it, two at a time. An instance
that no source has confirmed for a while asks the store itself, so that it depends
on no other instance, and an instance that the store does not answer learns from
the others. At its start an instance waits for others a bounded time, so that the
store is asked by few though all start at once. A table that is not wanted at
present costs no call (Follower.Wanted).
*/
package state
