// SPDX-License-Identifier: MIT

package edge

import (
	"context"
	"sync"
)

// gate blocks loops while there is nothing for them to do. The zero value is closed.
type gate struct {
	mu     sync.Mutex
	open   bool
	opened chan struct{} // closed when the gate opens; nil: no loop is waiting
}

// set opens or closes the gate.
func (g *gate) set(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = open
	if open && g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// isOpen reports whether the gate is open.
func (g *gate) isOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// wait blocks until the gate is open. It returns false if the context ends first.
func (g *gate) wait(ctx context.Context) bool {
	for ctx.Err() == nil {
		g.mu.Lock()
		if g.open {
			g.mu.Unlock()
			return true
		}
		if g.opened == nil {
			g.opened = make(chan struct{})
		}
		opened := g.opened
		g.mu.Unlock()
		select {
		case <-opened:
		case <-ctx.Done():
		}
	}
	return false
}
