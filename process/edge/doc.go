// SPDX-License-Identifier: MIT

/*
Package edge runs an instance that gets its configuration from a store of tables: it
follows the tables (state), knows the other instances (cluster), chooses backend
servers (balance), serves requests (proxy), and lists for clients which instances to use
(directory.go).

Nothing that the process keeps outlasts it. The store only needs a row with its
addresses.

Each compilation passes the state in the tables to the rollouts of services
(rollout; software.go, rollout.go); the instance that owns a rollout writes its
steps (step.go).

A planned stop: the instance is no longer ready and no longer listed for clients, and
each response is the last on its connection. Once clients have had time to notice, the
listeners close. The process exits when no request is in flight, or at the latest
shortly before Settings.KillAfter.
*/
package edge
