// SPDX-License-Identifier: MIT

/*
Package version holds everything that belongs to one version of the
configuration: the resources that operators declare, the rules that they are
validated against, and the compiled forms that requests are routed by.

# Resources

A Resource is a document with a kind, a name and a spec. A Config is the
complete set of resources at one sequence number. A Change is the step from one
Config to the next; changes are stored in the platform's table and replicated
between instances.

	next, change, err := cfg.Propose(change) // validated as a whole; applied completely or not at all
	v, err := version.Compile(next)          // immutable, shared by all requests

# View

A View replaces names by indexes, so that a decision only reads arrays. It is
never modified after Compile; a new version is a new View. Each limit of the
configuration (slots of a backend server, cap of a link or a shift) is a Pool of
tokens in the view.

# Decision

Decide chooses the region and the backend server for one request from a View
and the caller's own counters. It takes no lock, does no I/O and allocates
nothing.
*/
package version
