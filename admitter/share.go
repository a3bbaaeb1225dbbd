package admitter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"laburnumwind/messenger"
)

const (
	// demandMargin is the number of standard deviations above the mean demand for
	// which slots are reserved. The number of slots that independent requests use
	// at a time follows a Poisson distribution, so its standard deviation is the
	// square root of the mean.
	demandMargin = 4.0
	// demandSmoothing is the weight of the newest sample in the moving average of
	// a demand.
	demandSmoothing = 0.05
	// stepThreshold is the deviation from the mean, in standard deviations, beyond
	// which a sample counts as a change of the load and not as random variation.
	// Such a sample has the weight stepSmoothing. With demandSmoothing alone, the mean
	// follows a change of the load so slowly that idle slots are lent late.
	stepThreshold = 5
	stepSmoothing = 0.5
	// limitRiseFactor is the fraction of the gap between the equal split and the
	// target by which a limit may rise each time the limits are recomputed.
	limitRiseFactor = 0.25
	// minMeanDemand is the mean demand, in slots, below which a service or customer
	// without present demand counts as having none.
	minMeanDemand = 0.05
)

// allocation is the demand of one service or entry instance and what it is
// granted, in slots.
type allocation struct {
	name    string
	demand  float64
	weight  float64
	granted float64
}

// waterfill divides a capacity by weighted max-min fairness: each allocation is
// granted at most its demand, and the capacity that it does not need is divided
// among the others by weight. It sets granted in each allocation and returns the
// unused capacity.
func waterfill(capacity float64, allocations []allocation) float64 {
	unsatisfied := make([]*allocation, 0, len(allocations))
	for i := range allocations {
		if allocations[i].demand > 0 {
			unsatisfied = append(unsatisfied, &allocations[i])
		}
	}
	slices.SortStableFunc(unsatisfied, func(a, b *allocation) int {
		return cmp.Compare(a.demand/a.weight, b.demand/b.weight)
	})
	totalWeight := 0.0
	for _, a := range unsatisfied {
		totalWeight += a.weight
	}
	for _, a := range unsatisfied {
		a.granted = min(a.demand, capacity*a.weight/totalWeight)
		capacity -= a.granted
		totalWeight -= a.weight
	}
	return max(capacity, 0)
}

// smoothDemand adds a demand sample to its moving average. Random variation
// moves the mean slowly; a change of the load moves it fast.
func smoothDemand(mean float64, demand int) float64 {
	deviation := float64(demand) - mean
	if math.Abs(deviation) > stepThreshold*math.Sqrt(max(mean, 1)) {
		return mean + deviation*stepSmoothing
	}
	return mean + deviation*demandSmoothing
}

// expectedDemand returns the demand for which slots are reserved: the present
// demand or the mean plus a safety margin, whichever is larger.
func expectedDemand(demand int, mean, variance float64) float64 {
	return max(float64(demand), mean+demandMargin*math.Sqrt(variance))
}

// recomputeLimits sets the limits of all services in all pools from the demand
// at this and the other entry instances.
func (s State) recomputeLimits() State {
	if !s.cfg.Policy.EnforcesShares {
		return s.withCapacityLimits()
	}
	unmet := s.allocateHomePools()
	if s.cfg.Policy.LendsIdleSlots {
		s = s.lendIdleSlots(unmet)
	}
	for _, v := range s.serviceList() {
		s = s.withService(s.applyCustomerShares(v))
	}
	return s
}

// withCapacityLimits sets the limit of each service to the full capacity of
// every pool that it may use, for policies that do not enforce shares.
func (s State) withCapacityLimits() State {
	for _, v := range s.serviceList() {
		for _, p := range s.poolList() {
			if p.name == v.homePool || s.cfg.Policy.LendsIdleSlots && p.lendable {
				u := v.usage(p.name)
				u.limit = p.capacity
				v = v.withUsage(u)
			}
		}
		s = s.withService(v)
	}
	return s
}

// allocateHomePools divides every pool among the services whose home pool it is,
// and returns the demand that is not met. A service whose mean demand is within
// its guaranteed share is not limited; one above it gets the slots that the others
// are not expected to need.
func (s *State) allocateHomePools() []allocation {
	var unmet []allocation
	for _, p := range s.poolList() {
		var allocations []allocation
		shares := 0
		for _, v := range s.serviceList() {
			if v.homePool != p.name {
				continue
			}
			demand := expectedDemand(s.homeDemand(v), v.meanDemand, v.meanDemand)
			allocations = append(allocations, allocation{name: v.name, demand: demand, weight: float64(v.share)})
			shares += v.share
		}
		p.idleSlots = waterfill(float64(p.capacity), allocations)
		s.pools = s.pools.Set(p.name, p)
		for _, a := range allocations {
			v, _ := s.services.Get(a.name)
			guarantee := float64(p.capacity*v.share) / float64(max(shares, 1))
			v.overGuarantee = v.meanDemand > guarantee
			*s = s.withHomeLimit(v, p, a.granted)
			shortfall := float64(s.homeDemand(v)) - a.granted
			if shortfall > 0 {
				unmet = append(unmet, allocation{name: v.name, demand: shortfall, weight: float64(v.share)})
			}
		}
	}
	return unmet
}

