// Package simulator is a discrete-event simulator: a simulated clock and a queue of events.
// Events run one at a time in a fixed order, so that a run with the same seed has the same
// result. Package experimenter and the tests of scheduler and replicator build simulated
// clusters on it.
package simulator

import (
	"container/heap"
	"time"
)

// Simulator is a queue of events ordered by time. Events at the same time run in the
// order in which they were scheduled.
type Simulator struct {
	now    time.Time
	seq    uint64 // number of events scheduled so far
	events eventHeap
}

type event struct {
	at  time.Time
	seq uint64 // orders events at the same time
	run func()
}

// eventHeap implements heap.Interface.
type eventHeap []event

// NewSimulator returns a simulator without events whose time is now.
func NewSimulator(now time.Time) *Simulator {
	return &Simulator{now: now}
}

// Now returns the current simulated time.
func (s *Simulator) Now() time.Time { return s.now }

// After schedules a call of run after a delay. A negative delay counts as zero.
func (s *Simulator) After(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now.Add(max(d, 0)), seq: s.seq, run: run})
}

// Every schedules a call of run after each interval, without end.
func (s *Simulator) Every(d time.Duration, run func()) {
	s.After(d, func() {
		run()
		s.Every(d, run)
	})
}

// RunFor runs all events that are due within a duration, including those that they
// schedule, and advances the simulated time by that duration.
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

// Less orders events by time, and events at the same time by when they were scheduled.
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

// Pop removes and returns the last event.
func (e *eventHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{} // releases the function
	*e = old[:len(old)-1]
	return last
}
