// SPDX-License-Identifier: MIT

/*
Package queue orders the requests of one service that wait for a slot at one
instance. Queues are short: their length is bounded, and a request that cannot
meet its deadline does not enter. Commits precede reads and reads precede
uploads; within a class the order is first come, first served. One in every
lowestFirstInterval wakes goes to the oldest waiter of the lowest class, so that
no class starves. A full queue makes space for a request of a higher class by
evicting the newest waiter of the lowest class.
*/
package queue
