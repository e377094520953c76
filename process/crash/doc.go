// SPDX-License-Identifier: MIT

/*
Package crash distinguishes a backend server that crashed from one that only lost a response.

Requests that were sent and not answered completely are recorded with a Detector, which then
opens a connection to the backend server. If the host is reachable and refuses the connection,
the process has ended, and all requests that were lost there around that time are reported
together, each as a suspect. A backend server that accepts the connection is live, and one that
does not respond may only be unreachable; neither is a crash.
*/
package crash
