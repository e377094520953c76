// SPDX-License-Identifier: MIT

/*
Package ticket ensures that a non-idempotent request runs at most once.

A ticket is issued before the request is first sent. It names the only member
(one incarnation of an instance) that may dispatch the request, and is signed
with a key that only this member has. All other instances forward the request to
that member. The member's Ledger keeps each used ticket until the ticket is too
old to be used again:

	entry, first := ledger.Begin(t)  // first: this call dispatches the request
	<-entry.Done                     // other calls wait for the same outcome

A member that stops sends its Handover (the key and the used tickets) to one
successor, which is responsible for its tickets from then on. If a member goes
down without a handover, its tickets never run again.

A ticket is used up whatever the outcome; a rejected request is retried with a
new ticket.
*/
package ticket
