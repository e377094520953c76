// SPDX-License-Identifier: MIT

/*
Package quarantine identifies requests that crash the backend servers that run them, and
refuses them.

	q.RecordCrash(c)         // a backend server crashed; c has the requests in flight there
	q.RecordResponse(print)  // a request was answered completely
	q.Refuses(print)         // reports whether a request is in quarantine

Instances report crashes to the owner of the service (report.go). The owner keeps them in a
ledger and looks for the request that was in flight at most of them (ledger.go). Its verdict
is an Entry, which all instances keep in a list (list.go). An instance that has answered the
request since then sends an objection, and the entry is withdrawn.

Entries have a stamp that increases with each change, and lists are merged by stamp. The
result therefore does not depend on the instances that entries come from, on duplicates, or on
their order.
*/
package quarantine
