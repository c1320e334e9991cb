// Package eventqueue orders the events of simulations in virtual time.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds scheduled events. The zero value is empty. It is not safe for concurrent use.
type Queue struct {
	events events
	added  uint64
}

// Len returns the number of events.
func (q *Queue) Len() int { return len(q.events) }

// Add schedules a function. Events of one time are returned in the order in which they were added,
// so that a simulation with a fixed seed repeats.
func (q *Queue) Add(at time.Duration, do func()) {
	q.added++
	heap.Push(&q.events, event{at, q.added, do})
}

// Due reports whether the next event is at a time or before it.
func (q *Queue) Due(until time.Duration) bool { return len(q.events) > 0 && q.events[0].at <= until }

// Next removes the next event, of which there must be one, and returns its time and its function.
func (q *Queue) Next() (at time.Duration, do func()) {
	e := heap.Pop(&q.events).(event)
	return e.at, e.do
}

type event struct {
	at    time.Duration
	added uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].added < e[j].added
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last].do = nil // releases what the function refers to
	*e = (*e)[:last]
	return x
}
