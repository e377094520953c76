// SPDX-License-Identifier: MIT

package queue

import (
	"sync"
	"time"

	"shalewick/request"
)

// fairOneIn is how often the lowest class has a turn before the others.
const fairOneIn = 8

// Queue is the line of one service. The zero value is an empty queue.
type Queue struct {
	mu      sync.Mutex
	waiters [request.NumClasses][]*Waiter
	length  int
	turns   int
	// served is the recent mean time a request holds its slot.
	served time.Duration
}

// Waiter is one request in a queue.
type Waiter struct {
	// Turn receives when the waiter should try to take a slot.
	Turn chan struct{}
	// Evicted is closed when the waiter had to make room.
	Evicted chan struct{}
	class   request.Class
	gone    bool
}

// Len returns the number of waiters.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.length
}

// Enter adds a waiter, unless limit others wait that are not of a lower class.
func (q *Queue) Enter(class request.Class, limit int) (*Waiter, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.length >= limit && !q.evictBelow(class) {
		return nil, false
	}
	w := &Waiter{Turn: make(chan struct{}, 1), Evicted: make(chan struct{}), class: class}
	q.waiters[class] = append(q.waiters[class], w)
	q.length++
	return w, true
}

// evictBelow removes the last waiter of the lowest class below the given one.
func (q *Queue) evictBelow(class request.Class) bool {
	for c := request.NumClasses - 1; c > class; c-- {
		n := len(q.waiters[c])
		if n == 0 {
			continue
		}
		w := q.waiters[c][n-1]
		q.remove(w)
		close(w.Evicted)
		return true
	}
	return false
}

// Leave removes a waiter and passes the turn on, in case it had one.
func (q *Queue) Leave(w *Waiter) {
	q.mu.Lock()
	q.remove(w)
	q.mu.Unlock()
	q.Wake()
}

func (q *Queue) remove(w *Waiter) {
	if w.gone {
		return
	}
	w.gone = true
	line := q.waiters[w.class]
	for i := range line {
		if line[i] == w {
			q.waiters[w.class] = append(line[:i:i], line[i+1:]...)
			q.length--
			return
		}
	}
}

// Wake gives the next waiter its turn.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.length == 0 {
		return
	}
	q.turns++
	w := q.next(q.turns%fairOneIn == 0)
	select {
	case w.Turn <- struct{}{}:
	default: // it has a turn already
	}
}

func (q *Queue) next(lowestFirst bool) *Waiter {
	var found *Waiter
	for c := range q.waiters {
		if len(q.waiters[c]) == 0 {
			continue
		}
		found = q.waiters[c][0]
		if !lowestFirst {
			return found
		}
	}
	return found
}

// Ahead returns how many waiters go before a new one of the class.
func (q *Queue) Ahead(class request.Class) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for c := range class + 1 {
		n += len(q.waiters[c])
	}
	return n
}

// servedWeight is the weight of a new time in the mean.
const servedWeight = 8

// Served adds to the mean how long a request held its slot.
func (q *Queue) Served(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.served == 0 {
		q.served = d
		return
	}
	q.served += (d - q.served) / servedWeight
}

// Expect returns the time until a slot is free for a request with so many
// others ahead, when slots requests are served at once.
func (q *Queue) Expect(ahead, slots int) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.served * time.Duration(ahead+1) / time.Duration(max(1, slots))
}
