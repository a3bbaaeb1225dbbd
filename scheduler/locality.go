package scheduler

import (
	"time"

	"laburnumwind/locator"
	"laburnumwind/registrar"
)

const (
	minProgressForPace = 20                    // minimum reported progress, in percent, to extrapolate the run time from
	minRemainingShare  = 0.1                   // minimum share of its expected run time that a run still takes, if it has exceeded that time
	longRunTime        = 24 * time.Hour        // of a long-running task, which ends at no known time
	minRemaining       = 10 * time.Millisecond // minimum remaining time of a run, also of one whose end is not committed yet
)

// locality holds what a placement pass knows about racks. Everything is computed on demand and at most once per pass.
type locality struct {
	factor    float64                                          // Config.RemoteRunTimeFactor
	decide    func(locator.Choice, time.Time) locator.Decision // Config.DecideRack
	previous  map[registrar.TaskID]rackWait                    // waits after the last pass
	waits     map[registrar.TaskID]rackWait                    // waits after this pass, by the ID of the step's first task
	rackOf    func(worker string) string                       // empty if the worker is unknown
	remaining func(worker, run) time.Duration                  // expected until a run ends
	pools     map[string]*poolRacks
}

// poolRacks are the available workers of a pool by rack.
type poolRacks struct {
	byName map[string]*rackWorkers
	all    []*rackWorkers // in the order of their first workers
}

// rackWorkers are the available workers of a pool in one rack, with the forecast of their free resources.
type rackWorkers struct {
	name        string
	workers     []*availableWorker
	byID        map[string]*availableWorker
	waits       map[waitKey]time.Duration // computed in this pass, for tasks without further conditions
	isAwaited   bool                      // tasks of a step that was considered before wait for the rack
	hasForecast bool
	forecast    locator.Rack
}

// rackChoice is the choice of a rack for the waiting tasks of a step.
type rackChoice struct {
	rack        string // preferred rack; empty: none
	groupWaits  bool   // all tasks without a place in the rack wait for one
	isElsewhere bool   // the remaining tasks start on any rack
	hasForecast bool
	forecast    locator.Rack    // of the rack, with the starts of this step
	tasks       locator.Tasks   // of this step that have no place in the rack, if hasForecast
	starts      []time.Duration // until these tasks are expected to start in the rack, as far as it is known
	waiting     int             // number of tasks that wait for the rack
	wait        time.Duration
	cost        time.Duration
}

// newLocality returns what a placement pass knows about racks before its first step.
func (t *transition) newLocality() locality {
	return locality{factor: t.cfg.RemoteRunTimeFactor, decide: t.cfg.DecideRack, previous: t.rackWaits, rackOf: t.rackOf, remaining: t.remaining}
}

// isSensitive reports whether the run time of a step's tasks depends on their racks. The run time of a long-running
// task has no end, and that of a best-effort task depends mostly on the other tasks of its worker.
func (l locality) isSensitive(step registrar.Step) bool {
	return l.factor > 1 && (step.DataRack != "" || step.SameRack) && !step.LongRunning && !step.BestEffort
}

// racks returns the available workers of a pool by rack.
func (p *placement) racks(pool string) *poolRacks {
	racks, ok := p.locality.pools[pool]
	if ok {
		return racks
	}
	racks = &poolRacks{byName: make(map[string]*rackWorkers)}
	for _, w := range p.workersByPool[pool] {
		rack, known := racks.byName[w.Rack()]
		if !known {
			rack = &rackWorkers{name: w.Rack(), byID: make(map[string]*availableWorker)}
			racks.byName[rack.name] = rack
			racks.all = append(racks.all, rack)
		}
		rack.workers = append(rack.workers, w)
		rack.byID[w.ID] = w
	}
	if p.locality.pools == nil {
		p.locality.pools = make(map[string]*poolRacks)
	}
	p.locality.pools[pool] = racks
	return racks
}

// startedRunTime returns the expected run time of a start of this pass.
func (p *placement) startedRunTime(start int) time.Duration {
	if p.runs[start].longRunning {
		return longRunTime
	}
	return p.runs[start].expectedRunTime
}

