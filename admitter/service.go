package admitter

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

const (
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
	maxRun  time.Duration // longest run that is declared; zero: the caller's deadline

	meanDemand float64 // running mean of the demand at all instances, in slots
	over       bool    // asks for more than its guarantee
	kept       float64 // slots that are kept for its customers within their shares
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
	if q.demand() == 0 && q.mean < leastMeanDemand {
		v.queues = v.queues.Delete(q.customer)
		return v
	}
	v.queues = v.queues.Set(q.customer, q)
	return v
}

func (v service) withRun(ran time.Duration) service {
	ran = min(max(ran, leastMean), v.longest())
	v.mean += (ran - v.mean) / meanWeight
	return v
}

// longest is the longest run that the mean learns from.
func (v service) longest() time.Duration {
	if v.maxRun > 0 {
		return min(v.maxRun, largestMean)
	}
	return largestMean
}

// withMeans takes the demand at a tick into the running means.
func (v service) withMeans(demand int) service {
	v.meanDemand = learnDemand(v.meanDemand, demand)
	if demand == 0 && v.meanDemand < leastMeanDemand {
		v.meanDemand = 0
	}
	for it := v.queues.Iterator(); !it.Done(); {
		_, q, _ := it.Next()
		v = v.withQueue(q.withMean())
	}
	return v
}
