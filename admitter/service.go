package admitter

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	initialRunTime   = 500 * time.Millisecond // assumed mean run time before the first sample
	minRunSample     = time.Millisecond       // shorter samples are raised to this
	maxRunSample     = 10 * time.Minute       // longer samples are cut to this
	runSampleDivisor = 16                     // a new sample has the weight 1/runSampleDivisor in the moving average
)

// service holds the queues, the pool usage and the statistics of one service.
type service struct {
	name        string
	homePool    string                              // pool that the service is declared in
	share       int                                 // weight in its home pool
	queues      *immutable.SortedMap[string, queue] // by customer
	waiting     int                                 // queued requests of all customers
	usages      []poolUsage
	meanRunTime time.Duration // moving average of the run time
	maxRun      time.Duration // declared maximum run time; zero means that only the caller's deadline applies

	meanDemand    float64 // moving average of the home demand at all entry instances, in slots
	overGuarantee bool    // the mean demand exceeds the service's guaranteed share of its home pool
	reservedSlots float64 // slots of this entry instance that are reserved for customers within their shares
}

// poolUsage holds the slots that a service uses and may use in one pool, at this
// entry instance.
type poolUsage struct {
	pool  string
	inUse int
	limit int // maximum number of slots in use
}

func newService(name string) service {
	return service{name: name, queues: immutable.NewSortedMap[string, queue](nil), meanRunTime: initialRunTime}
}

// usage returns the usage of a pool, which is zero if the service has none there.
func (v service) usage(pool string) poolUsage {
	for _, u := range v.usages {
		if u.pool == pool {
			return u
		}
	}
	return poolUsage{pool: pool}
}

func (v service) withUsage(u poolUsage) service {
	v.usages = slices.Clone(v.usages)
	for i := range v.usages {
		if v.usages[i].pool == u.pool {
			v.usages[i] = u
			return v
		}
	}
	v.usages = append(v.usages, u)
	return v
}

func (v service) withInUse(pool string, delta int) service {
	u := v.usage(pool)
	u.inUse = max(u.inUse+delta, 0)
	return v.withUsage(u)
}

// withQueue stores a queue, or removes it once it has no demand and its mean
// demand is negligible.
func (v service) withQueue(q queue) service {
	before := 0
	old, ok := v.queues.Get(q.customer)
	if ok {
		before = old.len()
	}
	v.waiting += q.len() - before
	if q.demand() == 0 && q.meanDemand < minMeanDemand {
		v.queues = v.queues.Delete(q.customer)
		return v
	}
	v.queues = v.queues.Set(q.customer, q)
	return v
}

// withRunTime adds a run time to the moving average.
func (v service) withRunTime(runTime time.Duration) service {
	runTime = min(max(runTime, minRunSample), v.runSampleLimit())
	v.meanRunTime += (runTime - v.meanRunTime) / runSampleDivisor
	return v
}

// runSampleLimit returns the run time to which longer samples are cut: the
// declared maximum, if there is one, and at most maxRunSample.
func (v service) runSampleLimit() time.Duration {
	if v.maxRun > 0 {
		return min(v.maxRun, maxRunSample)
	}
	return maxRunSample
}

// withMeanDemands adds the demand sampled at a tick to the moving averages of
// the service and its customers.
func (v service) withMeanDemands(demand int) service {
	v.meanDemand = smoothDemand(v.meanDemand, demand)
	if demand == 0 && v.meanDemand < minMeanDemand {
		v.meanDemand = 0
	}
	for it := v.queues.Iterator(); !it.Done(); {
		_, q, _ := it.Next()
		v = v.withQueue(q.withMeanDemand())
	}
	return v
}
