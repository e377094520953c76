// SPDX-License-Identifier: MIT

/*
Package member knows the members: the incarnations of instances that take part.

Each member writes a row in the platform's table "members" and rewrites it with
a rising beat. The others learn of members from those rows, from the platform's
list of instances, and from each other.

# Live and dead

A member is live while its beat rises or it answers. It is dead, so that its
tokens may be split anew, only once two things hold: its beat has not risen for
LapseTime of platform reads without a failure, and the list no longer has its
instance, or the instance has a newer member (a new process on the same
address, so the old one is gone). A member that stopped as planned says that it
is gone, and is dead at once.
*/
package member
