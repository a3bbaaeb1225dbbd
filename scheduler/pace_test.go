package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/registrar"
)

// withPace returns a run that goes on at another pace.
func (r fakeRun) withPace(now time.Time, percent int) fakeRun {
	left := time.Duration(float64(r.end.Sub(now)) * float64(r.pace) / 100)
	r.pace = percent
	r.end = now.Add(time.Hour)
	if percent > 0 {
		r.end = now.Add(left * 100 / time.Duration(percent))
	}
	return r
}

// tail is the tail latency of a run that serves, raised by what fills beside it
// by an amount that changes within seconds.
func (w *world) tail(x *fakeWorker, r fakeRun) time.Duration {
	share := 0.5
	swing := 1 + 0.5*math.Sin(w.Now().Sub(w.start).Seconds()*2)
	for _, other := range x.runs {
		if other.fills {
			share += w.faults.disturb * swing * float64(other.pace) / 100
		}
	}
	return time.Duration(share * float64(r.target))
}

// watchTails checks that no run that serves stays over its target because of those that fill.
func (w *world) watchTails() {
	for _, x := range w.workers {
		w.expire(x)
		for name, r := range x.runs {
			if r.target == 0 || x.gone || x.dark || w.tail(x, r) <= r.target {
				r.over = time.Time{}
			} else if r.over.IsZero() {
				r.over = w.Now()
			}
			x.runs[name] = r
			if !r.over.IsZero() && w.Now().Sub(r.over) > harmTime {
				w.t.Fatalf("%v on %s is over its target for %v", name, x.ID, w.Now().Sub(r.over))
			}
		}
	}
}

// TestPace checks that tasks that fill never hold those that serve over their
// target for long, and are done all the same.
func TestPace(t *testing.T) {
	tests := map[string]struct {
		faults faults
	}{
		"no disturbance":          {},
		"some":                    {faults: faults{disturb: 0.3}},
		"much":                    {faults: faults{disturb: 1.5}},
		"orders carried out late": {faults: faults{disturb: 0.6, late: 0.1}},
		"the lead changes":        {faults: faults{disturb: 0.6, newLeader: 3 * time.Second}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range *seeds {
				w := newWorld(t, uint64(seed), map[string]int{"a": 4}, tt.faults)
				w.After(3*time.Second, func() {
					w.submit("a", registrar.Job{ID: fmt.Sprintf("%016x", 1000), Steps: []registrar.Step{
						{Count: 8, CPU: 6000, Memory: 4000, Lasting: true, Image: "serves", Target: 80 * time.Millisecond, Spread: 2},
					}})
				})
				for n := range 10 {
					w.After(time.Duration(5+n)*time.Second, func() {
						w.submit("a", registrar.Job{ID: fmt.Sprintf("%016x", 1+n), Steps: []registrar.Step{
							{Count: 4, CPU: 3000, Memory: 1000, Estimate: 2 * time.Second, Image: "fills", Fills: true},
						}})
					})
				}
				w.Every(100*time.Millisecond, w.watchTails)
				w.RunFor(100 * time.Second)
				must.EqOp(t, 4*(w.accepted-1), w.outcomes["done"], must.Sprintf("seed %d: %v", seed, w.outcomes))
			}
		})
	}
}

// TestNextPace checks the pace after a look at the tails.
func TestNextPace(t *testing.T) {
	tests := map[string]struct {
		have int
		tail float64
		next int
	}{
		"well under the target": {have: 40, tail: 0.3, next: 40 + paceFaster},
		"at full pace":          {have: 100, tail: 0.3, next: 100},
		"close to the target":   {have: 40, tail: 0.85, next: 40},
		"at the target":         {have: 100, tail: 0.95, next: 80},
		"over it":               {have: 100, tail: 1.4, next: 50},
		"over it, slow already": {have: 6, tail: 1.4, next: 0},
		"standing, with room":   {have: 0, tail: 0.2, next: paceFaster},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			must.EqOp(t, tt.next, nextPace(tt.have, tt.tail))
		})
	}
}
