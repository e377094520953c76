// SPDX-License-Identifier: MIT

/*
Package entry implements the role that every instance runs. It connects the
components of the process and runs their background loops.

	front      serves callers                           process/front
	steer      chooses a backend server per request     process/steer
	slots      tokens owned, lent and borrowed          process/slots
	config     the configuration in force               process/config
	member     membership of the instances              process/member
	ticket     tickets of non-repeatable requests       process/ticket
	health     the health of backend servers            process/health
	admin      serves operators                         process/admin

The loops are in this package, one file each: the gossip exchange with peers, the
polling of the platform, the split of tokens, the borrowing of tokens and the
probes of backend servers. The planned stop has a file, too.
*/
package entry
