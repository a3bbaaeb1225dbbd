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

const (
	adviseMost     = 100                    // workers in one question, the platform's bound
	adviseAtOnce   = 2                      // questions of one instance at the advisor, which takes them in turn
	adviseLost     = 4 * time.Second        // a question without an answer for so long is asked again
	adviseRetry    = 100 * time.Millisecond // after a refused question
	permitReserve  = 150 * time.Millisecond // of a ticket's time, for the start to become durable and reach the worker
	adviseWeight   = 0.1                    // of one answer in the share of workers that the advisor lets through
	adviseLeast    = 0.05                   // least share that is reckoned with
	adviseFirst    = 0.5                    // share until there is an answer
	adviseCertain  = 0.95                   // largest share that is reckoned with
	adviseNone     = 0.02                   // share of steps for which a pool may lack a worker
	adviseMachines = 12                     // most machines that a pool keeps for the sake of the advisor
	aheadTimes     = 2                      // run times that a ticket must last to be asked for ahead
)

// permission is what the advisor said of one worker for a step.
type permission struct {
	life   int64 // of the worker; another life has to be asked for again
	ticket string
	until  time.Time // end of the ticket
	denied bool
}

// consent is what the advisor said of a step.
type consent struct {
	workers map[string]permission
	askedAt time.Time // of the question under way; zero: none
	via     string    // the instance that asks it
	retryAt time.Time
}

// With returns the consent after an answer.
func (c consent) With(workers map[string]permission) consent {
	all := maps.Clone(c.workers)
	if all == nil {
		all = make(map[string]permission, len(workers))
	}
	maps.Copy(all, workers)
	c.workers, c.askedAt, c.via = all, time.Time{}, ""
	return c
}

// ticket is a worker's valid ticket for the step, or empty.
func (c consent) ticket(now time.Time, w worker) string {
	p, ok := c.workers[w.ID]
	if !ok || p.denied || p.life != w.Life || !now.Before(p.until) {
		return ""
	}
	return p.ticket
}

// mayAsk tells whether the advisor's word on a worker may still be had.
func (c consent) mayAsk(w worker) bool {
	p, ok := c.workers[w.ID]
	return !ok || !p.denied || p.life != w.Life
}

// consents are what the advisor said of the steps that wait, and the share of
// workers that it lets through, by queue.
type consents struct {
	steps  map[registrar.TaskName]consent // by the step's first task
	shares map[string]float64
}

func (c consents) withStep(step registrar.TaskName, of consent) consents {
	c.steps = maps.Clone(c.steps)
	if c.steps == nil {
		c.steps = make(map[registrar.TaskName]consent)
	}
	c.steps[step] = of
	return c
}

func (c consents) share(queue string) float64 {
	share, ok := c.shares[queue]
	if !ok {
		return adviseFirst
	}
	return max(share, adviseLeast)
}

func (c consents) withShare(queue string, seen float64) consents {
	share := c.share(queue)
	shares := maps.Clone(c.shares)
	if shares == nil {
		shares = make(map[string]float64)
	}
	shares[queue] = share + adviseWeight*(seen-share)
	c.shares = shares
	return c
}

// machines is how many machines a pool should have, so that the advisor lets
// one of them run nearly every step of its queues.
func (c consents) machines(config registrar.Config, pool string) int {
	most := 0
	for _, q := range config.Queues {
		if q.Advice && q.Service == pool {
			most = max(most, int(math.Ceil(math.Log(adviseNone)/math.Log(1-min(c.share(q.Name), adviseCertain)))))
		}
	}
	return min(most, adviseMachines)
}

// underWay is the number of questions at the advisor by the instance that asks them.
func (c consents) underWay() map[string]int {
	n := make(map[string]int)
	for _, s := range c.steps {
		if !s.askedAt.IsZero() {
			n[s.via]++
		}
	}
	return n
}

// stepOf names the step of a candidate.
func (c *candidate) stepOf() registrar.TaskName {
	return registrar.TaskName{Job: c.job.ID, K: c.occurrence.K, Step: c.step}
}

// tendConsents forgets steps that wait no longer, and questions that were lost.
func (t *turn) tendConsents(p *placement) {
	for name, c := range t.consents.steps {
		switch {
		case !p.advised[name]:
			t.consents.steps = maps.Clone(t.consents.steps)
			delete(t.consents.steps, name)
		case !c.askedAt.IsZero() && t.now.Sub(c.askedAt) > adviseLost:
			c.askedAt = time.Time{}
			t.consents = t.consents.withStep(name, c)
		}
	}
}

