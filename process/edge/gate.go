// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"sync"
)

// gate holds loops up while there is nothing for them to do. The zero value is shut.
type gate struct {
	mu      sync.Mutex
	open    bool
	changed chan struct{} // closed when the gate opens; nil: nobody waits
}

// set opens or shuts the gate.
func (g *gate) set(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = open
	if open && g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
}

// isOpen reports whether the gate is open.
func (g *gate) isOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// wait waits until the gate is open. It reports false if the context ends first.
func (g *gate) wait(ctx context.Context) bool {
	for ctx.Err() == nil {
		g.mu.Lock()
		if g.open {
			g.mu.Unlock()
			return true
		}
		if g.changed == nil {
			g.changed = make(chan struct{})
		}
		changed := g.changed
		g.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return false
}
