// SPDX-License-Identifier: MIT

/*
Package forward chooses the instance that a request is forwarded to which this instance can't serve
itself, because it reaches no backend server that may get it. docs/design/forwarding.md describes
when requests are forwarded, and what is decided at which of the two instances.
*/
package forward
