package scheduler

import (
	"hash/fnv"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
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

// sendStart sends a start order, which also renews the worker's lease, or withdraws the run if it is no longer
// assigned to the worker or the worker may not start it any more. It sends nothing if the clock of the worker is
// unknown, if a call to the worker has failed since its last report, if its silence is recorded, or without a valid
// leader lease.
func (t *transition) sendStart(id string, r run) {
	w, _ := t.workers.Get(id)
	if !t.isAssigned(id, r) {
		t.withdraw(w, r, "its task or its job has ended")
		return
	}
	j, _ := t.committed.Job(r.task.Job)
	if !w.mayStart(r, j.Steps[r.task.Step]) {
		t.withdraw(w, r, "its worker may not start it any more")
		return
	}
	deadline := w.leaseDeadline(t.now, t.lease())
	if deadline == 0 || w.failedCalls > 0 || w.leaseWithheld || !t.holdsLeaderLease(t.now) {
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

// isAssigned reports whether the committed state assigns a run to a worker and the job of the run is active. A task or
// a job can end while the start of one of its runs is unconfirmed: the success of one member ends a whole gang. A job
// that has ended has no steps any more.
func (t *transition) isAssigned(worker string, r run) bool {
	j, ok := t.committed.Job(r.task.Job)
	if !ok || j.Outcome != registrar.Active {
		return false
	}
	task, ok := t.task(r.task)
	return ok && task.Phase == registrar.Running && task.Run == r.number && task.Worker == worker
}

// mayStart reports whether the conditions of a run's placement still hold: the worker has not restarted since, does
// not drain and has the label that the step requires.
func (w worker) mayStart(r run, step registrar.Step) bool {
	return w.Incarnation == r.incarnation && !w.Draining && w.hasRequiredLabel(step)
}

// withdraw ends a run whose start is not confirmed. The run is stopped if one of its start orders may still be
// executed, also by the next process of the worker: the worker then rejects such an order.
func (t *transition) withdraw(w worker, r run, reason string) {
	if !r.startUncertain {
		t.proposeEnd(w.ID, r, registrar.EndLost)
		return
	}
	t.stop(w, r, reason)
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

// stop marks a run as stopping and proposes to record it. The stop order is sent once the record is committed: the task
// is unavailable from then on, which a later leader has to know. A run whose task or job has ended is stopped at once.
func (t *transition) stop(w worker, r run, reason string) {
	if r.stopping {
		return
	}
	t.logDecision(messenger.Decision{Event: "stop", Job: r.task.Job, Run: r.number, Instance: w.ID, Reason: reason})
	r.stopping = true
	if !t.isAssigned(w.ID, r) {
		t.orderStop(w, r)
		return
	}
	r.stopProposed = true
	t.setWorker(w.WithRun(r))
	s := registrar.Stop{Task: r.task, Run: r.number}
	t.propose(registrar.Command{Stops: []registrar.Stop{s}}, continuation{stop: workerStop{Stop: s, worker: w.ID}})
}

// handleStopCommitted sends the stop order of a run once the stop is committed.
func (t *transition) handleStopCommitted(s workerStop) {
	w, _ := t.workers.Get(s.worker)
	i := w.find(s.Task)
	if i < 0 || w.runs.At(i).number != s.Run {
		return
	}
	r := w.runs.At(i)
	r.stopProposed = false
	t.orderStop(w, r)
}

// orderStop sends the stop order of a run. The order is repeated until the worker confirms it.
func (t *transition) orderStop(w worker, r run) {
	r.orderPending, r.orderSentAt = true, t.now
	t.setWorker(w.WithRun(r))
	t.sendStop(w, r.task, r.number)
}

// handleOrderReply handles a worker's answer to a start, stop or pace order. It ignores an answer of an earlier
// process of the worker.
func (t *transition) handleOrderReply(m messenger.OrderReply) {
	w, ok := t.workers.Get(m.Order.Worker)
	if !ok || (m.Order.Incarnation != 0 && m.Order.Incarnation != w.Incarnation) {
		return
	}
	w = w.WithClock(m.Clock, t.now)
	switch {
	case m.Verdict == messenger.Unanswered || m.Verdict == messenger.NotSent:
		w = w.WithFailedOrder(m.Order.At)
		w.nextHoldAt = t.now // the worker gets no starts until it answers a later call
	case m.Clock > 0 && m.Verdict != messenger.WrongWorker && m.Verdict != messenger.Unhealthy:
		w = w.WithAnswer(m.Order.At)
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
	r.stopExecuted = m.Verdict == messenger.Accepted || m.Verdict == messenger.RejectedOld
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
		t.recordBegun(r.task.Job)
		return
	case messenger.Unanswered:
		r.startUncertain = true
		t.setWorker(w.WithRun(r))
		return
	case messenger.NotSent, messenger.RejectedFence:
		return // the next ticks repeat the order or end the run
	case messenger.RejectedTicket:
		t.dropTicket(r.task, w.ID)
	case messenger.RejectedCapacity, messenger.RejectedMalformed:
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
	t.proposeEnd(w.ID, r, registrar.EndLost) // a rejected start is no attempt, whatever the verdict
}

// recordBegun proposes to record that a worker has started a run of a job, unless that is known. Only a start that a
// worker has confirmed counts: one that is assigned or sent may still be rejected.
func (t *transition) recordBegun(id string) {
	j, ok := t.committed.Job(id)
	_, proposed := t.begunJobs.Get(id)
	if !ok || j.Begun || j.Outcome != registrar.Active || proposed {
		return
	}
	t.begunJobs = t.begunJobs.With(id, true)
	t.propose(registrar.Command{Begun: []string{id}}, continuation{begunJob: id})
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
	t.recordSilences()
	var removed []string
	for _, w := range t.workers.All() {
		if w.holdPending && t.now.After(w.holdDueAt.Add(holdTimeout)) { // the instance that made the call is gone
			w.holdPending = false
			w.failedCalls++
			w.failedHold = true
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
	if !r.committed || r.orderPending || r.stopProposed || r.endProposed {
		return
	}
	w, _ := t.workers.Get(id)
	switch {
	case r.stopping:
		if r.stopConfirmedAt.IsZero() && sinceOrder > stopRetryDelay {
			t.orderStop(w, r)
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
