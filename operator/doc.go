// SPDX-License-Identifier: MIT

/*
Package operator is the client library for the admin API of instances, on which
the operators' commands are built. Pass changes a context with a deadline: when
a response is lost, the client queries the outcome until the context ends.

	c := operator.New([]string{"10.0.0.1:8002", "10.0.0.2:8002"})
	applied, err := c.Apply(ctx, resources)
	status, err := c.WaitInForce(ctx, applied.Version, 13*time.Second)
*/
package operator
