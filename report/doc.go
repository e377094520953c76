// SPDX-License-Identifier: MIT

/*
Package report aggregates the logs of any number of instances: for each time
window, service, class, hall and cause it counts the requests that were answered
in time, answered late, refused, or failed.

	r := report.New(time.Second)
	err := r.Read(name, file) // once per log
	r.Print(os.Stdout)        // or r.WriteHTML

Package explain explains the outcome of a single request; this package shows when
and why many were lost.

Instances limit the rate of their log lines. The first line of a kind after some
were left out states how many, and those are counted as if they were equal to that
line. Under high load the counts are therefore estimates; the summary states how
many requests were counted this way.

A report holds a limited number of counts. When the limit is exceeded, the length
of the windows doubles.
*/
package report
