package scheduler

import (
	"hash/fnv"
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

// handleAssigned sends the start order of a run whose assignment is committed. The run
// is dropped if the committed state does not assign it to the worker.
func (t *transition) handleAssigned(start registrar.Start) {
	w, ok := t.workers.Get(start.Worker)
	if !ok {
		return
	}
	i := w.find(start.Task)
	if i < 0 || w.runs.At(i).number != start.Run {
		return
	}
	task, ok := t.task(start.Task)
	if !ok || task.Phase != registrar.Running || task.Run != start.Run || task.Worker != start.Worker {
		t.setWorker(w.WithoutRun(start.Task, start.Run)) // the job ended in the meantime
		return
	}
	r := w.runs.At(i)
	r.committed = true
	r.checkpoint = task.Checkpoint
	t.setWorker(w.WithRun(r))
	t.sendStart(w.ID, r)
}

// task returns a task from the committed state.
func (t *transition) task(id registrar.TaskID) (registrar.Task, bool) {
	j, ok := t.committed.Job(id.Job)
	if !ok {
		return registrar.Task{}, false
	}
	for _, o := range j.ActiveOccurrences {
		if o.Number == id.Occurrence {
			return o.Task(id)
		}
	}
	return registrar.Task{}, false
}

// sendStart sends a start order, which also renews the worker's lease, or withdraws the run if the
// worker may not start it any more. It sends nothing if the job or the clock of the worker is
// unknown, if a call to the worker has failed since its last report, or without a valid leader lease.
func (t *transition) sendStart(id string, r run) {
	w, _ := t.workers.Get(id)
	j, ok := t.committed.Job(r.task.Job)
	if ok && !w.mayStart(r, j.Steps[r.task.Step]) {
		t.withdraw(w, r)
		return
	}
	deadline := w.leaseDeadline(t.now, t.cfg.MaxLease)
	if !ok || deadline == 0 || w.failedCalls > 0 || !t.holdsLeaderLease(t.now) {
		return
	}
	r.orderPending, r.orderSentAt = true, t.now
	t.setWorker(w.WithRun(r).WithLeaseDeadline(deadline))
	t.Send(messenger.Dispatcher, messenger.Order{
		Kind: messenger.StartRun, Worker: w.ID, Incarnation: w.Incarnation, Address: w.Address, Task: r.task, Run: r.number,
		Payload: j.Payload, Checkpoint: r.checkpoint, Deadline: deadline, Fence: t.term, Ticket: r.adviceTicket,
		NotAfter: t.leaseEnd, At: t.now, Delegate: t.delegateFor(w),
	})
}

// mayStart reports whether the conditions of a run's placement still hold: the worker has not restarted since, does
// not drain and has the label that the step requires.
func (w worker) mayStart(r run, step registrar.Step) bool {
	return w.Incarnation == r.incarnation && !w.Draining && w.hasRequiredLabel(step)
}

// withdraw ends a run whose start is not confirmed. The run is stopped if one of its start orders may still be
// executed, also by the next process of the worker: the worker then rejects such an order.
func (t *transition) withdraw(w worker, r run) {
	if !r.startUncertain {
		t.proposeEnd(w.ID, r, registrar.EndLost)
		return
	}
	t.stop(w, r, "its worker may not start it any more")
}

// sendStop sends one stop order. Repeating it is up to the caller.
func (t *transition) sendStop(w worker, task registrar.TaskID, number int) {
	if !t.holdsLeaderLease(t.now) {
		return
	}
	t.Send(messenger.Dispatcher, messenger.Order{
		Kind: messenger.StopRun, Worker: w.ID, Incarnation: w.Incarnation, Address: w.Address, Task: task, Run: number, Fence: t.term,
		NotAfter: t.leaseEnd, At: t.now, Delegate: t.delegateFor(w),
	})
}

// stop marks a run as stopping and sends the stop order. The order is repeated until the worker confirms it.
func (t *transition) stop(w worker, r run, reason string) {
	r.stopping, r.orderPending, r.orderSentAt = true, true, t.now
	t.setWorker(w.WithRun(r))
	t.sendStop(w, r.task, r.number)
	t.logDecision(messenger.Decision{Event: "stop", Job: r.task.Job, Run: r.number, Instance: w.ID, Reason: reason})
}

// handleOrderReply handles a worker's answer to a start, stop or pace order. It ignores an answer of an earlier
// process of the worker.
func (t *transition) handleOrderReply(m messenger.OrderReply) {
	w, ok := t.workers.Get(m.Order.Worker)
	if !ok || (m.Order.Incarnation != 0 && m.Order.Incarnation != w.Incarnation) {
		return
	}
	w = w.WithClock(m.Clock, t.now)
	if m.Verdict == messenger.Unanswered || m.Verdict == messenger.NotSent {
		w.failedCalls++
		w.nextHoldAt = t.now // the worker gets no starts until it answers a hold
	}
	i := w.find(m.Order.Task)
	if i < 0 || w.runs.At(i).number != m.Order.Run || m.Order.Fence != t.term {
		t.setWorker(w)
		return
	}
	r := w.runs.At(i)
	if m.Order.Kind == messenger.ThrottleRun {
		t.setWorker(w)
		t.handlePaceReply(m, r)
		return
	}
	r.orderPending = false
	t.setWorker(w.WithRun(r))
	if m.Order.Kind == messenger.StopRun {
		t.handleStopReply(m, r)
		return
	}
	t.handleStartReply(m, r)
}

// handleStopReply records that the worker confirmed a stop, and makes the next hold due
// at once: a report requested after the confirmation proves that the run has ended.
func (t *transition) handleStopReply(m messenger.OrderReply, r run) {
	if m.Verdict == messenger.Unanswered || m.Verdict == messenger.NotSent || m.Verdict == messenger.RejectedFence || m.Verdict == messenger.Unhealthy {
		return // the next tick repeats the order
	}
	w, _ := t.workers.Get(m.Order.Worker)
	r.stopConfirmedAt = t.now
	w.nextHoldAt = t.now
	t.setWorker(w.WithRun(r))
}

// handleStartReply handles the answer to a start order. If the worker rejected it, the
// run is ended. If the worker may still execute an earlier start order, the run is stopped
// instead, since it may yet start.
func (t *transition) handleStartReply(m messenger.OrderReply, r run) {
	w, _ := t.workers.Get(m.Order.Worker)
	switch m.Verdict {
	case messenger.Accepted:
		r.startConfirmedAt = t.now
		t.setWorker(w.WithRun(r))
		return
	case messenger.Unanswered:
		r.startUncertain = true
		t.setWorker(w.WithRun(r))
		return
	case messenger.NotSent, messenger.RejectedFence:
		return // the next ticks repeat the order or end the run
	case messenger.RejectedTicket:
		t.dropTicket(r.task, w.ID)
	case messenger.RejectedCapacity:
		w.noStartsUntil = t.now.Add(resourceRejectionPause)
	case messenger.Unhealthy, messenger.WrongWorker:
		w.noStartsUntil = t.now.Add(unhealthyPause)
	}
	t.logDecision(messenger.Decision{Event: "startRejected", Job: r.task.Job, Run: r.number, Instance: w.ID, Reason: m.Verdict.String(), Age: t.now.Sub(w.holdAnsweredAt)})
	t.setWorker(w)
	if r.startUncertain {
		t.stop(w, r, "an earlier start order was not answered")
		return
	}
	reason := registrar.EndLost
	if m.Verdict == messenger.RejectedMalformed {
		reason = registrar.EndFailed
	}
	t.proposeEnd(w.ID, r, reason)
}

// proposeEnd proposes the end of a run that is certainly not running and will not start.
func (t *transition) proposeEnd(id string, r run, reason registrar.EndReason) {
	if r.endProposed || !r.committed {
		return
	}
	w, _ := t.workers.Get(id)
	r.endProposed = true
	t.setWorker(w.WithRun(r))
	end := registrar.End{Task: r.task, Run: r.number, Reason: reason, Checkpoint: r.checkpoint}
	t.propose(registrar.Command{Ends: []registrar.End{end}}, continuation{ends: []workerEnd{{End: end, worker: id}}})
}

// proposeAllEnds proposes the ends of all runs of a worker that has left or whose lease has expired.
func (t *transition) proposeAllEnds(w worker, reason string) {
	var ends []registrar.End
	var pending []workerEnd
	for _, r := range w.runs.All() {
		if r.endProposed || !r.committed {
			continue
		}
		r.endProposed = true
		w = w.WithRun(r)
		end := registrar.End{Task: r.task, Run: r.number, Reason: registrar.EndLost, Checkpoint: r.checkpoint}
		ends = append(ends, end)
		pending = append(pending, workerEnd{End: end, worker: w.ID})
	}
	t.setWorker(w)
	if len(ends) == 0 {
		return
	}
	t.logDecision(messenger.Decision{Event: "runsLost", Instance: w.ID, Candidates: len(ends), Reason: reason, Age: t.now.Sub(w.lastSeenAt)})
	t.propose(registrar.Command{Ends: ends}, continuation{ends: pending})
}

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
	w.failedCalls = 0
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
		r.reported, r.progressPercent, r.tailLatencyMs = true, report.Percent, report.Measurement
		if report.Checkpoint != "" {
			r.checkpoint = report.Checkpoint
		}
		if r.startConfirmedAt.IsZero() {
			r.startConfirmedAt = t.now
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
		}
	}
	for _, report := range m.Running {
		t.stopStray(w, report)
	}
}

