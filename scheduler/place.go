package scheduler

import (
	"cmp"
	"slices"
	"time"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// candidate is a step with tasks that wait for a worker.
type candidate struct {
	job        registrar.Job
	occurrence registrar.Occurrence
	step       int
	waiting    []int // indices of its tasks
	priority   int
	lasting    bool
	late       bool
	due        time.Time     // the job's objective
	expected   time.Duration // of one of its tasks
	pool       string
	advised    bool // a start needs the advisor's ticket
}

// slot is a worker with the room that this placement leaves.
type slot struct {
	worker
	free    registrar.Room
	due     bool // its machine is due for upkeep
	filling int  // processors that the tasks that fill there would use
}

// placement is one pass over all that waits.
type placement struct {
	now       time.Time
	consents  consents
	advised   map[registrar.TaskName]bool   // steps that need tickets, ready or soon
	short     []shortage                    // of these, in the order of placement
	ahead     []shortage                    // steps that are not ready and only wait for tasks that run
	slots     map[string][]*slot            // by pool
	assigned  map[registrar.TaskName]string // worker of tasks whose assignment is proposed
	assigning map[string]bool               // jobs of these
	starts    []registrar.Start
	rooms     []run
	wanted    map[string]int            // processors of what could start now, by pool
	late      map[string]int            // of these, of jobs that cannot be in time any more
	unplaced  map[string]bool           // pools in which a task finds no worker, whatever room there is
	most      map[string]registrar.Room // no worker of a pool has more of any kind of room
	spread    map[string]int            // machines over which lasting tasks of one step go, by pool
}

// place assigns waiting tasks to workers.
func (t *turn) place() {
	p := &placement{now: t.now, consents: t.consents, advised: make(map[registrar.TaskName]bool), slots: t.slots(), assigned: make(map[registrar.TaskName]string), assigning: make(map[string]bool), wanted: make(map[string]int), late: make(map[string]int), spread: make(map[string]int), unplaced: make(map[string]bool)}
	p.most = mostFree(p.slots)
	for _, waits := range t.waits.All() {
		for _, w := range waits {
			p.note(w.starts)
		}
	}
	for _, q := range t.batch {
		p.note(q.waiting.starts)
	}
	candidates := make([]*candidate, 0, t.view.ActiveJobs())
	t.view.EachActive(func(j registrar.Job) {
		if j.Outcome != registrar.Active {
			t.stopJob(j)
			return
		}
		candidates = t.gather(p, j, candidates)
	})
	slices.SortStableFunc(candidates, compare)
	for _, c := range candidates {
		p.placeStep(c, t.term)
	}
	t.noteWanted(p)
	t.assign(p)
	t.tendConsents(p)
	t.askAdvisor(p)
}

// noteWanted keeps what each pool is asked for now: what runs and what could start.
func (t *turn) noteWanted(p *placement) {
	running := make(map[string]int)
	for _, w := range t.workers.All() {
		running[w.Service] += w.used.CPU + w.filling
		p.late[w.Service] += w.late
	}
	for _, pool := range t.view.Config().Pools {
		d := t.fleet.demands[pool.Name]
		d.running, d.late = running[pool.Name], p.late[pool.Name]
		d.wanted, d.spread, d.unplaced = p.wanted[pool.Name]+d.running, p.spread[pool.Name], p.unplaced[pool.Name]
		d.trend = d.trend.With(t.now, float64(d.wanted)/1000)
		t.fleet = t.fleet.withDemand(pool.Name, d)
	}
}

func (p *placement) note(starts []registrar.Start) {
	for _, s := range starts {
		p.assigned[s.Task] = s.Worker
		p.assigning[s.Task.Job] = true
	}
}

// compare orders steps: what lasts, what is urgent, what can still be in time, what is due first.
func compare(a, b *candidate) int {
	return cmp.Or(
		cmpBool(b.lasting, a.lasting),
		cmp.Compare(a.priority, b.priority),
		cmpBool(a.late, b.late),
		a.due.Compare(b.due),
	)
}

func cmpBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func (t *turn) slots() map[string][]*slot {
	out := make(map[string][]*slot)
	for _, w := range t.workers.All() {
		if !w.takesStarts(t.now) || t.fleet.reserves(w.ID) {
			continue
		}
		out[w.Service] = append(out[w.Service], &slot{worker: w, free: w.Capacity.Minus(w.used), filling: w.filling, due: t.fleet.due[w.ID]})
	}
	return out
}

// stopJob ends the runs of a job that was canceled or has failed.
func (t *turn) stopJob(j registrar.Job) {
	eachTask(j, func(name registrar.TaskName, task registrar.Task) {
		if task.Phase != registrar.Running {
			return
		}
		w, ok := t.workers.Get(task.Worker)
		if !ok {
			return
		}
		i := w.find(name)
		if i >= 0 && w.runs[i].committed && !w.runs[i].stopping && !w.runs[i].ending {
			t.stop(w, w.runs[i], "its job is over")
		}
	})
}

// gather adds the steps of a job that wait for workers.
func (t *turn) gather(p *placement, j registrar.Job, out []*candidate) []*candidate {
	pool, priority, objective := j.Service, 0, time.Duration(0)
	stretch, advised := 1.0, false
	q, ok := t.view.Config().Queue(j.Queue)
	if ok {
		pool, priority, objective, stretch, advised = q.Service, q.Priority, q.Objective, max(q.Stretch, 1), q.Advice
	}
	for k := range j.Occurrences() {
		due := j.DueAt(k)
		if due.After(t.now) {
			break
		}
		o, open := j.Occurrence(k)
		if !open {
			continue
		}
		p.noteSpread(pool, j, o)
		if !advised && !mayWait(j, o) {
			continue
		}
		if due.IsZero() {
			due = time.Unix(0, j.Accepted)
		}
		due = due.Add(time.Duration(stretch*float64(t.chain(j, registrar.Occurrence{}))) + objective)
		late := t.now.Add(t.chain(j, o)).After(due)
		for i, s := range j.Steps {
			if o.Open[i] == 0 {
				continue
			}
			c := &candidate{job: j, occurrence: o, step: i, priority: priority, lasting: s.Lasting, late: late, due: due, expected: t.expected(j.Queue, s), pool: pool, advised: advised}
			if !o.IsReady(s) {
				if advised && isNear(o, s) && q.AdviceLife > aheadTimes*c.expected {
					p.advised[c.stepOf()] = true
					p.ahead = append(p.ahead, shortage{candidate: *c, tasks: s.Count})
				}
				continue
			}
			for index, task := range o.Steps[i] {
				if task.Phase == registrar.Waiting && p.assignee(c, index) == "" {
					c.waiting = append(c.waiting, index)
				}
			}
			p.wanted[pool] += len(c.waiting) * s.CPU
			if c.late && !s.Lasting {
				p.late[pool] += len(c.waiting) * s.CPU
			}
			if len(c.waiting) > 0 {
				p.advised[c.stepOf()] = advised
				out = append(out, c)
			}
		}
	}
	return out
}

// mayWait tells whether a task of a step that is ready may have no worker yet.
// Of jobs with several occurrences it always says so.
func mayWait(j registrar.Job, o registrar.Occurrence) bool {
	open := 0
	for i, s := range j.Steps {
		if o.Open[i] > 0 && o.IsReady(s) {
			open += o.Open[i]
		}
	}
	return j.Times > 1 || open > j.Running
}

// noteSpread notes over how many machines the lasting steps of a job that are ready go.
func (p *placement) noteSpread(pool string, j registrar.Job, o registrar.Occurrence) {
	for i, s := range j.Steps {
		if s.Lasting && o.Open[i] > 0 && o.IsReady(s) {
			most := min(hardLimit(s), softLimit(s))
			p.spread[pool] = max(p.spread[pool], (s.Count+most-1)/most)
		}
	}
}

// isNear tells whether a step only waits for tasks that run already.
func isNear(o registrar.Occurrence, s registrar.Step) bool {
	for _, before := range s.After {
		for _, task := range o.Steps[before] {
			if task.Phase == registrar.Waiting {
				return false
			}
		}
	}
	return true
}

// chain is the longest chain of a job's steps that are not done in an occurrence, by what their tasks should take.
func (t *turn) chain(j registrar.Job, o registrar.Occurrence) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, s := range j.Steps {
		begin := time.Duration(0)
		for _, before := range s.After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin
		if i >= len(o.Open) || o.Open[i] > 0 {
			ends[i] += t.expected(j.Queue, s)
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// assignee is the worker of a task whose assignment is proposed, or empty.
func (p *placement) assignee(c *candidate, index int) string {
	if !p.assigning[c.job.ID] {
		return ""
	}
	name := c.stepOf()
	name.Index = index
	return p.assigned[name]
}

// placeStep finds workers for the tasks of a step. A gang is placed whole or not at all.
func (p *placement) placeStep(c *candidate, term uint64) {
	step := c.job.Steps[c.step]
	room := step.Room()
	tasks := c.occurrence.Steps[c.step]
	if step.Gang && len(c.waiting) < step.Count {
		return
	}
	if !p.most[c.pool].Holds(room) {
		p.unplaced[c.pool] = p.unplaced[c.pool] || step.Lasting
		return
	}
	number := 0
	if step.Gang {
		for _, task := range tasks {
			number = max(number, task.Run+1)
		}
	}
	here := p.placesOf(c)
	rack := ""
	before := len(p.starts)
	var s *slot
	for n, index := range c.waiting {
		task := tasks[index]
		if !staysBest(s, step, task, here) {
			s = p.choose(c, step, task, room, here, rack)
		}
		if s == nil {
			if c.advised {
				p.short = append(p.short, shortage{candidate: *c, tasks: len(c.waiting) - n})
			}
			if step.Gang {
				p.undo(before)
			}
			if step.Lasting || (c.advised && !p.permits(c)) {
				p.unplaced[c.pool] = true
			}
			return
		}
		s.free = s.free.Minus(room)
		if step.Fills {
			s.filling += step.CPU
		}
		here[s.ID]++
		if step.SameRack && rack == "" {
			rack = s.Rack()
		}
		name := registrar.TaskName{Job: c.job.ID, K: c.occurrence.K, Step: c.step, Index: index}
		run := max(task.Run+1, number)
		p.starts = append(p.starts, registrar.Start{Task: name, Run: run, Worker: s.ID, Life: s.Life, Term: term})
		r := runOf(c.job, name, run)
		r.late = c.late && !step.Lasting
		r.expected = c.expected
		r.permit = p.consents.steps[c.stepOf()].ticket(p.now, s.worker)
		p.rooms = append(p.rooms, r)
	}
}

// placesOf counts the runs of a step by worker.
func (p *placement) placesOf(c *candidate) map[string]int {
	here := make(map[string]int)
	for index, task := range c.occurrence.Steps[c.step] {
		worker := p.assignee(c, index)
		if task.Phase == registrar.Running {
			worker = task.Worker
		}
		if worker != "" {
			here[worker]++
		}
	}
	return here
}

// staysBest tells whether the worker that a step's last task went to is the best
// for the next one too: the fullest with room is fuller now.
func staysBest(s *slot, step registrar.Step, task registrar.Task, here map[string]int) bool {
	return s != nil && !step.Lasting && !step.Fills && task.Fails == 0 && s.free.Holds(step.Room()) && here[s.ID] < hardLimit(step)
}

// undo gives back what a gang that could not be placed whole had taken.
func (p *placement) undo(to int) {
	for i, start := range p.starts[to:] {
		for _, slots := range p.slots {
			for _, s := range slots {
				if s.ID == start.Worker {
					s.free = s.free.Plus(p.rooms[to+i].room)
					if p.rooms[to+i].fills {
						s.filling -= p.rooms[to+i].load
					}
				}
			}
		}
	}
	p.starts, p.rooms = p.starts[:to], p.rooms[:to]
	p.most = mostFree(p.slots) // what it gave back may be enough for others
}

// choose returns the best worker for a task: near its data, not where it failed,
// and for short work the fullest that has room, so that others stay empty.
func (p *placement) choose(c *candidate, step registrar.Step, task registrar.Task, room registrar.Room, here map[string]int, rack string) *slot {
	if !p.most[c.pool].Holds(room) {
		return nil
	}
	var best *slot
	bestScore := 0.0
	fits := false
	free := registrar.Room{}
	most := hardLimit(step)
	said := p.consents.steps[c.stepOf()]
	for _, s := range p.slots[c.pool] {
		free = free.Max(s.free)
		if !s.free.Holds(room) {
			continue
		}
		fits = true
		if here[s.ID] >= most || !s.meets(step) || (step.Fills && !s.holdsFill(step)) {
			continue
		}
		if c.advised && said.ticket(p.now, s.worker) == "" {
			continue
		}
		score := s.score(step, task, rack)
		if step.Lasting && here[s.ID] >= softLimit(step) {
			score -= weightCrowd
		}
		if best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	if !fits {
		p.most[c.pool] = free
	}
	return best
}

// mostFree is, for each pool, the most of each kind of room that a worker has.
func mostFree(pools map[string][]*slot) map[string]registrar.Room {
	out := make(map[string]registrar.Room, len(pools))
	for pool, slots := range pools {
		most := registrar.Room{}
		for _, s := range slots {
			most = most.Max(s.free)
		}
		out[pool] = most
	}
	return out
}

// lastingMachines is the least number of workers for the tasks of a step that lasts.
const lastingMachines = 3

// hardLimit is how many tasks of a step may be on one worker.
func hardLimit(step registrar.Step) int {
	if step.Spread > 0 {
		return min(step.Count, step.Spread)
	}
	return step.Count
}

// softLimit is how many tasks of a step that lasts should be on one worker, so
// that a worker that is lost takes only a part with it.
func softLimit(step registrar.Step) int {
	return (step.Count + lastingMachines - 1) / lastingMachines
}

// Weights of what speaks for and against a worker, against a share of its processors.
const (
	weightTogether = 1.0 // what lasts goes together, so that other machines can move
	weightCrowd    = 3.0
	weightRack     = 2.0
	weightFailed   = 4.0
	weightFails    = 1.0
	weightDue      = 3.5 // what lasts would have to go again
	weightServes   = 1.0 // tasks that fill and tasks that serve disturb each other
)

// meets tells whether a worker has the label that a step asks for.
func (w worker) meets(step registrar.Step) bool {
	return step.Requires == "" || slices.Contains(w.Labels, step.Requires)
}

func (s *slot) score(step registrar.Step, task registrar.Task, rack string) float64 {
	score := -float64(s.free.CPU) / float64(max(s.Capacity.CPU, 1))
	if step.Fills {
		score = s.scoreFill()
	}
	if step.Target > 0 && s.filling > 0 {
		score -= weightServes
	}
	if step.Lasting && s.due {
		score -= weightDue
	}
	if step.Lasting && !step.Fills && slices.ContainsFunc(s.runs, func(r run) bool { return r.lasting }) {
		score += weightTogether
	}
	if (step.DataRack != "" && s.Rack() == step.DataRack) || (rack != "" && s.Rack() == rack) {
		score += weightRack
	}
	if task.Fails > 0 && task.Worker == s.ID {
		score -= weightFailed
	}
	return score - weightFails*s.failRate
}

// assign proposes the starts of a placement, and takes their room at once.
func (t *turn) assign(p *placement) {
	if len(p.starts) == 0 {
		return
	}
	given := make(map[string][]run)
	for i, start := range p.starts {
		w, _ := t.workers.Get(start.Worker)
		given[w.ID] = append(given[w.ID], p.rooms[i])
		t.tell(messenger.Decision{What: "assigned", Job: start.Task.Job, Run: start.Run, Instance: start.Worker, Pool: w.Service, Age: t.now.Sub(w.answeredAt)})
	}
	for id, runs := range given {
		w, _ := t.workers.Get(id)
		t.set(w.WithRuns(runs))
	}
	t.propose(registrar.Command{Starts: p.starts}, waiting{starts: p.starts})
}
