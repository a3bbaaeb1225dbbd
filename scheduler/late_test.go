package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// TestLateSuccess guards against a start of a task after its success on another worker was acknowledged: that worker had
// been silent until the leader ended its runs and assigned their tasks again, and the late success was acknowledged and
// then ignored. The simulated workers check that no such start arrives.
func TestLateSuccess(t *testing.T) {
	step := registrar.Step{Count: 1, CPU: 9000, Memory: 1000, Estimate: 4 * time.Second}
	gang := registrar.Step{Count: 2, CPU: 9000, Memory: 1000, Estimate: 4 * time.Second, Gang: true}
	tests := map[string]struct {
		steps         []registrar.Step
		lost          bool // the workers of the next run restart
		leaderChanges bool
	}{
		"a task":                            {steps: []registrar.Step{step}},
		"a task, next run lost":             {steps: []registrar.Step{step}, lost: true},
		"a task, next run lost, new leader": {steps: []registrar.Step{step}, lost: true, leaderChanges: true},
		"a gang, next run lost":             {steps: []registrar.Step{gang}, lost: true},
		"a step follows":                    {steps: []registrar.Step{step, {Count: 1, CPU: 1000, Memory: 1000, Estimate: 10 * time.Second, After: []int{0}}}, lost: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for offset := time.Duration(0); offset < 60*time.Millisecond; offset += 3 * time.Millisecond { // from the end of the runs until the answer
				w := newSimCluster(t, 1, map[string]int{"a": 4}, faults{})
				w.RunFor(3 * time.Second)
				w.submit("a", registrar.Job{ID: "j", Steps: tt.steps})
				w.RunFor(60 * time.Millisecond)
				x := w.workers["i-0001"]
				must.MapNotEmpty(t, x.runs)
				x.unreachable = true
				ended := false
				w.Every(time.Millisecond, func() {
					known, _ := w.state.workers.Get(x.ID)
					if ended || !known.runs.Contains(func(r run) bool { return r.endProposed }) {
						return
					}
					ended = true
					w.After(offset, func() { // a hold that was held up arrives and is answered
						x.unreachable = false
						w.handleHold(w.lastHolds[x.ID])
					})
					w.After(offset+1500*time.Millisecond, func() {
						if tt.leaderChanges {
							w.changeLeader()
						}
						for _, other := range w.workers {
							if tt.lost && len(other.runs) > 0 {
								w.endWorker(other)
								w.restartWorker(other)
							}
						}
					})
				})
				w.RunFor(35 * time.Second)
				must.True(t, ended)
				state := messenger.JobState(0)
				w.call(messenger.JobCall{Verb: messenger.GetJob, Host: "h", Path: "/a/", Job: registrar.Job{ID: "j"}}, func(a messenger.JobAnswer) { state = a.State })
				must.EqOp(t, messenger.JobComplete, state)
				for _, known := range w.state.workers.All() {
					must.EqOp(t, 0, known.runs.Len())
				}
			}
		})
	}
}
