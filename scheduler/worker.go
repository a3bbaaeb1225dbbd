package scheduler

import (
	"time"

	"laburnumwind/indexer"
	"laburnumwind/registrar"
)

// run is the leader's view of one run, an attempt to execute a task, that is assigned to a worker.
type run struct {
	task            registrar.TaskID
	team            string // of its job; empty: none
	number          int
	incarnation     int64 // of the worker that it was assigned to
	resources       registrar.Resources
	longRunning     bool          // runs until it is stopped
	late            bool          // its job could no longer meet its objective when the run was placed
	bestEffort      bool          // uses only CPU time that other tasks leave idle
	cpuDemand       int           // in thousandths of a core; a best-effort task may get less
	latencyTarget   time.Duration // upper bound on the tail latency; zero unless the task serves requests
	expectedRunTime time.Duration // as estimated when the run was placed
	committed       bool          // the assignment is committed to the log, so it may be sent to the worker
	inherited       bool          // assigned by an earlier leader
	adviceTicket    string        // ticket of the advisor for a start on this worker; empty if the queue needs none

	orderPending     bool      // a start or stop order is in flight
	orderSentAt      time.Time // when the last order was sent
	startConfirmedAt time.Time // when the worker confirmed the start; zero: not yet
	startUncertain   bool      // a start order was not answered, so the worker may still execute it

	stopping        bool
	stopProposed    bool      // the stop is proposed and not yet committed; the order is sent once it is
	stopConfirmedAt time.Time // when the worker confirmed the stop; zero: not yet
	stopExecuted    bool      // it confirmed by carrying the stop out, or by knowing a later run of the task
	endProposed     bool      // the end of the run is proposed and not yet committed

	reported        bool    // the worker has reported the run at least once
	reportedBy      int64   // incarnation of the worker that last reported the run; zero: none did, or it is unknown
	progressPercent int     // reported progress; a long-running task is ready at 100
	tailLatencyMs   int     // reported tail latency in milliseconds, if the task serves requests
	checkpoint      string  // last known checkpoint; empty: none
	pace            *pacing // pace of a best-effort task, else nil; replaced on change, never modified in place
}

// worker is the leader's view of a worker.
type worker struct {
	registrar.Worker
	heartbeatSeq           int64     // sequence number of the last heartbeat in this incarnation
	lastSeenAt             time.Time // time of the last heartbeat or answered hold
	clock                  int64     // the worker's clock in milliseconds, read no later than clockReadAt
	clockReadAt            time.Time // zero: the clock is unknown
	holdAnsweredAt         time.Time // when the last hold was answered
	reportRequestedAt      time.Time // when the last answered hold was sent; zero: none was answered in this term, or the worker departed
	holdPending            bool
	holdSentAt             time.Time // when the last hold was sent
	holdDueAt              time.Time // when a hold in flight should be answered at the latest
	nextHoldAt             time.Time // earliest time of the next hold
	failedCalls            int       // number of failed or unanswered holds and orders since the worker was last known to answer: see WithAnswer
	failedHold             bool      // one of failedCalls is a hold
	lastFailedAt           time.Time // when the latest order of failedCalls was sent
	lastAnsweredAt         time.Time // when the latest call that the worker has answered was sent
	departureNoticedAt     time.Time // when the notice arrived that it shuts down, which may be that of an earlier incarnation; zero: none did, or a report has refuted it
	departed               bool      // it has shut down, or a machine list shows that it left its machine: it gets no more holds
	ackedEnd               int64     // all run ends that it reported up to this sequence number are committed
	endsPending            bool      // ends are proposed but not yet committed
	leaseWithheld          bool      // a record of its silence is proposed or committed: it gets no lease until the removal of the record is committed
	silenceEndProposed     bool      // that removal is proposed and not yet committed
	leaseExpiresBy         time.Time // every lease that a leader sent to the worker has expired by then
	noStartsUntil          time.Time // earliest time of the next start on the worker
	relocationBlockedSince time.Time // when its long-running tasks first found no relocation target before a maintenance; zero: never
	slowUntil              time.Time // ejected as a slow outlier until then
	failRate               float64   // exponential moving average of failed runs, 0 to 1
	paceAdjustedAt         time.Time // when adjustPace last reviewed the pace of its best-effort tasks

	runs          indexer.List[run]
	used          registrar.Resources
	bestEffortCPU int // CPU demand of its best-effort tasks, in thousandths of a core
	lateCPU       int // CPU demand of its late runs, in thousandths of a core
}

// find returns the index of a task's run in w.runs, or -1.
func (w worker) find(task registrar.TaskID) int {
	return w.runs.Index(func(r run) bool { return r.task == task })
}

// WithRun returns the worker with r added. A run of the same task is replaced; it must have the same
// resources and demands, since the totals stay as they are.
func (w worker) WithRun(r run) worker {
	i := w.find(r.task)
	if i < 0 {
		w.runs = w.runs.Append(r)
		return w.withUsage(r, 1)
	}
	w.runs = w.runs.With(i, r)
	return w
}

// withUsage returns the worker with the resources of r added to its totals if sign is 1,
// or subtracted from them if sign is -1.
func (w worker) withUsage(r run, sign int) worker {
	w.used = w.used.Add(registrar.Resources{CPU: sign * r.resources.CPU, Memory: sign * r.resources.Memory, GPU: sign * r.resources.GPU})
	if r.bestEffort {
		w.bestEffortCPU += sign * r.cpuDemand
	}
	if r.late {
		w.lateCPU += sign * r.cpuDemand
	}
	return w
}

