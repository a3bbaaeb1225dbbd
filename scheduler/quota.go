package scheduler

import (
	"fmt"
	"maps"
	"math"
	"time"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
	"laburnumwind/sharer"
)

// heldLineInterval is the minimum time between two lines on the starts of a team that its limit holds back.
const heldLineInterval = time.Second

// teamShares is what the leader knows of the teams in addition to the committed state. It is lost with the leader. No
// limit depends on it.
type teamShares struct {
	record       sharer.Record
	rankedBy     sharer.Shares        // as of the last pass in which a pool was short of capacity
	rankedAt     time.Time            // of that pass
	shortPools   map[string]bool      // pools in which a task found no worker in the last pass
	lateCPU      map[string]float64   // CPU that is due to late tasks, in thousandths of a core, by pool: see lateShare
	held         map[string]int       // starts that the limit held back in the last pass, by team
	arrivals     map[string]demand    // arriving work that counted as demand for machines, by team
	heldLoggedAt map[string]time.Time // by team
	oversizedAt  map[string]time.Time // last start of oversized tasks, by team
}

// teamPass is the part of a placement pass that concerns teams. It is nil in a deployment without teams.
type teamPass struct {
	weights    map[string]float64
	used       map[string]registrar.Resources // what each team may have running
	quotas     map[string]sharer.Quota        // of the teams with a limit
	lasting    map[string]sharer.Quota        // of the teams with a limit, with only the long-running tasks used
	held       map[string]int                 // starts held back by the limit, by team
	shortPools map[string]bool                // pools in which a task found no worker

	// Steps of which a part found too few workers. Its other parts are not tried: the resources only become fewer in a
	// pass. Each try visits all tasks of the step, and a step of 4,096 tasks has 256 parts.
	withoutPlace map[registrar.TaskID]bool

	overduePriority map[string]int // highest number of the priorities of the steps that are overdue by lateWait, by pool
}

// beginTeams prepares a pass for the teams of the configuration, if there are any, and records their use.
func (t *transition) beginTeams(p *placement) {
	config := t.committed.Config()
	if len(config.Teams) == 0 {
		t.shares = teamShares{}
		return
	}
	p.teams = &teamPass{weights: weightsByTeam(config.Teams), used: t.usedByTeam(), quotas: make(map[string]sharer.Quota), lasting: make(map[string]sharer.Quota), held: make(map[string]int), shortPools: make(map[string]bool), withoutPlace: make(map[registrar.TaskID]bool), overduePriority: make(map[string]int)}
	longRunning := t.longRunningByTeam()
	for _, team := range config.Teams {
		if team.Limit != (registrar.Resources{}) {
			lasting := longRunning[team.Name]
			p.teams.quotas[team.Name] = sharer.NewQuota(team.Limit, p.teams.used[team.Name]).WithLongRunning(lasting)
			p.teams.lasting[team.Name] = sharer.NewQuota(team.Limit, lasting).WithLongRunning(lasting)
		}
	}
	cores := make(map[string]float64, len(p.teams.used))
	for team, used := range p.teams.used {
		cores[team] = float64(used.CPU) / 1000
	}
	t.shares.record = t.shares.record.With(t.now, cores)
}

// usedByTeam returns what each team may have running, also of teams that are not configured. The committed state counts
// runs on unreachable workers and those of earlier leaders. The leader's own runs add those whose assignment is not
// committed yet, and those of tasks that have ended while their stop is not confirmed.
func (t *transition) usedByTeam() map[string]registrar.Resources {
	used := make(map[string]registrar.Resources)
	for _, w := range t.workers.Pointers() {
		for _, r := range w.runs.All() {
			used[r.team] = used[r.team].Add(r.demand())
		}
	}
	for team := range used {
		used[team] = used[team].Max(t.committed.Running(team))
	}
	for _, team := range t.committed.Config().Teams {
		used[team.Name] = used[team.Name].Max(t.committed.Running(team.Name))
	}
	return used
}

// longRunningByTeam returns what the long-running tasks of each team use.
func (t *transition) longRunningByTeam() map[string]registrar.Resources {
	used := make(map[string]registrar.Resources)
	for _, w := range t.workers.Pointers() {
		for _, r := range w.runs.All() {
			if r.longRunning {
				used[r.team] = used[r.team].Add(r.demand())
			}
		}
	}
	return used
}

// demand returns what a run counts against the limit of its team.
func (r run) demand() registrar.Resources {
	return registrar.Resources{CPU: r.cpuDemand, Memory: r.resources.Memory, GPU: r.resources.GPU}
}

