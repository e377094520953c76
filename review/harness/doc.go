// SPDX-License-Identifier: MIT

/*
Package harness runs a small deployment for the cases of the review: instances as separate processes,
started with the command of the deploy file, and stand-ins of the platform, of clients and of backend
servers in this process. Everything listens on loopback addresses and free ports, and all files but the
record are in a temporary folder.

The words on the wire are those of the users' pages.
*/
package harness
