package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// TestSilentWorkerAcrossLeaders checks when the runs of a worker that has gone silent are ended: soon after its last
// lease has certainly ended, also if the leader changes meanwhile.
func TestSilentWorkerAcrossLeaders(t *testing.T) {
	const lease, slack = 10 * time.Second, 3 * time.Second
	start := time.Unix(1_800_000_000, 0) // the worker answers nothing from here on
	tests := map[string]struct{ takeover time.Duration }{
		"leader changes as the worker falls silent": {takeover: 0},
		"leader changes before the lease has ended": {takeover: 9 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			committed := registrar.NewState()
			for _, c := range []registrar.Command{
				{Config: &registrar.Config{Version: 1, Pools: []registrar.Pool{{Name: "a"}}, Queues: []registrar.Queue{{Name: "q", Pool: "a"}}}},
				{Workers: []registrar.Worker{{ID: "i-1", Incarnation: 1, Address: "a", Pool: "a"}}},
				{Submit: &registrar.Job{ID: "j", Queue: "q", Pool: "a", Steps: []registrar.Step{{Count: 1, LongRunning: true}}}},
				{Starts: []registrar.Start{{Task: registrar.TaskID{Job: "j"}, Run: 1, Worker: "i-1", Incarnation: 1}}},
			} {
				committed, _ = committed.Apply(start, c)
			}
			s := NewState(Config{MaxLease: lease}, 1)
			s, _ = s.Step(start.Add(tt.takeover), messenger.JobsView{State: committed, IsLeader: true, LeaseEnd: start.Add(time.Hour), Term: 2})
			endedAt := time.Duration(0)
			for at := tt.takeover; at < 3*lease && endedAt == 0; at += tickInterval {
				var out []messenger.Message
				s, out = s.Step(start.Add(at), messenger.Tick{})
				for _, m := range out {
					p, ok := m.Body.(messenger.ProposeJobs)
					if ok && slices.ContainsFunc(p.Command.Batch, func(c registrar.Command) bool { return len(c.Ends) > 0 }) {
						endedAt = at
					}
				}
			}
			must.Positive(t, endedAt)
			must.LessEq(t, lease+slack, endedAt)
		})
	}
}
