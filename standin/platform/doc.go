// SPDX-License-Identifier: MIT

/*
Package platform is the stand-in for the users' platform: tables, objects and
the list of instances, kept in memory and served in the HTTP form that package
process/platform describes. It is for tests and the demonstration only.

It can be told over HTTP to fail:

	PUT /standin/fault       a Fault; replaces the present one
	PUT /standin/instances   the true list of instances
	GET /standin/count       calls served so far, by kind
*/
package platform
