package scheduler

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
	"laburnumwind/sharer"
)

// Late tasks come after all others of their priority, so that they could wait for ever in a pool that is always short.
const (
	// lateShare is the share of a pool's starts, by CPU, that goes to late tasks at least while a pool is short, the
	// oldest first. A late job is worth 7 % of one completed in time, so the loss of worth is at most a twentieth.
	lateShare = 0.05
	// lateWait is how long a step is overdue before it is advanced. Peaks last about a second, and late tasks run in the
	// quiet seconds between them without any advance. Without this wait, the share of all jobs completed in time fell from
	// 0.68 to 0.64 under the load of one very large job in TestSharesUnderContention.
	lateWait = 10 * time.Second
	// maxLateCPU bounds the CPU that is due to late tasks, in thousandths of a core, so that it does not accumulate while
	// no step is overdue for long and then displace other work at once.
	maxLateCPU = 4000
)

const maxTeamsInShareLine = 8 // maximum number of teams at each end of the order in one log line

// weightsByTeam returns the weight of each team. A team with weight zero, and one that is not configured (""), has the
// lowest weight that is configured.
func weightsByTeam(teams []registrar.Team) map[string]float64 {
	lowest := 0.0
	for _, team := range teams {
		if team.Weight > 0 && (lowest == 0 || team.Weight < lowest) {
			lowest = team.Weight
		}
	}
	if lowest == 0 {
		lowest = 1
	}
	weights := map[string]float64{"": lowest}
	for _, team := range teams {
		weights[team.Name] = lowest
		if team.Weight > 0 {
			weights[team.Name] = team.Weight
		}
	}
	return weights
}

// rankByShare ranks the steps in pools that are short of capacity by the shares of their teams, and returns all steps in
// the new order. It may split a step into several. candidates are in the order of compareCandidates without ranks. The
// work of a team's earlier steps in the order counts as used, so that a pass does not give all free resources to one team.
func (t *transition) rankByShare(p *placement, candidates []*candidate) []*candidate {
	if p.teams == nil || len(candidates) == 0 {
		return candidates
	}
	short := t.poolsShortOfCapacity(p, candidates)
	if len(short) == 0 {
		return candidates
	}
	candidates = t.advanceLate(p, splitLarge(candidates, short), short)
	shares := sharer.NewShares(t.shares.record, p.teams.competing(candidates))
	t.shares.rankedBy, t.shares.rankedAt = shares, t.now
	extra := make(map[string]float64)
	for _, c := range candidates {
		if !short[c.pool] {
			continue
		}
		team := p.teams.shareTeam(c.job.Team)
		c.shareRank = shares.Rank(team, extra[team])
		extra[team] += float64(len(c.waiting)*c.job.Steps[c.step].CPU) / 1000 * c.expectedRunTime.Seconds()
	}
	slices.SortStableFunc(candidates, compareCandidates)
	return candidates
}

// maxRankedTasks is the number of tasks of one step that are ranked together, so that a very large step does not take
// all free resources while its team is below its share.
const maxRankedTasks = 16

// splitLarge splits the steps with many waiting tasks in pools that are short of capacity.
func splitLarge(candidates []*candidate, short map[string]bool) []*candidate {
	split := make([]*candidate, 0, len(candidates))
	for _, c := range candidates {
		for short[c.pool] && c.isDivisible() && len(c.waiting) > maxRankedTasks {
			first := *c
			first.waiting, c.waiting = c.waiting[:maxRankedTasks], c.waiting[maxRankedTasks:]
			split = append(split, &first)
		}
		split = append(split, c)
	}
	return split
}

// isDivisible reports whether the waiting tasks of a step can be placed in several parts. The advisor is asked for whole
// steps.
func (c *candidate) isDivisible() bool {
	return !c.job.Steps[c.step].Gang && !c.longRunning && !c.needsAdvice
}

// shareTeam returns the team under which a job competes: its own, or "" if that is not configured.
func (s *teamPass) shareTeam(team string) string {
	_, known := s.weights[team]
	if !known {
		return ""
	}
	return team
}

// competing returns the weights of the teams that wait for resources or may have some.
func (s *teamPass) competing(candidates []*candidate) map[string]float64 {
	weights := make(map[string]float64)
	for _, c := range candidates {
		team := s.shareTeam(c.job.Team)
		weights[team] = s.weights[team]
	}
	for team, used := range s.used {
		if used.CPU > 0 {
			team = s.shareTeam(team)
			weights[team] = s.weights[team]
		}
	}
	return weights
}

// poolsShortOfCapacity returns the pools whose waiting tasks need more than their workers have free, and those in which
// a task found no worker in the last pass. Tasks that the limit of their team holds back, and those that no worker could
// run, do not make a pool short.
func (t *transition) poolsShortOfCapacity(p *placement, candidates []*candidate) map[string]bool {
	waiting := make(map[string]registrar.Resources)
	short := make(map[string]bool)
	quotas := maps.Clone(p.teams.quotas)
	for _, c := range candidates {
		n := len(c.waiting)
		quota, limited := quotas[c.job.Team]
		if limited {
			n = startableTasks(quota, c)
			quotas[c.job.Team] = quota.WithStarts(n, c.job.Steps[c.step].Demand())
		}
		if n > 0 && p.couldRun(c) {
			waiting[c.pool] = waiting[c.pool].Add(c.job.Steps[c.step].Request().Times(n))
		}
	}
	for pool, needed := range waiting {
		free := registrar.Resources{}
		for _, w := range p.workersByPool[pool] {
			free = free.Add(w.free)
		}
		if t.shares.shortPools[pool] || !free.Fits(needed) {
			short[pool] = true
		}
	}
	return short
}

