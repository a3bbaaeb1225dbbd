package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// Limits of the queries to the advisor, and of the estimates from its answers. The advisor is a service
// outside this program that decides which workers may run a step of a queue with Queue.Advice set. It
// issues a ticket for each approved worker, and the worker starts a task only with a valid ticket.
const (
	maxAdviceWorkers     = 100                    // maximum number of workers in one query, a limit of the platform
	maxConcurrentQueries = 2                      // maximum number of queries of one instance in flight; the advisor handles those of one instance one after another
	adviceTimeout        = 4 * time.Second        // a query without an answer for this time is sent again
	adviceRetryDelay     = 100 * time.Millisecond // delay before a refused or failed query is sent again
	ticketMargin         = 150 * time.Millisecond // subtracted from the validity of a ticket: time to commit the start and send it to the worker
	approvalRateWeight   = 0.1                    // weight of one answer in the moving average of the approval rate
	minApprovalRate      = 0.05                   // lower bound of the approval rate in estimates
	initialApprovalRate  = 0.5                    // assumed before the first answer
	maxApprovalRate      = 0.95                   // upper bound of the approval rate in estimates
	maxUnapprovedShare   = 0.02                   // share of steps that may have no approved worker in their pool
	maxAdviceMachines    = 12                     // upper bound of minMachines: machines that a pool keeps to have an approved worker
	minTicketRunTimes    = 2                      // a ticket is requested before its step is ready only if its validity exceeds this many run times
)

// workerAdvice is the advisor's answer about one worker for a step.
type workerAdvice struct {
	incarnation int64 // of the worker; the answer is not valid for another incarnation
	ticket      string
	validUntil  time.Time // end of the ticket's validity
	denied      bool
}

// stepAdvice holds the advisor's answers for a step, and the state of the query for it.
type stepAdvice struct {
	workers   map[string]workerAdvice
	queriedAt time.Time // time of the query in flight; zero: none
	instance  string    // instance that sends the query; empty: this one
	retryAt   time.Time // no query before this time
}

// With returns the advice with answers about workers added, and without a query in flight.
func (a stepAdvice) With(workers map[string]workerAdvice) stepAdvice {
	merged := maps.Clone(a.workers)
	if merged == nil {
		merged = make(map[string]workerAdvice, len(workers))
	}
	maps.Copy(merged, workers)
	a.workers, a.queriedAt, a.instance = merged, time.Time{}, ""
	return a
}

// validTicket returns a worker's valid ticket for the step, or "".
func (a stepAdvice) validTicket(now time.Time, w worker) string {
	answer, ok := a.workers[w.ID]
	if !ok || answer.denied || answer.incarnation != w.Incarnation || !now.Before(answer.validUntil) {
		return ""
	}
	return answer.ticket
}

// canQuery reports whether the advisor may be queried about a worker. It may not if it has denied
// the worker's current incarnation.
func (a stepAdvice) canQuery(w worker) bool {
	answer, ok := a.workers[w.ID]
	return !ok || !answer.denied || answer.incarnation != w.Incarnation
}

// adviceCache caches the advisor's answers for the waiting steps, and the share of workers
// that it approves, by queue.
type adviceCache struct {
	steps         map[registrar.TaskID]stepAdvice // by the ID of the step's first task
	approvalRates map[string]float64
}

func (c adviceCache) withStep(step registrar.TaskID, advice stepAdvice) adviceCache {
	c.steps = maps.Clone(c.steps)
	if c.steps == nil {
		c.steps = make(map[registrar.TaskID]stepAdvice)
	}
	c.steps[step] = advice
	return c
}

// approvalRate returns the expected share of workers that the advisor approves for a queue's steps, 0 to 1.
func (c adviceCache) approvalRate(queue string) float64 {
	rate, ok := c.approvalRates[queue]
	if !ok {
		return initialApprovalRate
	}
	return max(rate, minApprovalRate)
}

