// SPDX-License-Identifier: MIT

/*
Package auth authenticates operators and instances.

Operators authenticate with the token of their workspace. The token file holds
only hashes:

	workspaces:
	- name: auctions
	  hash: 2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae
	  expires: 2027-01-01T00:00:00Z
	- name: platform
	  hash: fcde2b2edba56bf408601fb721fe9b5c338d10ee429ea04fae5511b68fbf8fb9
	  admin: true

A hash is the SHA-256 of the token in hex. A workspace may change the services that
name it and the resources of these services: backend servers, shifts, rollouts, and drains
of backend servers. Regions, halls, links and drains of regions and halls need an admin
workspace.

Instances authenticate each other by certificates of a common authority (Identity).
Both kinds of files are read again when they change. If a file can't be read, the
previous content stays in use.
*/
package auth
