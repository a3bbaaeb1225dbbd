package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/registrar"
)

// withPace returns the run with its pace changed at time now, and its end moved accordingly.
func (r fakeRun) withPace(now time.Time, percent int) fakeRun {
	remaining := time.Duration(float64(r.end.Sub(now)) * float64(r.pace) / 100)
	r.pace = percent
	r.end = now.Add(time.Hour)
	if percent > 0 {
		r.end = now.Add(remaining * 100 / time.Duration(percent))
	}
	return r
}

// tailLatency returns the tail latency of a run with a latency target: half the target, raised by the
// best-effort runs on the same worker by an amount that varies within seconds.
func (w *simCluster) tailLatency(x *fakeWorker, r fakeRun) time.Duration {
	share := 0.5
	swing := 1 + 0.5*math.Sin(w.Now().Sub(w.start).Seconds()*2)
	for _, other := range x.runs {
		if other.bestEffort {
			share += w.faults.interference * swing * float64(other.pace) / 100
		}
	}
	return time.Duration(share * float64(r.latencyTarget))
}

// checkTailLatencies fails the test if a run exceeds its latency target for longer than
// maxOverTarget because of best-effort runs.
func (w *simCluster) checkTailLatencies() {
	for _, x := range w.workers {
		w.endDueRuns(x)
		for id, r := range x.runs {
			if r.latencyTarget == 0 || x.gone || x.unreachable || w.tailLatency(x, r) <= r.latencyTarget {
				r.overTargetSince = time.Time{}
			} else if r.overTargetSince.IsZero() {
				r.overTargetSince = w.Now()
			}
			x.runs[id] = r
			if !r.overTargetSince.IsZero() && w.Now().Sub(r.overTargetSince) > maxOverTarget {
				w.t.Fatalf("%v on %s has exceeded its latency target for %v", id, x.ID, w.Now().Sub(r.overTargetSince))
			}
		}
	}
}

// TestPace checks that tasks exceed their latency target for a short time only, although best-effort
// tasks run beside them, and that the best-effort tasks still complete.
func TestPace(t *testing.T) {
	tests := map[string]struct {
		faults faults
	}{
		"no interference":          {},
		"moderate interference":    {faults: faults{interference: 0.3}},
		"strong interference":      {faults: faults{interference: 1.5}},
		"orders are executed late": {faults: faults{interference: 0.6, lateOrders: 0.1}},
		"leader changes":           {faults: faults{interference: 0.6, leaderChangeEvery: 3 * time.Second}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range *seeds {
				w := newSimCluster(t, uint64(seed), map[string]int{"a": 4}, tt.faults)
				w.After(3*time.Second, func() {
					w.submit("a", registrar.Job{ID: fmt.Sprintf("%016x", 1000), Steps: []registrar.Step{
						{Count: 8, CPU: 6000, Memory: 4000, LongRunning: true, Image: "serves", LatencyTarget: 80 * time.Millisecond, MaxPerWorker: 2},
					}})
				})
				for n := range 10 {
					w.After(time.Duration(5+n)*time.Second, func() {
						w.submit("a", registrar.Job{ID: fmt.Sprintf("%016x", 1+n), Steps: []registrar.Step{
							{Count: 4, CPU: 3000, Memory: 1000, Estimate: 2 * time.Second, Image: "fills", BestEffort: true},
						}})
					})
				}
				w.Every(100*time.Millisecond, w.checkTailLatencies)
				w.RunFor(100 * time.Second)
				// All jobs but the one with a latency target consist of four best-effort tasks.
				must.EqOp(t, 4*(w.accepted-1), w.outcomes["done"], must.Sprintf("seed %d: best-effort tasks did not complete; ended runs by reason: %v", seed, w.outcomes))
			}
		})
	}
}

// TestNextPace checks how the pace changes, for a current pace and a tail ratio.
func TestNextPace(t *testing.T) {
	tests := map[string]struct {
		current   int
		tailRatio float64
		next      int
	}{
		"well under the target":            {current: 40, tailRatio: 0.3, next: 40 + paceIncrease},
		"at full pace":                     {current: 100, tailRatio: 0.3, next: 100},
		"between the thresholds":           {current: 40, tailRatio: 0.85, next: 40},
		"just below the target":            {current: 100, tailRatio: 0.95, next: 80},
		"above the target":                 {current: 100, tailRatio: 1.4, next: 50},
		"above the target at a low pace":   {current: 6, tailRatio: 1.4, next: 0},
		"at pace 0, well under the target": {current: 0, tailRatio: 0.2, next: paceIncrease},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			must.EqOp(t, tt.next, nextPace(tt.current, tt.tailRatio))
		})
	}
}
