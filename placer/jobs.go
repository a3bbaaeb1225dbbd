package placer

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	badJobEndpoints = 3 // endpoints on which a job fails before it is the one at fault
	badJobTime      = time.Minute
	jobsKept        = 1024
)

// job is what is known of a request that failed.
type job struct {
	digest    string
	endpoints []string
	badUntil  time.Time
}

// jobs remembers the requests that failed last.
type jobs struct {
	byDigest *immutable.Map[string, job]
	order    *immutable.List[string]
}

func newJobs() jobs {
	return jobs{byDigest: immutable.NewMap[string, job](nil), order: immutable.NewList[string]()}
}

func (j jobs) isBad(now time.Time, digest string) bool {
	known, ok := j.byDigest.Get(digest)
	return ok && now.Before(known.badUntil)
}

// withFailure returns the endpoints to forgive once the job is found to be at fault.
func (j jobs) withFailure(now time.Time, digest, instance string) (jobs, []string) {
	known, ok := j.byDigest.Get(digest)
	if !ok {
		known = job{digest: digest}
		j.order = j.order.Append(digest)
	}
	if slices.Contains(known.endpoints, instance) {
		return j, nil
	}
	known.endpoints = append(slices.Clone(known.endpoints), instance)
	var forgive []string
	if len(known.endpoints) >= badJobEndpoints {
		known.badUntil = now.Add(badJobTime)
		forgive = known.endpoints
	}
	j.byDigest = j.byDigest.Set(digest, known)
	for j.order.Len() > jobsKept {
		j.byDigest = j.byDigest.Delete(j.order.Get(0))
		j.order = j.order.Slice(1, j.order.Len())
	}
	return j, forgive
}

func (j jobs) withSuccess(digest string) jobs {
	_, ok := j.byDigest.Get(digest)
	if ok {
		j.byDigest = j.byDigest.Set(digest, job{digest: digest})
	}
	return j
}