// forecastOf returns the forecast of a rack, with the starts of this pass.
func (p *placement) forecastOf(rack *rackWorkers) locator.Rack {
	if rack.hasForecast {
		return rack.forecast
	}
	machines := make([]locator.Machine, 0, len(rack.workers))
	for _, w := range rack.workers {
		var releases []locator.Release
		for _, r := range w.runs.All() {
			if !r.longRunning || r.stopping {
				releases = append(releases, locator.Release{After: p.locality.remaining(*w.worker, r), Resources: r.resources})
			}
		}
		for i, s := range p.starts {
			if s.Worker == w.ID {
				releases = append(releases, locator.Release{After: p.startedRunTime(i), Resources: p.runs[i].resources})
			}
		}
		machines = append(machines, locator.NewMachine(w.ID, w.free).WithReleases(releases))
	}
	rack.forecast, rack.hasForecast = locator.NewRack(machines), true
	return rack.forecast
}

// tasksOf returns tasks of a step as the forecast of a rack needs them.
func (p *placement) tasksOf(c *candidate, rack *rackWorkers, runCounts map[string]int, count int) locator.Tasks {
	step := c.job.Steps[c.step]
	limit := maxTasksPerWorker(step)
	advice := p.advice.steps[c.stepID()]
	return locator.Tasks{Count: count, Request: step.Request(), RunTime: c.expectedRunTime, Together: step.Gang, MayUse: func(id string, planned int) bool {
		w := rack.byID[id]
		return runCounts[id]+planned < limit && w.hasRequiredLabel(step) && (!c.needsAdvice || advice.validTicket(p.now, *w.worker) != "")
	}}
}

// countPlaces returns how many tasks of a step the workers of a rack have room for now, at most limit.
func (p *placement) countPlaces(c *candidate, rack *rackWorkers, runCounts map[string]int, limit int) int {
	tasks := p.tasksOf(c, rack, runCounts, limit)
	places := 0
	for _, w := range rack.workers {
		fitting := min(w.free.CountFitting(tasks.Request), limit-places)
		for planned := 0; planned < fitting && tasks.MayUse(w.ID, planned); planned++ {
			places++
		}
	}
	return places
}

// chooseRack chooses the rack for the waiting tasks of a step. If they belong together, because the step is a gang or
// is to run on one rack, it prefers the rack with the fewest places that holds all of them. If none does, it decides
// whether they wait for one.
func (p *placement) chooseRack(c *candidate) rackChoice {
	step := c.job.Steps[c.step]
	if !p.locality.isSensitive(step) || (step.Gang && len(c.waiting) < step.Count) {
		return rackChoice{}
	}
	if !step.SameRack && !step.Gang {
		return rackChoice{rack: step.DataRack}
	}
	if !p.maxFree[c.pool].Fits(step.Request()) {
		return rackChoice{rack: step.DataRack} // nothing can start
	}
	runCounts := p.countRunsByWorker(c)
	fixed, isSplit := step.DataRack, false
	for id := range runCounts {
		rack := p.locality.rackOf(id)
		isSplit = isSplit || (fixed != "" && rack != fixed)
		fixed = rack
	}
	if isSplit {
		return rackChoice{} // the tasks take longer wherever the others start
	}
	racks := p.racks(c.pool)
	eligible := racks.all
	if fixed != "" {
		eligible = nil
		rack, ok := racks.byName[fixed]
		if ok {
			eligible = []*rackWorkers{rack}
		}
	}
	count := len(c.waiting)
	best, bestPlaces, allPlaces := "", 0, 0
	for _, rack := range racks.all {
		places := p.countPlaces(c, rack, runCounts, 2*count) // the limit saves time: the exact number above it matters little
		allPlaces += places
		if places >= count && (best == "" || places < bestPlaces) && (fixed == "" || rack.name == fixed) {
			best, bestPlaces = rack.name, places
		}
	}
	if best != "" {
		return rackChoice{rack: best}
	}
	if allPlaces == 0 || (step.Gang && allPlaces < count) || c.hasFailures() {
		return rackChoice{rack: fixed}
	}
	choice := p.weighSplit(c, racks, eligible, runCounts, fixed)
	if step.Gang && choice.groupWaits {
		choice.waiting = count
	}
	return choice
}