// couldRun reports whether a worker of the pool could run a task of a step if it ran nothing else.
func (p *placement) couldRun(c *candidate) bool {
	step := c.job.Steps[c.step]
	return slices.ContainsFunc(p.workersByPool[c.pool], func(w *availableWorker) bool {
		return w.hasRequiredLabel(step) && w.Capacity.Fits(step.Request())
	})
}

// advanceLate puts the oldest late tasks of the pools that are short first, as far as CPU is due to late tasks. It bounds
// the time that a late step waits: by the older late work of its pool divided by lateShare of the pool's starts.
func (t *transition) advanceLate(p *placement, candidates []*candidate, short map[string]bool) []*candidate {
	var late []*candidate
	for _, c := range candidates {
		if c.late && short[c.pool] && !c.longRunning && t.now.Sub(c.dueAt) > lateWait {
			late = append(late, c)
		}
	}
	for _, c := range late {
		p.teams.overduePriority[c.pool] = max(p.teams.overduePriority[c.pool], c.priority)
	}
	slices.SortStableFunc(late, func(a, b *candidate) int { return a.dueAt.Compare(b.dueAt) })
	due := maps.Clone(t.shares.lateCPU)
	for _, c := range late {
		startable := len(c.waiting)
		quota, limited := p.teams.quotas[c.job.Team]
		if limited {
			startable = startableTasks(quota, c)
		}
		if due[c.pool] <= 0 || startable == 0 || !p.couldRun(c) {
			continue
		}
		cpu := float64(c.job.Steps[c.step].CPU)
		count := min(int(math.Ceil(due[c.pool]/max(cpu, 1))), startable)
		if c.isDivisible() && count < len(c.waiting) {
			rest := *c
			c.waiting, rest.waiting = c.waiting[:count], c.waiting[count:]
			candidates = append(candidates, &rest)
		}
		c.advanced = true
		due[c.pool] -= float64(len(c.waiting)) * cpu
	}
	return candidates
}

// recordLateStarts updates the CPU that is due to late tasks after n tasks of a step were placed. The start of a late task
// counts as one of other work while a late step of lower urgency is overdue for long: where all work is late, that step
// would otherwise wait for ever.
func (t *transition) recordLateStarts(p *placement, c *candidate, n int) {
	if n == 0 || c.longRunning {
		return
	}
	started, due := float64(n*c.job.Steps[c.step].CPU), t.shares.lateCPU[c.pool]
	switch {
	case c.advanced:
		due -= started
	case c.late && c.priority >= p.teams.overduePriority[c.pool]:
		due = max(due-started, min(due, 0))
	default:
		due = min(due+started*lateShare, maxLateCPU)
	}
	t.shares.lateCPU = withEntry(t.shares.lateCPU, c.pool, due)
}

// withEntry returns a copy of a map with one entry set.
func withEntry[V any](m map[string]V, key string, value V) map[string]V {
	m = maps.Clone(m)
	if m == nil {
		m = make(map[string]V)
	}
	m[key] = value
	return m
}

// reportTeams sends the use, the limit and the held starts of each team as measurements, and logs the order of the teams
// while a pool is short of capacity.
func (t *transition) reportTeams() {
	teams := t.committed.Config().Teams
	if len(teams) == 0 {
		return
	}
	used := t.usedByTeam()
	for _, team := range teams {
		u := used[team.Name]
		for _, m := range []messenger.Measurement{
			{Name: "teamCpuUsed", Value: u.CPU},
			{Name: "teamCpuLimit", Value: team.Limit.CPU},
			{Name: "teamMemoryUsed", Value: u.Memory},
			{Name: "teamMemoryLimit", Value: team.Limit.Memory},
			{Name: "teamGpuUsed", Value: u.GPU},
			{Name: "teamGpuLimit", Value: team.Limit.GPU},
			{Name: "teamStartsHeld", Value: t.shares.held[team.Name]},
		} {
			m.Team = team.Name
			t.Send(messenger.Reporter, m)
		}
	}
	if t.shares.rankedAt.IsZero() || t.now.Sub(t.shares.rankedAt) > summaryInterval {
		return
	}
	order := t.shares.rankedBy.Order()
	var b strings.Builder
	for i, r := range order {
		if i < maxTeamsInShareLine || i >= len(order)-maxTeamsInShareLine {
			fmt.Fprintf(&b, "%q %.2f; ", r.Team, r.Ratio)
		}
	}
	t.logDecision(messenger.Decision{Event: "shareOrder", Candidates: len(order), Reason: b.String()})
}
