package placer

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"laburnumwind/messenger"
)

const (
	poisonThreshold    = 3           // distinct endpoints on which a request must fail before it counts as poison
	poisonTTL          = time.Minute // time for which a poison request is refused
	maxTrackedRequests = 1024        // maximum number of requests in the history; bounds its memory
)

// requestKey identifies a request in the history. Equal requests of one customer to one service count as the same.
func requestKey(r messenger.Request) string {
	return r.Service + "\x00" + r.Customer + "\x00" + r.Digest
}

// requestRecord holds the failures of one request.
type requestRecord struct {
	key         string
	failedOn    []string  // endpoints on which it has failed
	poisonUntil time.Time // the request is refused until this time
}

// failureHistory holds the last maxTrackedRequests failed requests, by the time of their
// first failure. The placer uses it to distinguish a poison request, which fails on
// several endpoints, from an endpoint that fails.
type failureHistory struct {
	byKey *immutable.Map[string, requestRecord]
	order *immutable.List[string] // keys, in the order of the first failure
}

func newFailureHistory() failureHistory {
	return failureHistory{byKey: immutable.NewMap[string, requestRecord](nil), order: immutable.NewList[string]()}
}

// isPoison reports whether the request with this key is to be refused now.
func (f failureHistory) isPoison(now time.Time, key string) bool {
	record, ok := f.byKey.Get(key)
	return ok && now.Before(record.poisonUntil)
}

// withFailure records a failure of a request on an endpoint. If it has now failed
// on at least poisonThreshold endpoints, it counts as poison, and withFailure returns
// those whose failures the caller has not yet removed from their health. A repeated
// failure on the same endpoint has no effect, unless the request has ceased to count
// as poison meanwhile: then its failures count anew.
func (f failureHistory) withFailure(now time.Time, key, instance string) (failureHistory, []string) {
	record, ok := f.byKey.Get(key)
	if !ok {
		record = requestRecord{key: key}
		f.order = f.order.Append(key)
	}
	if !record.poisonUntil.IsZero() && !now.Before(record.poisonUntil) {
		record.failedOn, record.poisonUntil = nil, time.Time{}
	}
	if slices.Contains(record.failedOn, instance) {
		return f, nil
	}
	record.failedOn = append(slices.Clone(record.failedOn), instance)
	var cleared []string
	switch {
	case len(record.failedOn) == poisonThreshold:
		cleared = record.failedOn
	case len(record.failedOn) > poisonThreshold:
		cleared = []string{instance}
	}
	if cleared != nil {
		record.poisonUntil = now.Add(poisonTTL)
	}
	f.byKey = f.byKey.Set(key, record)
	for f.order.Len() > maxTrackedRequests {
		f.byKey = f.byKey.Delete(f.order.Get(0))
		f.order = f.order.Slice(1, f.order.Len())
	}
	return f, cleared
}

// withSuccess clears the failures of a request, which then no longer counts as poison.
func (f failureHistory) withSuccess(key string) failureHistory {
	_, ok := f.byKey.Get(key)
	if ok {
		f.byKey = f.byKey.Set(key, requestRecord{key: key})
	}
	return f
}
