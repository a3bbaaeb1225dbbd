// Package simulator is a discrete-event simulator: a clock and a queue of events on
// simulated time. Events run one at a time in a fixed order, so that a run is
// reproducible. Package experimenter builds a simulated cluster on it.
package simulator

import (
	"container/heap"
	"time"
)

// Simulator is a queue of events ordered by time. Events at the same time run in the
// order in which they were scheduled.
type Simulator struct {
	now    time.Time
	seq    uint64
	events eventHeap
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

type eventHeap []event

// NewSimulator returns a simulator without events that starts at a time.
func NewSimulator(now time.Time) *Simulator {
	return &Simulator{now: now}
}

// Now returns the current simulated time.
func (s *Simulator) Now() time.Time { return s.now }

// After schedules an event after a delay. A negative delay counts as zero.
func (s *Simulator) After(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now.Add(max(d, 0)), seq: s.seq, run: run})
}

// Every schedules an event at a fixed interval, first after one interval.
func (s *Simulator) Every(d time.Duration, run func()) {
	s.After(d, func() {
		run()
		s.Every(d, run)
	})
}

// RunFor runs all events that are due within a duration and advances the time to its end.
func (s *Simulator) RunFor(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// Len returns the number of scheduled events.
func (e eventHeap) Len() int { return len(e) }

// Less orders events by time, then by the order in which they were scheduled.
func (e eventHeap) Less(i, k int) bool {
	if e[i].at.Equal(e[k].at) {
		return e[i].seq < e[k].seq
	}
	return e[i].at.Before(e[k].at)
}

// Swap exchanges two events.
func (e eventHeap) Swap(i, k int) { e[i], e[k] = e[k], e[i] }

// Push appends an event.
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *eventHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}
