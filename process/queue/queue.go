// SPDX-License-Identifier: MIT

package queue

import (
	"sync"
	"time"

	"shalewick/request"
)

// lowestFirstInterval is the number of wakes of which one goes to the lowest class
// first.
const lowestFirstInterval = 8

// Queue is the wait queue of one service. The zero value is an empty queue.
type Queue struct {
	mu      sync.Mutex
	waiters [request.NumClasses][]*Waiter
	length  int
	wakes   int
	// meanServiceTime is the moving average of how long a request holds its slot.
	meanServiceTime time.Duration
}

// Waiter is a request in a queue.
type Waiter struct {
	// Ready receives a value when the waiter should try to acquire a slot.
	Ready chan struct{}
	// Evicted is closed when the waiter is evicted in favor of a higher class.
	Evicted chan struct{}
	class   request.Class
	removed bool
}

// Len returns the number of waiters.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.length
}

// Enter adds a waiter. If limit requests wait already, it evicts a waiter of a lower
// class, or fails if there is none.
func (q *Queue) Enter(class request.Class, limit int) (*Waiter, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.length >= limit && !q.evictLower(class) {
		return nil, false
	}
	w := &Waiter{Ready: make(chan struct{}, 1), Evicted: make(chan struct{}), class: class}
	q.waiters[class] = append(q.waiters[class], w)
	q.length++
	return w, true
}

// evictLower evicts the newest waiter of the lowest class below the given one.
func (q *Queue) evictLower(class request.Class) bool {
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

// Leave removes a waiter and wakes the next one, because the waiter may have been
// woken without using a slot.
func (q *Queue) Leave(w *Waiter) {
	q.mu.Lock()
	q.remove(w)
	q.mu.Unlock()
	q.Wake()
}

func (q *Queue) remove(w *Waiter) {
	if w.removed {
		return
	}
	w.removed = true
	waiters := q.waiters[w.class]
	for i := range waiters {
		if waiters[i] == w {
			q.waiters[w.class] = append(waiters[:i:i], waiters[i+1:]...)
			q.length--
			return
		}
	}
}

// Wake signals the next waiter to try to acquire a slot.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.length == 0 {
		return
	}
	q.wakes++
	w := q.next(q.wakes%lowestFirstInterval == 0)
	select {
	case w.Ready <- struct{}{}:
	default: // it has been signaled already
	}
}

// next returns the first waiter of the highest class, or of the lowest one.
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

// Ahead returns how many waiters precede a new one of the class.
func (q *Queue) Ahead(class request.Class) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for c := range class + 1 {
		n += len(q.waiters[c])
	}
	return n
}

// meanWeight is the divisor of a new value's share in the moving average.
const meanWeight = 8

// RecordServiceTime adds how long a request held its slot to the moving average.
func (q *Queue) RecordServiceTime(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.meanServiceTime == 0 {
		q.meanServiceTime = d
		return
	}
	q.meanServiceTime += (d - q.meanServiceTime) / meanWeight
}

// EstimateWait returns the expected time until a slot is free for a request that has
// ahead requests before it, while slots requests are processed concurrently.
func (q *Queue) EstimateWait(ahead, slots int) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.meanServiceTime * time.Duration(ahead+1) / time.Duration(max(1, slots))
}
