package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// TestRepeatedStart guards against the repetition of an unanswered start order after the worker has changed: it started
// tasks on the next process of the worker, which lacked their label, and on workers that drained.
func TestRepeatedStart(t *testing.T) {
	tests := map[string]struct {
		change      func(w *simCluster, x *fakeWorker) // half a second after the orders
		startsThere bool
	}{
		"the worker stays as it is": {
			change: func(_ *simCluster, x *fakeWorker) { x.dropsOrders = false }, startsThere: true,
		},
		"it restarts as another kind": {
			change: func(w *simCluster, x *fakeWorker) {
				w.endWorker(x)
				x.Labels = []string{"b", "r-a-0"}
				w.restartWorker(x)
			},
		},
		"it restarts as the same kind": {
			change: func(w *simCluster, x *fakeWorker) { w.endWorker(x); w.restartWorker(x) }, startsThere: true,
		},
		"it drains": {
			change: func(w *simCluster, x *fakeWorker) {
				x.Draining = true
				w.After(4*time.Second, func() { x.dropsOrders = false })
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newSimCluster(t, 1, map[string]int{"a": 2}, faults{})
			w.RunFor(3 * time.Second)
			x, other := w.workers["i-0001"], w.workers["i-0002"]
			other.Labels = []string{"b", "r-a-0"}
			w.RunFor(2 * time.Second)
			x.dropsOrders = true
			w.submit("a", registrar.Job{ID: "j", Steps: []registrar.Step{{Count: 4, CPU: 2000, Memory: 1000, Estimate: time.Minute, Requires: "a"}}})
			w.RunFor(500 * time.Millisecond)
			tt.change(w, x)
			w.RunFor(10 * time.Second)
			must.MapEmpty(t, other.runs)
			if tt.startsThere {
				must.MapLen(t, 4, w.workers[x.ID].runs)
				return
			}
			must.MapEmpty(t, w.workers[x.ID].runs)
		})
	}
}

// TestRepliesOfAnEarlierProcess guards against a reply to an order that the worker answered before it restarted: its
// clock and its confirmation count for the process before.
func TestRepliesOfAnEarlierProcess(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tests := map[string]struct {
		incarnation int64 // of the worker that the order was sent to
		counts      bool
	}{
		"the same process":                     {incarnation: 6, counts: true},
		"the process before":                   {incarnation: 5},
		"unknown, from an older version of us": {counts: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewState(Config{MaxLease: maxLease}, 1)
			s, _ = s.Step(now, messenger.JobsView{State: registrar.NewState(), IsLeader: true, LeaseEnd: now.Add(time.Hour), Term: 2})
			r := run{task: registrar.TaskID{Job: "j"}, number: 1, incarnation: 6, committed: true, stopping: true, orderPending: true, orderSentAt: now}
			w := worker{Worker: registrar.Worker{ID: "i-1", Incarnation: 6, Address: "a"}, holdPending: true, holdDueAt: now.Add(time.Hour)}
			s.workers = s.workers.With("i-1", w.WithRun(r))
			order := messenger.Order{Kind: messenger.StopRun, Worker: "i-1", Incarnation: tt.incarnation, Task: r.task, Run: 1, Fence: 2}
			s, _ = s.Step(now.Add(time.Millisecond), messenger.OrderReply{Order: order, Verdict: messenger.Accepted, Clock: 77})
			after, _ := s.workers.Get("i-1")
			must.EqOp(t, tt.counts, after.clock == 77)
			must.EqOp(t, tt.counts, !after.runs.At(0).stopConfirmedAt.IsZero())
		})
	}
}

