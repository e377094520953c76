// SPDX-License-Identifier: MIT

/*
Package operator is the library for operators: a client of the admin API of any
instance, as the command line uses it. Give changes a context that ends: when an answer is
lost, the client asks for the outcome for as long as the context lasts.

	c := operator.New([]string{"10.0.0.1:8002", "10.0.0.2:8002"})
	applied, err := c.Apply(ctx, resources)
	status, err := c.WaitInForce(ctx, applied.Version, 13*time.Second)
*/
package operator
