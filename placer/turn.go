package placer

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"laburnumwind/messenger"
)

// turn gathers what one step does.
type turn struct {
	messenger.Outbox
	state State
	now   time.Time
}

func (t *turn) admitted(r messenger.Request) {
	t.state.tokens = min(t.state.tokens+retryDeposit, retryMost)
	if t.state.jobs.isBad(t.now, r.Digest) {
		t.refuse(r, messenger.BadJob, messenger.StatusUnprocessable)
		return
	}
	t.place(r)
}

// refuse ends a request of which no attempt runs.
func (t *turn) refuse(r messenger.Request, reason messenger.Reason, status int) {
	answer := messenger.Refusal(reason, status, t.state.cfg.RetryAfter)
	if r.Breaks > 0 { // an idempotent one, of which an attempt was sent
		answer = messenger.Answer{Outcome: messenger.Uncertain, Reason: reason, Status: messenger.StatusBadGateway}
	}
	t.decided("refused", r, 0, string(reason))
	t.Send(messenger.Admitter, messenger.Release{Request: r})
	t.Send(messenger.Answerer, messenger.Close{Request: r, Answer: answer})
	if r.Claimed {
		t.Send(messenger.Claimer, messenger.Settle{Request: r, Answer: answer})
	}
}

func (t *turn) decided(what string, r messenger.Request, candidates int, reason string) {
	t.Send(messenger.Reporter, messenger.Decision{
		Stage:      messenger.Placer,
		What:       what,
		Request:    r.ID,
		Service:    r.Service,
		Customer:   r.Customer,
		Instance:   r.Endpoint.Instance,
		Pool:       r.Pool,
		Candidates: candidates,
		Reason:     reason,
	})
}

func (t *turn) place(r messenger.Request) {
	if !t.now.Before(r.StartBy) {
		t.refuse(r, messenger.DeadlinePast, messenger.StatusUnavailable)
		return
	}
	open, reason := t.openWorkers(r)
	if len(open) == 0 {
		t.state.blocked = t.state.blocked.Append(&r)
		return
	}
	w := t.choose(open)
	t.state = t.state.withWorker(w.withInFlight(1))
	r = r.WithEndpoint(w.endpoint)
	t.decided("placed", r, len(open), reason)
	if r.NeedsClaim() {
		t.Send(messenger.Claimer, messenger.Claim{Request: r})
	} else {
		t.Send(messenger.Forwarder, messenger.Send{Request: r})
	}
}

// openWorkers are the endpoints with room: those of the own zone if there are
// any, and those that the request was not on before if there are any. It says which.
func (t *turn) openWorkers(r messenger.Request) (open []worker, reason string) {
	var near, far, tried []worker
	for it := t.state.workers.Iterator(); !it.Done(); {
		_, w, _ := it.Next()
		if w.endpoint.Pool != r.Pool || !w.isOpen(t.now) {
			continue
		}
		switch {
		case slices.Contains(r.Tried, w.endpoint.Instance) || r.Endpoint.Instance == w.endpoint.Instance:
			tried = append(tried, w)
		case w.endpoint.Zone == t.state.cfg.Zone:
			near = append(near, w)
		default:
			far = append(far, w)
		}
	}
	if len(near) > 0 {
		return near, "less used of two in the own zone"
	}
	if len(far) > 0 {
		return far, "less used of two, the own zone has no room"
	}
	return tried, "only one that was tried before has room"
}

// choose takes the less used of two random endpoints, so that several entry
// instances with the same old news do not all choose the same one.
func (t *turn) choose(open []worker) worker {
	var i, k int
	t.state, i = t.state.random(len(open))
	t.state, k = t.state.random(len(open))
	if open[k].used() < open[i].used() {
		return open[k]
	}
	return open[i]
}

func (t *turn) done(m messenger.Done) {
	x := m.Exchange
	ran := time.Duration(0)
	if x.Kind == messenger.Whole {
		ran = x.Took
	}
	t.ended(x, m.Failed)
	t.Send(messenger.Admitter, messenger.Release{Request: x.Request, Ran: ran})
	t.unblock()
}

