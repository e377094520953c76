// SPDX-License-Identifier: MIT

/*
Package platform simulates the users' platform for tests and the demonstration. It keeps tables,
objects and the list of instances in memory, and serves them in the HTTP form that package
process/platform describes.

It is controlled over HTTP:

	PUT /standin/fault       replaces the present Fault
	PUT /standin/instances   sets the present list of instances
	GET /standin/count       number of calls so far, by kind
*/
package platform
