// SPDX-License-Identifier: MIT

/*
Package slots keeps the tokens that an instance may dispatch on.

Every limit that must always hold is a pool of tokens: a backend server's slots, a
link's cap, a shift's cap and its rate. A token is conserved: at each moment at
most one instance may use it.

# Homes

Each token has a home, the member that holds it when nobody leases it. The
Split says which; it is one row of the platform's table and changes only by a
conditional transaction. Plan computes the next Split. A token gets a new home
in three ways:

	nobody had it          usable at once
	its home ceded it      the home took it off itself before the transaction
	its home is dead       usable after a fence, counted by the new home

# Leases

A home lends free tokens to other members (Lend). It takes them off itself
before it answers. The holder may use a borrowed token until a time counted on
its own clock from before it asked; the home takes it back only after that time
plus the longest deadline of a request plus Margin, or when it is returned.

# Rate tokens

A token of a rate pool rests for RestTime after its request was answered. A
request that uses it next arrives at least that much later than the one before,
so a pool of n tokens starts at most n requests in any one second, whatever the
delay on the way.
*/
package slots
