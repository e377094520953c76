// SPDX-License-Identifier: MIT

/*
Package health knows what this instance has learned of the backend servers: their own
word on leaving, how fast they answer, and whether they fail.

Leaving is a fact about one start (boot) of a backend server and is never taken
back: the set of facts only grows, and instances that exchange their sets agree
in the end. A new start of the backend server has a new boot id.

Own observations count first. The cost that decisions read is the moving mean
of answer times seen here; a load report only sets it while nothing was seen.
*/
package health
