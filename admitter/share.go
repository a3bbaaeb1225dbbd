package admitter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"laburnumwind/messenger"
)

const (
	mostHeadroom = 0.25        // of a pool that is kept for a rise of its own services
	returnWithin = time.Second // lent slots should come back in this time
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

// recompute sets the limits of all services in all pools from the demand here and elsewhere.
func (s State) recompute() State {
	if !s.cfg.Policy.Shared {
		return s.withoutLimits()
	}
	unmet := s.homePortions()
	if s.cfg.Policy.Lends {
		s = s.lend(unmet)
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

// homePortions allocates every pool to its own services and returns what each still lacks.
func (s *State) homePortions() []portion {
	var unmet []portion
	for _, p := range s.poolList() {
		var portions []portion
		shares := 0
		for _, v := range s.all() {
			if v.home != p.name {
				continue
			}
			portions = append(portions, portion{name: v.name, demand: float64(s.homeDemand(v)), weight: float64(v.share)})
			shares += v.share
		}
		p.left = waterfill(float64(p.capacity), portions)
		for _, got := range portions {
			v, _ := s.services.Get(got.name)
			guaranteed := float64(p.capacity*v.share) / float64(max(shares, 1))
			*s = s.withLimit(v, p, got.got, got.got+s.slack(p.left), guaranteed)
			lack := got.demand - got.got
			if lack > 0 {
				unmet = append(unmet, portion{name: v.name, demand: lack, weight: float64(v.share)})
			}
		}
		s.pools = s.pools.Set(p.name, p)
	}
	return unmet
}

// slack is what every service of a pool may race for beyond its allocation.
func (s State) slack(left float64) float64 {
	if !s.cfg.Policy.Lends {
		return 0
	}
	return left
}

// withLimit sets this instance's part of an allocation: an equal part of what
// the instances ask for, and at least its part of what is guaranteed.
func (s State) withLimit(v service, p pool, allocated, ceiling, guaranteed float64) State {
	here := v.use(p.name).inUse
	if p.name == v.home {
		here = v.demand()
	}
	parts := []portion{{demand: float64(here), weight: 1}}
	for _, r := range s.remote() {
		parts = append(parts, portion{demand: float64(r.demand(v.name, p.name, p.name == v.home)), weight: 1})
	}
	waterfill(allocated, parts)
	limit := parts[0].got + ceiling - allocated
	least := guaranteed / float64(len(parts))
	u := v.use(p.name)
	u.limit = int(math.Ceil(max(limit, least) - 1e-9))
	return s.withService(v.withUse(u))
}

// lend gives idle slots of lendable pools to services that lack some at home.
func (s State) lend(unmet []portion) State {
	for _, p := range s.poolList() {
		idle := p.left - s.headroom(p)
		portions := slices.Clone(unmet)
		if !p.lendable || idle < 1 {
			portions = nil
			idle = 0
		}
		for i := range portions {
			v, _ := s.services.Get(portions[i].name)
			if v.home == p.name {
				portions[i].demand = 0
			}
		}
		waterfill(idle, portions)
		for _, v := range s.all() {
			if v.home == p.name {
				continue
			}
			got := 0.0
			for i := range portions {
				if portions[i].name == v.name {
					got = portions[i].got
					unmet[i].demand -= got
				}
			}
			s = s.withBorrowed(v, p, got)
		}
	}
	return s
}

func (s State) withBorrowed(v service, p pool, got float64) State {
	here := float64(v.waiting + v.use(p.name).inUse)
	parts := []portion{{demand: here, weight: 1}}
	for _, r := range s.remote() {
		parts = append(parts, portion{demand: float64(r.demand(v.name, p.name, true)), weight: 1})
	}
	waterfill(got, parts)
	u := v.use(p.name)
	if u.limit == 0 && got == 0 {
		return s
	}
	u.limit = int(math.Ceil(parts[0].got - 1e-9))
	return s.withService(v.withUse(u))
}

// headroom is kept for a rise of the pool's own services, less what lent slots give back in time.
func (s State) headroom(p pool) float64 {
	rise := 0.0
	returned := 0.0
	for _, v := range s.all() {
		if v.home == p.name {
			rise += v.rise
			continue
		}
		part := min(1, returnWithin.Seconds()/v.mean.Seconds())
		returned += part * float64(v.use(p.name).inUse)
	}
	return min(max(rise-returned, 0), mostHeadroom*float64(p.capacity))
}

// homeDemand is what a service asks for at all instances, less what it has elsewhere.
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
