// SPDX-License-Identifier: MIT

/*
Package crash tells a backend server that ended from one that lost an answer.

A request that was sent and got no whole answer is told to a Watch. It opens a
connection to the backend server: if the host is there and nobody listens, the
process has ended, and all requests that were lost there at that time are reported
together, each as a suspect. A backend server that takes the connection lives, and
one that does not say anything may only be cut off; neither is a crash.
*/
package crash