// isProvablyGone reports whether a report proves that a run is not on the worker and
// will not start there. The report must be complete, list the run neither as running nor as
// ended, and must have been requested after the start or the stop was confirmed. For a run of an
// earlier leader any report is sufficient, since the worker now rejects that leader's start
// orders by their fencing token.
func (t *transition) isProvablyGone(r run, m messenger.HoldReply) bool {
	if !r.committed || r.endProposed || m.Partial {
		return false
	}
	for _, report := range m.Running {
		if report.Task == r.task && report.Run == r.number {
			return false
		}
	}
	for _, e := range m.Ended {
		if e.Task == r.task && e.Run == r.number {
			return false
		}
	}
	started := !r.startConfirmedAt.IsZero() && r.startConfirmedAt.Before(m.Hold.At)
	stopped := !r.stopConfirmedAt.IsZero() && r.stopConfirmedAt.Before(m.Hold.At)
	return started || stopped || r.inherited
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
	for _, e := range m.Ended {
		if e.Number <= w.ackedEnd {
			continue
		}
		lastEnd = max(lastEnd, e.Number)
		i := w.find(e.Task)
		if i < 0 || w.runs.At(i).number != e.Run {
			if e.Reason == registrar.EndDone {
				ends = append(ends, e.End) // the run was ended as lost; its result counts unless the task has started again
			}
			continue
		}
		r := w.runs.At(i)
		r.endProposed = true
		w = w.WithRun(r).withOutcome(t.now, r, e.Reason)
		t.recordRunTime(r, e.Reason)
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
	t.propose(registrar.Command{Ends: ends}, continuation{ends: reported, worker: w.ID, ackedEnd: lastEnd, workerIncarnation: w.Incarnation})
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
// proposed ends are not yet committed, since the worker would report these ends again.
func (t *transition) sendHold(w worker) {
	if w.holdPending || w.endsPending || w.departed || w.Address == "" || t.now.Before(w.nextHoldAt) || !t.holdsLeaderLease(t.now) {
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
	if w.needsReport() || w.runs.Contains(func(r run) bool { return !r.stopConfirmedAt.IsZero() }) {
		wait = 0 // the leader needs a report now, to start runs on the worker or to end stopped ones
	}
	deadline := int64(0)
	if w.failedCalls == 0 { // renewing the lease of an unreachable worker would postpone its expiry forever
		deadline = w.leaseDeadline(t.now, t.cfg.MaxLease)
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

// delegateFor returns the instance that makes the calls to a worker, or "" for the leader
// itself. A leader of many workers delegates the calls, to keep its own CPU time for
// decisions. After a failed call the next instance is tried.
func (t *transition) delegateFor(w worker) string {
	if len(t.delegates) < minInstancesToDelegate || t.workers.Len() < minWorkersToDelegate {
		return ""
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(w.ID)) // never fails
	return t.delegates[(int(h.Sum32()>>1)+w.failedCalls)%len(t.delegates)]
}

// checkWorkers sends due holds, abandons overdue ones and repeats unconfirmed orders. It
// ends the runs of unresponsive workers whose lease has expired, and removes departed and
// unresponsive workers without runs.
func (t *transition) checkWorkers() {
	var removed []string
	for _, w := range t.workers.All() {
		if w.holdPending && t.now.After(w.holdDueAt.Add(holdTimeout)) { // the instance that made the call is gone
			w.holdPending = false
			w.failedCalls++
			t.setWorker(w)
		}
		t.sendHold(w)
		w, _ = t.workers.Get(w.ID)
		for _, r := range w.runs.All() {
			t.checkRun(w.ID, r)
		}
		w, _ = t.workers.Get(w.ID)
		silence := t.now.Sub(w.lastSeenAt)
		if silence > staleAfter && t.now.After(w.leaseExpiresBy) {
			t.endUnresponsive(w)
			w, _ = t.workers.Get(w.ID)
		}
		if (silence > removeWorkerAfter || w.departed) && w.runs.Len() == 0 {
			removed = append(removed, w.ID)
		}
	}
	if len(removed) == 0 {
		return
	}
	for _, id := range removed {
		t.workers.Delete(id)
	}
	t.propose(registrar.Command{RemovedWorkers: removed}, continuation{})
}

// endUnresponsive ends the runs of a worker whose lease has expired, and removes it if it had announced its departure.
func (t *transition) endUnresponsive(w worker) {
	if !w.departureNoticedAt.IsZero() && !w.departed {
		t.removeDeparted(w)
		return
	}
	if w.runs.Len() > 0 {
		t.proposeAllEnds(w, "its lease has ended")
	}
}

// checkRun repeats the unconfirmed order of a run. If none of the run's start orders can have
// reached its worker and the worker is unreachable, it ends the run instead, unsentStartTimeout
// after the last start order.
func (t *transition) checkRun(id string, r run) {
	sinceOrder := t.now.Sub(r.orderSentAt)
	if r.orderPending && sinceOrder > orderTimeout { // the instance that made the call is gone; the worker may have executed the order
		r.orderPending = false
		r.startUncertain = r.startUncertain || !r.stopping
		w, _ := t.workers.Get(id)
		t.setWorker(w.WithRun(r))
	}
	r = t.expirePaceOrder(id, r)
	if !r.committed || r.orderPending || r.endProposed {
		return
	}
	w, _ := t.workers.Get(id)
	switch {
	case r.stopping:
		if r.stopConfirmedAt.IsZero() && sinceOrder > stopRetryDelay {
			r.orderPending, r.orderSentAt = true, t.now
			t.setWorker(w.WithRun(r))
			t.sendStop(w, r.task, r.number)
		}
	case r.startConfirmedAt.IsZero() && !r.inherited:
		if !r.startUncertain && w.failedCalls > 0 && sinceOrder > unsentStartTimeout {
			t.proposeEnd(id, r, registrar.EndLost) // none of its start orders reached the worker
			return
		}
		if sinceOrder > startRetryDelay {
			t.sendStart(id, r)
		}
	}
}
