package admitter

import (
	"math"
	"slices"
	"time"

	"laburnumwind/messenger"
)

// transition collects the new state and the outgoing messages of one step.
type transition struct {
	messenger.Outbox
	state State
	now   time.Time
}

// refuse answers a request that is not admitted and logs the decision.
func (t *transition) refuse(r messenger.Request, reason messenger.Reason, status int) {
	t.Send(messenger.Reporter, messenger.Decision{
		Stage:    messenger.Admitter,
		Event:    "refused",
		Request:  r.ID,
		Service:  r.Service,
		Customer: r.Customer,
		Pool:     r.Pool,
		Reason:   string(reason),
	})
	t.Send(messenger.Answerer, messenger.CloseRequest{
		Request: r,
		Answer:  messenger.Refusal(reason, status, t.state.cfg.RetryAfter),
	})
}

// arrive queues a new request and admits requests of its service within the
// limits. It refuses the request if its service has no slots in any pool, the
// queue is full or the request cannot start in time.
func (t *transition) arrive(m messenger.RequestArrived) {
	r := m.Request
	v, ok := t.state.services.Get(r.Service)
	if !ok || t.state.reachableSlots(v) == 0 {
		t.refuse(r, messenger.NoEndpoint, messenger.StatusServiceUnavailable)
		return
	}
	q, ok := v.queues.Get(r.Customer)
	if !ok {
		c, _ := t.state.declared.Customer(r.Customer)
		q = newQueue(r.Customer, c.Weight)
	}
	if t.isQueueFull(v, q, r) {
		t.refuse(r, messenger.QueueFull, messenger.StatusTooManyRequests)
		return
	}
	r = r.WithStartDeadline(startDeadline(t.state.cfg, r, v.meanRunTime))
	if !t.now.Before(r.StartDeadline) {
		t.refuse(r, messenger.StartDeadlineExceeded, messenger.StatusServiceUnavailable)
		return
	}
	r.Pool = v.homePool
	t.state = t.state.withService(v.withQueue(q.withRequest(r)))
	t.state.queueKeys = t.state.queueKeys.Set(r.ID, queueKey{service: r.Service, customer: r.Customer})
	t.admitForService(v.name)
}

// reachableSlots returns the capacity of all pools that a service may use.
func (s State) reachableSlots(v service) int {
	n := 0
	for _, p := range s.poolList() {
		if p.name == v.homePool || (p.lendable && s.cfg.Policy.LendsIdleSlots) {
			n += p.capacity
		}
	}
	return n
}

// isQueueFull reports whether a new request is to be refused because of the
// requests ahead of it: the queue has reached its maximum length, or the policy
// refuses requests on arrival and the estimated start is after the start
// deadline. The estimate divides the slots of the service by weight among the
// customers with waiting requests.
func (t *transition) isQueueFull(v service, q queue, r messenger.Request) bool {
	if q.len() >= t.state.cfg.MaxQueue {
		return true
	}
	ahead := q.requestsAhead(r.IsUrgent())
	if !t.state.cfg.Policy.RefusesOnArrival || ahead == 0 {
		return false
	}
	slots := 0
	for _, u := range v.usages {
		slots += u.limit
	}
	totalWeight := 0
	for it := v.queues.Iterator(); !it.Done(); {
		_, other, _ := it.Next()
		if other.len() > 0 || other.customer == q.customer {
			totalWeight += other.weight
		}
	}
	customerSlots := float64(max(slots, 1)) * float64(q.weight) / float64(max(totalWeight, q.weight))
	estimatedWait := time.Duration(float64(ahead+1) / customerSlots * float64(v.meanRunTime))
	return t.now.Add(estimatedWait).After(startDeadline(t.state.cfg, r, v.meanRunTime))
}

// cancel removes a waiting request whose caller has disconnected.
func (t *transition) cancel(m messenger.CallerDisconnected) {
	key, ok := t.state.queueKeys.Get(m.ID)
	if !ok {
		return
	}
	v, _ := t.state.services.Get(key.service)
	q, _ := v.queues.Get(key.customer)
	q, dropped := q.withoutMatching(func(r messenger.Request) bool { return r.ID == m.ID })
	t.state = t.state.withService(v.withQueue(q))
	t.state.queueKeys = t.state.queueKeys.Delete(m.ID)
	for _, r := range dropped {
		t.refuse(r, messenger.Cancelled, messenger.StatusServiceUnavailable)
	}
}

