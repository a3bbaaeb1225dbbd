package admitter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"laburnumwind/messenger"
)

const (
	// margin is how many standard deviations above its mean a demand is kept free
	// for. The slots that independent requests use at a time spread like a
	// Poisson number, so the deviation is the root of the mean.
	margin = 4.0
	// meanPart is the part of the newest tick in the mean of a demand.
	meanPart = 0.05
	// jump is how many standard deviations off its mean a demand is no chance
	// any more, and jumpPart the part of the newest tick in the mean then.
	jump     = 5
	jumpPart = 0.5
	// riseStep is the part by which a limit rises at a tick beyond an equal part.
	riseStep = 0.25
	// leastMeanDemand is the mean demand below which a demand that is over is forgotten.
	leastMeanDemand = 0.05
)

// portion is one demand in an allocation.
type portion struct {
	name   string
	demand float64
	weight float64
	got    float64
}

// waterfill shares a capacity by weight; what one does not need goes to the others.
// It returns what is left over.
func waterfill(capacity float64, portions []portion) float64 {
	open := make([]*portion, 0, len(portions))
	for i := range portions {
		if portions[i].demand > 0 {
			open = append(open, &portions[i])
		}
	}
	slices.SortStableFunc(open, func(a, b *portion) int {
		return cmp.Compare(a.demand/a.weight, b.demand/b.weight)
	})
	weights := 0.0
	for _, p := range open {
		weights += p.weight
	}
	for _, p := range open {
		p.got = min(p.demand, capacity*p.weight/weights)
		capacity -= p.got
		weights -= p.weight
	}
	return max(capacity, 0)
}

// learnDemand takes the demand at a tick into its mean: slowly while it only
// varies, fast once it has changed.
func learnDemand(mean float64, demand int) float64 {
	off := float64(demand) - mean
	if math.Abs(off) > jump*math.Sqrt(max(mean, 1)) {
		return mean + off*jumpPart
	}
	return mean + off*meanPart
}

// expected is the demand that slots are kept for: what is there, or the mean with a margin.
func expected(demand int, mean, spread float64) float64 {
	return max(float64(demand), mean+margin*math.Sqrt(spread))
}

// recompute sets the limits of all services in all pools from the demand here and elsewhere.
func (s State) recompute() State {
	if !s.cfg.Policy.Shared {
		return s.withoutLimits()
	}
	unmet := s.homePortions()
	if s.cfg.Policy.Lends {
		s = s.lend(unmet)
	}
	for _, v := range s.all() {
		s = s.withService(s.limitCustomers(v))
	}
	return s
}

func (s State) withoutLimits() State {
	for _, v := range s.all() {
		for _, p := range s.poolList() {
			if p.name == v.home || s.cfg.Policy.Lends && p.lendable {
				u := v.use(p.name)
				u.limit = p.capacity
				v = v.withUse(u)
			}
		}
		s = s.withService(v)
	}
	return s
}

// homePortions allocates every pool to its own services and returns what each
// still lacks. A service whose mean demand is within its guarantee is not
// limited; one that asks for more gets what the others are not expected to need.
func (s *State) homePortions() []portion {
	var unmet []portion
	for _, p := range s.poolList() {
		var portions []portion
		shares := 0
		for _, v := range s.all() {
			if v.home != p.name {
				continue
			}
			demand := expected(s.homeDemand(v), v.meanDemand, v.meanDemand)
			portions = append(portions, portion{name: v.name, demand: demand, weight: float64(v.share)})
			shares += v.share
		}
		p.left = waterfill(float64(p.capacity), portions)
		s.pools = s.pools.Set(p.name, p)
		for _, got := range portions {
			v, _ := s.services.Get(got.name)
			guaranteed := float64(p.capacity*v.share) / float64(max(shares, 1))
			v.over = v.meanDemand > guaranteed
			*s = s.withHomeLimit(v, p, got.got)
			lack := float64(s.homeDemand(v)) - got.got
			if lack > 0 {
				unmet = append(unmet, portion{name: v.name, demand: lack, weight: float64(v.share)})
			}
		}
	}
	return unmet
}

