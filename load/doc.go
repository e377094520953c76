// SPDX-License-Identifier: MIT

/*
Package load is an open-loop load generator: requests are due at a fixed rate,
whether or not earlier ones were answered, and their latency counts from when
they were due. It checks each answer, and afterwards compares what the callers
were told with what the backend server stand-ins recorded.
*/
package load
