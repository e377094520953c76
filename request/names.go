// SPDX-License-Identifier: MIT

package request

// Names holds the header names that callers and backend servers use. They are configurable, so that
// a deployment can have its own. OwnNames holds the defaults.
type Names struct {
	ID        string // identifies one request; the response repeats it
	Deadline  string // time left, in milliseconds
	Affinity  string // the object that a request concerns
	Target    string // the backend server that alone may run the request
	Seal      string // in each response of a backend server
	NotRun    string // in a backend server's refusal: the request was not run
	Key       string // in a request: "Bearer" and the key of the caller's workspace
	Workspace string // to a backend server: the name of that workspace
	Load      string // of a backend server: running, waiting, slots, and optionally the relative speed of its host
	Leaving   string // in each response of a backend server that is about to stop
	Limit     string // of a backend server: the requests a second that it accepts from all instances together
}

// OwnNames are the header names of the product's own interface.
var OwnNames = Names{
	ID:        HeaderID,
	Deadline:  HeaderDeadline,
	Affinity:  "Shalewick-Object",
	Target:    "Shalewick-Target",
	Seal:      "Shalewick-Seal",
	NotRun:    HeaderNotRun,
	Load:      "Shalewick-Load",
	Leaving:   "Shalewick-Leaving",
	Limit:     "Shalewick-Limit",
	Key:       "Authorization",
	Workspace: "Shalewick-Workspace",
}
