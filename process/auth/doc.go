// SPDX-License-Identifier: MIT

/*
Package auth tells who calls.

Operators carry the token of their workspace. The tokens' file holds only hashes:

	workspaces:
	- name: auctions
	  hash: 2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae
	  expires: 2027-01-01T00:00:00Z
	- name: platform
	  hash: fcde2b2edba56bf408601fb721fe9b5c338d10ee429ea04fae5511b68fbf8fb9
	  admin: true

A hash is the SHA-256 of the token in hex. A workspace may change the services that
name it, and what belongs to these: backend servers, shifts, and drains of backend servers.
Regions, halls, links and drains of whole places need an admin workspace.

Instances know each other by certificates of a common authority (Identity).
Both kinds of file are read again when they change; a file that can not be read
leaves what was read before in use.
*/
package auth
