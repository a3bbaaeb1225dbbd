package placer

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	poisonThreshold    = 3           // distinct endpoints on which a request must fail before it counts as poison
	poisonTTL          = time.Minute // time for which a poison request is refused
	maxTrackedRequests = 1024        // maximum number of requests in the history; bounds its memory
)

// requestRecord holds the failures of one request. Requests with the same digest, which
// covers method, path and body, count as the same request.
type requestRecord struct {
	digest      string
	failedOn    []string  // endpoints on which it has failed
	poisonUntil time.Time // the request is refused until this time
}

// failureHistory holds the last maxTrackedRequests failed requests, by the time of their
// first failure. The placer uses it to distinguish a poison request, which fails on
// several endpoints, from an endpoint that fails.
type failureHistory struct {
	byDigest *immutable.Map[string, requestRecord]
	order    *immutable.List[string] // digests, in the order of the first failure
}

func newFailureHistory() failureHistory {
	return failureHistory{byDigest: immutable.NewMap[string, requestRecord](nil), order: immutable.NewList[string]()}
}

// isPoison reports whether the request with this digest is to be refused now.
func (f failureHistory) isPoison(now time.Time, digest string) bool {
	record, ok := f.byDigest.Get(digest)
	return ok && now.Before(record.poisonUntil)
}

// withFailure records a failure of a request on an endpoint. If it has now failed
// on at least poisonThreshold endpoints, it counts as poison, and withFailure returns
// all of them, so that the caller removes these failures from their health.
// A repeated failure on the same endpoint has no effect.
func (f failureHistory) withFailure(now time.Time, digest, instance string) (failureHistory, []string) {
	record, ok := f.byDigest.Get(digest)
	if !ok {
		record = requestRecord{digest: digest}
		f.order = f.order.Append(digest)
	}
	if slices.Contains(record.failedOn, instance) {
		return f, nil
	}
	record.failedOn = append(slices.Clone(record.failedOn), instance)
	var cleared []string
	if len(record.failedOn) >= poisonThreshold {
		record.poisonUntil = now.Add(poisonTTL)
		cleared = record.failedOn
	}
	f.byDigest = f.byDigest.Set(digest, record)
	for f.order.Len() > maxTrackedRequests {
		f.byDigest = f.byDigest.Delete(f.order.Get(0))
		f.order = f.order.Slice(1, f.order.Len())
	}
	return f, cleared
}

// withSuccess clears the failures of a request, which then no longer counts as poison.
func (f failureHistory) withSuccess(digest string) failureHistory {
	_, ok := f.byDigest.Get(digest)
	if ok {
		f.byDigest = f.byDigest.Set(digest, requestRecord{digest: digest})
	}
	return f
}