// exceedsLimit returns an error if a task of the job alone, or a gang as a whole, exceeds the limit of the job's team.
func (t *transition) exceedsLimit(j registrar.Job) error {
	team, ok := t.committed.Config().Team(j.Team)
	if !ok {
		return nil
	}
	quota := sharer.NewQuota(team.Limit, registrar.Resources{})
	for i, s := range j.Steps {
		if s.Gang && quota.NeverFits(s.Count, s.Demand()) {
			return fmt.Errorf("the gang of step %d needs %+v, and the limit of team %.40q is %+v: %w", i, s.Demand().Times(s.Count), team.Name, team.Limit, registrar.ErrInvalid)
		}
		if quota.NeverFits(1, s.Demand()) {
			return fmt.Errorf("a task of step %d needs %+v, and the limit of team %.40q is %+v: %w", i, s.Demand(), team.Name, team.Limit, registrar.ErrInvalid)
		}
	}
	return nil
}

// withinLimit returns how many core seconds of an arriving job count as demand for machines. The limit of its team bounds
// the cores that the team's arriving work needs: more machines would not help the rest.
func (t *transition) withinLimit(j registrar.Job, coreSeconds float64) float64 {
	team, ok := t.committed.Config().Team(j.Team)
	if !ok || team.Limit == (registrar.Resources{}) {
		return coreSeconds
	}
	limit := math.Inf(1) // thousandths of a core
	quota := sharer.NewQuota(team.Limit, registrar.Resources{})
	for _, s := range j.Steps {
		startable := quota.Startable(s.Demand())
		if startable < math.MaxInt32 && s.CPU > 0 {
			limit = min(limit, float64(startable*s.CPU))
		}
	}
	arrivals := t.shares.arrivals[team.Name]
	left := (limit/1000 - arrivals.arrivalRateAt(t.now)) * arrivalAveragingTime.Seconds()
	coreSeconds = min(coreSeconds, max(left, 0))
	t.shares.arrivals = withEntry(t.shares.arrivals, team.Name, arrivals.WithWork(t.now, coreSeconds))
	return coreSeconds
}

// boundDemand removes the demand for machines of the tasks that the limits of their teams hold back. It takes the steps
// in the order of placement. The demand of a task that may start counts whether or not a worker is free for it.
func (p *placement) boundDemand(candidates []*candidate) {
	if p.teams == nil || len(p.teams.quotas) == 0 {
		return
	}
	wanted := maps.Clone(p.teams.quotas)
	for _, c := range candidates {
		quota, limited := wanted[c.job.Team]
		if !limited {
			continue
		}
		step := c.job.Steps[c.step]
		startable := startableTasks(quota, c)
		wanted[c.job.Team] = quota.WithStarts(startable, step.Demand())
		held := len(c.waiting) - startable
		p.waitingCPU[c.pool] -= held * step.CPU
		if c.late && !step.LongRunning {
			p.lateCPU[c.pool] -= held * step.CPU
		}
		if step.LongRunning {
			p.recordStepSpread(c.pool, step, step.Count-held)
		}
	}
}

// startableTasks returns how many waiting tasks of a step a quota lets start: of a gang, all or none.
func startableTasks(q sharer.Quota, c *candidate) int {
	step := c.job.Steps[c.step]
	n := min(q.Startable(step.Demand()), len(c.waiting))
	together := c.leastStart()
	if n >= together {
		return n
	}
	if len(c.waiting) >= together && q.Admits(together, step.Demand()) {
		return together
	}
	return 0
}

// leastStart returns the smallest number of tasks of a step that can start: of a gang, all.
func (c *candidate) leastStart() int {
	step := c.job.Steps[c.step]
	if step.Gang {
		return step.Count
	}
	return 1
}

// isOversized reports whether the tasks of a step exceed a limit that they never fit, since it was lowered after their
// job was accepted or the long-running tasks of the team use too much of it.
func (c *candidate) isOversized(q sharer.Quota) bool {
	return q.NeverFits(c.leastStart(), c.job.Steps[c.step].Demand())
}

// maxOversizedWait is the time for which oversized tasks that are overdue wait for the other short tasks of their team,
// which would otherwise take each part of the limit as it becomes free. It is also the minimum time between two such
// starts, so that many oversized tasks do not stop the other work of their team.
const maxOversizedWait = lateWait

// advanceOversized puts the oversized tasks first that have waited for maxOversizedWait.
func (t *transition) advanceOversized(p *placement, candidates []*candidate) {
	if p.teams == nil {
		return
	}
	for _, c := range candidates {
		quota, limited := p.teams.quotas[c.job.Team]
		if !limited || c.longRunning || !c.isOversized(quota) {
			continue
		}
		since := c.dueAt
		if last := t.shares.oversizedAt[c.job.Team]; last.After(since) {
			since = last
		}
		c.advanced = t.now.Sub(since) > maxOversizedWait
	}
}

