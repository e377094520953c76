// SPDX-License-Identifier: MIT

/*
Package caller is the library for those who send requests through shalewick.

A Client asks the system which instances to use, keeps the answer for the time
that it says, and moves on when an instance is leaving or gone. It starts from
several known instances.

	c := caller.New([]string{"10.0.0.1:8000", "10.0.0.2:8000"})
	res, err := c.Do(ctx, &caller.Request{Service: "catalogue", Method: "GET", Path: "/lots/7"})

A request that may not be repeated (Once) is sent with a ticket. When its
answer is lost, the client asks for the outcome with the same ticket, by way of
any instance; it never runs twice. An error is a *Refusal, which says whether
the request was run.
*/
package caller
