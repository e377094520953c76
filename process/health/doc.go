// SPDX-License-Identifier: MIT

/*
Package health tracks what this instance knows of the backend servers: whether
they report that they are leaving, how fast they respond, and whether they fail.

Leaving is a fact about one start (boot) of a backend server and is never
revoked: the set of facts only grows, and instances that exchange their sets
converge. A new start of the backend server has a new boot id.

Own observations take precedence. The cost that decisions read is the moving
average of response times observed here; the time of a load report sets it only
while no response has been observed.
*/
package health
