package admitter

import (
	"time"

	"github.com/benbjohnson/immutable"

	"laburnumwind/messenger"
)

// maxUrgentStreak is the maximum number of urgent requests in a row that may
// overtake a waiting normal request of the same customer.
const maxUrgentStreak = 3

// reservedRunTimes is the number of mean run times that are reserved between the
// start deadline of a request and its deadline.
const reservedRunTimes = 2

// queue holds the waiting requests of one customer for one service. The lists
// hold pointers to requests: a list copies a node of 32 items on each change, and
// copying pointers is cheaper than copying requests.
type queue struct {
	customer      string
	weight        int
	inUse         int // slots that the customer's admitted requests use
	urgent        *immutable.List[*messenger.Request]
	normal        *immutable.List[*messenger.Request]
	urgentStreak  int     // urgent requests admitted since the last normal one
	lastAdmission uint64  // sequence number of the last admitted request; zero if none was
	meanDemand    float64 // moving average of the demand, in slots
	overShare     bool    // the service is above its guarantee and the mean demand exceeds the customer's share
}

func newQueue(customer string, weight int) queue {
	return queue{
		customer: customer,
		weight:   max(weight, 1),
		urgent:   immutable.NewList[*messenger.Request](),
		normal:   immutable.NewList[*messenger.Request](),
	}
}

// demand returns the number of slots that the customer could use now: its
// waiting and its running requests.
func (q queue) demand() int { return q.len() + q.inUse }

func (q queue) withMeanDemand() queue {
	q.meanDemand = smoothDemand(q.meanDemand, q.demand())
	return q
}

func (q queue) len() int { return q.urgent.Len() + q.normal.Len() }

// requestsAhead estimates the number of waiting requests that would start before
// a new one of the given urgency.
func (q queue) requestsAhead(urgent bool) int {
	if !urgent {
		return q.len()
	}
	return q.urgent.Len() + min(q.normal.Len(), q.urgent.Len()/maxUrgentStreak)
}

func (q queue) withRequest(r messenger.Request) queue {
	if r.IsUrgent() {
		q.urgent = q.urgent.Append(&r)
	} else {
		q.normal = q.normal.Append(&r)
	}
	return q
}

// nextIsUrgent reports whether the next request is from the urgent list. After
// maxUrgentStreak urgent requests in a row, a normal request goes first.
func (q queue) nextIsUrgent() bool {
	if q.urgent.Len() == 0 {
		return false
	}
	return q.normal.Len() == 0 || q.urgentStreak < maxUrgentStreak
}

// head returns the next request to admit. The queue must not be empty.
func (q queue) head() messenger.Request {
	if q.nextIsUrgent() {
		return *q.urgent.Get(0)
	}
	return *q.normal.Get(0)
}

func (q queue) withoutHead() queue {
	if q.nextIsUrgent() {
		q.urgent = q.urgent.Slice(1, q.urgent.Len())
		q.urgentStreak++
		return q
	}
	q.normal = q.normal.Slice(1, q.normal.Len())
	q.urgentStreak = 0
	return q
}

func (q queue) withInUse(delta int) queue {
	q.inUse = max(q.inUse+delta, 0)
	return q
}

func (q queue) withAdmission(seq uint64) queue {
	q.lastAdmission = seq
	return q
}

// withoutMatching removes the requests for which drop returns true, and returns them.
func (q queue) withoutMatching(drop func(messenger.Request) bool) (queue, []messenger.Request) {
	var dropped []messenger.Request
	q.urgent, dropped = filter(q.urgent, drop, dropped)
	q.normal, dropped = filter(q.normal, drop, dropped)
	return q, dropped
}

// filter removes the requests for which drop returns true and appends them to
// dropped. A list without a match is returned as it is, without copying it.
func filter(list *immutable.List[*messenger.Request], drop func(messenger.Request) bool, dropped []messenger.Request) (*immutable.List[*messenger.Request], []messenger.Request) {
	matched := false
	for it := list.Iterator(); !it.Done(); {
		_, r := it.Next()
		matched = matched || drop(*r)
	}
	if !matched {
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

// startDeadline returns the latest time at which a request may start. A request
// that starts too late to finish wastes a slot, so reservedRunTimes mean run times
// are reserved before its deadline, but at most half of its timeout. An urgent
// request must also start within cfg.UrgentWait of its arrival.
func startDeadline(cfg Config, r messenger.Request, meanRunTime time.Duration) time.Time {
	timeout := r.Deadline.Sub(r.Arrived)
	deadline := r.Deadline.Add(-min(reservedRunTimes*meanRunTime, timeout/2))
	urgentDeadline := r.Arrived.Add(cfg.UrgentWait)
	if r.IsUrgent() && urgentDeadline.Before(deadline) {
		return urgentDeadline
	}
	return deadline
}
