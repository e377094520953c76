// SPDX-License-Identifier: MIT

/*
Package edge is the process of an instance that finds its configuration in a
store of tables: it follows the tables (state), knows the other instances
(cluster), decides (balance), serves requests (proxy), and tells clients which
instances to use (directory.go).

Nothing outlasts the process. What the store must have for it is one row that
says where it is.

Roll-outs of services (rollout) are told what the tables say at each compilation
(software.go, rollout.go); the instance that owns one writes its steps (step.go).

A planned stop: not ready at once, gone from the answers to clients at once,
each answer the last on its connection; after a while in which clients learn of
it the listeners close; it ends when no request is in flight, at the latest
shortly before Settings.KillAfter.
*/
package edge