// askAdvisor asks for workers for the steps that found too few with a ticket, in
// their order, and then for those that will be ready next.
func (t *turn) askAdvisor(p *placement) {
	if len(p.short) == 0 && len(p.ahead) == 0 {
		return
	}
	underWay := t.consents.underWay()
	for _, s := range slices.Concat(p.short, p.ahead) {
		via := t.asker(underWay)
		if underWay[via] >= adviseAtOnce {
			return
		}
		if t.ask(p, s, via) {
			underWay[via]++
		}
	}
}

// asker is the instance with the fewest questions at the advisor: it serves each in its turn.
func (t *turn) asker(underWay map[string]int) string {
	best := ""
	for _, via := range t.live {
		if underWay[via] < underWay[best] {
			best = via
		}
	}
	return best
}

// shortage is a step for which workers with a ticket are missing.
type shortage struct {
	candidate
	tasks int // that found none
}

// ask sends a question about a step, unless there is one or nobody to ask about.
func (t *turn) ask(p *placement, s shortage, via string) bool {
	name := s.stepOf()
	have := t.consents.steps[name]
	if !have.askedAt.IsZero() || t.now.Before(have.retryAt) {
		return false
	}
	step := s.job.Steps[s.step]
	workers := p.worthAsking(s, step, have, t.consents.share(s.job.Queue))
	if len(workers) == 0 {
		return false
	}
	have.askedAt, have.via = t.now, via
	t.consents = t.consents.withStep(name, have)
	t.tell(messenger.Decision{What: "advisorAsked", Job: name.Job, Pool: s.pool, Candidates: len(workers)})
	t.Send(messenger.Dispatcher, messenger.Advise{Job: name.Job, K: name.K, Step: name.Step, Workers: workers, Via: via})
	return true
}

// permits tells whether a worker that is there may run the step, now or later.
func (p *placement) permits(c *candidate) bool {
	have := p.consents.steps[c.stepOf()]
	return slices.ContainsFunc(p.slots[c.pool], func(s *slot) bool { return have.mayAsk(s.worker) })
}

// worthAsking are the workers that a step would go to, as many as probably give it room enough.
func (p *placement) worthAsking(s shortage, step registrar.Step, have consent, share float64) []string {
	room := step.Room()
	var open []*slot
	for _, slot := range p.slots[s.pool] {
		if slot.free.Holds(room) && have.mayAsk(slot.worker) && slot.meets(step) && have.ticket(p.now, slot.worker) == "" {
			open = append(open, slot)
		}
	}
	slices.SortStableFunc(open, func(a, b *slot) int {
		return cmp.Compare(b.score(step, registrar.Task{}, ""), a.score(step, registrar.Task{}, ""))
	})
	var out []string
	found := 0.0
	for _, slot := range open {
		if found >= float64(s.tasks) || len(out) >= adviseMost {
			break
		}
		out = append(out, slot.ID)
		found += share * float64(min(slot.free.Times(room), hardLimit(step)))
	}
	return out
}

// takeAdvice takes the advisor's answer.
func (t *turn) takeAdvice(a messenger.Advice) {
	name := registrar.TaskName{Job: a.Advise.Job, K: a.Advise.K, Step: a.Advise.Step}
	c, ok := t.consents.steps[name]
	if !ok || c.askedAt.IsZero() {
		return // the step is placed or over
	}
	t.dirty = true
	if !a.OK {
		c.askedAt, c.retryAt = time.Time{}, t.now.Add(adviseRetry)
		t.consents = t.consents.withStep(name, c)
		t.tell(messenger.Decision{What: "advisorSilent", Job: name.Job})
		return
	}
	until := t.now.Add(a.Valid - permitReserve)
	said := make(map[string]permission, len(a.Advise.Workers))
	for _, id := range a.Advise.Workers {
		w, _ := t.workers.Get(id)
		said[id] = permission{life: w.Life, denied: true}
	}
	for _, g := range a.Good {
		p, asked := said[g.Worker]
		if asked {
			said[g.Worker] = permission{life: p.life, ticket: g.Ticket, until: until}
		}
	}
	t.consents = t.consents.withStep(name, c.With(said))
	j, ok := t.view.Job(name.Job)
	if ok && len(a.Advise.Workers) > 0 && len(c.workers) == 0 { // later answers are about workers that were let through before
		t.consents = t.consents.withShare(j.Queue, float64(len(a.Good))/float64(len(a.Advise.Workers)))
	}
	t.tell(messenger.Decision{What: "advisorAnswered", Job: name.Job, Candidates: len(a.Good)})
}

// dropPermit forgets a ticket that a worker rejected.
func (t *turn) dropPermit(task registrar.TaskName, id string) {
	task.Index = 0
	c, ok := t.consents.steps[task]
	if !ok {
		return
	}
	workers := maps.Clone(c.workers)
	delete(workers, id)
	c.workers = workers
	t.consents = t.consents.withStep(task, c)
}
