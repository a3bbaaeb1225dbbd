package admitter

import (
	"math"
	"slices"
	"time"

	"laburnumwind/messenger"
)

// turn gathers what one step does.
type turn struct {
	messenger.Outbox
	state State
	now   time.Time
}

func (t *turn) refuse(r messenger.Request, reason messenger.Reason, status int) {
	t.Send(messenger.Reporter, messenger.Decision{
		Stage:    messenger.Admitter,
		What:     "refused",
		Request:  r.ID,
		Service:  r.Service,
		Customer: r.Customer,
		Pool:     r.Pool,
		Reason:   string(reason),
	})
	t.Send(messenger.Answerer, messenger.Close{
		Request: r,
		Answer:  messenger.Refusal(reason, status, t.state.cfg.RetryAfter),
	})
}

func (t *turn) arrive(m messenger.Arrive) {
	r := m.Request
	v, ok := t.state.services.Get(r.Service)
	if !ok || t.state.reachable(v) == 0 {
		t.refuse(r, messenger.NoEndpoint, messenger.StatusUnavailable)
		return
	}
	q, ok := v.queues.Get(r.Customer)
	if !ok {
		c, _ := t.state.weights.Customer(r.Customer)
		q = newQueue(r.Customer, c.Weight)
	}
	if t.isTooLate(v, q, r) {
		t.refuse(r, messenger.QueueFull, messenger.StatusTooMany)
		return
	}
	r = r.WithStartBy(startBy(t.state.cfg, r, v.mean))
	if !t.now.Before(r.StartBy) {
		t.refuse(r, messenger.DeadlinePast, messenger.StatusUnavailable)
		return
	}
	r.Pool = v.home
	t.state = t.state.withService(v.withQueue(q.withRequest(r)))
	t.state.waiting = t.state.waiting.Set(r.ID, place{service: r.Service, customer: r.Customer})
	t.pumpService(v.name)
}

// reachable is the number of slots that a service could ever get now.
func (s State) reachable(v service) int {
	n := 0
	for _, p := range s.poolList() {
		if p.name == v.home || (p.lendable && s.cfg.Policy.Lends) {
			n += p.capacity
		}
	}
	return n
}

// isTooLate tells whether a request would have to wait longer than it may.
func (t *turn) isTooLate(v service, q queue, r messenger.Request) bool {
	if q.len() >= t.state.cfg.MaxQueue {
		return true
	}
	ahead := q.ahead(r.IsUrgent())
	if !t.state.cfg.Policy.Bounded || ahead == 0 {
		return false
	}
	slots := 0
	for _, u := range v.uses {
		slots += u.limit
	}
	weights := 0
	for it := v.queues.Iterator(); !it.Done(); {
		_, other, _ := it.Next()
		if other.len() > 0 || other.customer == q.customer {
			weights += other.weight
		}
	}
	mine := float64(max(slots, 1)) * float64(q.weight) / float64(max(weights, q.weight))
	wait := time.Duration(float64(ahead+1) / mine * float64(v.mean))
	return t.now.Add(wait).After(startBy(t.state.cfg, r, v.mean))
}

func (t *turn) cancel(m messenger.Cancel) {
	where, ok := t.state.waiting.Get(m.ID)
	if !ok {
		return
	}
	v, _ := t.state.services.Get(where.service)
	q, _ := v.queues.Get(where.customer)
	q, dropped := q.without(func(r messenger.Request) bool { return r.ID == m.ID })
	t.state = t.state.withService(v.withQueue(q))
	t.state.waiting = t.state.waiting.Delete(m.ID)
	for _, r := range dropped {
		t.refuse(r, messenger.Cancelled, messenger.StatusUnavailable)
	}
}

func (t *turn) release(m messenger.Release) {
	t.giveBack(m.Request, m.Ran)
	t.pumpPool(m.Request.Pool)
}

// giveBack frees the slot of a request and learns from its run time.
func (t *turn) giveBack(r messenger.Request, ran time.Duration) {
	v, ok := t.state.services.Get(r.Service)
	if !ok {
		return
	}
	v = v.withInUse(r.Pool, -1)
	if ran > 0 {
		v = v.withRun(ran)
	}
	q, ok := v.queues.Get(r.Customer)
	if ok {
		v = v.withQueue(q.withUse(-1))
	}
	t.state = t.state.withService(v).withPoolUse(r.Pool, -1)
}

func (s State) withPoolUse(name string, n int) State {
	p, ok := s.pools.Get(name)
	if !ok {
		return s
	}
	p.inUse = max(p.inUse+n, 0)
	s.pools = s.pools.Set(name, p)
	return s
}

func (t *turn) tick() {
	t.expire()
	t.state = t.state.withoutSilent(t.now)
	for _, v := range t.state.all() {
		t.state = t.state.withService(v.withMeans(t.state.homeDemand(v)))
	}
	t.state = t.state.recompute()
	t.pumpAll()
	t.tellDemands()
	t.state.quiet = t.state.isQuiet()
}

// tellDemands tells the tracker a demand that changed, and now and then that it did not.
func (t *turn) tellDemands() {
	demands := t.state.Demands()
	if slices.Equal(demands, t.state.told) && t.now.Sub(t.state.toldAt) < tellEvery {
		return
	}
	t.tell(demands, false)
}

