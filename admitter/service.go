package admitter

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	riseWindow  = 10                     // ticks over which the rise of a demand is taken
	riseDecay   = 0.99                   // kept of the largest rise at each tick
	firstMean   = 500 * time.Millisecond // mean run time before any was measured
	leastMean   = time.Millisecond
	largestMean = 10 * time.Minute
	meanWeight  = 16 // a new run time counts as one in this many
)

// service is one kind of work.
type service struct {
	name    string
	home    string
	share   int
	queues  *immutable.SortedMap[string, queue]
	waiting int
	uses    []use
	mean    time.Duration // learned run time

	samples [riseWindow]int // demand at the last ticks
	sample  int
	rise    float64 // the largest recent rise of demand within the window, in slots
}

// use is what a service has in one pool.
type use struct {
	pool  string
	inUse int
	limit int // slots of the pool that this instance may use for it
}

func newService(name string) service {
	return service{name: name, queues: immutable.NewSortedMap[string, queue](nil), mean: firstMean}
}

func (v service) use(pool string) use {
	for _, u := range v.uses {
		if u.pool == pool {
			return u
		}
	}
	return use{pool: pool}
}

func (v service) withUse(u use) service {
	v.uses = slices.Clone(v.uses)
	for i := range v.uses {
		if v.uses[i].pool == u.pool {
			v.uses[i] = u
			return v
		}
	}
	v.uses = append(v.uses, u)
	return v
}

func (v service) withInUse(pool string, n int) service {
	u := v.use(pool)
	u.inUse = max(u.inUse+n, 0)
	return v.withUse(u)
}

func (v service) withQueue(q queue) service {
	before := 0
	old, ok := v.queues.Get(q.customer)
	if ok {
		before = old.len()
	}
	v.waiting += q.len() - before
	if q.len() == 0 && q.inUse == 0 {
		v.queues = v.queues.Delete(q.customer)
		return v
	}
	v.queues = v.queues.Set(q.customer, q)
	return v
}

func (v service) inUse() int {
	n := 0
	for _, u := range v.uses {
		n += u.inUse
	}
	return n
}

func (v service) demand() int { return v.waiting + v.inUse() }

func (v service) withRun(ran time.Duration) service {
	ran = min(max(ran, leastMean), largestMean)
	v.mean += (ran - v.mean) / meanWeight
	return v
}

// withSample takes the demand at a tick into the rise.
func (v service) withSample(demand int) service {
	oldest := v.samples[v.sample]
	v.samples[v.sample] = demand
	v.sample = (v.sample + 1) % riseWindow
	v.rise = max(v.rise*riseDecay, float64(demand-oldest))
	return v
}
