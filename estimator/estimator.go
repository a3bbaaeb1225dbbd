// Package estimator decides whether a submitted job can be served in time. It derives the wait of the job from the work
// that its pool has accepted and from the capacity of the pool. It uses neither a clock nor random numbers.
package estimator

import (
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	// MinRunTimeShare is the share of its expected run time that a task takes at least, while only the caller's estimate is
	// known: by the customers' specification, an estimate is wrong by up to 0.9.
	MinRunTimeShare = 0.1
	// WorthlessAfter is the multiple of its allowed time after which a job that completes is worth nothing to its caller.
	// Earlier refusals would also meet jobs that the pool still serves late, and those of a team whose own large job is behind.
	WorthlessAfter = 3
	// refuseMargin is the hysteresis. A queue starts to refuse jobs once the wait of one exceeds its limit by this factor,
	// and then refuses all jobs beyond the limit itself.
	refuseMargin = 1.1

	minRetryAfter = time.Second      // the header Retry-After counts whole seconds
	maxRetryAfter = 10 * time.Second // the capacity that machine moves and ending peaks bring is unknown beyond this time
	// Retries are spread over half of the delay, and over at least this number of whole seconds. Later retries meet the
	// next peak under the load "turns".
	minChoices = 2
)

// Work is the work of one team and one priority in a pool.
type Work struct {
	Team        string
	Priority    int
	CoreSeconds float64
}

// Backlog is the work that waits or runs in a pool.
type Backlog struct{ works []Work }

// NewBacklog returns the backlog with the given work, one entry for each team and priority.
func NewBacklog(works []Work) Backlog { return Backlog{works: works} }

// With returns the backlog with more work.
func (b Backlog) With(added Work) Backlog {
	i := slices.IndexFunc(b.works, func(w Work) bool { return w.Team == added.Team && w.Priority == added.Priority })
	b.works = slices.Clone(b.works)
	if i < 0 {
		b.works = append(b.works, added)
		return b
	}
	b.works[i].CoreSeconds += added.CoreSeconds
	return b
}

// before returns the core-seconds that go before a new job: those of its own and of more urgent priorities. If the job's
// team has less than its share of them, they are what goes before it when the pool is shared by weight. So a team is not
// refused for the work of another that sends too much.
func (b Backlog) before(j Job) float64 {
	total, own, weights := 0.0, 0.0, j.weightOf(j.Team)
	counted := map[string]bool{j.Team: true}
	for _, w := range b.works {
		if w.Priority > j.Priority || w.CoreSeconds <= 0 {
			continue
		}
		total += w.CoreSeconds
		if w.Team == j.Team {
			own += w.CoreSeconds
		}
		if !counted[w.Team] {
			counted[w.Team] = true
			weights += j.weightOf(w.Team)
		}
	}
	if j.weightOf(j.Team) <= 0 {
		return total
	}
	return min(total, own*weights/j.weightOf(j.Team))
}

// Pool is the state of a pool.
type Pool struct {
	Backlog   Backlog
	Cores     float64       // that its workers have now
	SoonCores float64       // that machines on their way add
	SoonIn    time.Duration // time until they do
}

// wait returns the time in which the pool does the given work.
func (p Pool) wait(coreSeconds float64) time.Duration {
	now := p.Cores * p.SoonIn.Seconds()
	switch {
	case coreSeconds <= 0:
		return 0
	case coreSeconds <= now:
		return seconds(coreSeconds / p.Cores)
	}
	return p.SoonIn + seconds((coreSeconds-now)/(p.Cores+p.SoonCores))
}

// seconds returns a duration of at most an hour, so that a wait in a pool with hardly any capacity does not overflow.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, 3600) * float64(time.Second))
}

// Job is a job that is submitted.
type Job struct {
	ID       string
	Team     string
	Weights  map[string]float64 // of the teams
	Priority int
	Chain    time.Duration // expected run time of its longest chain of steps
	Allowed  time.Duration // time within which it should complete
}

// weightOf returns the weight of a team, or 1 if it is not configured.
func (j Job) weightOf(team string) float64 {
	weight, ok := j.Weights[team]
	if !ok {
		return 1
	}
	return weight
}

// limit returns the wait beyond which the job may be refused: it would be worth nothing when it completes.
func (j Job) limit() time.Duration { return max(WorthlessAfter*j.Allowed-j.Chain, 0) }

// Verdict is the decision on a job.
type Verdict struct {
	Refused    bool
	Wait       time.Duration // expected time until the pool has done the work that it has accepted
	Limit      time.Duration // wait beyond which the job is refused
	RetryAfter time.Duration // set if the job is refused
}

// Decide returns whether a job is refused, because the pool cannot serve it in time beside the jobs that it has accepted.
// refusing is whether the last job of its queue was refused. A job is accepted if the pool's capacity is unknown.
func Decide(p Pool, j Job, refusing bool) Verdict {
	if p.Cores <= 0 {
		return Verdict{}
	}
	v := Verdict{Wait: p.wait(p.Backlog.before(j))}
	limit := j.limit()
	if !refusing {
		limit = time.Duration(float64(limit) * refuseMargin)
	}
	v.Limit = limit
	if v.Wait <= limit {
		return v
	}
	v.Refused = true
	v.RetryAfter = retryAfter(j, v.Wait)
	return v
}

// retryAfter returns the time until the pool has done enough work to accept the job, in whole seconds as in the header
// Retry-After, plus a spread. The spread depends on the job's ID only, so that callers who are refused at one time return
// at different times.
func retryAfter(j Job, wait time.Duration) time.Duration {
	delay := min(max(wait-j.limit(), minRetryAfter), maxRetryAfter).Truncate(time.Second)
	h := fnv.New32a()
	_, _ = h.Write([]byte(j.ID)) // never fails
	choices := max(uint32(delay/(2*time.Second)), minChoices)
	return delay + time.Duration(h.Sum32()%choices)*time.Second
}