// expire refuses what did not start in time.
func (t *turn) expire() {
	late := func(r messenger.Request) bool { return !t.now.Before(r.StartBy) }
	for _, v := range t.state.all() {
		if v.waiting == 0 {
			continue
		}
		for it := v.queues.Iterator(); !it.Done(); {
			_, q, _ := it.Next()
			q, dropped := q.without(late)
			if len(dropped) == 0 {
				continue
			}
			v = v.withQueue(q)
			for _, r := range dropped {
				t.state.waiting = t.state.waiting.Delete(r.ID)
				t.refuse(r, messenger.DeadlinePast, messenger.StatusUnavailable)
			}
		}
		t.state = t.state.withService(v)
	}
}

func (t *turn) pumpAll() {
	for _, p := range t.state.poolList() {
		t.pumpPool(p.name)
	}
}

// pumpService starts what waits for one service, at home first.
func (t *turn) pumpService(name string) {
	v, _ := t.state.services.Get(name)
	t.pumpPool(v.home)
	for _, u := range v.uses {
		v, _ = t.state.services.Get(name)
		if u.pool != v.home && v.waiting > 0 {
			t.pumpPool(u.pool)
		}
	}
}

// pumpPool starts requests while the pool has room for one.
func (t *turn) pumpPool(name string) {
	for {
		p, ok := t.state.pools.Get(name)
		if !ok || t.state.free(p) <= 0 {
			return
		}
		v, q, ok := t.best(p)
		if !ok {
			return
		}
		t.start(p, v, q)
	}
}

// free is the number of slots of a pool that nobody is known to use.
func (s State) free(p pool) int {
	n := p.capacity - p.inUse
	for it := s.remotes.Iterator(); !it.Done(); {
		_, r, _ := it.Next()
		n -= r.inUse(p.name)
	}
	return n
}

func (t *turn) best(p pool) (service, queue, bool) {
	var bestService service
	var bestQueue queue
	var best Candidate
	found := false
	for it := t.state.services.Iterator(); !it.Done(); {
		_, v, _ := it.Next()
		u := v.use(p.name)
		if v.waiting == 0 || u.limit == 0 {
			continue
		}
		reserve := v.reserve(p.name)
		for queues := v.queues.Iterator(); !queues.Done(); {
			_, q, _ := queues.Next()
			if q.len() == 0 || !mayUse(v, u, q, reserve) {
				continue
			}
			c := candidate(v, u, q)
			if !found || t.state.cfg.Policy.Less(c, best) {
				bestService, bestQueue, best, found = v, q, c, true
			}
		}
	}
	return bestService, bestQueue, found
}

// mayUse tells whether the limits let a customer's next request into a pool.
// A customer within its share is not held up by the others of its service; the
// others leave free what those are expected to need.
func mayUse(v service, u use, q queue, reserve int) bool {
	if !v.over || q.over {
		return u.inUse+reserve < u.limit
	}
	return u.pool == v.home || u.inUse < u.limit
}

// reserve is the number of slots at home to keep free for customers within their shares.
func (v service) reserve(pool string) int {
	if !v.over || pool != v.home {
		return 0
	}
	inUse := 0
	for it := v.queues.Iterator(); !it.Done(); {
		_, q, _ := it.Next()
		if !q.over {
			inUse += q.inUse
		}
	}
	return max(int(math.Ceil(v.kept))-inUse, 0)
}

func candidate(v service, u use, q queue) Candidate {
	head := q.head()
	return Candidate{
		Service:      v.name,
		ServiceRatio: float64(u.inUse) / float64(v.share),
		Ratio:        float64(q.inUse) / float64(q.weight),
		Arrived:      head.Arrived,
		Urgency:      head.Urgency,
		LastPick:     q.picked,
	}
}

func (t *turn) start(p pool, v service, q queue) {
	r := q.head().WithPool(p.name)
	if !t.now.Before(r.StartBy) {
		t.state = t.state.withService(v.withQueue(q.withoutHead()))
		t.state.waiting = t.state.waiting.Delete(r.ID)
		t.refuse(r, messenger.DeadlinePast, messenger.StatusUnavailable)
		return
	}
	if v.maxRun > 0 {
		r = r.WithEndBy(t.now.Add(v.maxRun))
	}
	t.state.picks++
	q = q.withoutHead().withUse(1).withPick(t.state.picks)
	t.state = t.state.withService(v.withQueue(q).withInUse(p.name, 1)).withPoolUse(p.name, 1)
	t.state.waiting = t.state.waiting.Delete(r.ID)
	t.Send(messenger.Placer, messenger.Admitted{Request: r})
	t.tellRise()
}

// tellRise tells the other instances at once what rose fast, or all of them
// together would take more than there is before the next tick.
func (t *turn) tellRise() {
	if t.now.Sub(t.state.toldAt) < riseEvery {
		return
	}
	told, now := 0, 0
	for _, d := range t.state.told {
		told += d.InUse
	}
	for _, v := range t.state.all() {
		for _, u := range v.uses {
			now += u.inUse
		}
	}
	if now-told >= leastRise {
		t.tell(t.state.Demands(), true)
	}
}

func (t *turn) tell(demands []messenger.Demand, urgent bool) {
	t.state.told, t.state.toldAt = demands, t.now
	t.Send(messenger.Tracker, messenger.LocalDemand{Demands: demands, Urgent: urgent})
}
