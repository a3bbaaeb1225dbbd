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

// handleAdmitted places an admitted request, or refuses it if it is a poison request:
// one that has failed on several endpoints, see poisonThreshold.
func (t *transition) handleAdmitted(r messenger.Request) {
	t.state.retryTokens = min(t.state.retryTokens+retryTokensPerRequest, maxRetryTokens)
	if t.state.failures.isPoison(t.now, requestKey(r)) {
		t.refuse(r, messenger.PoisonRequest, messenger.StatusUnprocessableEntity)
		return
	}
	t.place(r)
}

// refuse answers a request that has no attempt in flight, frees its slot and
// completes its claim, if it has one.
func (t *transition) refuse(r messenger.Request, reason messenger.Reason, status int) {
	answer := messenger.Refusal(reason, status, t.state.cfg.RetryAfter)
	if r.UnansweredAttempts > 0 { // an earlier attempt of this idempotent request was sent and may have run
		answer = messenger.Answer{Outcome: messenger.Uncertain, Reason: reason, Status: messenger.StatusBadGateway}
	}
	t.logDecision("refused", r, 0, string(reason))
	t.Send(messenger.Admitter, messenger.ReleaseSlot{Request: r})
	t.Send(messenger.Answerer, messenger.CloseRequest{Request: r, Answer: answer})
	if r.Claimed {
		t.Send(messenger.Claimer, messenger.CompleteClaim{Request: r, Answer: answer})
	}
}

// logDecision sends a decision on a request to the reporter.
func (t *transition) logDecision(event string, r messenger.Request, candidates int, reason string) {
	t.Send(messenger.Reporter, messenger.Decision{
		Stage:      messenger.Placer,
		Event:      event,
		Request:    r.ID,
		Service:    r.Service,
		Customer:   r.Customer,
		Instance:   r.Endpoint.Instance,
		Pool:       r.Pool,
		Candidates: candidates,
		Reason:     reason,
	})
}

// place assigns a request to an eligible endpoint, or blocks it if there is none.
// It refuses a request whose start deadline has passed. A request of which at most
// one attempt may ever start is claimed in the claims log before it is sent.
func (t *transition) place(r messenger.Request) {
	if !t.now.Before(r.StartDeadline) {
		t.refuse(r, messenger.StartDeadlineExceeded, messenger.StatusServiceUnavailable)
		return
	}
	eligible, reason := t.eligibleEndpoints(r)
	if len(eligible) == 0 {
		t.state.blocked = t.state.blocked.Append(&r)
		return
	}
	e := t.choose(eligible)
	t.state = t.state.withEndpoint(e.withInFlight(1))
	r = r.WithEndpoint(e.endpoint)
	t.logDecision("placed", r, len(eligible), reason)
	if r.NeedsClaim() {
		t.Send(messenger.Claimer, messenger.ClaimKey{Request: r})
	} else {
		t.Send(messenger.Forwarder, messenger.SendAttempt{Request: r})
	}
}