// withHomeLimit sets the limit of a service in its home pool: the full capacity,
// or this entry instance's part of the allocation if the service demands more
// than its guaranteed share.
func (s State) withHomeLimit(v service, p pool, allocated float64) State {
	limit := p.capacity
	if v.overGuarantee {
		limit = s.localLimit(allocated, v.usage(p.name).limit, s.instanceDemands(v, p))
	}
	u := v.usage(p.name)
	u.limit = limit
	return s.withService(v.withUsage(u))
}

// instanceDemands returns the demand of each entry instance for a service in a
// pool, with this instance first.
func (s State) instanceDemands(v service, p pool) []allocation {
	local := v.waiting + v.usage(p.name).inUse
	demands := []allocation{{demand: float64(local), weight: 1}}
	for _, r := range s.remoteList() {
		demands = append(demands, allocation{demand: float64(r.demand(v.name, p.name, true)), weight: 1})
	}
	return demands
}

// localLimit returns the slots of an allocation that this entry instance may
// use. Each instance rounds at a different point, so that the limits add up to
// about the allocation; if all rounded alike, slots would stay unused or be taken
// twice. The demand of the other instances is known with a delay, so a limit
// above the equal split rises gradually; it falls at once.
func (s State) localLimit(allocated float64, previous int, demands []allocation) int {
	waterfill(allocated, demands)
	equalSplit := allocated / float64(len(demands))
	target := demands[0].granted
	if target > equalSplit {
		target = min(target, max(equalSplit, float64(previous)+(target-equalSplit)*limitRiseFactor))
	}
	rank := 0
	for _, r := range s.remoteList() {
		if r.instance < s.cfg.Name {
			rank++
		}
	}
	roundingOffset := (float64(rank) + 0.5) / float64(len(demands))
	return int(target + roundingOffset)
}

// lendIdleSlots divides the idle slots of lendable pools among the services
// whose home pool does not meet their demand.
func (s State) lendIdleSlots(unmet []allocation) State {
	for _, p := range s.poolList() {
		idle := p.idleSlots
		if !p.lendable {
			idle = 0
		}
		allocations := slices.Clone(unmet)
		for i := range allocations {
			v, _ := s.services.Get(allocations[i].name)
			if v.homePool == p.name {
				allocations[i].demand = 0
			}
		}
		waterfill(idle, allocations)
		for i, a := range allocations {
			unmet[i].demand -= a.granted
		}
		s = s.withBorrowedLimits(p, allocations)
	}
	return s
}

// withBorrowedLimits sets the limits of the services that borrow slots of a pool.
func (s State) withBorrowedLimits(p pool, allocations []allocation) State {
	for _, v := range s.serviceList() {
		if v.homePool == p.name {
			continue
		}
		granted := 0.0
		for _, a := range allocations {
			if a.name == v.name {
				granted = a.granted
			}
		}
		u := v.usage(p.name)
		if u.limit == 0 && granted == 0 {
			continue
		}
		u.limit = s.localLimit(granted, u.limit, s.instanceDemands(v, p))
		s = s.withService(v.withUsage(u))
	}
	return s
}

// applyCustomerShares marks the customers whose mean demand exceeds their share if
// the service is above its guarantee, and sets the slots to reserve for the other
// customers. Every entry instance reserves slots for its own part of the demand.
// The variance is divided by the number of entry instances, so that their margins
// add up to the margin for the total demand.
func (s State) applyCustomerShares(v service) service {
	slots, totalWeight := 0, 0
	for _, u := range v.usages {
		slots += u.limit
	}
	for it := v.queues.Iterator(); !it.Done(); {
		_, q, _ := it.Next()
		totalWeight += q.weight
	}
	v.reservedSlots = 0
	instances := float64(1 + s.remotes.Len())
	for it := v.queues.Iterator(); !it.Done(); {
		name, q, _ := it.Next()
		fairShare := float64(slots*q.weight) / float64(totalWeight)
		q.overShare = v.overGuarantee && q.meanDemand > fairShare
		if !q.overShare {
			v.reservedSlots += expectedDemand(0, q.meanDemand, q.meanDemand/instances)
		}
		v.queues = v.queues.Set(name, q)
	}
	return v
}

// homeDemand returns the demand of a service at all entry instances, in slots,
// without the slots that it uses in other pools.
func (s State) homeDemand(v service) int {
	n := v.waiting + v.usage(v.homePool).inUse
	for _, r := range s.remoteList() {
		n += r.demand(v.name, v.homePool, true)
	}
	return n
}

// remoteDemand is the latest demand report of another entry instance.
type remoteDemand struct {
	instance   string
	receivedAt time.Time
	demands    []messenger.Demand
}

// demand returns the slots that the service uses in the pool and, if
// includeWaiting is set, its waiting requests.
func (r remoteDemand) demand(service, pool string, includeWaiting bool) int {
	n := 0
	for _, d := range r.demands {
		if d.Service != service {
			continue
		}
		if d.Pool == pool {
			n += d.InUse
		}
		if includeWaiting {
			n += d.Waiting
		}
	}
	return n
}

// inUse returns the slots that all services of the remote instance use in the pool.
func (r remoteDemand) inUse(pool string) int {
	n := 0
	for _, d := range r.demands {
		if d.Pool == pool {
			n += d.InUse
		}
	}
	return n
}
