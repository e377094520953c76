// SPDX-License-Identifier: MIT

/*
Package member tracks the members: the incarnations of instances that take part.

Each member writes a row in the platform's table "members" and rewrites it with
an increasing heartbeat counter (beat). The other members learn of it from these
rows, from the platform's list of instances, and from each other by gossip.

# Live and down

A member is live while its heartbeat increases or it answers requests. It is
down, so that its tokens may be assigned to others, only if two conditions hold:

  - its heartbeat has not increased for HeartbeatTimeout of platform reads
    without a failure, and
  - the platform's list no longer has its instance, or the instance has a newer
    member (a new process on the same address, so the old one has ended).

A member that stopped as planned announces that it is gone, and is down at once.
*/
package member
