// SPDX-License-Identifier: MIT

package request

// Names are the header names that callers and backend servers use. They are data, so
// that a deployment can have its own; Names of the product are in OwnNames.
type Names struct {
	ID        string // identifies one request; the answer repeats it
	Deadline  string // time left, milliseconds
	Affinity  string // the object that a request concerns
	Target    string // the backend server that alone may run the request
	Seal      string // in each answer that a backend server made
	NotRun    string // in a backend server's refusal: it was not run
	Key       string // in a request: "Bearer" and the key of the caller's workspace
	Workspace string // to a backend server: the name of that workspace
	Load      string // of a backend server: running, waiting, slots, and maybe its host's pace
	Leaving   string // in each answer of a backend server that is about to end
	Limit     string // of a backend server: the requests a second that it takes from all instances
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