// release handles the end of an admitted request and admits waiting ones to its pool.
func (t *transition) release(m messenger.ReleaseSlot) {
	t.freeSlot(m.Request, m.RunTime)
	t.admitToPool(m.Request.Pool)
}

// freeSlot frees the slot of a request and adds its run time to the moving average.
func (t *transition) freeSlot(r messenger.Request, runTime time.Duration) {
	v, ok := t.state.services.Get(r.Service)
	if !ok {
		return
	}
	v = v.withInUse(r.Pool, -1)
	if runTime > 0 {
		v = v.withRunTime(runTime)
	}
	q, ok := v.queues.Get(r.Customer)
	if ok {
		v = v.withQueue(q.withInUse(-1))
	}
	t.state = t.state.withService(v).withPoolInUse(r.Pool, -1)
}

func (s State) withPoolInUse(name string, delta int) State {
	p, ok := s.pools.Get(name)
	if !ok {
		return s
	}
	p.inUse = max(p.inUse+delta, 0)
	s.pools = s.pools.Set(name, p)
	return s
}

// tick refuses the requests that are past their start deadline, samples the
// demand, recomputes the limits, admits requests and reports the demand.
func (t *transition) tick() {
	t.expire()
	t.state = t.state.withoutExpiredRemotes(t.now)
	for _, v := range t.state.serviceList() {
		t.state = t.state.withService(v.withMeanDemands(t.state.homeDemand(v)))
	}
	t.state = t.state.recomputeLimits()
	t.admitAll()
	t.reportDemands()
	t.state.idle = t.state.isIdle()
}

// reportDemands reports the demand to the tracker if it has changed or
// reportInterval has passed.
func (t *transition) reportDemands() {
	demands := t.state.Demands()
	if slices.Equal(demands, t.state.reported) && t.now.Sub(t.state.reportedAt) < reportInterval {
		return
	}
	t.report(demands, false)
}

// expire refuses the waiting requests whose start deadline has passed.
func (t *transition) expire() {
	late := func(r messenger.Request) bool { return !t.now.Before(r.StartDeadline) }
	for _, v := range t.state.serviceList() {
		if v.waiting == 0 {
			continue
		}
		for it := v.queues.Iterator(); !it.Done(); {
			_, q, _ := it.Next()
			q, dropped := q.withoutMatching(late)
			if len(dropped) == 0 {
				continue
			}
			v = v.withQueue(q)
			for _, r := range dropped {
				t.state.queueKeys = t.state.queueKeys.Delete(r.ID)
				t.refuse(r, messenger.StartDeadlineExceeded, messenger.StatusServiceUnavailable)
			}
		}
		t.state = t.state.withService(v)
	}
}

func (t *transition) admitAll() {
	for _, p := range t.state.poolList() {
		t.admitToPool(p.name)
	}
}

// admitForService admits requests to the pools of one service, its home pool first.
func (t *transition) admitForService(name string) {
	v, _ := t.state.services.Get(name)
	t.admitToPool(v.homePool)
	for _, u := range v.usages {
		v, _ = t.state.services.Get(name)
		if u.pool != v.homePool && v.waiting > 0 {
			t.admitToPool(u.pool)
		}
	}
}

// admitToPool admits requests to a pool while it has free slots and the limits
// allow a request.
func (t *transition) admitToPool(name string) {
	for {
		p, ok := t.state.pools.Get(name)
		if !ok || t.state.freeSlots(p) <= 0 {
			return
		}
		v, q, ok := t.nextCandidate(p)
		if !ok {
			return
		}
		t.admit(p, v, q)
	}
}

// freeSlots returns the number of slots of a pool that no entry instance is
// known to use. It may be negative.
func (s State) freeSlots(p pool) int {
	n := p.capacity - p.inUse
	for it := s.remotes.Iterator(); !it.Done(); {
		_, r, _ := it.Next()
		n -= r.inUse(p.name)
	}
	return n
}

