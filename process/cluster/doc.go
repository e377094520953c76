// SPDX-License-Identifier: MIT

/*
Package cluster knows the other instances: where they are, which are alive, and
which of them ask the store for the others (relays).

Each instance writes one row when it starts and removes it when it stops; it
reads the rows of the others once, and now and then again. That an instance is
alive is learned from datagrams that instances send each other: to all of their
own region, and to a few of the others. An instance that was never heard of
counts as alive for a grace after its row was read. One that stops says so.

The relay of a region is the live instance whose name has the lowest hash; one
that the store does not answer says so at once, and another takes its place. It
needs no agreement: two relays cost calls, none costs a moment until each
instance asks the store itself.
*/
package cluster
