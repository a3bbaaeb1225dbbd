package placer

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"laburnumwind/messenger"
)

// transition collects the new state and the outgoing messages of one step.
type transition struct {
	messenger.Outbox
	state State
	now   time.Time
}

// handleAdmitted places an admitted request, or refuses it if its job is known
// to be bad.
func (t *transition) handleAdmitted(r messenger.Request) {
	t.state.retryTokens = min(t.state.retryTokens+retryTokensPerRequest, maxRetryTokens)
	if t.state.jobs.isBad(t.now, r.Digest) {
		t.refuse(r, messenger.PoisonRequest, messenger.StatusUnprocessableEntity)
		return
	}
	t.place(r)
}

// refuse answers a request that has no attempt in flight and frees its slot.
func (t *transition) refuse(r messenger.Request, reason messenger.Reason, status int) {
	answer := messenger.Refusal(reason, status, t.state.cfg.RetryAfter)
	if r.UnansweredAttempts > 0 { // an idempotent request; an attempt was sent and may have been executed
		answer = messenger.Answer{Outcome: messenger.Uncertain, Reason: reason, Status: messenger.StatusBadGateway}
	}
	t.logDecision("refused", r, 0, string(reason))
	t.Send(messenger.Admitter, messenger.ReleaseSlot{Request: r})
	t.Send(messenger.Answerer, messenger.CloseRequest{Request: r, Answer: answer})
	if r.Claimed {
		t.Send(messenger.Claimer, messenger.CompleteClaim{Request: r, Answer: answer})
	}
}

// logDecision sends a placement decision to the reporter.
func (t *transition) logDecision(what string, r messenger.Request, candidates int, reason string) {
	t.Send(messenger.Reporter, messenger.Decision{
		Stage:      messenger.Placer,
		Event:      what,
		Request:    r.ID,
		Service:    r.Service,
		Customer:   r.Customer,
		Instance:   r.Endpoint.Instance,
		Pool:       r.Pool,
		Candidates: candidates,
		Reason:     reason,
	})
}

// place assigns a request to an available endpoint, or blocks it if there is
// none. It refuses a request whose latest start time has passed.
func (t *transition) place(r messenger.Request) {
	if !t.now.Before(r.StartDeadline) {
		t.refuse(r, messenger.StartDeadlineExceeded, messenger.StatusServiceUnavailable)
		return
	}
	available, reason := t.availableWorkers(r)
	if len(available) == 0 {
		t.state.blocked = t.state.blocked.Append(&r)
		return
	}
	w := t.choose(available)
	t.state = t.state.withWorker(w.withInFlight(1))
	r = r.WithEndpoint(w.endpoint)
	t.logDecision("placed", r, len(available), reason)
	if r.NeedsClaim() {
		t.Send(messenger.Claimer, messenger.ClaimKey{Request: r})
	} else {
		t.Send(messenger.Forwarder, messenger.SendAttempt{Request: r})
	}
}

// availableWorkers returns the endpoints of the pool that may get the request,
// and the reason for the choice, for the log. It prefers endpoints that were not
// tried before, and among these the ones in the zone of this entry instance.
func (t *transition) availableWorkers(r messenger.Request) (available []worker, reason string) {
	var sameZone, otherZones, tried []worker
	for it := t.state.workers.Iterator(); !it.Done(); {
		_, w, _ := it.Next()
		if w.endpoint.Pool != r.Pool || !w.isAvailable(t.now) {
			continue
		}
		switch {
		case slices.Contains(r.TriedInstances, w.endpoint.Instance) || r.Endpoint.Instance == w.endpoint.Instance:
			tried = append(tried, w)
		case w.endpoint.Zone == t.state.cfg.Zone:
			sameZone = append(sameZone, w)
		default:
			otherZones = append(otherZones, w)
		}
	}
	if len(sameZone) > 0 {
		return sameZone, "less utilized of two endpoints in the local zone"
	}
	if len(otherZones) > 0 {
		return otherZones, "less utilized of two endpoints; the local zone has no free slots"
	}
	return tried, "only endpoints that were tried before have free slots"
}

// choose returns the less utilized of two random endpoints, so that entry
// instances with the same outdated load reports do not all choose the same one.
func (t *transition) choose(available []worker) worker {
	var i, j int
	t.state, i = t.state.random(len(available))
	t.state, j = t.state.random(len(available))
	if available[j].utilization() < available[i].utilization() {
		return available[j]
	}
	return available[i]
}

// done handles the end of an attempt whose request is complete.
func (t *transition) done(m messenger.RequestDone) {
	x := m.Result
	runTime := time.Duration(0)
	if x.Kind == messenger.CompleteResponse {
		runTime = x.Duration
	}
	t.finishAttempt(x, m.EndpointFailed)
	t.Send(messenger.Admitter, messenger.ReleaseSlot{Request: x.Request, RunTime: runTime})
	t.retryBlocked()
}

