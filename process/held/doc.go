// SPDX-License-Identifier: MIT

/*
Package held bounds the memory that an instance uses to buffer requests and responses for
callers and backend servers that send or read slowly.

	lease, ok := budget.Admit(owner, cutOff) // if refused, respond immediately: not run
	defer lease.End()
	body, whole, err := held.Read(lease, held.Bodies, r, length, maxBytes)

A lease reserves bytes from the budget before they are read and releases them after they
were written. Data that does not fit is not read ahead: the remainder of a body or of a response
is streamed, so that the reading side applies back pressure to the sending side.

# Fairness

An owner is a workspace or the address of a caller. One owner may hold a fraction of the
memory that is free at the moment (dynamic thresholds: Choudhury, Hahne, "Dynamic queue
length thresholds for shared-memory packet switches", 1998). So a new owner finds free
memory however many others hold all that they may.

# Cutting off stalled requests

A lease is stalled once it has waited for its peer for some time. When memory is short,
stalled leases are cut off: first those of the owner that holds the most, of these the
largest, and of those that hold about the same the one that has waited longest.
*/
package held
