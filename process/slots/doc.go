// SPDX-License-Identifier: MIT

/*
Package slots manages the tokens that an instance needs to dispatch requests.

Every limit that must hold at all times is a pool of tokens: the slots of a
backend server, the cap of a link, and the cap and rate of a shift. Tokens are
conserved: at any moment at most one instance may use a given token.

# Owners

Each token has an owner, the member that holds it while nobody leases it. The
Split records the owners; it is one row of the platform's table and changes only
by a conditional transaction. Plan computes the next Split. A token gets a new
owner in one of three ways:

	it had no owner            usable at once
	its owner transferred it   the owner stopped using it before the transaction
	its owner is down          usable after a fence, timed by the new owner

# Leases

An owner lends free tokens to other members (Lend) and stops using them before
it answers the request. The holder may use a borrowed token until a time on its
own clock that is counted from before it sent its request. The owner reclaims
the token when it is returned, or else only after that time plus the longest
deadline of a request plus SafetyMargin.

# Rate tokens

A token of a rate pool stays unusable for RateCooldown after the response to its
request. The next request that uses it arrives at least that much later than the
one before, so a pool of n tokens starts at most n requests in any one second,
whatever the network delay.
*/
package slots
