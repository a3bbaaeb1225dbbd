package sharer

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/registrar"
)

// TestStartable guards against starts beyond a limit, and against a limit of one kind of resource that holds back tasks
// which do not need that kind.
func TestStartable(t *testing.T) {
	limit := registrar.Resources{CPU: 4000, Memory: 100, GPU: 2}
	tests := map[string]struct {
		limit, used, demand registrar.Resources
		want                int
	}{
		"no limit":                        {demand: registrar.Resources{CPU: 1}, used: limit, want: math.MaxInt32},
		"nothing used":                    {limit: limit, demand: registrar.Resources{CPU: 1000}, want: 4},
		"the scarcest kind counts":        {limit: limit, demand: registrar.Resources{CPU: 1000, Memory: 40}, want: 2},
		"partly used":                     {limit: limit, used: registrar.Resources{CPU: 2500}, demand: registrar.Resources{CPU: 1000}, want: 1},
		"used up":                         {limit: limit, used: limit, demand: registrar.Resources{CPU: 1}},
		"above a limit that was lowered":  {limit: limit, used: registrar.Resources{CPU: 9000}, demand: registrar.Resources{CPU: 1}},
		"used up, but another kind":       {limit: limit, used: registrar.Resources{GPU: 3}, demand: registrar.Resources{CPU: 2000}, want: 2},
		"a task that alone exceeds it":    {limit: limit, demand: registrar.Resources{GPU: 3}},
		"limit of one kind":               {limit: registrar.Resources{GPU: 1}, demand: registrar.Resources{CPU: 1 << 30, GPU: 1}, want: 1},
		"tasks that need nothing limited": {limit: registrar.Resources{GPU: 1}, demand: registrar.Resources{CPU: 1}, want: math.MaxInt32},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := NewQuota(tt.limit, tt.used)
			must.EqOp(t, tt.want, q.Startable(tt.demand))
			if tt.want > 0 && tt.want < math.MaxInt32 {
				must.EqOp(t, 1, q.WithStarts(tt.want-1, tt.demand).Startable(tt.demand))
				must.EqOp(t, 0, q.WithStarts(tt.want, tt.demand).Startable(tt.demand))
			}
		})
	}
}

// TestOversized guards against tasks that are never admitted since they exceed the limit of their team (review/15), and
// against more than one task above it.
func TestOversized(t *testing.T) {
	limit := registrar.Resources{CPU: 4000, Memory: 100, GPU: 2}
	tests := map[string]struct {
		used, longRunning, demand registrar.Resources
		n                         int
		neverFits, admitted       bool
	}{
		"fits":                            {demand: registrar.Resources{CPU: 4000}, n: 1, admitted: true},
		"waits for room":                  {used: registrar.Resources{CPU: 1000}, demand: registrar.Resources{CPU: 4000}, n: 1},
		"exceeds it, nothing used":        {demand: registrar.Resources{CPU: 64_000}, n: 1, neverFits: true, admitted: true},
		"exceeds it, less than half used": {used: registrar.Resources{CPU: 1999}, demand: registrar.Resources{CPU: 4001}, n: 1, neverFits: true, admitted: true},
		"exceeds it, half used":           {used: registrar.Resources{CPU: 2000}, demand: registrar.Resources{CPU: 4001}, n: 1, neverFits: true},
		"beside long-running tasks":       {used: registrar.Resources{CPU: 1500}, longRunning: registrar.Resources{CPU: 1500}, demand: registrar.Resources{CPU: 3000}, n: 1, neverFits: true, admitted: true},
		"no room beside long-running":     {used: registrar.Resources{CPU: 3000}, longRunning: registrar.Resources{CPU: 3000}, demand: registrar.Resources{CPU: 3000}, n: 1, neverFits: true},
		"memory":                          {used: registrar.Resources{CPU: 3000}, demand: registrar.Resources{CPU: 1000, Memory: 101}, n: 1, neverFits: true, admitted: true},
		"memory, no processor left":       {used: registrar.Resources{CPU: 3001}, demand: registrar.Resources{CPU: 1000, Memory: 101}, n: 1, neverFits: true},
		"accelerators":                    {used: registrar.Resources{Memory: 100}, demand: registrar.Resources{GPU: 3}, n: 1, neverFits: true, admitted: true},
		"a kind that it does not need":    {used: registrar.Resources{GPU: 9}, demand: registrar.Resources{CPU: 4001}, n: 1, neverFits: true, admitted: true},
		"a gang by one task":              {demand: registrar.Resources{CPU: 1500}, n: 3, neverFits: true, admitted: true},
		"a gang by one task, beside":      {used: registrar.Resources{CPU: 1001}, demand: registrar.Resources{CPU: 1500}, n: 3, neverFits: true},
		"a gang by two tasks":             {demand: registrar.Resources{CPU: 1500}, n: 4, neverFits: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := NewQuota(limit, tt.used).WithLongRunning(tt.longRunning)
			must.EqOp(t, tt.neverFits, q.NeverFits(tt.n, tt.demand))
			must.EqOp(t, tt.admitted, q.Admits(tt.n, tt.demand))
			if tt.admitted && tt.neverFits {
				must.False(t, q.WithStarts(tt.n, tt.demand).Admits(1, tt.demand), must.Sprint("one at a time"))
			}
		})
	}
}

// TestCreditOfIdleTeam guards against a team that saves up credit while it is idle: after an hour without use, it is
// below its share for a few seconds only. It also checks that a record at a new leader ranks teams by what they run.
func TestCreditOfIdleTeam(t *testing.T) {
	weights := map[string]float64{"idle": 1, "busy": 1}
	now := time.Unix(1_800_000_000, 0)
	r := Record{}.With(now, map[string]float64{"busy": 10, "idle": 1})
	must.EqOp(t, 0, NewShares(r, weights).Rank("idle", 0))
	must.EqOp(t, 1, NewShares(r, weights).Rank("busy", 0))
	for range 3600 {
		now = now.Add(time.Second)
		r = r.With(now, map[string]float64{"busy": 10})
	}
	below := time.Duration(0)
	for NewShares(r, weights).Rank("idle", 0) == 0 {
		now, below = now.Add(100*time.Millisecond), below+100*time.Millisecond
		r = r.With(now, map[string]float64{"busy": 5, "idle": 20})
	}
	must.Between(t, 100*time.Millisecond, below, 5*time.Second)
	must.EqOp(t, "busy", NewShares(r, weights).Order()[0].Team)
	must.EqOp(t, maxRank, NewShares(r, weights).Rank("idle", 1e9))
}

// TestScaleOfWeights guards against ranks that depend on the scale of the weights, and against those that are no number:
// with weights of 1e-6, all teams that used anything had the highest rank.
func TestScaleOfWeights(t *testing.T) {
	tests := map[string]float64{"one": 1, "small": 1e-6, "large": 1 << 30, "the smallest": math.SmallestNonzeroFloat64}
	for name, weight := range tests {
		t.Run(name, func(t *testing.T) {
			r := Record{}.With(time.Unix(1_800_000_000, 0), map[string]float64{"busy": 10, "slack": 1})
			s := NewShares(r, map[string]float64{"busy": weight, "slack": weight, "idle": weight})
			must.EqOp(t, 0, s.Rank("idle", 0))
			must.Between(t, 0, s.Rank("busy", 0), maxRank)
			if weight > minWeight {
				must.EqOp(t, 2, s.Rank("busy", 0))
				must.EqOp(t, 0, s.Rank("slack", 0))
			}
		})
	}
}