// weighSplit decides whether the tasks of a step wait for a rack that is expected to hold all of them, or are split. A
// split keeps off the racks that earlier steps wait for as long as a wait of its own may last: the pieces would keep
// these racks from becoming free as a whole, and each step that is split for that reason would take longer still.
func (p *placement) weighSplit(c *candidate, racks *poolRacks, eligible []*rackWorkers, runCounts map[string]int, fixed string) rackChoice {
	choice := rackChoice{rack: fixed}
	choice.rack, choice.wait, choice.groupWaits = p.shortestWait(c, eligible, runCounts)
	d := p.weigh(c, choice.wait, choice.groupWaits)
	choice.cost = d.Cost
	if d.Waits {
		return choice
	}
	places := 0
	avoided := make(map[string]bool)
	for _, rack := range racks.all {
		if rack.isAwaited {
			avoided[rack.name] = true
			continue
		}
		places += p.countPlaces(c, rack, runCounts, len(c.waiting))
	}
	switch {
	case places >= len(c.waiting):
		c.avoidedRacks = avoided
	case choice.groupWaits && len(avoided) > 0 && c.job.Steps[c.step].Gang && p.now.Before(d.Until):
		return choice
	}
	return rackChoice{rack: fixed}
}

// weigh decides between a wait for a rack and a start elsewhere.
func (p *placement) weigh(c *candidate, wait time.Duration, known bool) locator.Decision {
	choice := locator.Choice{Wait: wait, WaitKnown: known, RunTime: c.expectedRunTime, Factor: p.locality.factor, Left: c.dueAt.Sub(p.now) - c.restOfPath}
	previous, waited := p.locality.previous[c.stepID()]
	if waited {
		choice.Waited = p.now.Sub(previous.since)
	}
	if p.locality.decide != nil {
		return p.locality.decide(choice, p.now)
	}
	return choice.Decide(p.now)
}

// hasFailures reports whether a waiting task of a step has failed before. Such a task takes the first place.
func (c *candidate) hasFailures() bool {
	for _, index := range c.waiting {
		if c.occurrence.Steps[c.step][index].Failures > 0 {
			return true
		}
	}
	return false
}

// waitsForRack reports whether a task waits for a place in its rack instead of starting on target. firstStart is the
// index of the first start of its step.
func (p *placement) waitsForRack(c *candidate, choice *rackChoice, target *availableWorker, task registrar.Task, runCounts map[string]int, firstStart int) bool {
	if choice.rack == "" || choice.isElsewhere || target == nil || target.Rack() == choice.rack || task.Failures > 0 {
		return false
	}
	if choice.groupWaits {
		choice.waiting++
		return true
	}
	rack, ok := p.racks(c.pool).byName[choice.rack]
	if !ok || c.job.Steps[c.step].SameRack || c.job.Steps[c.step].Gang {
		choice.isElsewhere = true
		return false
	}
	if !choice.hasForecast {
		p.forecastWaits(c, choice, rack, runCounts, firstStart)
		if choice.groupWaits {
			choice.waiting++
			return true
		}
	}
	wait, known := time.Duration(0), choice.waiting < len(choice.starts)
	if known {
		wait = choice.starts[choice.waiting]
	}
	d := p.weigh(c, wait, known && wait > 0) // with room now, the worker was not selected for another reason
	if !d.Waits {
		choice.isElsewhere = true
		return false
	}
	choice.wait, choice.cost = wait, d.Cost
	choice.waiting++
	return true
}

