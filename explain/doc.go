// SPDX-License-Identifier: MIT

/*
Package explain finds, in the logs of several processes, what became of one
request and why.

	story, err := explain.Find(id, logs)
	story.Write(os.Stdout)

A story has three parts: the lines that carry the request's id, in the order of
their times; the lines before them that tell what the same instances believed
(the version in force, whether the store answered, what was known of the
backends that the request met); and the cause, a sentence made from the last
line's result code and the fields that decided it.

Logs are those of process/logging: one line of key=value pairs for each event.
*/
package explain