// WithRuns returns the worker with runs added. None of their tasks may have a run on the worker already.
func (w worker) WithRuns(runs []run) worker {
	w.runs = w.runs.Append(runs...)
	for _, r := range runs {
		w = w.withUsage(r, 1)
	}
	return w
}

// WithoutRun returns the worker without the run of a task that has the given number.
// A run of the task with another number stays.
func (w worker) WithoutRun(task registrar.TaskID, number int) worker {
	i := w.find(task)
	if i < 0 || w.runs.At(i).number != number {
		return w
	}
	w = w.withUsage(w.runs.At(i), -1)
	w.runs = w.runs.Without(i)
	return w
}

// maxShortLeaseWorkers is the number of workers above which leases have their full length. On the sweep's day with 3,000
// workers, a leader that was short of processor time served 0.38 with leases of 7.5 s and 0.88 with 10 s.
const maxShortLeaseWorkers = 1000

// lease returns the length of the leases that are granted now.
func (t *transition) lease() time.Duration {
	if t.cfg.ShortLease == 0 || t.workers.Len() > maxShortLeaseWorkers {
		return t.cfg.MaxLease
	}
	return min(t.cfg.ShortLease, t.cfg.MaxLease)
}

// leaseDeadline returns the end of a lease that is renewed now, in milliseconds of
// the worker's clock, or zero if that clock is unknown.
func (w worker) leaseDeadline(now time.Time, lease time.Duration) int64 {
	if w.clockReadAt.IsZero() {
		return 0
	}
	return w.clock + now.Sub(w.clockReadAt).Milliseconds() + lease.Milliseconds()
}

// WithLeaseDeadline returns the worker with leaseExpiresBy extended for a lease that was
// sent to it. The lease ends at deadline, in milliseconds of the worker's clock; zero means
// that no lease was sent. Its remaining time is counted from clockReadAt. The clock was read
// no later, so the lease cannot outlast leaseExpiresBy.
func (w worker) WithLeaseDeadline(deadline int64) worker {
	if deadline == 0 {
		return w
	}
	remaining := time.Duration(float64(deadline-w.clock)*clockDriftFactor) * time.Millisecond
	at := w.clockReadAt.Add(remaining + leaseMargin)
	if at.After(w.leaseExpiresBy) {
		w.leaseExpiresBy = at
	}
	return w
}

// WithFailedOrder returns the worker after an order that was sent at the given time got no answer. It counts only if
// the worker has answered no later call: some workers leave a few orders unanswered, and go on to answer the others.
func (w worker) WithFailedOrder(sentAt time.Time) worker {
	if !sentAt.After(w.lastAnsweredAt) {
		return w
	}
	w.failedCalls++
	if sentAt.After(w.lastFailedAt) {
		w.lastFailedAt = sentAt
	}
	return w
}

// WithAnswer returns the worker after it answered an order that was sent at the given time. Earlier orders that failed
// no longer count. A failed hold counts until a hold is answered, since only its answer reports the runs.
func (w worker) WithAnswer(sentAt time.Time) worker {
	if !sentAt.After(w.lastAnsweredAt) {
		return w
	}
	w.lastAnsweredAt = sentAt
	if !w.failedHold && sentAt.After(w.lastFailedAt) {
		w.failedCalls = 0
	}
	return w
}

// WithClock returns the worker with a new reading of its clock in milliseconds; zero is ignored.
func (w worker) WithClock(clock int64, at time.Time) worker {
	if clock > 0 {
		w.clock, w.clockReadAt = clock, at
	}
	return w
}

// acceptsStarts reports whether runs may be placed on the worker. The worker must not be
// draining, paused by noStartsUntil or without a lease because of its silence, it must have reported its runs in this term and since a
// notice of its departure, no call to it may have failed since its last report, and the hold in
// flight may not be overdue.
func (w worker) acceptsStarts(now time.Time) bool {
	return w.pauseReason(now) == ""
}

// pauseReason returns why no runs may be placed on the worker, or "" if it accepts starts.
func (w worker) pauseReason(now time.Time) string {
	switch {
	case w.Draining:
		return "draining"
	case w.leaseWithheld:
		return "silent, its lease is withheld"
	case w.failedCalls > 0:
		return "silent, a call to it failed"
	case w.holdPending && now.After(w.holdDueAt):
		return "silent, its report is overdue"
	case w.needsReport():
		return "has not reported its runs to this leader"
	case now.Before(w.noStartsUntil) && now.Before(w.slowUntil):
		return "paused as slow"
	case now.Before(w.noStartsUntil):
		return "paused after a rejected start or failed runs"
	}
	return ""
}

// needsReport reports whether the leader knows the runs of the worker only from before its term or from before a
// notice of the worker's departure.
func (w worker) needsReport() bool {
	return w.reportRequestedAt.IsZero() || w.reportRequestedAt.Before(w.departureNoticedAt)
}

// newRun returns the run of a task with the given number and the requirements of the task's step.
func newRun(j registrar.Job, id registrar.TaskID, number int) run {
	step := j.Steps[id.Step]
	r := run{task: id, team: j.Team, number: number, resources: step.Request(), longRunning: step.LongRunning, bestEffort: step.BestEffort, cpuDemand: step.CPU, latencyTarget: step.LatencyTarget}
	if r.bestEffort {
		r.pace = &pacing{percent: paceFull}
	}
	return r
}
