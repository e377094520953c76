// SPDX-License-Identifier: MIT

/*
Package version holds what lives for one version of the configuration: the
resources that operators declare, the checks they pass before they are
accepted, and the compiled View that every request is decided on.

# Resources

A Resource is a small document with a kind, a name and a spec. A Config is the
whole set of resources at one sequence number. A Change is the step from one
Config to the next; changes are what the platform's table keeps and what
instances send each other.

	c, err := cfg.Apply(change) // checked whole, or not at all
	v, err := version.Compile(c) // immutable, shared by all requests

# The view

A View replaces names by indexes, so that a decision reads arrays only. It is
never changed after Compile; a new version is a new View. Each limit of the
configuration (slots of a backend server, cap of a link or a shift) is a Pool of
tokens in the view.

# The decision

Decide chooses region and backend server for one request from a View and the numbers
that the caller reads from its own counters. It takes no lock, does no I/O and
allocates nothing.
*/
package version
