// SPDX-License-Identifier: MIT

/*
Package explain reconstructs, from the logs of several processes, what happened
to one request and why.

	trace, err := explain.Find(id, logs)
	trace.Write(os.Stdout)

A trace has three parts: the log lines with the request's id, ordered by time;
its context, the lines that show the state of the same instances (the version in
force, whether the store responded, what was known of the backend servers that
the request was sent to); and the cause, a sentence derived from the result code
and the fields of the last line.

Logs are in the format of process/logging: a line of key=value pairs per event.
Logs of older builds can be read too.
*/
package explain
