package scheduler

import (
	"time"

	"laburnumwind/authorizer"
	"laburnumwind/indexer"
	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// retryAfter is sent to callers while this node cannot handle their calls.
const retryAfter = time.Second

// handleCall handles a call from a caller, a worker or an operator. It rejects the call
// unless this node holds a valid leader lease.
func (t *transition) handleCall(c messenger.Call) {
	if !t.holdsLeaderLease(t.now) {
		t.answerCall(c.ID, messenger.JobAnswer{Status: messenger.CallNotReady, RetryAfter: retryAfter})
		return
	}
	switch m := c.Body.(type) {
	case messenger.JobCall:
		t.handleJobCall(c.ID, m)
	case messenger.Heartbeat:
		t.handleHeartbeat(c.ID, m)
	case messenger.Departure:
		t.handleDeparture(c.ID, m)
	case messenger.PutConfig:
		t.putConfig(c.ID, m.Config)
	case messenger.GetConfig:
		t.getConfig(c.ID)
	case messenger.StartWave:
		t.startWave(c.ID, m.Wave)
	case messenger.GetWave:
		w, ok := t.committed.Wave(m.ID)
		if !ok {
			t.answerCall(c.ID, messenger.JobAnswer{Status: messenger.CallJobNotFound})
			return
		}
		t.answerCall(c.ID, messenger.JobAnswer{Status: messenger.CallDone, Done: w.IsComplete()})
	}
}

// putConfig proposes a newer configuration. One that is not newer is acknowledged without a change.
func (t *transition) putConfig(callID uint64, c registrar.Config) {
	if c.Version <= t.committed.Config().Version {
		t.answerCall(callID, messenger.JobAnswer{Status: messenger.CallDone})
		return
	}
	err := c.Validate()
	if err != nil {
		t.refuseInvalid(callID, messenger.Decision{Event: "configInvalid", Reason: err.Error()})
		return
	}
	t.logDecision(messenger.Decision{Event: "configTaken"})
	t.propose(registrar.Command{Config: &c}, continuation{callID: callID})
}

// startWave proposes a maintenance wave.
func (t *transition) startWave(callID uint64, w registrar.Wave) {
	err := w.Validate()
	if err != nil {
		t.refuseInvalid(callID, messenger.Decision{Event: "waveInvalid", Reason: err.Error()})
		return
	}
	t.propose(registrar.Command{Wave: &w}, continuation{callID: callID})
}

// refuseInvalid answers a call that failed validation.
func (t *transition) refuseInvalid(callID uint64, d messenger.Decision) {
	t.logDecision(d)
	t.answerCall(callID, messenger.JobAnswer{Status: messenger.CallInvalid})
}

// getConfig answers with the raw configuration that the operator sent, or with CallNotReady if
// there is none yet.
func (t *transition) getConfig(callID uint64) {
	c := t.committed.Config()
	if c.Version == 0 {
		t.answerCall(callID, messenger.JobAnswer{Status: messenger.CallNotReady, RetryAfter: retryAfter})
		return
	}
	t.answerCall(callID, messenger.JobAnswer{Status: messenger.CallDone, Config: c.Raw})
}

// handleJobCall handles a call about a job. All verbs but Ping need a configuration,
// a queue that matches the request and, if the queue is not public, the key of a team.
func (t *transition) handleJobCall(callID uint64, c messenger.JobCall) {
	if c.Verb == messenger.Ping {
		t.ping(callID, c)
		return
	}
	if t.committed.Config().Version == 0 || t.isWithheld() {
		t.answerCall(callID, messenger.JobAnswer{Status: messenger.CallNotReady, RetryAfter: retryAfter})
		return
	}
	d, ok := t.authorize(callID, c)
	if !ok {
		return
	}
	switch c.Verb {
	case messenger.SubmitJob:
		t.submit(callID, d, c.Job)
	case messenger.GetJob:
		t.getJob(callID, c.Job.ID, d.Caller)
	case messenger.CancelJob:
		t.cancel(callID, c.Job.ID, d.Caller)
	case messenger.CountPending:
		pending := t.committed.Pending(d.Queue.Name, t.now)
		t.answerCall(callID, messenger.JobAnswer{Status: messenger.CallDone, Pending: pending})
	}
}

// submit proposes a new job. A repeated submission of a known job ID is acknowledged
// without a change, so callers may retry it. The ID of another team's job is refused.
func (t *transition) submit(callID uint64, d authorizer.Decision, j registrar.Job) {
	q := d.Queue
	_, known := t.committed.Job(j.ID)
	_, visible := t.job(j.ID, d.Caller)
	if known && !visible {
		t.refuseInvalid(callID, messenger.Decision{Event: "jobInvalid", Job: j.ID, Reason: "another team has a job with this ID"})
		return
	}
	if known {
		t.answerCall(callID, messenger.JobAnswer{Status: messenger.CallDone})
		return
	}
	j.Team = d.Team
	err := j.Validate()
	if err == nil {
		err = t.exceedsLimit(j)
		if err != nil && t.isProposed(j.ID) {
			err = nil // the job may be committed and run
		}
	}
	if err != nil {
		t.refuseInvalid(callID, messenger.Decision{Event: "jobInvalid", Job: j.ID, Reason: err.Error()})
		return
	}
	j.Queue, j.Pool, j.Attempts = q.Name, q.Pool, max(q.Attempts, 1)
	if t.refuseNeverRuns(callID, j) {
		return
	}
	t.recordArrival(j) // also if it is refused for load, so that machines are ordered for it
	if t.refuseForLoad(callID, q, j) {
		return
	}
	t.propose(registrar.Command{Submit: &j}, continuation{callID: callID, submitted: j.ID})
}

// getJob answers with the state of a job.
func (t *transition) getJob(callID uint64, id, team string) {
	j, ok := t.job(id, team)
	if !ok {
		t.answerCall(callID, messenger.JobAnswer{Status: messenger.CallJobNotFound})
		return
	}
	state := messenger.JobQueued
	switch {
	case j.Outcome == registrar.Complete:
		state = messenger.JobComplete
	case j.Outcome == registrar.AttemptsExhausted:
		state = messenger.JobFailed
	case j.Outcome == registrar.Canceled:
		state = messenger.JobCanceled
	case j.Begun:
		state = messenger.JobRunning
	}
	t.answerCall(callID, messenger.JobAnswer{Status: messenger.CallDone, State: state})
}

// cancel proposes the cancellation of a job. A job that has ended is acknowledged without a change.
func (t *transition) cancel(callID uint64, id, team string) {
	j, ok := t.job(id, team)
	if !ok {
		t.answerCall(callID, messenger.JobAnswer{Status: messenger.CallJobNotFound})
		return
	}
	if j.Outcome != registrar.Active {
		t.answerCall(callID, messenger.JobAnswer{Status: messenger.CallDone})
		return
	}
	t.logDecision(messenger.Decision{Event: "cancelTaken", Job: id})
	t.propose(registrar.Command{Cancel: id}, continuation{callID: callID})
}

// handleHeartbeat handles a worker's status report. Outdated heartbeats are acknowledged
// and ignored. A change of the worker's registration is committed before the answer,
// so that a later leader knows of a drain that was acknowledged. A draining worker stays
// so until its process restarts.
func (t *transition) handleHeartbeat(callID uint64, h messenger.Heartbeat) {
	w, known := t.workers.Get(h.Worker.ID)
	outdated := t.committed.HasDeparted(h.Worker.ID, h.Worker.Incarnation) || known && (h.Worker.Incarnation < w.Incarnation || (h.Worker.Incarnation == w.Incarnation && h.Seq <= w.heartbeatSeq))
	if outdated {
		t.answerCall(callID, messenger.JobAnswer{Status: messenger.CallDone})
		return
	}
	if !known {
		w = worker{leaseExpiresBy: t.now}
		_, w.leaseWithheld = t.committed.Silence(h.Worker.ID) // its removal may not be committed yet
	}
	if known && h.Worker.Incarnation > w.Incarnation {
		w = w.restarted()
	}
	wasDraining := w.Draining
	w.Worker, w.heartbeatSeq, w.lastSeenAt = h.Worker, h.Seq, t.now
	if known && wasDraining {
		w.Draining = true
	}
	w = w.WithClock(h.Clock, t.now)
	t.setWorker(w)
	t.dirty = true
	registered, ok := t.committed.Worker(w.ID)
	if ok && registered.Equal(w.Worker) {
		t.answerCall(callID, messenger.JobAnswer{Status: messenger.CallDone})
		return
	}
	t.logDecision(messenger.Decision{Event: "workerChanged", Instance: w.ID, Pool: w.Pool, Reason: drainStatus(w.Draining)})
	t.propose(registrar.Command{Workers: []registrar.Worker{w.Worker}}, continuation{callID: callID})
}

func drainStatus(draining bool) string {
	if draining {
		return "draining"
	}
	return "ready"
}

// restarted returns the worker after a restart of its process, which starts its sequence
// numbers again from zero. The runs that it had confirmed before are ended when its next
// report does not list them. The others are withdrawn: see sendStart.
func (w worker) restarted() worker {
	w.ackedEnd, w.endsPending, w.clockReadAt, w.heartbeatSeq, w.Draining, w.departed = 0, false, time.Time{}, 0, false, false
	w.nextHoldAt, w.departureNoticedAt = time.Time{}, time.Time{}
	runs := make([]run, 0, w.runs.Len())
	for _, r := range w.runs.All() {
		r.startUncertain = r.startUncertain || (r.orderPending && !r.stopping)
		r.orderPending, r.stopConfirmedAt = false, time.Time{} // an answer counts for the process before
		runs = append(runs, r)
	}
	w.runs = indexer.ListOf(runs...)
	return w
}