// withApprovalRate returns the cache with an observed approval rate added to the moving average.
func (c adviceCache) withApprovalRate(queue string, observed float64) adviceCache {
	rate := c.approvalRate(queue)
	rates := maps.Clone(c.approvalRates)
	if rates == nil {
		rates = make(map[string]float64)
	}
	rates[queue] = rate + approvalRateWeight*(observed-rate)
	c.approvalRates = rates
	return c
}

// minMachines returns how many machines a pool needs so that the advisor probably approves the worker
// of at least one for a step, at most maxAdviceMachines. Unless that limit applies, the probability
// that it approves none is at most maxUnapprovedShare, for each queue of the pool that needs advice.
func (c adviceCache) minMachines(config registrar.Config, pool string) int {
	machines := 0
	for _, q := range config.Queues {
		if q.Advice && q.Pool == pool {
			machines = max(machines, int(math.Ceil(math.Log(maxUnapprovedShare)/math.Log(1-min(c.approvalRate(q.Name), maxApprovalRate)))))
		}
	}
	return min(machines, maxAdviceMachines)
}

// pendingQueries returns the number of queries in flight, by the instance that sends them.
func (c adviceCache) pendingQueries() map[string]int {
	queries := make(map[string]int)
	for _, s := range c.steps {
		if !s.queriedAt.IsZero() {
			queries[s.instance]++
		}
	}
	return queries
}

// stepID returns the ID of the step's first task, which identifies the step.
func (c *candidate) stepID() registrar.TaskID {
	return registrar.TaskID{Job: c.job.ID, Occurrence: c.occurrence.Number, Step: c.step}
}

// pruneAdvice removes steps that no longer need advice, and abandons queries that have timed out.
func (t *transition) pruneAdvice(p *placement) {
	for step, advice := range t.advice.steps {
		switch {
		case !p.adviceSteps[step]:
			t.advice.steps = maps.Clone(t.advice.steps)
			delete(t.advice.steps, step)
		case !advice.queriedAt.IsZero() && t.now.Sub(advice.queriedAt) > adviceTimeout:
			advice.queriedAt = time.Time{}
			t.advice = t.advice.withStep(step, advice)
		}
	}
}

// queryAdvisor queries the advisor for the steps with too few approved workers, in the order of
// placement, and then for the steps that will be ready next.
func (t *transition) queryAdvisor(p *placement) {
	if len(p.unapproved) == 0 && len(p.upcoming) == 0 {
		return
	}
	pending := t.advice.pendingQueries()
	for _, s := range slices.Concat(p.unapproved, p.upcoming) {
		instance := t.selectQueryInstance(pending)
		if pending[instance] >= maxConcurrentQueries {
			return
		}
		if t.queryStep(p, s, instance) {
			pending[instance]++
		}
	}
}

// selectQueryInstance returns the instance with the fewest queries in flight, or "" for this
// instance. The advisor handles the queries of one instance one after another, so several
// instances get answers sooner.
func (t *transition) selectQueryInstance(pending map[string]int) string {
	best := ""
	for _, instance := range t.delegates {
		if pending[instance] < pending[best] {
			best = instance
		}
	}
	return best
}

// shortage is a step with fewer approved workers than it needs.
type shortage struct {
	candidate
	unassigned int // tasks without an approved worker
}

// queryStep sends a query for a step and reports whether it did. It sends none while one is in
// flight, before the retry time, or if there is no worker to query about.
func (t *transition) queryStep(p *placement, s shortage, instance string) bool {
	stepID := s.stepID()
	advice := t.advice.steps[stepID]
	if !advice.queriedAt.IsZero() || t.now.Before(advice.retryAt) {
		return false
	}
	step := s.job.Steps[s.step]
	workers := p.workersToQuery(s, step, advice, t.advice.approvalRate(s.job.Queue))
	if len(workers) == 0 {
		return false
	}
	advice.queriedAt, advice.instance = t.now, instance
	t.advice = t.advice.withStep(stepID, advice)
	t.logDecision(messenger.Decision{Event: "advisorAsked", Job: stepID.Job, Pool: s.pool, Candidates: len(workers)})
	t.Send(messenger.Dispatcher, messenger.AdviceRequest{Job: stepID.Job, Occurrence: stepID.Occurrence, Step: stepID.Step, Workers: workers, Delegate: instance})
	return true
}

