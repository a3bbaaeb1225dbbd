package scheduler

import (
	"time"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// Best-effort tasks are throttled on workers that also run tasks with a latency target. The pace of
// a best-effort task limits its speed, in percent of full speed. It depends on the tail ratio: the
// highest ratio of tail latency to latency target on the worker. The platform allows a task to exceed
// its target for some seconds, and reports the tail latency of the last half second.
const (
	paceHoldWait         = 500 * time.Millisecond // maximum wait of a hold at a worker with both kinds of tasks
	paceInterval         = 400 * time.Millisecond // minimum time between two changes on a worker, so that each can take effect
	paceReduceAbove      = 0.9                    // tail ratio above which the pace is multiplied by paceReduceFactor
	paceRaiseBelow       = 0.8                    // tail ratio below which the pace is raised
	paceReduceFactor     = 0.8                    // multiplies the pace while the tail latency is near the target
	paceOverTargetFactor = 0.5                    // multiplies the pace while the tail latency is above the target
	paceIncrease         = 12                     // percentage points by which the pace is raised
	minPace              = 5                      // percent; a lower pace becomes 0
	paceUncertainTime    = 13 * time.Second       // an unanswered order may still be executed within this time

	paceFull    = 100 // percent
	paceUnknown = -1  // pace of a run that an earlier leader started
)

// pacing is the pace of a best-effort task and the state of its pace order.
type pacing struct {
	percent        int       // pace in percent of full speed, or paceUnknown
	orderPending   bool      // a pace order is in flight
	sentAt         time.Time // when that order was sent
	uncertainUntil time.Time // until then an unanswered order may still be executed
}

// WithSent returns the pacing with an order sent at time now.
func (p pacing) WithSent(now time.Time) pacing {
	p.orderPending, p.sentAt = true, now
	return p
}

// WithoutOrder returns the pacing without an order in flight.
func (p pacing) WithoutOrder() pacing {
	p.orderPending = false
	return p
}

// maxTailRatio returns the tail ratio of a worker: the highest ratio of tail latency to target of its
// reported tasks with a latency target. It returns false if there is no such task.
func (w worker) maxTailRatio() (float64, bool) {
	maxRatio, hasTarget := 0.0, false
	for _, r := range w.runs.All() {
		if r.latencyTarget > 0 && r.reported && !r.stopping {
			hasTarget = true
			maxRatio = max(maxRatio, float64(r.tailLatencyMs)/float64(r.latencyTarget.Milliseconds()))
		}
	}
	return maxRatio, hasTarget
}

// hasBestEffort reports whether the worker has best-effort tasks.
func (w worker) hasBestEffort() bool { return w.bestEffortCPU > 0 }

// nextPace returns the next pace of a best-effort task, in percent, for its current pace and the tail
// ratio of its worker.
func nextPace(current int, tailRatio float64) int {
	switch {
	case tailRatio > 1:
		return reducePace(current, paceOverTargetFactor)
	case tailRatio > paceReduceAbove:
		return reducePace(current, paceReduceFactor)
	case tailRatio < paceRaiseBelow:
		return min(current+paceIncrease, paceFull)
	}
	return current
}

// reducePace returns a pace multiplied by a factor, or 0 if that is below minPace.
func reducePace(current int, factor float64) int {
	next := int(float64(current) * factor)
	if next < minPace {
		return 0
	}
	return next
}

// adjustPace slows the best-effort tasks of a worker while its tail ratio is high, and speeds them up
// again when it is low: see nextPace. An unknown pace counts as half of full speed. Without a reported
// task with a latency target, the pace is paceFull.
func (t *transition) adjustPace(id string) {
	w, _ := t.workers.Get(id)
	if !w.hasBestEffort() || t.now.Sub(w.paceAdjustedAt) < paceInterval {
		return
	}
	tailRatio, hasTarget := w.maxTailRatio()
	w.paceAdjustedAt = t.now
	t.setWorker(w)
	for _, r := range w.runs.All() {
		if !r.bestEffort || !r.reported || r.stopping || r.endProposed || r.pace.orderPending {
			continue
		}
		next := paceFull
		switch {
		case hasTarget && r.pace.percent == paceUnknown:
			next = nextPace(paceFull/2, tailRatio)
		case hasTarget:
			next = nextPace(r.pace.percent, tailRatio)
		}
		if next != r.pace.percent || t.now.Before(r.pace.uncertainUntil) {
			t.sendPace(id, r, next)
		}
	}
}

// sendPace sends a pace order for a run. An order that only repeats the current pace is not logged.
func (t *transition) sendPace(id string, r run, percent int) {
	if !t.holdsLeaderLease(t.now) {
		return
	}
	w, _ := t.workers.Get(id)
	if percent != r.pace.percent {
		t.logDecision(messenger.Decision{Event: "pace", Job: r.task.Job, Run: r.number, Instance: id, Candidates: percent, Age: t.now.Sub(w.reportRequestedAt)})
	}
	t.setWorker(w.WithRun(r.withPace(r.pace.WithSent(t.now))))
	t.Send(messenger.Dispatcher, messenger.Order{
		Kind: messenger.ThrottleRun, Worker: w.ID, Incarnation: w.Incarnation, Address: w.Address, Task: r.task, Run: r.number, Fence: t.term,
		Percent: percent, NotAfter: t.leaseEnd, At: t.now, Delegate: t.delegateFor(w),
	})
}

// handlePaceReply handles a worker's answer to a pace order. An unanswered order may be executed
// late and replace a newer pace, so the pace is sent again during paceUncertainTime.
func (t *transition) handlePaceReply(m messenger.OrderReply, r run) {
	w, _ := t.workers.Get(m.Order.Worker)
	next := r.pace.WithoutOrder()
	switch m.Verdict {
	case messenger.Accepted:
		next.percent = m.Order.Percent
	case messenger.Unanswered:
		next.percent, next.uncertainUntil = m.Order.Percent, t.now.Add(paceUncertainTime)
	}
	t.setWorker(w.WithRun(r.withPace(next)))
}

// expirePaceOrder abandons the pace order of a run if it has timed out, and returns the run.
func (t *transition) expirePaceOrder(id string, r run) run {
	if r.pace == nil || !r.pace.orderPending || t.now.Sub(r.pace.sentAt) <= orderTimeout {
		return r
	}
	r = r.withPace(r.pace.WithoutOrder())
	w, _ := t.workers.Get(id)
	t.setWorker(w.WithRun(r))
	return r
}

func (r run) withPace(p pacing) run {
	r.pace = &p
	return r
}

// scoreBestEffort returns how well a worker suits a best-effort task: the share of its CPU capacity
// that is free, less a penalty for tasks with a latency target.
func (w *availableWorker) scoreBestEffort() float64 {
	score := float64(w.free.CPU-w.plannedBestEffortCPU) / float64(max(w.Capacity.CPU, 1))
	if w.runs.Contains(func(r run) bool { return r.latencyTarget > 0 }) {
		score -= weightInterference
	}
	return score
}

// fitsBestEffort reports whether one more best-effort task fits on a worker. The demand of all its
// best-effort tasks may not exceed its CPU capacity, but a single task always fits.
func (w *availableWorker) fitsBestEffort(step registrar.Step) bool {
	return w.plannedBestEffortCPU == 0 || w.plannedBestEffortCPU+step.CPU <= w.Capacity.CPU
}