// nextCandidate returns the service and the queue whose head the policy admits
// to a pool next. The boolean is false if no request may be admitted.
func (t *transition) nextCandidate(p pool) (service, queue, bool) {
	var bestService service
	var bestQueue queue
	var best Candidate
	found := false
	for it := t.state.services.Iterator(); !it.Done(); {
		_, v, _ := it.Next()
		u := v.usage(p.name)
		if v.waiting == 0 || u.limit == 0 {
			continue
		}
		reserve := v.reserve(p.name)
		for queues := v.queues.Iterator(); !queues.Done(); {
			_, q, _ := queues.Next()
			if q.len() == 0 || !mayAdmit(v, u, q, reserve) {
				continue
			}
			c := newCandidate(v, u, q)
			if !found || t.state.cfg.Policy.Less(c, best) {
				bestService, bestQueue, best, found = v, q, c, true
			}
		}
	}
	return bestService, bestQueue, found
}

// mayAdmit reports whether the limits allow a customer's next request in a pool.
// If the service is above its guarantee, customers above their share must leave the
// reserved slots free. The limit of the home pool then does not apply to customers
// within their share, so that the customers above theirs do not delay them.
func mayAdmit(v service, u poolUsage, q queue, reserve int) bool {
	if !v.overGuarantee || q.overShare {
		return u.inUse+reserve < u.limit
	}
	return u.pool == v.homePool || u.inUse < u.limit
}

// reserve returns the number of slots of a pool to keep free for customers within
// their shares: the reserved slots that they do not use yet. It is zero unless the
// pool is the home pool and the service is above its guarantee.
func (v service) reserve(pool string) int {
	if !v.overGuarantee || pool != v.homePool {
		return 0
	}
	inUse := 0
	for it := v.queues.Iterator(); !it.Done(); {
		_, q, _ := it.Next()
		if !q.overShare {
			inUse += q.inUse
		}
	}
	return max(int(math.Ceil(v.reservedSlots))-inUse, 0)
}

func newCandidate(v service, u poolUsage, q queue) Candidate {
	head := q.head()
	return Candidate{
		Service:       v.name,
		ServiceRatio:  float64(u.inUse) / float64(v.share),
		CustomerRatio: float64(q.inUse) / float64(q.weight),
		Arrived:       head.Arrived,
		Urgency:       head.Urgency,
		LastAdmission: q.lastAdmission,
	}
}

// admit takes the head of a queue and sends it to the placer, or refuses it if
// its start deadline has passed.
func (t *transition) admit(p pool, v service, q queue) {
	r := q.head().WithPool(p.name)
	if !t.now.Before(r.StartDeadline) {
		t.state = t.state.withService(v.withQueue(q.withoutHead()))
		t.state.queueKeys = t.state.queueKeys.Delete(r.ID)
		t.refuse(r, messenger.StartDeadlineExceeded, messenger.StatusServiceUnavailable)
		return
	}
	if v.maxRun > 0 {
		r = r.WithEarlierDeadline(t.now.Add(v.maxRun))
	}
	t.state.admittedCount++
	q = q.withoutHead().withInUse(1).withAdmission(t.state.admittedCount)
	t.state = t.state.withService(v.withQueue(q).withInUse(p.name, 1)).withPoolInUse(p.name, 1)
	t.state.queueKeys = t.state.queueKeys.Delete(r.ID)
	t.Send(messenger.Placer, messenger.RequestAdmitted{Request: r})
	t.reportRise()
}

// reportRise reports a fast rise in the number of slots in use immediately.
// Otherwise the entry instances could together take more slots than a pool has
// before the next tick.
func (t *transition) reportRise() {
	if t.now.Sub(t.state.reportedAt) < minRiseInterval {
		return
	}
	reported, inUse := 0, 0
	for _, d := range t.state.reported {
		reported += d.InUse
	}
	for _, v := range t.state.serviceList() {
		for _, u := range v.usages {
			inUse += u.inUse
		}
	}
	if inUse-reported >= minReportedRise {
		t.report(t.state.Demands(), true)
	}
}

// report sends the demand to the tracker, which gossips it. If urgent is set, the
// gossip is sent at once instead of being batched.
func (t *transition) report(demands []messenger.Demand, urgent bool) {
	t.state.reported, t.state.reportedAt = demands, t.now
	t.Send(messenger.Tracker, messenger.LocalDemand{Demands: demands, Urgent: urgent})
}