// eligibleEndpoints returns the endpoints of the pool that may get the request,
// and why it returns these, for the decision log. It returns the untried ones in
// the zone of this entry instance; if there are none, the untried ones in other
// zones; and if there are none either, those tried before.
func (t *transition) eligibleEndpoints(r messenger.Request) (eligible []endpointState, reason string) {
	var sameZone, otherZones, tried []endpointState
	for it := t.state.endpoints.Iterator(); !it.Done(); {
		_, e, _ := it.Next()
		if e.endpoint.Pool != r.Pool || !e.isEligible(t.now) {
			continue
		}
		switch {
		case slices.Contains(r.TriedInstances, e.endpoint.Instance) || r.Endpoint.Instance == e.endpoint.Instance:
			tried = append(tried, e)
		case e.endpoint.Zone == t.state.cfg.Zone:
			sameZone = append(sameZone, e)
		default:
			otherZones = append(otherZones, e)
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

// choose returns the less utilized of two random endpoints. If it took the least
// utilized of all, entry instances with the same outdated load reports would all
// choose the same one.
func (t *transition) choose(eligible []endpointState) endpointState {
	var i, j int
	t.state, i = t.state.random(len(eligible))
	t.state, j = t.state.random(len(eligible))
	if eligible[j].utilization() < eligible[i].utilization() {
		return eligible[j]
	}
	return eligible[i]
}

// handleDone handles the end of the last attempt of a request.
func (t *transition) handleDone(m messenger.RequestDone) {
	result := m.Result
	runTime := time.Duration(0)
	if result.Kind == messenger.CompleteResponse {
		runTime = result.Duration
	}
	t.finishAttempt(result, m.EndpointFailed)
	t.Send(messenger.Admitter, messenger.ReleaseSlot{Request: result.Request, RunTime: runTime})
	t.retryBlocked()
}

// handleRetry handles the end of an attempt whose request may be retried. It
// places the request again, or refuses it if its endpoint failed and it is a poison
// request, if it has had too many attempts, or if the retry budget is exhausted.
func (t *transition) handleRetry(m messenger.RetryRequest) {
	result := m.Result
	t.finishAttempt(result, m.EndpointFailed)
	r := result.Request
	switch {
	case t.state.failures.isPoison(t.now, requestKey(r)) && m.EndpointFailed:
		t.refuse(r, messenger.PoisonRequest, messenger.StatusUnprocessableEntity)
	case r.UnansweredAttempts > maxUnansweredAttempts || r.Attempt > maxAttempts:
		t.refuse(r, messenger.RetryBudgetExhausted, messenger.StatusServiceUnavailable)
	case result.Reason == messenger.SlotsFull || result.Kind == messenger.RequestNotSent:
		// The endpoint did no work, so the retry costs no token. Otherwise a
		// network partition between zones would exhaust the budget.
		t.place(r)
	case t.state.retryTokens < 1 && !t.state.cfg.DisableRetryBudget:
		t.refuse(r, messenger.RetryBudgetExhausted, messenger.StatusServiceUnavailable)
	default:
		t.state.retryTokens--
		t.place(r)
	}
	t.retryBlocked()
}

// finishAttempt frees the slot of an attempt at its endpoint and updates the
// state of the endpoint and the failure history.
func (t *transition) finishAttempt(result messenger.AttemptResult, endpointFailed bool) {
	instance := result.Request.Endpoint.Instance
	e, ok := t.state.endpoints.Get(instance)
	if !ok {
		return
	}
	e = e.withInFlight(-1)
	if result.InUse >= 0 {
		e = e.withInUse(t.now, result.InUse)
	}
	if result.Reason == messenger.EndpointLeaving || result.Reason == messenger.WrongEpoch {
		e = e.withLeaving(true) // excludes the endpoint until its next announcement overwrites this
	}
	if result.Kind == messenger.RequestNotSent {
		e = e.withConnectFailure(t.now)
	}
	if !e.up && e.inFlight == 0 {
		t.state.endpoints = t.state.endpoints.Delete(instance)
		return
	}
	t.state = t.state.withEndpoint(e)
	if result.Kind == messenger.AttemptNotStarted {
		return
	}
	t.recordResult(result.Request, e, endpointFailed)
}

// recordResult adds the result of an attempt to the health of its endpoint and to
// the failure history. It ejects the endpoint if it is an outlier. Failures of a
// poison request no longer count against the endpoints on which it failed.
func (t *transition) recordResult(r messenger.Request, e endpointState, failed bool) {
	e = e.withHealth(e.health.withResult(failed))
	t.state = t.state.withEndpoint(e)
	if !failed {
		t.state.failures = t.state.failures.withSuccess(requestKey(r))
		return
	}
	var cleared []string
	t.state.failures, cleared = t.state.failures.withFailure(t.now, requestKey(r), e.endpoint.Instance)
	for _, instance := range cleared {
		other, ok := t.state.endpoints.Get(instance)
		if ok {
			t.state = t.state.withEndpoint(other.withHealth(other.health.withoutFailure()))
		}
	}
	e, _ = t.state.endpoints.Get(e.endpoint.Instance)
	if t.isOutlier(e) {
		t.state = t.state.withEndpoint(e.withHealth(e.health.withEjection(t.now)))
		t.logDecision("ejected", r, 0, "failure rate is higher than that of its peers")
	}
}

// isOutlier reports whether an endpoint is to be ejected: it has at least
// minEjectionSamples results, its failure rate is at least minEjectionRate and more
// than twice the mean of the other endpoints of its pool that are not ejected, and
// the pool has not reached the limit on ejected endpoints, see ejectionDivisor.
func (t *transition) isOutlier(e endpointState) bool {
	if t.state.cfg.DisableEjection || e.health.samples < minEjectionSamples || e.health.failureRate < minEjectionRate {
		return false
	}
	peers, ejected, totalRate := 0, 0, 0.0
	for it := t.state.endpoints.Iterator(); !it.Done(); {
		_, other, _ := it.Next()
		if other.endpoint.Pool != e.endpoint.Pool || other.endpoint.Instance == e.endpoint.Instance {
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
	return e.health.failureRate > 2*totalRate/float64(healthy)
}

// recordLoad records the load that an endpoint has reported, and tries to place
// the blocked requests.
func (t *transition) recordLoad(m messenger.EndpointLoad) {
	e, ok := t.state.endpoints.Get(m.Instance)
	if !ok {
		return
	}
	t.state = t.state.withEndpoint(e.withInUse(t.now, m.InUse).withLeaving(m.Leaving))
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

// expireBlocked refuses the blocked requests whose start deadline has passed.
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

// cancel refuses a blocked request whose caller has disconnected.
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