// TestRejectedStartsAreNoAttempts guards against a job that ends as failed although none of its runs has: a start that
// a worker rejected as malformed counted as a failed attempt.
func TestRejectedStartsAreNoAttempts(t *testing.T) {
	tests := map[string]struct{ verdict messenger.Verdict }{
		"lack of resources": {messenger.RejectedCapacity},
		"malformed":         {messenger.RejectedMalformed},
		"unhealthy":         {messenger.Unhealthy},
		"another worker":    {messenger.WrongWorker},
		"an old run number": {messenger.RejectedOld},
		"an expired lease":  {messenger.RejectedLate},
		"an invalid ticket": {messenger.RejectedTicket},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newSimCluster(t, 1, map[string]int{"a": 1}, faults{})
			w.RunFor(3 * time.Second)
			x := w.workers["i-0001"]
			x.rejectsStarts = tt.verdict
			w.submit("a", registrar.Job{ID: "j", Steps: []registrar.Step{{Count: 2, CPU: 2000, Memory: 1000, Estimate: time.Second}}})
			w.RunFor(8 * time.Second)
			x.rejectsStarts = 0
			w.RunFor(4 * time.Second)
			j, _ := w.committed.Job("j")
			must.EqOp(t, registrar.Complete, j.Outcome)
		})
	}
}

// TestPendingWhileUnconfirmed guards against a job that counts as begun before a worker has confirmed a start: jobs that
// were assigned to a silent worker, or whose starts a worker had rejected, were not counted as pending.
func TestPendingWhileUnconfirmed(t *testing.T) {
	tests := map[string]struct {
		dropsOrders, silent bool
		rejects             messenger.Verdict
		after               func(w *simCluster, x *fakeWorker) // a second after the submissions
		pending             int
		state               messenger.JobState
	}{
		"the worker starts them":       {state: messenger.JobRunning},
		"the worker gets no orders":    {dropsOrders: true, pending: 6, state: messenger.JobQueued},
		"the worker has gone silent":   {silent: true, pending: 6, state: messenger.JobQueued},
		"the worker rejects them":      {rejects: messenger.Unhealthy, pending: 6, state: messenger.JobQueued},
		"rejected, new leader":         {rejects: messenger.Unhealthy, after: func(w *simCluster, _ *fakeWorker) { w.changeLeader() }, pending: 6, state: messenger.JobQueued},
		"started, then rejects others": {after: func(_ *simCluster, x *fakeWorker) { x.rejectsStarts = messenger.Unhealthy }, state: messenger.JobRunning},
		"started, then silent, new leader": {
			after: func(w *simCluster, x *fakeWorker) { x.unreachable = true; w.changeLeader() }, state: messenger.JobRunning,
		},
		"started, then restarted": {
			after: func(w *simCluster, x *fakeWorker) {
				w.endWorker(x)
				w.restartWorker(x).rejectsStarts = messenger.Unhealthy
			}, state: messenger.JobRunning,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newSimCluster(t, 1, map[string]int{"a": 1}, faults{})
			w.RunFor(5 * time.Second)
			x := w.workers["i-0001"]
			x.dropsOrders, x.unreachable, x.rejectsStarts = tt.dropsOrders, tt.silent, tt.rejects
			for n := range 6 {
				w.submit("a", registrar.Job{ID: fmt.Sprintf("%016x", n), Steps: []registrar.Step{{Count: 1, CPU: 2000, Memory: 1000, Estimate: time.Minute}}})
			}
			for second := range 12 {
				w.RunFor(time.Second)
				w.call(messenger.JobCall{Verb: messenger.CountPending, Host: "h", Path: "/a/"}, func(a messenger.JobAnswer) { must.EqOp(t, tt.pending, a.Pending) })
				w.call(messenger.JobCall{Verb: messenger.GetJob, Host: "h", Path: "/a/", Job: registrar.Job{ID: fmt.Sprintf("%016x", 3)}}, func(a messenger.JobAnswer) { must.EqOp(t, tt.state, a.State) })
				if second == 0 && tt.after != nil {
					tt.after(w, x)
				}
			}
			must.MapEmpty(t, w.pendingCalls)
		})
	}
}
