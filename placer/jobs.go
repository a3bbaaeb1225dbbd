package placer

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	badJobThreshold = 3           // distinct endpoints on which a job must fail before it counts as bad
	badJobTTL       = time.Minute // time for which a bad job is refused
	maxJobs         = 1024        // maximum number of jobs in the history; bounds its memory
)

// jobRecord holds the failures of one job. All requests with the same digest, which
// covers method, path and body, are the same job.
type jobRecord struct {
	digest   string
	failedOn []string  // endpoints on which it has failed
	badUntil time.Time // requests are refused until this time
}

// jobHistory holds the last maxJobs jobs, by the time of their first failure. The
// placer uses it to distinguish a bad job, which fails on several endpoints, from a
// bad endpoint.
type jobHistory struct {
	byDigest *immutable.Map[string, jobRecord]
	order    *immutable.List[string] // digests, in the order of the first failure
}

func newJobHistory() jobHistory {
	return jobHistory{byDigest: immutable.NewMap[string, jobRecord](nil), order: immutable.NewList[string]()}
}

// isBad reports whether requests for a job are to be refused now.
func (j jobHistory) isBad(now time.Time, digest string) bool {
	record, ok := j.byDigest.Get(digest)
	return ok && now.Before(record.badUntil)
}

// withFailure records a failure of a job on an endpoint. If the job has now failed
// on at least badJobThreshold endpoints, it counts as bad, and withFailure returns
// all of them, so that the caller removes these failures from their health.
// A repeated failure on the same endpoint has no effect.
func (j jobHistory) withFailure(now time.Time, digest, instance string) (jobHistory, []string) {
	record, ok := j.byDigest.Get(digest)
	if !ok {
		record = jobRecord{digest: digest}
		j.order = j.order.Append(digest)
	}
	if slices.Contains(record.failedOn, instance) {
		return j, nil
	}
	record.failedOn = append(slices.Clone(record.failedOn), instance)
	var cleared []string
	if len(record.failedOn) >= badJobThreshold {
		record.badUntil = now.Add(badJobTTL)
		cleared = record.failedOn
	}
	j.byDigest = j.byDigest.Set(digest, record)
	for j.order.Len() > maxJobs {
		j.byDigest = j.byDigest.Delete(j.order.Get(0))
		j.order = j.order.Slice(1, j.order.Len())
	}
	return j, cleared
}

// withSuccess clears the failures of a job. A job that counted as bad no longer does.
func (j jobHistory) withSuccess(digest string) jobHistory {
	_, ok := j.byDigest.Get(digest)
	if ok {
		j.byDigest = j.byDigest.Set(digest, jobRecord{digest: digest})
	}
	return j
}
