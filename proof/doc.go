// SPDX-License-Identifier: MIT

/*
Package proof contains the end-to-end tests of the system's guarantees. They
build the command and run entries, the platform stand-in and backend server
stand-ins as separate processes on loopback, and inject faults: kills, freezes,
lost connections and wrong behaviour of the stand-ins. docs/PROOFS.md lists what
each test shows.

The package contains only tests.
*/
package proof
