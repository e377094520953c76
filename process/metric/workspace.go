// SPDX-License-Identifier: MIT

package metric

import (
	"strconv"
	"sync"
	"time"

	"shalewick/request"
)

const (
	// maxWorkspaces bounds the workspaces that have metrics of their own: each has a
	// histogram of some 2 kB. Origin: 0.2 MB of the 32 MB that an instance may take.
	maxWorkspaces = 100
	// workspaceReservoir is the number of samples in such a histogram.
	workspaceReservoir = 256
)

// otherWorkspaces is the label of those beyond that, together.
const otherWorkspaces = "(others)"

// topWorkspaces are the workspaces that have metrics of their own, by the number of requests
// that were counted for each. When a new one comes and there are too many, it takes
// the place of the one with the fewest, from whose count it goes on ("Efficient
// Computation of Frequent and Top-k Elements in Data Streams", Metwally, Agrawal,
// El Abbadi, 2005), if it has come so often. The zero value is empty.
type topWorkspaces struct {
	mu         sync.Mutex
	counts     map[string]int64
	candidates map[string]int64 // of those without a place, a few
}

// label returns the label of a workspace, and one that has lost its place to it.
func (n *topWorkspaces) label(workspace string) (label, lost string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.counts == nil {
		n.counts, n.candidates = make(map[string]int64), make(map[string]int64)
	}
	if _, known := n.counts[workspace]; known || len(n.counts) < maxWorkspaces {
		n.counts[workspace]++
		return workspace, ""
	}
	fewest := ""
	for w, c := range n.counts {
		if fewest == "" || c < n.counts[fewest] {
			fewest = w
		}
	}
	if len(n.candidates) >= maxWorkspaces {
		clear(n.candidates)
	}
	n.candidates[workspace]++
	if n.candidates[workspace] <= n.counts[fewest] {
		return otherWorkspaces, ""
	}
	n.counts[workspace] = n.candidates[workspace]
	delete(n.counts, fewest)
	delete(n.candidates, workspace)
	return workspace, fewest
}

// Workspace counts the end of a request of a workspace: the busiest by name, the others
// together.
func (s *Set) Workspace(workspace string, code request.Code, took time.Duration) {
	label, lost := s.workspaces.label(workspace)
	if lost != "" {
		s.unregisterWorkspace(lost)
	}
	of := "workspace=" + strconv.Quote(label)
	s.Counter("workspace_requests_total{" + of + ",result=" + strconv.Quote(code.Info().Name) + "}").Inc(1)
	s.histogram("workspace_latency_us{"+of+"}", workspaceReservoir).Update(took.Microseconds())
}

// unregisterWorkspace removes the metrics of a workspace that is not among the busiest any
// more.
func (s *Set) unregisterWorkspace(workspace string) {
	of := "workspace=" + strconv.Quote(workspace)
	s.registry.Unregister("workspace_latency_us{" + of + "}")
	for _, code := range request.Codes() {
		s.registry.Unregister("workspace_requests_total{" + of + ",result=" + strconv.Quote(code.Info().Name) + "}")
	}
}
