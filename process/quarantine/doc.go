// SPDX-License-Identifier: MIT

/*
Package quarantine finds requests that crash the backend servers that run them, and
refuses them.

	q.Crashed(c)        // a backend server ended; c has what was in flight there
	q.Answered(print)   // a request was answered whole
	q.Refuses(print)    // whether a request is in quarantine

Instances report crashes to the owner of the service (report.go), which keeps them in
a ledger and finds the request that is at most of them (ledger.go). Its verdict is an
Entry, which all instances keep in a List (list.go). An instance that has answered the
request meanwhile objects, and the entry is withdrawn.

Entries have a stamp that rises with each change, and lists are merged by it, so it does
not matter from whom an instance learns them, how often, or in which order.
*/
package quarantine