func (s State) withHomeLimit(v service, p pool, allocated float64) State {
	limit := p.capacity
	if v.over {
		limit = s.part(allocated, v.use(p.name).limit, s.demandsFor(v, p))
	}
	u := v.use(p.name)
	u.limit = limit
	return s.withService(v.withUse(u))
}

// demandsFor is what each instance asks of a pool for a service, this instance first.
func (s State) demandsFor(v service, p pool) []portion {
	here := v.waiting + v.use(p.name).inUse
	parts := []portion{{demand: float64(here), weight: 1}}
	for _, r := range s.remote() {
		parts = append(parts, portion{demand: float64(r.demand(v.name, p.name, true)), weight: 1})
	}
	return parts
}

// part is this instance's part of an allocation. The instances round at
// different points, so that together they neither lose slots nor take too many.
// What the others ask for is known with a lag, so beyond an equal part the
// limit rises step by step; it falls at once.
func (s State) part(allocated float64, before int, demands []portion) int {
	waterfill(allocated, demands)
	equal := allocated / float64(len(demands))
	got := demands[0].got
	if got > equal {
		got = min(got, max(equal, float64(before)+(got-equal)*riseStep))
	}
	rank := 0
	for _, r := range s.remote() {
		if r.from < s.cfg.Name {
			rank++
		}
	}
	dither := (float64(rank) + 0.5) / float64(len(demands))
	return int(got + dither)
}

// lend gives idle slots of lendable pools to services that lack some at home.
func (s State) lend(unmet []portion) State {
	for _, p := range s.poolList() {
		idle := p.left
		if !p.lendable {
			idle = 0
		}
		portions := slices.Clone(unmet)
		for i := range portions {
			v, _ := s.services.Get(portions[i].name)
			if v.home == p.name {
				portions[i].demand = 0
			}
		}
		waterfill(idle, portions)
		for i, got := range portions {
			unmet[i].demand -= got.got
		}
		s = s.withBorrowers(p, portions)
	}
	return s
}

func (s State) withBorrowers(p pool, portions []portion) State {
	for _, v := range s.all() {
		if v.home == p.name {
			continue
		}
		got := 0.0
		for _, other := range portions {
			if other.name == v.name {
				got = other.got
			}
		}
		u := v.use(p.name)
		if u.limit == 0 && got == 0 {
			continue
		}
		u.limit = s.part(got, u.limit, s.demandsFor(v, p))
		s = s.withService(v.withUse(u))
	}
	return s
}

// limitCustomers finds the customers of a service that ask for more than their
// share, and what to keep free for the others.
func (s State) limitCustomers(v service) service {
	slots, weights := 0, 0
	for _, u := range v.uses {
		slots += u.limit
	}
	for it := v.queues.Iterator(); !it.Done(); {
		_, q, _ := it.Next()
		weights += q.weight
	}
	v.kept = 0
	instances := float64(1 + s.remotes.Len())
	for it := v.queues.Iterator(); !it.Done(); {
		name, q, _ := it.Next()
		fair := float64(slots*q.weight) / float64(weights)
		q.over = v.over && q.mean > fair
		if !q.over {
			v.kept += expected(0, q.mean, q.mean/instances)
		}
		v.queues = v.queues.Set(name, q)
	}
	return v
}

// homeDemand is what a service asks for at all instances, less what it has in other pools.
func (s State) homeDemand(v service) int {
	n := v.waiting + v.use(v.home).inUse
	for _, r := range s.remote() {
		n += r.demand(v.name, v.home, true)
	}
	return n
}

// remoteDemand is what another entry instance told.
type remoteDemand struct {
	from    string
	at      time.Time
	demands []messenger.Demand
}

func (r remoteDemand) demand(service, pool string, waiting bool) int {
	n := 0
	for _, d := range r.demands {
		if d.Service != service {
			continue
		}
		if d.Pool == pool {
			n += d.InUse
		}
		if waiting {
			n += d.Waiting
		}
	}
	return n
}

func (r remoteDemand) inUse(pool string) int {
	n := 0
	for _, d := range r.demands {
		if d.Pool == pool {
			n += d.InUse
		}
	}
	return n
}
