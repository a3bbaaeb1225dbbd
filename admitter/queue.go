package admitter

import (
	"time"

	"github.com/benbjohnson/immutable"

	"laburnumwind/messenger"
)

// urgentRun is how many urgent requests may pass an older one of the same customer in a row.
const urgentRun = 3

// runMeans is how many mean run times a request is left to run before its deadline.
const runMeans = 2

// queue holds the waiting requests of one customer for one service. The lists
// hold pointers, since a list copies a node of 32 items at each change.
type queue struct {
	customer string
	weight   int
	inUse    int
	urgent   *immutable.List[*messenger.Request]
	normal   *immutable.List[*messenger.Request]
	streak   int     // urgent requests picked since the last normal one
	picked   uint64  // number of the last pick
	mean     float64 // running mean of the demand, in slots
	over     bool    // asks for more than its share
}

func newQueue(customer string, weight int) queue {
	return queue{
		customer: customer,
		weight:   max(weight, 1),
		urgent:   immutable.NewList[*messenger.Request](),
		normal:   immutable.NewList[*messenger.Request](),
	}
}

// demand is the slots that the customer would use now.
func (q queue) demand() int { return q.len() + q.inUse }

func (q queue) withMean() queue {
	q.mean = learnDemand(q.mean, q.demand())
	return q
}

func (q queue) len() int { return q.urgent.Len() + q.normal.Len() }

// ahead is how many requests would start before a new one of this urgency.
func (q queue) ahead(urgent bool) int {
	if !urgent {
		return q.len()
	}
	return q.urgent.Len() + min(q.normal.Len(), q.urgent.Len()/urgentRun)
}

func (q queue) withRequest(r messenger.Request) queue {
	if r.IsUrgent() {
		q.urgent = q.urgent.Append(&r)
	} else {
		q.normal = q.normal.Append(&r)
	}
	return q
}

// picksUrgent tells which list goes next: the urgent one, but for every few picks.
func (q queue) picksUrgent() bool {
	if q.urgent.Len() == 0 {
		return false
	}
	return q.normal.Len() == 0 || q.streak < urgentRun
}

func (q queue) head() messenger.Request {
	if q.picksUrgent() {
		return *q.urgent.Get(0)
	}
	return *q.normal.Get(0)
}

func (q queue) withoutHead() queue {
	if q.picksUrgent() {
		q.urgent = q.urgent.Slice(1, q.urgent.Len())
		q.streak++
		return q
	}
	q.normal = q.normal.Slice(1, q.normal.Len())
	q.streak = 0
	return q
}

func (q queue) withUse(n int) queue {
	q.inUse = max(q.inUse+n, 0)
	return q
}

func (q queue) withPick(n uint64) queue {
	q.picked = n
	return q
}

// without drops the requests for which the function holds, and returns them.
func (q queue) without(drop func(messenger.Request) bool) (queue, []messenger.Request) {
	var dropped []messenger.Request
	q.urgent, dropped = filter(q.urgent, drop, dropped)
	q.normal, dropped = filter(q.normal, drop, dropped)
	return q, dropped
}

func filter(list *immutable.List[*messenger.Request], drop func(messenger.Request) bool, dropped []messenger.Request) (*immutable.List[*messenger.Request], []messenger.Request) {
	found := false
	for it := list.Iterator(); !it.Done(); {
		_, r := it.Next()
		found = found || drop(*r)
	}
	if !found {
		return list, dropped
	}
	kept := immutable.NewListBuilder[*messenger.Request]()
	for it := list.Iterator(); !it.Done(); {
		_, r := it.Next()
		if drop(*r) {
			dropped = append(dropped, *r)
			continue
		}
		kept.Append(r)
	}
	return kept.List(), dropped
}

// startBy is the last time at which a request may start. A request needs time
// to run: one that starts too late wastes a slot.
func startBy(cfg Config, r messenger.Request, mean time.Duration) time.Time {
	wait := r.Deadline.Sub(r.Arrived)
	latest := r.Deadline.Add(-min(runMeans*mean, wait/2))
	urgent := r.Arrived.Add(cfg.UrgentWait)
	if r.IsUrgent() && urgent.Before(latest) {
		return urgent
	}
	return latest
}
