// SPDX-License-Identifier: MIT

/*
Package caller is the client library for sending requests through shalewick.

A Client looks up which instances to use, caches the list for as long as the
lookup allows, and switches to another instance when one is leaving or has
failed. It starts from several seed instances.

	c := caller.New([]string{"10.0.0.1:8000", "10.0.0.2:8000"})
	res, err := c.Do(ctx, &caller.Request{Service: "catalogue", Method: "GET", Path: "/lots/7"})

A request that must not be repeated (AtMostOnce) is sent with a ticket. If its
response is lost, the client queries the outcome with the same ticket through
any instance; the request never runs twice. Errors are of type *RequestError,
which states whether the request was run.
*/
package caller
