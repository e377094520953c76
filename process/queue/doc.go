// SPDX-License-Identifier: MIT

/*
Package queue orders the requests of one service that wait for a slot at one
instance. Queues are short: bounded in number, and a request that can not make
its deadline does not enter. Commits go before reads and reads before uploads;
within a class the first come is first. One turn in fairOneIn goes to the
oldest waiter of the lowest class, so that nothing starves. A full queue makes
room for a higher class by refusing the last waiter of the lowest one.
*/
package queue