// replace handles the end of an attempt whose request may be tried again. It
// places the request, or refuses it if the job is bad or its retries are spent.
func (t *transition) replace(m messenger.RetryRequest) {
	x := m.Result
	t.finishAttempt(x, m.EndpointFailed)
	r := x.Request
	switch {
	case t.state.jobs.isBad(t.now, r.Digest) && m.EndpointFailed:
		t.refuse(r, messenger.PoisonRequest, messenger.StatusUnprocessableEntity)
	case r.UnansweredAttempts > maxUnanswered || r.Attempt > maxAttempts:
		t.refuse(r, messenger.RetryBudgetExhausted, messenger.StatusServiceUnavailable)
	case x.Reason == messenger.SlotsFull || x.Kind == messenger.RequestNotSent:
		t.place(r) // the endpoint did no work, so this retry costs no token
	case t.state.retryTokens < 1 && !t.state.cfg.DisableRetryBudget:
		t.refuse(r, messenger.RetryBudgetExhausted, messenger.StatusServiceUnavailable)
	default:
		t.state.retryTokens--
		t.place(r)
	}
	t.retryBlocked()
}

// finishAttempt frees the slot of an attempt and updates the state of its endpoint.
func (t *transition) finishAttempt(x messenger.AttemptResult, failed bool) {
	instance := x.Request.Endpoint.Instance
	w, ok := t.state.workers.Get(instance)
	if !ok {
		return
	}
	w = w.withInFlight(-1)
	if x.InUse >= 0 {
		w = w.withInUse(t.now, x.InUse)
	}
	if x.Reason == messenger.EndpointLeaving || x.Reason == messenger.WrongEpoch {
		w = w.withLeaving(true) // the next announcement of the endpoint overwrites this
	}
	if x.Kind == messenger.RequestNotSent {
		w = w.withConnectFailure(t.now)
	}
	if !w.up && w.inFlight == 0 {
		t.state.workers = t.state.workers.Delete(instance)
		return
	}
	t.state = t.state.withWorker(w)
	if x.Kind == messenger.AttemptNotStarted {
		return
	}
	t.recordResult(x.Request, w, failed)
}

// recordResult adds a result to the health of an endpoint and to the history of
// its job. It ejects the endpoint if it is an outlier.
func (t *transition) recordResult(r messenger.Request, w worker, failed bool) {
	w = w.withHealth(w.health.withResult(failed))
	t.state = t.state.withWorker(w)
	if !failed {
		t.state.jobs = t.state.jobs.withSuccess(r.Digest)
		return
	}
	var cleared []string
	t.state.jobs, cleared = t.state.jobs.withFailure(t.now, r.Digest, w.endpoint.Instance)
	for _, instance := range cleared {
		other, ok := t.state.workers.Get(instance)
		if ok {
			t.state = t.state.withWorker(other.withHealth(other.health.withoutFailure()))
		}
	}
	w, _ = t.state.workers.Get(w.endpoint.Instance)
	if t.isOutlier(w) {
		t.state = t.state.withWorker(w.withHealth(w.health.withEjection(t.now)))
		t.logDecision("ejected", r, 0, "failure rate is higher than that of its peers")
	}
}

// isOutlier reports whether an endpoint is to be ejected: its failure rate is
// more than twice the mean of its peers, and the limit on ejected endpoints of
// the pool is not reached.
func (t *transition) isOutlier(w worker) bool {
	if t.state.cfg.DisableEjection || w.health.samples < minEjectionSamples || w.health.failureRate < minEjectionRate {
		return false
	}
	peers, ejected, totalRate := 0, 0, 0.0
	for it := t.state.workers.Iterator(); !it.Done(); {
		_, other, _ := it.Next()
		if other.endpoint.Pool != w.endpoint.Pool || other.endpoint.Instance == w.endpoint.Instance {
			continue
		}
		peers++
		if other.health.isEjected(t.now) {
			ejected++
			continue
		}
		totalRate += other.health.failureRate
	}
	healthy := peers - ejected
	if healthy == 0 || ejected+1 > max((peers+1)/ejectionDivisor, 1) {
		return false
	}
	return w.health.failureRate > 2*totalRate/float64(healthy)
}

// load records the load of an endpoint.
func (t *transition) load(m messenger.EndpointLoad) {
	w, ok := t.state.workers.Get(m.Instance)
	if !ok {
		return
	}
	t.state = t.state.withWorker(w.withInUse(t.now, m.InUse).withLeaving(m.Leaving))
	t.retryBlocked()
}

// retryBlocked tries again to place the blocked requests, in order.
func (t *transition) retryBlocked() {
	blocked := t.state.blocked
	if blocked.Len() == 0 {
		return
	}
	t.state.blocked = immutable.NewList[*messenger.Request]()
	for it := blocked.Iterator(); !it.Done(); {
		_, r := it.Next()
		t.place(*r)
	}
}

// expireBlocked refuses the blocked requests whose latest start time has passed.
func (t *transition) expireBlocked() {
	blocked := t.state.blocked
	t.state.blocked = immutable.NewList[*messenger.Request]()
	for it := blocked.Iterator(); !it.Done(); {
		_, r := it.Next()
		if t.now.Before(r.StartDeadline) {
			t.state.blocked = t.state.blocked.Append(r)
			continue
		}
		t.refuse(*r, messenger.StartDeadlineExceeded, messenger.StatusServiceUnavailable)
	}
}

// cancel removes a blocked request whose caller has gone.
func (t *transition) cancel(id uint64) {
	for it := t.state.blocked.Iterator(); !it.Done(); {
		i, r := it.Next()
		if r.ID != id {
			continue
		}
		remaining := t.state.blocked.Slice(0, i)
		for j := i + 1; j < t.state.blocked.Len(); j++ {
			remaining = remaining.Append(t.state.blocked.Get(j))
		}
		t.state.blocked = remaining
		t.refuse(*r, messenger.Cancelled, messenger.StatusServiceUnavailable)
		return
	}
}
