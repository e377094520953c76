// SPDX-License-Identifier: MIT

package ratelimit

// Receive handles a message from an address, and reports whether it is a message of this package.
func (l *Limiter) Receive(from string, text []byte) bool {
	if len(text) == 0 || text[0] < kindRequest || text[0] > kindReport {
		return false
	}
	if text[0] == kindResponse {
		l.handleResponse(text)
		return true
	}
	if out := l.handleRequest(from, text); out != nil {
		l.Send(from, out)
	}
	return true
}

// handleRequest returns the response to a permit request or report, or nil if there is none.
func (l *Limiter) handleRequest(from string, text []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	x, err := decodeRequest(text, now)
	if err != nil || x.incarnationHash == 0 {
		return nil // it was sent by an instance of another software version
	}
	k := l.backends[x.incarnationHash]
	if k == nil {
		if !x.observed.limited(now) {
			k = &backend{} // nothing is known of it, and nothing needs to be kept
		} else {
			k = l.add(x.incarnationHash)
		}
	}
	k.lastUsed = now
	l.update(k, x.observed, false)
	if text[0] == kindReport {
		return nil
	}
	out := permitResponse{seq: x.seq, incarnationHash: x.incarnationHash, status: notOwner, wait: ownerRetryDelay, observed: k.observed}
	if o := l.Owner(x.region, x.incarnationHash); o.Name == "" || o.Address != "" {
		return out.encode(now)
	}
	if k.bucket != nil {
		if previous, ok := k.bucket.requester(from).previousResponse(x.seq); ok {
			return previous.encode(now)
		}
	}
	out.status, out.wait = l.grant(k, from, int(x.priority), now)
	if k.bucket != nil {
		k.bucket.requester(from).store(out)
	}
	return out.encode(now)
}

// handleResponse handles the response to a permit request. If no request waits for it any more, a
// permit is kept for another one.
func (l *Limiter) handleResponse(text []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	x, err := decodeResponse(text, now)
	if err != nil {
		return
	}
	k := l.backends[x.incarnationHash]
	if k == nil {
		return
	}
	l.update(k, x.observed, false)
	p := l.pending[x.seq]
	if p == nil || p.backend != k {
		return
	}
	delete(l.pending, x.seq)
	l.countResult(x.status)
	switch {
	case x.status != granted:
		k.block(p.priority, x.wait, now)
	case p.abandoned:
		k.unusedPermits = append(k.unusedPermits, now)
	}
	p.result <- x.status == granted
}

// Tick reports limits that have ended to their owners, and drops state that is no longer needed.
// It must be called every TickInterval.
func (l *Limiter) Tick() {
	if !l.active.Load() {
		return
	}
	type message struct {
		address string
		text    []byte
	}
	var out []message
	l.mu.Lock()
	now := l.Now()
	l.liveShare(now)
	for incarnationHash, k := range l.backends {
		if k.bucket != nil && l.Owner(k.Region, incarnationHash).Address != "" {
			k.bucket = nil
		}
		if k.reportsLeft > 0 {
			k.reportsLeft--
			if o := l.Owner(k.Region, incarnationHash); o.Address != "" {
				x := permitRequest{incarnationHash: incarnationHash, observed: k.observed, region: k.Region}
				out = append(out, message{o.Address, x.encode(kindReport, now)})
			}
		}
		if now-k.lastUsed > forgetAfter {
			delete(l.backends, incarnationHash)
		}
	}
	for seq, p := range l.pending {
		if now-p.sentAt > permitTTL {
			delete(l.pending, seq)
		}
	}
	l.active.Store(len(l.backends) > 0)
	l.mu.Unlock()
	for _, m := range out {
		l.Send(m.address, m.text)
	}
}
