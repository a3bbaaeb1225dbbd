package scheduler

import (
	"slices"
	"time"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// Outlier detection of workers that fail most of their runs. The failure rate of a
// worker is an exponential moving average over its finished runs.
const (
	failRateWeight     = 0.25 // weight of one run in the average
	maxFailRate        = 0.5  // above this rate the worker gets no starts for failurePause
	failRateAfterPause = 0.3  // rate that is assumed after the pause
	failurePause       = 2 * time.Second
)

// handleEndCommitted removes a run whose end is committed.
func (t *transition) handleEndCommitted(e workerEnd) {
	w, ok := t.workers.Get(e.worker)
	if ok {
		t.setWorker(w.WithoutRun(e.Task, e.Run))
	}
}

// acknowledgeEnds acknowledges committed ends to the worker with the next hold. It
// drops the acknowledgement if the worker has restarted since the ends were proposed.
func (t *transition) acknowledgeEnds(onCommit continuation) {
	w, ok := t.workers.Get(onCommit.worker)
	if !ok {
		return
	}
	w.endsPending = false
	if w.Incarnation == onCommit.workerIncarnation {
		w.ackedEnd = max(w.ackedEnd, onCommit.ackedEnd)
	}
	t.setWorker(w)
	t.sendHold(w)
}

// handleHoldReply handles a worker's report of its runs and ends, the answer to a hold.
func (t *transition) handleHoldReply(m messenger.HoldReply) {
	w, ok := t.workers.Get(m.Hold.Worker)
	if !ok || m.Hold.Fence != t.term || !m.Hold.At.Equal(w.holdSentAt) { // a report under an earlier fencing token or for an abandoned hold proves nothing
		return
	}
	w.holdPending = false
	if m.OK && m.Incarnation != 0 && m.Incarnation < w.Incarnation { // answered by the process before the one that the worker has announced
		w.nextHoldAt = t.now.Add(holdRetryDelay)
		t.setWorker(w)
		return
	}
	if !m.OK {
		w.failedCalls++
		w.failedHold = true
		w.nextHoldAt = t.now.Add(holdRetryDelay * time.Duration(min(w.failedCalls, maxHoldBackoff)))
		if w.failedCalls == 1 && !w.departureNoticedAt.IsZero() {
			w.nextHoldAt = t.now // its process may have ended and closed the connection
		}
		t.setWorker(w)
		t.resolveDeparture(m)
		return
	}
	t.dirty = true
	w = w.withReport(t.now, m)
	t.setWorker(w)
	if m.Incarnation != 0 && w.Incarnation != m.Incarnation { // the worker restarted, and its report came before its heartbeat
		w = w.restarted().WithClock(m.Clock, t.now)
		w.Incarnation = m.Incarnation
		t.setWorker(w)
		t.propose(registrar.Command{Workers: []registrar.Worker{w.Worker}}, continuation{})
	}
	t.resolveDeparture(m)
	t.endSilence(w.ID)
	t.reconcile(m)
	t.handleEndReports(m)
	t.ejectSlowWorker(m.Hold.Worker)
	t.adjustPace(m.Hold.Worker)
	w, _ = t.workers.Get(m.Hold.Worker)
	if !w.endsPending {
		t.sendHold(w)
	}
}

// withReport returns the worker after it answered a hold at time now.
func (w worker) withReport(now time.Time, m messenger.HoldReply) worker {
	w.failedCalls, w.failedHold = 0, false
	if m.Hold.At.After(w.lastAnsweredAt) {
		w.lastAnsweredAt = m.Hold.At
	}
	w.lastSeenAt, w.holdAnsweredAt, w.reportRequestedAt = now, now, m.Hold.At
	return w.WithClock(m.Clock, now)
}

// reconcile compares the runs that a worker reports with its assigned runs: it records
// their progress, ends runs that are provably gone and stops stray ones.
func (t *transition) reconcile(m messenger.HoldReply) {
	w, _ := t.workers.Get(m.Hold.Worker)
	for i, r := range w.runs.All() {
		reportIndex := slices.IndexFunc(m.Running, func(report messenger.RunReport) bool { return report.Task == r.task && report.Run == r.number })
		if reportIndex < 0 {
			continue
		}
		report, before := m.Running[reportIndex], r
		r.reported, r.reportedBy = true, max(r.reportedBy, m.Incarnation)
		r.progressPercent, r.tailLatencyMs = report.Percent, report.Measurement
		if report.Checkpoint != "" {
			r.checkpoint = report.Checkpoint
		}
		if r.startConfirmedAt.IsZero() {
			r.startConfirmedAt = t.now
			t.recordBegun(r.task.Job)
		}
		if r != before {
			w.runs = w.runs.With(i, r)
		}
	}
	t.setWorker(w)
	for _, r := range w.runs.All() {
		if t.isProvablyGone(r, m) {
			t.logDecision(messenger.Decision{Event: "runNotListed", Job: r.task.Job, Run: r.number, Instance: w.ID})
			t.proposeEnd(w.ID, r, registrar.EndLost)
			continue
		}
		if r.mayBeHidden(m) {
			current, _ := t.workers.Get(w.ID)
			t.stop(current, r, "its worker reported an entry that cannot be read, and the run may be that entry")
		}
	}
	for _, report := range m.Running {
		t.stopStray(w, report)
	}
}

// isProvablyGone reports whether a report proves that a run is not on the worker and
// will not start there. The report must list the run neither as running nor as ended, and must
// have been requested after the start or the stop was confirmed. For a run of an earlier leader any
// report is sufficient, since the worker now rejects that leader's start orders by their fencing
// token. A partial report proves less: see partialReportProves.
func (t *transition) isProvablyGone(r run, m messenger.HoldReply) bool {
	if !r.committed || r.endProposed || isListed(r, m) {
		return false
	}
	if m.Partial {
		return t.partialReportProves(r, m)
	}
	started := !r.startConfirmedAt.IsZero() && r.startConfirmedAt.Before(m.Hold.At)
	stopped := !r.stopConfirmedAt.IsZero() && r.stopConfirmedAt.Before(m.Hold.At)
	return started || stopped || r.inherited
}

// partialReportProves reports whether a partial report proves that a run, which it does not list, is gone. That is so
// if an earlier process of the worker has listed the run and no start order is left that the present process could have
// executed, or if the run was stopped longer ago than a stop takes. A stopped run may have ended with success before,
// so the list of ends must not be cut off.
func (t *transition) partialReportProves(r run, m messenger.HoldReply) bool {
	if r.reportedBy != 0 && r.reportedBy < m.Incarnation && !r.startUncertain && !r.inherited {
		return true
	}
	stopTime := time.Duration(float64(t.cfg.StopTimeout)*clockDriftFactor) + leaseMargin
	stopped := r.stopExecuted && !r.stopConfirmedAt.IsZero()
	return m.AllListed && t.cfg.StopTimeout > 0 && stopped && m.Hold.At.Sub(r.stopConfirmedAt) > stopTime
}

// mayBeHidden reports whether a run may be an entry of the report that could not be read, with no later report to
// decide it: the present process of the worker has never listed the run, but may have executed a start order late. A
// stop order decides it, since the worker then executes no earlier order for the run.
func (r run) mayBeHidden(m messenger.HoldReply) bool {
	if !m.Partial || !m.AllListed || !r.committed || r.endProposed || r.stopping || isListed(r, m) {
		return false
	}
	if r.inherited {
		return !r.reported || r.reportedBy < m.Incarnation
	}
	confirmed := !r.startConfirmedAt.IsZero() && r.startConfirmedAt.Before(m.Hold.At)
	return confirmed && m.Incarnation > max(r.incarnation, r.reportedBy)
}

// isListed reports whether a report lists a run as running or as ended.
func isListed(r run, m messenger.HoldReply) bool {
	return slices.ContainsFunc(m.Running, func(report messenger.RunReport) bool { return report.Task == r.task && report.Run == r.number }) ||
		slices.ContainsFunc(m.Ended, func(e messenger.EndReport) bool { return e.Task == r.task && e.Run == r.number })
}

// stopStray stops a reported run that is not assigned to the worker.
func (t *transition) stopStray(w worker, report messenger.RunReport) {
	i := w.find(report.Task)
	if i >= 0 && w.runs.At(i).number == report.Run {
		return
	}
	task, ok := t.task(report.Task)
	if ok && task.Phase == registrar.Running && task.Run == report.Run && task.Worker == w.ID {
		return
	}
	t.logDecision(messenger.Decision{Event: "strayRun", Job: report.Task.Job, Run: report.Run, Instance: w.ID})
	t.sendStop(w, report.Task, report.Run)
}

// handleEndReports proposes the ends that a worker reports. They are acknowledged to the
// worker only once they are committed, since the worker then discards them.
func (t *transition) handleEndReports(m messenger.HoldReply) {
	w, _ := t.workers.Get(m.Hold.Worker)
	lastEnd := w.ackedEnd
	var ends []registrar.End
	var reported []workerEnd
	var late []registrar.End
	for _, e := range m.Ended {
		if e.Number <= w.ackedEnd {
			continue
		}
		lastEnd = max(lastEnd, e.Number)
		i := w.find(e.Task)
		if i < 0 || w.runs.At(i).number != e.Run {
			if e.Reason == registrar.EndDone {
				ends, late = append(ends, e.End), append(late, e.End) // the run was ended as lost; its success counts
			}
			continue
		}
		r := w.runs.At(i)
		r.endProposed = true
		w = w.WithRun(r).withOutcome(t.now, r, e.Reason)
		t.recordRunTime(w, r, e.Reason)
		end := e.End
		if end.Checkpoint == "" {
			end.Checkpoint = r.checkpoint
		}
		ends = append(ends, end)
		reported = append(reported, workerEnd{End: end, worker: w.ID})
		if e.Reason != registrar.EndDone {
			t.logDecision(messenger.Decision{Event: "runEnded", Job: e.Task.Job, Run: e.Run, Instance: w.ID, Reason: e.Reason.String()})
		}
	}
	if lastEnd == w.ackedEnd {
		t.setWorker(w)
		return
	}
	if len(ends) == 0 {
		w.ackedEnd = lastEnd // these runs have been ended already
		t.setWorker(w)
		return
	}
	w.endsPending = true
	t.setWorker(w)
	t.propose(registrar.Command{Ends: ends}, continuation{ends: reported, lateEnds: late, worker: w.ID, ackedEnd: lastEnd, workerIncarnation: w.Incarnation})
}

// stopSuperseded stops the later runs of a task, or of its gang, after the success of an earlier run is committed.
func (t *transition) stopSuperseded(e registrar.End) {
	for _, w := range t.workers.All() {
		for _, r := range w.runs.All() {
			sameStep := r.task.Job == e.Task.Job && r.task.Occurrence == e.Task.Occurrence && r.task.Step == e.Task.Step
			if !sameStep || r.number <= e.Run || !r.committed || r.endProposed || t.isAssigned(w.ID, r) {
				continue
			}
			current, _ := t.workers.Get(w.ID)
			t.stop(current, r, "an earlier run of its task was successful")
		}
	}
}

// withOutcome returns the worker with a finished run counted in its failure rate. The
// worker gets no starts for failurePause if that rate exceeds maxFailRate.
func (w worker) withOutcome(now time.Time, r run, reason registrar.EndReason) worker {
	if r.longRunning {
		return w
	}
	switch reason {
	case registrar.EndDone:
		w.failRate *= 1 - failRateWeight
	case registrar.EndFailed:
		w.failRate = w.failRate*(1-failRateWeight) + failRateWeight
	}
	if w.failRate > maxFailRate {
		w.noStartsUntil = now.Add(failurePause)
		w.failRate = failRateAfterPause
	}
	return w
}

// sendHold sends a hold: the long poll that renews the lease of a worker and requests a
// report of its runs. It sends none while a hold is in flight, before nextHoldAt, or while
// proposed ends are not yet committed, since the worker would report these ends again. It also
// waits for the end of the worker's recorded silence, since the hold would renew no lease before.
func (t *transition) sendHold(w worker) {
	if w.holdPending || w.endsPending || w.silenceEndProposed || w.departed || w.Address == "" || t.now.Before(w.nextHoldAt) || !t.holdsLeaderLease(t.now) {
		return
	}
	wait := holdWaitBusy
	if w.runs.Len() == 0 {
		wait = holdWaitIdle
	}
	_, hasTarget := w.maxTailRatio()
	if hasTarget && w.hasBestEffort() {
		wait = paceHoldWait
	}
	if wait > holdWaitStarting && w.hasStartingTask() {
		wait = holdWaitStarting
	}
	if w.needsReport() || w.leaseWithheld || w.runs.Contains(func(r run) bool { return !r.stopConfirmedAt.IsZero() }) {
		wait = 0 // the leader needs a report now, to start runs on the worker, to end stopped ones or to grant leases again
	}
	deadline := int64(0)
	if w.failedCalls == 0 && !w.leaseWithheld { // renewing the lease of an unreachable worker would postpone its expiry forever
		deadline = w.leaseDeadline(t.now, t.lease())
	}
	w.holdPending, w.holdSentAt, w.holdDueAt = true, t.now, t.now.Add(wait+holdGrace)
	t.setWorker(w.WithLeaseDeadline(deadline))
	t.Send(messenger.Dispatcher, messenger.Hold{
		Worker: w.ID, Address: w.Address, Deadline: deadline, Fence: t.term, Acked: w.ackedEnd, Wait: wait,
		NotAfter: t.leaseEnd, At: t.now, Delegate: t.delegateFor(w),
	})
}

// hasStartingTask reports whether a long-running task on the worker is not ready yet.
func (w worker) hasStartingTask() bool {
	return w.runs.Contains(func(r run) bool { return r.longRunning && !r.stopping && r.progressPercent < 100 })
}
