// SPDX-License-Identifier: MIT

/*
Package held bounds the memory that an instance holds on behalf of callers and backend
servers that are slow to send or to read.

	lease, ok := budget.Admit(owner, cutOff) // refused: answer at once that it has not run
	defer lease.End()
	body, whole, err := held.Read(lease, held.Bodies, r, length, most)

A lease takes bytes from the budget before they are read and gives them back once they
were written. What does not fit is left where it is: the rest of a body or of an answer is
passed on as it comes, so that the side that sends is held up by the one that reads.

# Who gets the room

One owner, a workspace or the address of a caller, may hold a part of what is free at the
moment (dynamic thresholds: Choudhury, Hahne, "Dynamic queue length thresholds for
shared-memory packet switches", 1998). So however many owners hold all that they may, a
new one finds room.

# Who is cut off

Whoever waits for the other side for a while is stalled. When there is no room, stalled leases
are cut off, those first whose owner holds most, and of these the largest.
*/
package held
