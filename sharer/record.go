package sharer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// halfLife is the time in which the record of a use loses half of its weight. It bounds the credit of a team that was
// idle to the share of a few seconds, and is longer than a task (2 s), so that a team is not ranked by single tasks.
const halfLife = 3 * time.Second

// aheadTime is the time for which the cores in use count in advance, about the run time of the longest tasks (2 s).
// Without it, a team that starts many tasks at once counts them only as time passes: under the load of a hot team in
// TestComparePolicies, the worst other team then completed 0.845 of its jobs in time instead of 0.891.
const aheadTime = 2 * time.Second

// minUse is the number of core-seconds below which a team counts as not having used anything, so that a record ends.
const minUse = 0.001

// minWeight keeps the level finite. Any larger bound would rank teams with small weights wrongly: only ratios of weights
// count.
const minWeight = 1e-290

// Record is the use of each team in core-seconds, decayed with halfLife. The zero value is an empty record.
type Record struct {
	at    time.Time
	uses  map[string]float64
	cores map[string]float64 // in use at time at
}

// With returns the record at a later time, with the cores that each team has used since, which it keeps. An empty record starts as if
// the teams had always used as much, so that a new leader ranks them by what they have running.
func (r Record) With(now time.Time, cores map[string]float64) Record {
	keep := 0.0
	if !r.at.IsZero() {
		keep = math.Exp2(-max(now.Sub(r.at), 0).Seconds() / halfLife.Seconds())
	}
	uses := make(map[string]float64, len(r.uses))
	for team, use := range r.uses {
		if use*keep > minUse {
			uses[team] = use * keep
		}
	}
	for team, n := range cores {
		uses[team] += n * (1 - keep) * halfLife.Seconds() / math.Ln2
	}
	return Record{at: now, uses: uses, cores: cores}
}

// use returns the use of a team, including that of the next aheadTime.
func (r Record) use(team string) float64 { return r.uses[team] + r.cores[team]*aheadTime.Seconds() }

// Shares ranks teams by the use that a Record holds and by their weights.
type Shares struct {
	record  Record
	weights map[string]float64
	level   float64 // use of all teams divided by the sum of their weights
}

// NewShares returns the shares of the teams in weights, which are those that compete now. All weights are positive.
func NewShares(r Record, weights map[string]float64) Shares {
	use, weight := 0.0, 0.0
	for team, w := range weights {
		use += r.use(team)
		weight += w
	}
	return Shares{record: r, weights: weights, level: use / max(weight, minWeight)}
}

// Ratio returns the use of a team divided by its share of the use of all teams. extra is added to its use, in
// core-seconds. A team below its share has a ratio below 1.
func (s Shares) Ratio(team string, extra float64) float64 {
	use := (s.record.use(team) + extra) / s.weights[team]
	if s.level <= 0 {
		return use
	}
	return use / s.level
}

// maxRank bounds the ranks.
const maxRank = 16

// Rank returns the rank of a team: 0 below its share, 1 below twice its share, and so on. Tasks of a lower rank start
// first. Teams of one rank are ordered by due time: ranks of half or a quarter of a share completed no more jobs in
// time in trials with teams of equal weight.
func (s Shares) Rank(team string, extra float64) int {
	return int(min(s.Ratio(team, extra), maxRank))
}

// TeamRatio is a team with its ratio.
type TeamRatio struct {
	Team  string
	Ratio float64
}

// Order returns the teams in the order in which their tasks start, with their ratios.
func (s Shares) Order() []TeamRatio {
	order := make([]TeamRatio, 0, len(s.weights))
	for team := range s.weights {
		order = append(order, TeamRatio{Team: team, Ratio: s.Ratio(team, 0)})
	}
	slices.SortFunc(order, func(a, b TeamRatio) int {
		return cmp.Or(cmp.Compare(a.Ratio, b.Ratio), cmp.Compare(a.Team, b.Team))
	})
	return order
}