// placeWithinLimit places the waiting tasks of a step that the limit of its team lets start.
func (t *transition) placeWithinLimit(p *placement, c *candidate) {
	if p.teams == nil {
		p.placeOnRack(c, t.term)
		return
	}
	quota, limited := p.teams.quotas[c.job.Team]
	if limited {
		startable := startableTasks(quota, c)
		held := len(c.waiting) - startable
		t.recordHeld(p, c, held)
		c.waiting = c.waiting[:startable]
		quota = p.reserveLimit(quota, c, startable, held)
		p.teams.quotas[c.job.Team] = quota
	}
	if len(c.waiting) == 0 {
		p.keepHeldWait(c)
		return
	}
	if p.teams.withoutPlace[c.stepID()] {
		return
	}
	before := len(p.starts)
	waiting := p.placeOnRack(c, t.term)
	started := len(p.starts) - before
	p.recordPending(p.starts[before:]) // other parts of the step may follow: see splitLarge
	if limited {
		p.teams.quotas[c.job.Team] = quota.WithStarts(started, c.job.Steps[c.step].Demand())
		if started > 0 && c.isOversized(quota) {
			t.shares.oversizedAt = withEntry(t.shares.oversizedAt, c.job.Team, t.now)
		}
	}
	if started+waiting < len(c.waiting) {
		p.teams.withoutPlace[c.stepID()] = len(c.avoidedRacks) == 0
		p.teams.shortPools[c.pool] = p.teams.shortPools[c.pool] || !c.needsAdvice && p.couldRun(c)
	}
	t.recordLateStarts(p, c, started)
}

// reserveLimit returns the quota of a team with room set aside for the held tasks of a long-running step, and for the
// next tasks of an oversized one. Otherwise the short tasks of the team, which come after it in a pass, would take each
// part of the limit as it becomes free, and a task larger than they are would wait for ever. Room that the team's other
// long-running tasks use will not become free, and is not waited for.
func (p *placement) reserveLimit(q sharer.Quota, c *candidate, startable, held int) sharer.Quota {
	waitsForShort := startable == 0 && c.isOversized(q)
	if held == 0 || !c.longRunning && !waitsForShort || !p.couldRun(c) {
		return q
	}
	demand, lasting := c.job.Steps[c.step].Demand(), p.teams.lasting[c.job.Team]
	n := min(held, lasting.Startable(demand))
	if n < c.leastStart() {
		if !lasting.Admits(c.leastStart(), demand) {
			return q
		}
		n = c.leastStart()
	}
	if c.longRunning {
		p.teams.lasting[c.job.Team] = lasting.WithStarts(n, demand)
	}
	return q.WithStarts(n, demand)
}

// recordHeld counts the starts of a step that the limit of its team holds back, and logs them at most once in
// heldLineInterval for each team.
func (t *transition) recordHeld(p *placement, c *candidate, n int) {
	if n == 0 {
		return
	}
	name := c.job.Team
	p.teams.held[name] += n
	if t.now.Sub(t.shares.heldLoggedAt[name]) < heldLineInterval {
		return
	}
	t.shares.heldLoggedAt = withEntry(t.shares.heldLoggedAt, name, t.now)
	team, _ := t.committed.Config().Team(name)
	t.logDecision(messenger.Decision{
		Event: "startsHeld", Job: c.job.ID, Pool: c.pool, Candidates: n,
		Reason: fmt.Sprintf("team %.40q may have %+v running, and its limit is %+v%s", name, p.teams.used[name], team.Limit, p.oversizeNote(c)),
	})
}

// oversizeNote says when held tasks may start that never fit the limit of their team, as a phrase for the log.
func (p *placement) oversizeNote(c *candidate) string {
	demand := c.job.Steps[c.step].Demand()
	switch {
	case !c.isOversized(p.teams.quotas[c.job.Team]):
		return ""
	case p.teams.lasting[c.job.Team].Admits(c.leastStart(), demand):
		return fmt.Sprintf("; %d with %+v each exceed it and start while the team uses less than half of it", c.leastStart(), demand)
	}
	return fmt.Sprintf("; %d with %+v each exceed it and wait for a higher limit or for the end of long-running tasks", c.leastStart(), demand)
}

// endTeams stores what the next pass needs.
func (t *transition) endTeams(p *placement) {
	if p.teams != nil {
		t.shares.held, t.shares.shortPools = p.teams.held, p.teams.shortPools
	}
}
