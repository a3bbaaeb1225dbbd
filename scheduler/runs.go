package scheduler

import (
	"hash/fnv"
	"slices"
	"time"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// Moving average of failed ends at a worker, and when it costs the worker its new work for a while.
const (
	failWeight = 0.25
	failEject  = 0.5
	failAfter  = 0.3 // where the average stands after a pause
	ejectPause = 2 * time.Second
)

// takeAssigned sends a start whose assignment is durable now.
func (t *turn) takeAssigned(start registrar.Start) {
	w, ok := t.workers.Get(start.Worker)
	if !ok {
		return
	}
	i := w.find(start.Task)
	if i < 0 || w.runs[i].number != start.Run {
		return
	}
	task, ok := t.task(start.Task)
	if !ok || task.Phase != registrar.Running || task.Run != start.Run || task.Worker != start.Worker {
		t.set(w.WithoutRun(start.Task, start.Run)) // the job ended meanwhile
		return
	}
	r := w.runs[i]
	r.committed = true
	r.saved = task.Saved
	t.set(w.WithRun(r))
	t.sendStart(w.ID, r)
}

func (t *turn) task(name registrar.TaskName) (registrar.Task, bool) {
	j, ok := t.view.Job(name.Job)
	if !ok {
		return registrar.Task{}, false
	}
	for _, o := range j.Live {
		if o.K == name.K && name.Step < len(o.Steps) && name.Index < len(o.Steps[name.Step]) {
			return o.Steps[name.Step][name.Index], true
		}
	}
	return registrar.Task{}, false
}

func (t *turn) sendStart(id string, r run) {
	w, _ := t.workers.Get(id)
	j, ok := t.view.Job(r.task.Job)
	deadline := w.deadline(t.now, t.cfg.MaxLease)
	if !ok || deadline == 0 || w.misses > 0 || !t.serves(t.now) {
		return
	}
	r.out, r.sentAt = true, t.now
	t.set(w.WithRun(r).WithDeadline(deadline))
	t.Send(messenger.Dispatcher, messenger.Order{
		Kind: messenger.StartRun, Worker: w.ID, Address: w.Address, Task: r.task, Run: r.number,
		Payload: j.Payload, Saved: r.saved, Deadline: deadline, Fence: t.term, Permit: r.permit,
		NotAfter: t.leaseEnd, At: t.now, Via: t.via(w),
	})
}

func (t *turn) sendStop(w worker, task registrar.TaskName, number int) {
	if !t.serves(t.now) {
		return
	}
	t.Send(messenger.Dispatcher, messenger.Order{
		Kind: messenger.StopRun, Worker: w.ID, Address: w.Address, Task: task, Run: number, Fence: t.term,
		NotAfter: t.leaseEnd, At: t.now, Via: t.via(w),
	})
}

// stop orders a run to end; it is sent again until the worker confirms it.
func (t *turn) stop(w worker, r run, why string) {
	r.stopping, r.out, r.sentAt = true, true, t.now
	t.set(w.WithRun(r))
	t.sendStop(w, r.task, r.number)
	t.tell(messenger.Decision{What: "stop", Job: r.task.Job, Run: r.number, Instance: w.ID, Reason: why})
}

// takeOrder takes a worker's answer to a start or a stop.
func (t *turn) takeOrder(m messenger.OrderReply) {
	w, ok := t.workers.Get(m.Order.Worker)
	if !ok {
		return
	}
	w = w.WithClock(m.Clock, t.now)
	if m.Verdict == messenger.Unanswered || m.Verdict == messenger.NotSent {
		w.misses++
		w.holdAt = t.now
	}
	i := w.find(m.Order.Task)
	if i < 0 || w.runs[i].number != m.Order.Run || m.Order.Fence != t.term {
		t.set(w)
		return
	}
	r := w.runs[i]
	if m.Order.Kind == messenger.PaceRun {
		t.set(w)
		t.takePaceReply(m, r)
		return
	}
	r.out = false
	t.set(w.WithRun(r))
	if m.Order.Kind == messenger.StopRun {
		t.takeStopReply(m, r)
		return
	}
	t.takeStartReply(m, r)
}

func (t *turn) takeStopReply(m messenger.OrderReply, r run) {
	if m.Verdict == messenger.Unanswered || m.Verdict == messenger.NotSent || m.Verdict == messenger.RejectedFence || m.Verdict == messenger.Unhealthy {
		return // the next tick sends it again
	}
	w, _ := t.workers.Get(m.Order.Worker)
	r.stoppedAt = t.now
	w.holdAt = t.now
	t.set(w.WithRun(r))
}

func (t *turn) takeStartReply(m messenger.OrderReply, r run) {
	w, _ := t.workers.Get(m.Order.Worker)
	switch m.Verdict {
	case messenger.Obeyed:
		r.ackedAt = t.now
		t.set(w.WithRun(r))
		return
	case messenger.Unanswered:
		r.doubt = true
		t.set(w.WithRun(r))
		return
	case messenger.NotSent, messenger.RejectedFence:
		return // sent again, or settled, by the next ticks
	case messenger.RejectedPermit:
		t.dropPermit(r.task, w.ID)
	case messenger.RejectedRoom:
		w.pauseUntil = t.now.Add(roomPause)
	case messenger.Unhealthy, messenger.Elsewhere:
		w.pauseUntil = t.now.Add(unhealthyPause)
	}
	t.tell(messenger.Decision{What: "startRejected", Job: r.task.Job, Run: r.number, Instance: w.ID, Reason: m.Verdict.String(), Age: t.now.Sub(w.answeredAt)})
	t.set(w)
	if r.doubt {
		t.stop(w, r, "an earlier start was not answered")
		return
	}
	how := registrar.EndLost
	if m.Verdict == messenger.RejectedBad {
		how = registrar.EndFailed
	}
	t.settle(w.ID, r, how)
}

// settle proposes the end of a run that surely is not running any more.
func (t *turn) settle(id string, r run, how registrar.How) {
	if r.ending || !r.committed {
		return
	}
	w, _ := t.workers.Get(id)
	r.ending = true
	t.set(w.WithRun(r))
	end := registrar.End{Task: r.task, Run: r.number, How: how, Saved: r.saved}
	t.propose(registrar.Command{Ends: []registrar.End{end}}, waiting{ends: []placedEnd{{End: end, worker: id}}})
}

// settleAll settles all runs of a worker that is gone.
func (t *turn) settleAll(w worker, why string) {
	var ends []registrar.End
	var placed []placedEnd
	for _, r := range w.runs {
		if r.ending || !r.committed {
			continue
		}
		r.ending = true
		w = w.WithRun(r)
		end := registrar.End{Task: r.task, Run: r.number, How: registrar.EndLost, Saved: r.saved}
		ends = append(ends, end)
		placed = append(placed, placedEnd{End: end, worker: w.ID})
	}
	t.set(w)
	if len(ends) == 0 {
		return
	}
	t.tell(messenger.Decision{What: "runsLost", Instance: w.ID, Candidates: len(ends), Reason: why, Age: t.now.Sub(w.heardAt)})
	t.propose(registrar.Command{Ends: ends}, waiting{ends: placed})
}

// takeEnded drops a run whose end is durable.
func (t *turn) takeEnded(e placedEnd) {
	w, ok := t.workers.Get(e.worker)
	if ok {
		t.set(w.WithoutRun(e.Task, e.Run))
	}
}

func (t *turn) takeAcked(p waiting) {
	w, ok := t.workers.Get(p.worker)
	if !ok {
		return
	}
	w.ackWaits = false
	if w.Life == p.life {
		w.acked = max(w.acked, p.acked)
	}
	t.set(w)
	t.hold(w)
}

// takeHold takes a worker's list of runs and ends.
func (t *turn) takeHold(m messenger.HoldReply) {
	w, ok := t.workers.Get(m.Hold.Worker)
	if !ok || m.Hold.Fence != t.term || !m.Hold.At.Equal(w.heldAt) { // a list under an earlier fencing token, or of a hold that was given up, proves nothing
		return
	}
	w.holding = false
	if !m.OK {
		w.misses++
		w.holdAt = t.now.Add(holdRetry * time.Duration(min(w.misses, holdRetries)))
		t.set(w)
		return
	}
	t.dirty = true
	w = w.withList(t.now, m)
	t.set(w)
	if m.Life != 0 && w.Life != m.Life {
		w = w.reborn().WithClock(m.Clock, t.now)
		w.Life = m.Life
		t.set(w)
		t.propose(registrar.Command{Workers: []registrar.Worker{w.Worker}}, waiting{})
	}
	t.reconcile(m)
	t.takeEnds(m)
	t.judge(m.Hold.Worker)
	t.pace(m.Hold.Worker)
	w, _ = t.workers.Get(m.Hold.Worker)
	if !w.ackWaits {
		t.hold(w)
	}
}

func (w worker) withList(now time.Time, m messenger.HoldReply) worker {
	w.misses = 0
	w.heardAt, w.answeredAt, w.listedAt = now, now, m.Hold.At
	return w.WithClock(m.Clock, now)
}

// reconcile compares what a worker lists with what it should run.
func (t *turn) reconcile(m messenger.HoldReply) {
	w, _ := t.workers.Get(m.Hold.Worker)
	runs := slices.Clone(w.runs)
	for i, r := range runs {
		at := slices.IndexFunc(m.Running, func(l messenger.RunReport) bool { return l.Task == r.task && l.Run == r.number })
		if at < 0 {
			continue
		}
		listed := m.Running[at]
		r.listed, r.percent, r.gauge = true, listed.Percent, listed.Gauge
		if listed.Saved != "" {
			r.saved = listed.Saved
		}
		if r.ackedAt.IsZero() {
			r.ackedAt = t.now
		}
		runs[i] = r
	}
	w.runs = runs
	t.set(w)
	for _, r := range runs {
		if t.isGone(r, m) {
			t.tell(messenger.Decision{What: "runNotListed", Job: r.task.Job, Run: r.number, Instance: w.ID})
			t.settle(w.ID, r, registrar.EndLost)
		}
	}
	for _, l := range m.Running {
		t.stopStray(w, l)
	}
}

// isGone tells whether a list proves that a run is not and will not be on the worker.
func (t *turn) isGone(r run, m messenger.HoldReply) bool {
	if !r.committed || r.ending {
		return false
	}
	for _, l := range m.Running {
		if l.Task == r.task && l.Run == r.number {
			return false
		}
	}
	for _, e := range m.Ended {
		if e.Task == r.task && e.Run == r.number {
			return false
		}
	}
	started := !r.ackedAt.IsZero() && r.ackedAt.Before(m.Hold.At)
	stopped := !r.stoppedAt.IsZero() && r.stoppedAt.Before(m.Hold.At)
	return started || stopped || r.inherited
}

// stopStray ends a run that the worker should not have.
func (t *turn) stopStray(w worker, l messenger.RunReport) {
	i := w.find(l.Task)
	if i >= 0 && w.runs[i].number == l.Run {
		return
	}
	task, ok := t.task(l.Task)
	if ok && task.Phase == registrar.Running && task.Run == l.Run && task.Worker == w.ID {
		return
	}
	t.tell(messenger.Decision{What: "strayRun", Job: l.Task.Job, Run: l.Run, Instance: w.ID})
	t.sendStop(w, l.Task, l.Run)
}

// takeEnds makes ends durable; only then the worker may forget them.
func (t *turn) takeEnds(m messenger.HoldReply) {
	w, _ := t.workers.Get(m.Hold.Worker)
	acked := w.acked
	var ends []registrar.End
	var placed []placedEnd
	for _, e := range m.Ended {
		if e.N <= w.acked {
			continue
		}
		acked = max(acked, e.N)
		i := w.find(e.Task)
		if i < 0 || w.runs[i].number != e.Run {
			if e.How == registrar.EndDone {
				ends = append(ends, e.End) // it was given up; it counts unless the task has started again
			}
			continue
		}
		r := w.runs[i]
		r.ending = true
		w = w.WithRun(r).withOutcome(t.now, r, e.How)
		t.learn(r, e.How)
		end := e.End
		if end.Saved == "" {
			end.Saved = r.saved
		}
		ends = append(ends, end)
		placed = append(placed, placedEnd{End: end, worker: w.ID})
		if e.How != registrar.EndDone {
			t.tell(messenger.Decision{What: "runEnded", Job: e.Task.Job, Run: e.Run, Instance: w.ID, Reason: e.How.String()})
		}
	}
	if acked == w.acked {
		t.set(w)
		return
	}
	if len(ends) == 0 {
		w.acked = acked // they were settled before
		t.set(w)
		return
	}
	w.ackWaits = true
	t.set(w)
	t.propose(registrar.Command{Ends: ends}, waiting{ends: placed, worker: w.ID, acked: acked, life: w.Life})
}

// withOutcome notes how a run ended, and pauses a worker that fails most of what it starts.
func (w worker) withOutcome(now time.Time, r run, how registrar.How) worker {
	if r.lasting {
		return w
	}
	switch how {
	case registrar.EndDone:
		w.failRate *= 1 - failWeight
	case registrar.EndFailed:
		w.failRate = w.failRate*(1-failWeight) + failWeight
	}
	if w.failRate > failEject {
		w.pauseUntil = now.Add(ejectPause)
		w.failRate = failAfter
	}
	return w
}

// hold asks a worker for its runs and renews its lease.
func (t *turn) hold(w worker) {
	if w.holding || w.ackWaits || w.left || w.Address == "" || t.now.Before(w.holdAt) || !t.serves(t.now) {
		return
	}
	wait := holdBusy
	if len(w.runs) == 0 {
		wait = holdIdle
	}
	_, serves := w.tail()
	if serves && w.fills() {
		wait = paceLook
	}
	if wait > startLook && w.starts() {
		wait = startLook
	}
	if w.listedAt.IsZero() || slices.ContainsFunc(w.runs, func(r run) bool { return !r.stoppedAt.IsZero() }) {
		wait = 0
	}
	deadline := int64(0)
	if w.misses == 0 { // else the lease of a worker that is gone would never surely end
		deadline = w.deadline(t.now, t.cfg.MaxLease)
	}
	w.holding, w.heldAt, w.holdUntil = true, t.now, t.now.Add(wait+holdOverdue)
	t.set(w.WithDeadline(deadline))
	t.Send(messenger.Dispatcher, messenger.Hold{
		Worker: w.ID, Address: w.Address, Deadline: deadline, Fence: t.term, Acked: w.acked, Wait: wait,
		NotAfter: t.leaseEnd, At: t.now, Via: t.via(w),
	})
}

// starts tells whether a lasting task on the worker is not at work yet.
func (w worker) starts() bool {
	return slices.ContainsFunc(w.runs, func(r run) bool { return r.lasting && !r.stopping && r.percent < 100 })
}

// via names the instance that makes the calls to a worker. A leader of many
// workers leaves them to the others: its own processor is for the decisions.
func (t *turn) via(w worker) string {
	if len(t.live) < delegateTo || t.workers.Len() < delegateFrom {
		return ""
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(w.ID)) // never fails
	return t.live[(int(h.Sum32()>>1)+w.misses)%len(t.live)]
}

// tendWorkers holds, sends again what was not answered, and gives up what is surely over.
func (t *turn) tendWorkers() {
	var gone []string
	for _, w := range t.workers.All() {
		if w.holding && t.now.After(w.holdUntil.Add(holdLost)) { // whoever made the call is gone
			w.holding = false
			w.misses++
			t.set(w)
		}
		t.hold(w)
		w, _ = t.workers.Get(w.ID)
		for _, r := range w.runs {
			t.tendRun(w.ID, r)
		}
		w, _ = t.workers.Get(w.ID)
		silent := t.now.Sub(w.heardAt)
		if silent > staleAfter && t.now.After(w.deadAt) && len(w.runs) > 0 {
			t.settleAll(w, "its lease has ended")
		}
		if (silent > forgetAfter || w.left) && len(w.runs) == 0 {
			gone = append(gone, w.ID)
		}
	}
	if len(gone) == 0 {
		return
	}
	for _, id := range gone {
		t.workers = t.workers.Without(id)
	}
	t.propose(registrar.Command{Gone: gone}, waiting{})
}

// tendRun sends again what a worker has not answered.
func (t *turn) tendRun(id string, r run) {
	waited := t.now.Sub(r.sentAt)
	if r.out && waited > orderLost { // whoever made the call is gone, and it may have been carried out
		r.out = false
		r.doubt = r.doubt || !r.stopping
		w, _ := t.workers.Get(id)
		t.set(w.WithRun(r))
	}
	r = t.tendPace(id, r)
	if !r.committed || r.out || r.ending {
		return
	}
	w, _ := t.workers.Get(id)
	switch {
	case r.stopping:
		if r.stoppedAt.IsZero() && waited > stopRetry {
			r.out, r.sentAt = true, t.now
			t.set(w.WithRun(r))
			t.sendStop(w, r.task, r.number)
		}
	case r.ackedAt.IsZero() && !r.inherited:
		if !r.doubt && w.misses > 0 && waited > settleIdle {
			t.settle(id, r, registrar.EndLost) // no start of it was sent
			return
		}
		if waited > startRetry {
			t.sendStart(id, r)
		}
	}
}