// hasPermissibleWorker reports whether a worker of the pool is approved for the step or may still be approved.
func (p *placement) hasPermissibleWorker(c *candidate) bool {
	advice := p.advice.steps[c.stepID()]
	return slices.ContainsFunc(p.workersByPool[c.pool], func(w *availableWorker) bool { return advice.canQuery(*w.worker) })
}

// workersToQuery returns the workers to query the advisor about for a step, the best first. These
// workers are not denied, have no valid ticket and fit the step. There are at most
// maxAdviceWorkers of them, and no more than it takes until those that the advisor is expected to
// approve can run the unassigned tasks.
func (p *placement) workersToQuery(s shortage, step registrar.Step, advice stepAdvice, approvalRate float64) []string {
	resources := step.Request()
	var eligible []*availableWorker
	for _, w := range p.workersByPool[s.pool] {
		if w.free.Fits(resources) && advice.canQuery(*w.worker) && w.hasRequiredLabel(step) && advice.validTicket(p.now, *w.worker) == "" {
			eligible = append(eligible, w)
		}
	}
	slices.SortStableFunc(eligible, func(a, b *availableWorker) int {
		return cmp.Compare(b.scoreFor(step, registrar.Task{}, ""), a.scoreFor(step, registrar.Task{}, ""))
	})
	var workers []string
	expectedTasks := 0.0
	for _, w := range eligible {
		if expectedTasks >= float64(s.unassigned) || len(workers) >= maxAdviceWorkers {
			break
		}
		workers = append(workers, w.ID)
		expectedTasks += approvalRate * float64(min(w.free.CountFitting(resources), maxTasksPerWorker(step)))
	}
	return workers
}

// handleAdvice handles the advisor's answer to a query.
func (t *transition) handleAdvice(a messenger.AdviceReply) {
	stepID := registrar.TaskID{Job: a.Request.Job, Occurrence: a.Request.Occurrence, Step: a.Request.Step}
	advice, ok := t.advice.steps[stepID]
	if !ok || advice.queriedAt.IsZero() {
		return // the step no longer needs advice, or the query was abandoned
	}
	t.dirty = true
	if !a.OK {
		advice.queriedAt, advice.retryAt = time.Time{}, t.now.Add(adviceRetryDelay)
		t.advice = t.advice.withStep(stepID, advice)
		t.logDecision(messenger.Decision{Event: "advisorSilent", Job: stepID.Job})
		return
	}
	validUntil := t.now.Add(a.Valid - ticketMargin)
	answers := make(map[string]workerAdvice, len(a.Request.Workers))
	for _, id := range a.Request.Workers {
		w, _ := t.workers.Get(id)
		answers[id] = workerAdvice{incarnation: w.Incarnation, denied: true}
	}
	for _, permit := range a.Permits {
		answer, queried := answers[permit.Worker]
		if queried {
			answers[permit.Worker] = workerAdvice{incarnation: answer.incarnation, ticket: permit.Ticket, validUntil: validUntil}
		}
	}
	t.advice = t.advice.withStep(stepID, advice.With(answers))
	j, ok := t.committed.Job(stepID.Job)
	if ok && len(a.Request.Workers) > 0 && len(advice.workers) == 0 { // later answers are biased: they cover workers that were approved before, and none that were denied
		t.advice = t.advice.withApprovalRate(j.Queue, float64(len(a.Permits))/float64(len(a.Request.Workers)))
	}
	t.logDecision(messenger.Decision{Event: "advisorAnswered", Job: stepID.Job, Candidates: len(a.Permits)})
}

// dropTicket removes a ticket that a worker rejected, so that the advisor is queried again.
func (t *transition) dropTicket(task registrar.TaskID, worker string) {
	task.Index = 0
	advice, ok := t.advice.steps[task]
	if !ok {
		return
	}
	workers := maps.Clone(advice.workers)
	delete(workers, worker)
	advice.workers = workers
	t.advice = t.advice.withStep(task, advice)
}
