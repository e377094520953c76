// SPDX-License-Identifier: MIT

package metric

import (
	"strconv"
	"sync"
	"time"

	"shalewick/request"
)

const (
	// maxWorkspaces is the maximum number of workspaces that have separate metrics. Each
	// has a histogram of about 2 kB, together 0.2 MB of the 32 MB that an instance may use.
	maxWorkspaces = 100
	// workspaceReservoir is the number of samples in the histogram of a workspace.
	workspaceReservoir = 256
)

// otherWorkspaces is the label for all other workspaces.
const otherWorkspaces = "(others)"

// topWorkspaces selects the workspaces that have separate metrics by their number of requests.
// When there are too many, a workspace replaces the one with the fewest requests once it has
// more requests as a candidate, so that its count continues from there. This is a variant of the
// Space-Saving algorithm ("Efficient Computation of Frequent and Top-k Elements in Data Streams",
// Metwally, Agrawal, El Abbadi, 2005). The zero value is empty.
type topWorkspaces struct {
	mu         sync.Mutex
	counts     map[string]int64
	candidates map[string]int64 // requests of some workspaces without separate metrics
}

// label counts a request of a workspace. It returns the label for the workspace, and the
// workspace that it replaced, if any.
func (t *topWorkspaces) label(workspace string) (label, replaced string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts, t.candidates = make(map[string]int64), make(map[string]int64)
	}
	if _, known := t.counts[workspace]; known || len(t.counts) < maxWorkspaces {
		t.counts[workspace]++
		return workspace, ""
	}
	fewest := ""
	for w, c := range t.counts {
		if fewest == "" || c < t.counts[fewest] {
			fewest = w
		}
	}
	if len(t.candidates) >= maxWorkspaces {
		clear(t.candidates)
	}
	t.candidates[workspace]++
	if t.candidates[workspace] <= t.counts[fewest] {
		return otherWorkspaces, ""
	}
	t.counts[workspace] = t.candidates[workspace]
	delete(t.counts, fewest)
	delete(t.candidates, workspace)
	return workspace, fewest
}

// Workspace records the result and the latency of a request of a workspace. The busiest
// workspaces have separate metrics, the others are counted together.
func (s *Set) Workspace(workspace string, code request.Code, took time.Duration) {
	label, replaced := s.workspaces.label(workspace)
	if replaced != "" {
		s.unregisterWorkspace(replaced)
	}
	labels := "workspace=" + strconv.Quote(label)
	s.Counter("workspace_requests_total{" + labels + ",result=" + strconv.Quote(code.Info().Name) + "}").Inc(1)
	s.histogram("workspace_latency_us{"+labels+"}", workspaceReservoir).Update(took.Microseconds())
}

// unregisterWorkspace removes the metrics of a workspace that is no longer among the busiest.
func (s *Set) unregisterWorkspace(workspace string) {
	labels := "workspace=" + strconv.Quote(workspace)
	s.registry.Unregister("workspace_latency_us{" + labels + "}")
	for _, code := range request.Codes() {
		s.registry.Unregister("workspace_requests_total{" + labels + ",result=" + strconv.Quote(code.Info().Name) + "}")
	}
}
