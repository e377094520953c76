// SPDX-License-Identifier: MIT

/*
Package proof holds the tests of what must always hold. They build the command
and run it as separate processes on loopback: entries, the stand-in of the
platform and stand-ins of backend servers, which they kill, freeze, cut off and make
misbehave. docs/PROOFS.md lists what each test shows.

The package has no code of its own besides the tests.
*/
package proof