func (t *turn) replace(m messenger.Replace) {
	x := m.Exchange
	t.ended(x, m.Failed)
	r := x.Request
	switch {
	case t.state.jobs.isBad(t.now, r.Digest) && m.Failed:
		t.refuse(r, messenger.BadJob, messenger.StatusUnprocessable)
	case r.Breaks > mostBreaks || r.Attempt > mostUnstarted:
		t.refuse(r, messenger.RetriesSpent, messenger.StatusUnavailable)
	case x.Reason == messenger.SlotsFull || x.Kind == messenger.Unsent:
		t.place(r) // the endpoint did no work, so it costs no retry
	case t.state.tokens < 1 && !t.state.cfg.NoBudget:
		t.refuse(r, messenger.RetriesSpent, messenger.StatusUnavailable)
	default:
		t.state.tokens--
		t.place(r)
	}
	t.unblock()
}

// ended frees the slot of an attempt and judges its endpoint.
func (t *turn) ended(x messenger.Exchange, failed bool) {
	name := x.Request.Endpoint.Instance
	w, ok := t.state.workers.Get(name)
	if !ok {
		return
	}
	w = w.withInFlight(-1)
	if x.InUse >= 0 {
		w = w.withInUse(t.now, x.InUse)
	}
	if x.Reason == messenger.IsLeaving || x.Reason == messenger.WrongEpoch {
		w = w.withLeaving(true) // until the next announcement says otherwise
	}
	if x.Kind == messenger.Unsent {
		w = w.withSuspicion(t.now)
	}
	if !w.up && w.inFlight == 0 {
		t.state.workers = t.state.workers.Delete(name)
		return
	}
	t.state = t.state.withWorker(w)
	if x.Kind == messenger.NotStarted {
		return
	}
	t.judge(x.Request, w, failed)
}

func (t *turn) judge(r messenger.Request, w worker, failed bool) {
	w = w.withHealth(w.health.withResult(failed))
	t.state = t.state.withWorker(w)
	if !failed {
		t.state.jobs = t.state.jobs.withSuccess(r.Digest)
		return
	}
	var forgive []string
	t.state.jobs, forgive = t.state.jobs.withFailure(t.now, r.Digest, w.endpoint.Instance)
	for _, name := range forgive {
		other, ok := t.state.workers.Get(name)
		if ok {
			t.state = t.state.withWorker(other.withHealth(other.health.withForgiveness()))
		}
	}
	w, _ = t.state.workers.Get(w.endpoint.Instance)
	if t.deservesEjection(w) {
		t.state = t.state.withWorker(w.withHealth(w.health.withEjection(t.now)))
		t.decided("ejected", r, 0, "it fails more than its peers")
	}
}

// deservesEjection compares an endpoint with its peers, and bounds the part of a pool that is out.
func (t *turn) deservesEjection(w worker) bool {
	if t.state.cfg.NoEject || w.health.samples < ejectSamples || w.health.rate < ejectRate {
		return false
	}
	peers, ejected, rates := 0, 0, 0.0
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
		rates += other.health.rate
	}
	well := peers - ejected
	if well == 0 || ejected+1 > max((peers+1)/ejectFraction, 1) {
		return false
	}
	return w.health.rate > 2*rates/float64(well)
}

func (t *turn) load(m messenger.Load) {
	w, ok := t.state.workers.Get(m.Instance)
	if !ok {
		return
	}
	t.state = t.state.withWorker(w.withInUse(t.now, m.InUse).withLeaving(m.Leaving))
	t.unblock()
}

// unblock places what waits for room, in order.
func (t *turn) unblock() {
	waiting := t.state.blocked
	if waiting.Len() == 0 {
		return
	}
	t.state.blocked = immutable.NewList[*messenger.Request]()
	for it := waiting.Iterator(); !it.Done(); {
		_, r := it.Next()
		t.place(*r)
	}
}

// expire refuses what found no room in time.
func (t *turn) expire() {
	waiting := t.state.blocked
	t.state.blocked = immutable.NewList[*messenger.Request]()
	for it := waiting.Iterator(); !it.Done(); {
		_, r := it.Next()
		if t.now.Before(r.StartBy) {
			t.state.blocked = t.state.blocked.Append(r)
			continue
		}
		t.refuse(*r, messenger.DeadlinePast, messenger.StatusUnavailable)
	}
}

func (t *turn) cancel(id uint64) {
	for it := t.state.blocked.Iterator(); !it.Done(); {
		i, r := it.Next()
		if r.ID != id {
			continue
		}
		rest := t.state.blocked.Slice(0, i)
		for k := i + 1; k < t.state.blocked.Len(); k++ {
			rest = rest.Append(t.state.blocked.Get(k))
		}
		t.state.blocked = rest
		t.refuse(*r, messenger.Cancelled, messenger.StatusUnavailable)
		return
	}
}
