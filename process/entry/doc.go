// SPDX-License-Identifier: MIT

/*
Package entry is the one role that every instance runs: it puts the parts of a
process together and keeps them going.

	front      answers callers                          process/front
	steer      places each request                      process/steer
	slots      the tokens held, lent and borrowed       process/slots
	config     the configuration in force               process/config
	member     who takes part                           process/member
	ticket     requests that may not be repeated        process/ticket
	health     what is known of backend servers               process/health
	admin      answers operators                        process/admin

The loops that drive them are in this package, one file each: the exchange with
peers, the platform, the split of tokens, the borrowing of tokens, the probes
of backend servers, and the planned stop.
*/
package entry
