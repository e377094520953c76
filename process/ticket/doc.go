// SPDX-License-Identifier: MIT

/*
Package ticket lets a request that may not be repeated run at most once.

A ticket is issued before the first send. It names the member (one incarnation
of an instance) that alone may ever dispatch it, and is signed with a key that
only that member has. Any other instance passes the request there. The member's
Ledger keeps each used ticket until it is too old to be used again:

	entry, first := ledger.Begin(t)  // first: this call dispatches it
	<-entry.Done                     // others wait for the same outcome

A member that stops hands its Book (the key and what was used) to one
successor, which answers for its tickets from then on. If a member dies, its
tickets never run again.

Whatever the outcome, the ticket is used up; a refused request is tried again
with a new ticket.
*/
package ticket
