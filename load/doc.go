// SPDX-License-Identifier: MIT

/*
Package load is an open-loop load generator: it sends requests at a fixed rate,
regardless of responses to earlier ones, and measures latency from the time at
which a request was due. It checks each response, and afterwards verifies the
outcomes seen by callers against the records of the backend server stand-ins.
*/
package load
