package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// TestEndBeforeStartIsConfirmed guards against the start order of a run whose task or job has ended: the leader read the
// steps of the ended job, panicked in every step and answered no call any more.
func TestEndBeforeStartIsConfirmed(t *testing.T) {
	gang := registrar.Step{Count: 2, CPU: 9000, Memory: 1000, Estimate: 600 * time.Millisecond, Gang: true}
	tests := map[string]struct {
		steps    []registrar.Step
		during   func(w *simCluster) // half a second after the orders
		expected messenger.JobState
	}{
		"a gang ends, and its job with it":   {steps: []registrar.Step{gang}, expected: messenger.JobComplete},
		"a gang ends, and a step follows it": {steps: []registrar.Step{gang, {Count: 1, CPU: 1000, Memory: 1000, Estimate: time.Second, After: []int{0}}}, expected: messenger.JobComplete},
		"the job is canceled": {
			steps: []registrar.Step{{Count: 2, CPU: 9000, Memory: 1000, Estimate: time.Minute}},
			during: func(w *simCluster) {
				w.call(messenger.JobCall{Verb: messenger.CancelJob, Host: "h", Path: "/a/", Job: registrar.Job{ID: "j"}}, func(messenger.JobAnswer) {})
			},
			expected: messenger.JobCanceled,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newSimCluster(t, 1, map[string]int{"a": 2}, faults{})
			w.RunFor(3 * time.Second)
			x := w.workers["i-0001"]
			x.losesAnswers = true
			w.submit("a", registrar.Job{ID: "j", Steps: tt.steps})
			w.RunFor(500 * time.Millisecond)
			if tt.during != nil {
				tt.during(w)
			}
			w.RunFor(4500 * time.Millisecond)
			x.losesAnswers = false
			w.RunFor(8 * time.Second)
			state := messenger.JobState(0)
			w.call(messenger.JobCall{Verb: messenger.GetJob, Host: "h", Path: "/a/", Job: registrar.Job{ID: "j"}}, func(a messenger.JobAnswer) { state = a.State })
			must.EqOp(t, tt.expected, state)
			for _, other := range w.workers {
				must.MapEmpty(t, other.runs)
			}
			for _, known := range w.state.workers.All() {
				must.EqOp(t, 0, known.runs.Len())
			}
		})
	}
}