// forecastWaits computes when the remaining tasks of a step are expected to start in their rack, once for all of them, and
// decides whether all wait.
func (p *placement) forecastWaits(c *candidate, choice *rackChoice, rack *rackWorkers, runCounts map[string]int, firstStart int) {
	started := len(p.starts) - firstStart
	choice.forecast, choice.hasForecast = p.forecastOf(rack).WithStarts(p.startedRuns(firstStart)), true
	choice.tasks = p.tasksOf(c, rack, runCounts, len(c.waiting)-started-choice.waiting)
	choice.starts = choice.forecast.Starts(choice.tasks)
	if len(choice.starts) == 0 || len(choice.starts) < choice.tasks.Count {
		return
	}
	last := choice.starts[len(choice.starts)-1]
	d := p.weigh(c, last, last > 0)
	if d.Waits { // it pays for the last one, so it does for all
		choice.groupWaits, choice.wait, choice.cost = true, last, d.Cost
	}
}

// recordRacks records the starts of a step, from index firstStart on, and its tasks that wait for a rack. A waiting
// task adds no demand to its pool, because another machine would not help it.
func (p *placement) recordRacks(c *candidate, choice rackChoice, firstStart int) {
	step := c.job.Steps[c.step]
	if p.locality.isSensitive(step) && len(p.starts) > firstStart {
		p.extendRunTimes(c, step, firstStart)
	}
	for _, racks := range p.locality.pools {
		p.addToForecasts(racks, firstStart)
	}
	previous, waited := p.locality.previous[c.stepID()]
	if choice.waiting == 0 {
		if waited && len(p.starts)-firstStart < len(c.waiting) { // there is no place at all now
			p.keepWait(c, previous)
		}
		return
	}
	wait := rackWait{rack: choice.rack, pool: c.pool, since: p.now, tasks: choice.waiting, wait: choice.wait, cost: choice.cost}
	if waited {
		wait.since = previous.since
	}
	p.keepWait(c, wait)
	rack := p.racks(c.pool).byName[choice.rack]
	if choice.hasForecast {
		choice.tasks.Count = choice.waiting
		rack.forecast, _, _ = choice.forecast.Reserve(choice.tasks)
	} else {
		rack.forecast, _, _ = p.forecastOf(rack).Reserve(p.tasksOf(c, rack, p.countRunsByWorker(c), choice.waiting))
	}
	rack.isAwaited = true
	p.waitingCPU[c.pool] -= choice.waiting * step.CPU
	if c.late {
		p.lateCPU[c.pool] -= choice.waiting * step.CPU
	}
}

// addToForecasts adds the starts from index firstStart on to the forecasts of a pool's racks.
func (p *placement) addToForecasts(racks *poolRacks, firstStart int) {
	started := p.startedRuns(firstStart)
	if len(started) == 0 {
		return
	}
	for _, rack := range racks.all {
		if rack.hasForecast {
			rack.forecast = rack.forecast.WithStarts(started)
		}
	}
}

// startedRuns returns the starts from index firstStart on as the forecast of a rack needs them.
func (p *placement) startedRuns(firstStart int) []locator.Start {
	started := make([]locator.Start, 0, len(p.starts)-firstStart)
	for i, s := range p.starts[firstStart:] {
		started = append(started, locator.Start{Machine: s.Worker, RunTime: p.startedRunTime(firstStart + i), Resources: p.runs[firstStart+i].resources})
	}
	return started
}

// extendRunTimes extends the expected run times of a step's starts, from index firstStart on, that are on a rack on
// which they take longer.
func (p *placement) extendRunTimes(c *candidate, step registrar.Step, firstStart int) {
	rack, isSplit := step.DataRack, false
	for id := range p.countRunsByWorker(c) {
		isSplit = isSplit || (rack != "" && p.locality.rackOf(id) != rack)
		rack = p.locality.rackOf(id)
	}
	for _, s := range p.starts[firstStart:] {
		isSplit = isSplit || (rack != "" && p.locality.rackOf(s.Worker) != rack)
		rack = p.locality.rackOf(s.Worker)
	}
	for i, s := range p.starts[firstStart:] {
		isFar := step.DataRack != "" && p.locality.rackOf(s.Worker) != step.DataRack
		if isFar || (isSplit && step.SameRack) {
			p.runs[firstStart+i].expectedRunTime = time.Duration(p.locality.factor * float64(c.expectedRunTime))
		}
	}
}
