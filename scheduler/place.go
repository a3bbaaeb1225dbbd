package scheduler

import (
	"cmp"
	"slices"
	"time"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// candidate is a step that is ready and has tasks without a worker.
type candidate struct {
	job             registrar.Job
	occurrence      registrar.Occurrence
	step            int
	waiting         []int // indices of the tasks without a worker
	priority        int
	longRunning     bool
	late            bool          // the job can no longer meet its objective
	dueAt           time.Time     // the job must complete by then to meet its objective
	expectedRunTime time.Duration // of one task
	restOfPath      time.Duration // expected run time of the steps that follow
	pool            string
	avoidedRacks    map[string]bool // racks on which its tasks do not start
	needsAdvice     bool            // a start needs a ticket from the advisor
	shareRank       int             // rank of the use of its team, the lowest first; zero unless the pool is short of capacity
	advanced        bool            // a late step that comes first now, so that it does not wait for ever
}

// availableWorker is a worker that accepts starts, with the resources that the placement leaves free.
type availableWorker struct {
	*worker              // not changed by the placement
	free                 registrar.Resources
	maintenanceDue       bool // the maintenance of its machine is due
	plannedBestEffortCPU int  // CPU demand of its best-effort tasks, those of the placement included, in thousandths of a core
}

// placement is the state of one placement pass over all tasks that wait for a worker.
type placement struct {
	now            time.Time
	advice         adviceCache
	adviceSteps    map[registrar.TaskID]bool     // steps that need tickets now or soon
	unapproved     []shortage                    // ready steps with too few approved workers, in the order of placement
	upcoming       []shortage                    // steps that are not ready and wait only for running tasks
	workersByPool  map[string][]*availableWorker // workers that accept starts
	assigned       map[registrar.TaskID]string   // worker of each task whose assignment is proposed but not yet committed
	assigningJobs  map[string]bool               // jobs with tasks in assigned
	starts         []registrar.Start
	runs           []run                          // the run of each start, in the same order
	waitingCPU     map[string]int                 // CPU demand of the tasks that could start now, in thousandths of a core, by pool
	lateCPU        map[string]int                 // CPU demand of late work, running or waiting, in thousandths of a core, by pool
	work           map[workKey]float64            // core-seconds of the backlog; nil: not recorded
	needsMachine   map[string]bool                // pools in which no worker can take a long-running task, or the advisor has denied all workers for a step
	maxFree        map[string]registrar.Resources // upper bounds of the resources that one worker has free, by pool
	spreadMachines map[string]int                 // number of machines needed to spread the long-running tasks of one step, by pool
	teams          *teamPass                      // nil without teams
	locality       locality
	candidates     []*candidate // the steps with waiting tasks, in the order of placement; their limits have removed tasks from waiting
}

// place runs a placement pass: it stops the runs of jobs that have ended, assigns waiting tasks to
// workers, updates the demand on the pools and queries the advisor. It returns the pass, so that it can be explained.
func (t *transition) place() *placement {
	t.queues = t.queues.forConfig(t.committed.Config())
	p := &placement{now: t.now, advice: t.advice, adviceSteps: make(map[registrar.TaskID]bool), assigned: make(map[registrar.TaskID]string), assigningJobs: make(map[string]bool), waitingCPU: make(map[string]int), lateCPU: make(map[string]int), spreadMachines: make(map[string]int), needsMachine: make(map[string]bool), locality: t.newLocality()}
	for _, continuations := range t.continuations.All() {
		for _, onCommit := range continuations {
			p.recordPending(onCommit.starts)
		}
	}
	for _, q := range t.batch.All() {
		p.recordPending(q.onCommit.starts)
	}
	t.beginTeams(p)
	if len(t.committed.Config().Teams) > 0 && t.workers.Len() <= maxJudgedWorkers {
		p.work = make(map[workKey]float64)
	}
	var candidates []*candidate
	t.committed.EachActive(func(j registrar.Job) {
		if j.Outcome != registrar.Active {
			t.stopJob(j)
			return
		}
		candidates = t.collectCandidates(p, j, candidates)
	})
	if len(candidates)+len(p.upcoming) > 0 {
		p.workersByPool = t.availableWorkers()
		p.maxFree = maxFreeByPool(p.workersByPool)
	}
	t.advanceOversized(p, candidates)
	slices.SortStableFunc(candidates, compareCandidates)
	candidates = t.rankByShare(p, candidates)
	p.candidates = candidates
	p.boundDemand(candidates)
	for _, c := range candidates {
		t.placeWithinLimit(p, c)
	}
	t.endTeams(p)
	t.updateRackWaits(p)
	t.updateDemands(p)
	t.recordLoads(p)
	t.assign(p)
	t.pruneAdvice(p)
	t.queryAdvisor(p)
	return p
}

// updateDemands records the demand on each pool: the running tasks and those that could start now.
func (t *transition) updateDemands(p *placement) {
	running := make(map[string]int)
	for _, w := range t.workers.Pointers() {
		running[w.Pool] += w.used.CPU + w.bestEffortCPU
		p.lateCPU[w.Pool] += w.lateCPU
	}
	for _, pool := range t.committed.Config().Pools {
		d := t.fleet.demands[pool.Name]
		d.runningCPU, d.lateCPU = running[pool.Name], p.lateCPU[pool.Name]
		d.wantedCPU, d.spreadMachines, d.needsMachine = p.waitingCPU[pool.Name]+d.runningCPU, p.spreadMachines[pool.Name], p.needsMachine[pool.Name]
		d.trend = d.trend.With(t.now, float64(d.wantedCPU)/1000)
		t.fleet = t.fleet.withDemand(pool.Name, d)
	}
}

// recordPending records starts that are proposed but not yet committed.
func (p *placement) recordPending(starts []registrar.Start) {
	for _, s := range starts {
		p.assigned[s.Task] = s.Worker
		p.assigningJobs[s.Task.Job] = true
	}
}

// compareCandidates orders steps: long-running tasks first, then by priority with the lowest number
// first, then those that can still meet their objective, then by the use of their teams, then by due
// time. Late steps that have waited for long are advanced before all priorities: see advanceLate.
func compareCandidates(a, b *candidate) int {
	return cmp.Or(
		compareBools(b.longRunning, a.longRunning),
		compareBools(b.advanced, a.advanced),
		cmp.Compare(a.priority, b.priority),
		compareBools(a.late, b.late),
		cmp.Compare(a.shareRank, b.shareRank),
		a.dueAt.Compare(b.dueAt),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// availableWorkers returns the workers on which runs may be started, by pool.
func (t *transition) availableWorkers() map[string][]*availableWorker {
	workers := make(map[string][]*availableWorker)
	for _, w := range t.workers.Pointers() {
		if !w.acceptsStarts(t.now) || t.fleet.isCordoned(w.ID) {
			continue
		}
		workers[w.Pool] = append(workers[w.Pool], &availableWorker{worker: w, free: w.Capacity.Sub(w.used), plannedBestEffortCPU: w.bestEffortCPU, maintenanceDue: t.fleet.maintenanceDue[w.ID]})
	}
	return workers
}

// stopJob stops the runs of a job that was canceled or has failed.
func (t *transition) stopJob(j registrar.Job) {
	eachTask(j, func(id registrar.TaskID, task registrar.Task) {
		if task.Phase != registrar.Running {
			return
		}
		w, ok := t.workers.Get(task.Worker)
		if !ok {
			return
		}
		i := w.find(id)
		if i >= 0 && w.runs.At(i).committed && !w.runs.At(i).stopping && !w.runs.At(i).endProposed {
			t.stop(w, w.runs.At(i), "its job has ended")
		}
	})
}

// collectCandidates appends the ready steps of a job that have tasks without a worker, and records in
// p the demand of these steps and the steps that need advice now or soon.
func (t *transition) collectCandidates(p *placement, j registrar.Job, candidates []*candidate) []*candidate {
	pool, priority, objective := j.Pool, 0, time.Duration(0)
	stretch, needsAdvice := 1.0, false
	queue, ok := t.queues.byName[j.Queue]
	if ok {
		pool, priority, objective, stretch, needsAdvice = queue.Pool, queue.Priority, queue.Objective, max(queue.Stretch, 1), queue.Advice
	}
	for k := range j.Occurrences() {
		due := j.DueAt(k)
		if due.After(t.now) {
			break
		}
		occurrence, open := j.Occurrence(k)
		if !open {
			continue
		}
		p.recordSpread(pool, j, occurrence)
		if p.work != nil {
			t.recordWork(p, workKey{pool: pool, team: j.Team, priority: priority}, j, occurrence, time.Duration(stretch*float64(t.criticalPath(j, registrar.Occurrence{})))+objective)
		}
		if !needsAdvice && !mayHaveUnassigned(j, occurrence) {
			continue
		}
		if due.IsZero() {
			due = time.Unix(0, j.AcceptedAt)
		}
		allowed := time.Duration(stretch*float64(t.criticalPath(j, registrar.Occurrence{}))) + objective
		path := t.criticalPath(j, occurrence)
		due = due.Add(allowed)
		late := t.now.Add(path).After(due)
		for i, s := range j.Steps {
			if occurrence.Remaining[i] == 0 {
				continue
			}
			c := &candidate{job: j, occurrence: occurrence, step: i, priority: priority, longRunning: s.LongRunning, late: late, dueAt: due, expectedRunTime: t.expectedRunTime(j.Queue, s), pool: pool, needsAdvice: needsAdvice}
			c.restOfPath = max(path-c.expectedRunTime, 0)
			if !occurrence.IsReady(s) {
				if needsAdvice && waitsOnlyForRunning(occurrence, s) && queue.TicketValidity > minTicketRunTimes*c.expectedRunTime {
					p.adviceSteps[c.stepID()] = true
					p.upcoming = append(p.upcoming, shortage{candidate: *c, unassigned: s.Count})
				}
				continue
			}
			for index, task := range occurrence.Steps[i] {
				if task.Phase == registrar.Waiting && p.assignee(c, index) == "" {
					c.waiting = append(c.waiting, index)
				}
			}
			p.waitingCPU[pool] += len(c.waiting) * s.CPU
			if c.late && !s.LongRunning {
				p.lateCPU[pool] += len(c.waiting) * s.CPU
			}
			if len(c.waiting) > 0 {
				p.adviceSteps[c.stepID()] = needsAdvice
				candidates = append(candidates, c)
			}
		}
	}
	return candidates
}

// mayHaveUnassigned reports whether a ready step of an occurrence may have tasks without a worker.
// It only compares counts, so that a pass need not visit every task of a job whose tasks all run. It
// is always true for a job with several occurrences, since j.Running counts the runs of all of them.
func mayHaveUnassigned(j registrar.Job, o registrar.Occurrence) bool {
	open := 0
	for i, s := range j.Steps {
		if o.Remaining[i] > 0 && o.IsReady(s) {
			open += o.Remaining[i]
		}
	}
	return j.OccurrenceCount > 1 || open > j.Running
}

// waitsOnlyForRunning reports whether all tasks that a step depends on are running or done.
func waitsOnlyForRunning(o registrar.Occurrence, s registrar.Step) bool {
	for _, dependency := range s.After {
		for _, task := range o.Steps[dependency] {
			if task.Phase == registrar.Waiting {
				return false
			}
		}
	}
	return true
}

// assignee returns the worker of a task whose assignment is proposed but not yet committed, or "".
func (p *placement) assignee(c *candidate, index int) string {
	if !p.assigningJobs[c.job.ID] {
		return ""
	}
	id := c.stepID()
	id.Index = index
	return p.assigned[id]
}

// placeOnRack chooses the rack for the waiting tasks of a step and places them. It returns how many wait for the rack.
func (p *placement) placeOnRack(c *candidate, term uint64) int {
	choice, firstStart := p.chooseRack(c), len(p.starts)
	p.placeStep(c, term, &choice)
	p.recordRacks(c, choice, firstStart)
	return choice.waiting
}

// placeStep selects workers for the waiting tasks of a step. A gang is placed as a whole or not at
// all, and all its tasks get the same run number. Tasks that wait for a place in a rack are counted in choice.
func (p *placement) placeStep(c *candidate, term uint64, choice *rackChoice) {
	step := c.job.Steps[c.step]
	resources := step.Request()
	tasks := c.occurrence.Steps[c.step]
	if step.Gang && (len(c.waiting) < step.Count || choice.groupWaits) {
		return
	}
	if !p.maxFree[c.pool].Fits(resources) {
		p.needsMachine[c.pool] = p.needsMachine[c.pool] || step.LongRunning
		return
	}
	gangRun := 0
	if step.Gang {
		for _, task := range tasks {
			gangRun = max(gangRun, task.Run+1)
		}
	}
	runCounts := p.countRunsByWorker(c)
	rack := choice.rack
	firstStart := len(p.starts)
	var target *availableWorker
	for n, index := range c.waiting {
		task := tasks[index]
		if !isStillBest(target, step, task, runCounts) {
			target = p.selectWorker(c, step, task, resources, runCounts, rack)
		}
		if p.waitsForRack(c, choice, target, task, runCounts, firstStart) {
			continue
		}
		if target == nil {
			if c.needsAdvice {
				p.unapproved = append(p.unapproved, shortage{candidate: *c, unassigned: len(c.waiting) - n})
			}
			if step.Gang {
				p.rollBack(firstStart)
			}
			if step.LongRunning || (c.needsAdvice && !p.hasPermissibleWorker(c)) {
				p.needsMachine[c.pool] = true
			}
			return
		}
		target.free = target.free.Sub(resources)
		if step.BestEffort {
			target.plannedBestEffortCPU += step.CPU
		}
		runCounts[target.ID]++
		if step.SameRack && rack == "" {
			rack = target.Rack()
		}
		id := registrar.TaskID{Job: c.job.ID, Occurrence: c.occurrence.Number, Step: c.step, Index: index}
		number := max(task.Run+1, gangRun)
		p.starts = append(p.starts, registrar.Start{Task: id, Run: number, Worker: target.ID, Incarnation: target.Incarnation, Term: term})
		r := newRun(c.job, id, number)
		r.incarnation, r.expectedRunTime = target.Incarnation, c.expectedRunTime
		r.late = c.late && !step.LongRunning
		r.adviceTicket = p.advice.steps[c.stepID()].validTicket(p.now, *target.worker)
		p.runs = append(p.runs, r)
	}
}

// rollBack releases the resources of a gang that could not be placed as a whole, and drops its starts,
// which begin at index firstStart.
func (p *placement) rollBack(firstStart int) {
	for i, start := range p.starts[firstStart:] {
		for _, workers := range p.workersByPool {
			for _, w := range workers {
				if w.ID == start.Worker {
					w.free = w.free.Add(p.runs[firstStart+i].resources)
					if p.runs[firstStart+i].bestEffort {
						w.plannedBestEffortCPU -= p.runs[firstStart+i].cpuDemand
					}
				}
			}
		}
	}
	p.starts, p.runs = p.starts[:firstStart], p.runs[:firstStart]
	p.maxFree = maxFreeByPool(p.workersByPool) // the released resources may be enough for other steps
}

// assign proposes the starts of a placement and reserves their resources at once.
func (t *transition) assign(p *placement) {
	if len(p.starts) == 0 {
		return
	}
	runsByWorker := make(map[string][]run)
	for i, start := range p.starts {
		w, _ := t.workers.Get(start.Worker)
		runsByWorker[w.ID] = append(runsByWorker[w.ID], p.runs[i])
		t.logDecision(messenger.Decision{Event: "assigned", Job: start.Task.Job, Run: start.Run, Instance: start.Worker, Pool: w.Pool, Age: t.now.Sub(w.holdAnsweredAt)})
	}
	for id, runs := range runsByWorker {
		w, _ := t.workers.Get(id)
		t.setWorker(w.WithRuns(runs))
	}
	t.propose(registrar.Command{Starts: p.starts}, continuation{starts: p.starts})
}
