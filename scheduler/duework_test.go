package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/indexer"
	"laburnumwind/messenger"
	"laburnumwind/recoverer"
	"laburnumwind/registrar"
)

// TestDueWorkThatPanics guards against a leader that hangs because its periodic work panics: each message that renewed its
// lease was dropped with that work, so that it saw its lease as expired and its ticks succeeded. Now messages count, and
// the ticks panic, which ends the process.
func TestDueWorkThatPanics(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	tests := map[string]struct {
		broken  bool // the state makes the periodic work panic
		message any
	}{
		"renewed lease":                 {message: messenger.JobsView{State: registrar.NewState(), IsLeader: true, LeaseEnd: start.Add(time.Hour), Term: 2}},
		"renewed lease, broken state":   {broken: true, message: messenger.JobsView{State: registrar.NewState(), IsLeader: true, LeaseEnd: start.Add(time.Hour), Term: 2}},
		"call of a caller, broken":      {broken: true, message: messenger.Call{ID: 7, Body: messenger.GetConfig{}}},
		"call of a caller, sound state": {message: messenger.Call{ID: 7, Body: messenger.GetConfig{}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewState(Config{MaxLease: maxLease}, 1)
			s, _ = s.Step(start, messenger.JobsView{State: registrar.NewState(), IsLeader: true, LeaseEnd: start.Add(10 * time.Second), Term: 2})
			if tt.broken {
				s.fleet.machines = indexer.Map[string, machine]{}
			}
			now := start.Add(time.Second)
			s, out := s.Step(now, tt.message)
			reported := slices.ContainsFunc(out, func(m messenger.Message) bool {
				d, ok := m.Body.(messenger.Decision)
				return ok && d.Event == "dueWorkPanicked"
			})
			must.EqOp(t, tt.broken, reported)
			view, isView := tt.message.(messenger.JobsView)
			must.True(t, !isView || s.leaseEnd.Equal(view.LeaseEnd))
			answered := slices.ContainsFunc(out, func(m messenger.Message) bool { _, ok := m.Body.(messenger.CallAnswer); return ok })
			must.EqOp(t, !isView, answered)
			err := recoverer.Do(func() { _, _ = s.Step(now.Add(tickInterval), messenger.Tick{}) })
			must.EqOp(t, tt.broken, err != nil)
		})
	}
}
