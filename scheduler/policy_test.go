package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/registrar"
)

// TestPolicies compares what serves more in time with what it replaced, each
// under the pattern of load that it answers.
func TestPolicies(t *testing.T) {
	turning := func(w *world) {
		w.After(3*time.Second, func() { w.load([]string{"a", "b", "c", "d"}, 45, 4*time.Second, 34*time.Second) })
	}
	tests := map[string]struct {
		pools  map[string]int
		faults faults
		load   func(*world)
		before func(*Config) // takes the policy out
	}{
		"peaks turn from queue to queue, each more than its pool holds: machines for the growth while they move": {
			pools: map[string]int{"a": 9, "b": 9, "c": 11, "d": 12, "standby": 8}, load: turning,
			before: func(c *Config) { c.GrowthShare = 0 },
		},
		"peaks that swell and turn from queue to queue nearly as high as the fleet": {
			pools: map[string]int{"a": 6, "b": 6, "c": 7, "d": 8, "standby": 5},
			load: func(w *world) {
				w.After(3*time.Second, func() {
					w.shapedLoad([]string{"a", "b", "c", "d"}, 80, 10*time.Second, 40*time.Second, swells(10*time.Second))
				})
			},
			before: func(c *Config) { c.GrowthShare = 0 },
		},
		"a burst of large jobs beside the peak of another queue: late work gives its machines up": {
			pools: map[string]int{"a": 12, "b": 9, "c": 9, "standby": 8},
			load: func(w *world) {
				w.After(4*time.Second, func() {
					for n := range 60 {
						w.submit("a", registrar.Job{ID: fmt.Sprintf("%016x", 1<<20+n), Steps: []registrar.Step{{Count: 12, CPU: 4000, Memory: 1000, Estimate: 1500 * time.Millisecond}}})
					}
				})
				w.After(8*time.Second, func() { w.load([]string{"b"}, 30, time.Hour, 13*time.Second) })
			},
			before: func(c *Config) { c.LateHolds = true },
		},
		"some workers take eight times as long and answer as usual: they are set aside": {
			pools: map[string]int{"a": 12, "b": 12, "standby": 4}, faults: faults{slow: 0.12},
			load: func(w *world) {
				w.After(3*time.Second, func() { w.load([]string{"a", "b"}, 14, 4*time.Second, 20*time.Second) })
			},
			before: func(c *Config) { c.SlowSpeed = 0 },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			run := func(change func(*Config)) float64 {
				sum := 0.0
				for seed := range *seeds {
					w := newWorld(t, uint64(seed), tt.pools, tt.faults)
					change(&w.state.cfg)
					tt.load(w)
					w.RunFor(45 * time.Second)
					share, _ := w.inTime()
					sum += share
				}
				return sum / float64(*seeds)
			}
			with, without := run(func(*Config) {}), run(tt.before)
			t.Logf("%s: in time: %.3f, before %.3f", name, with, without)
			must.Greater(t, without, with)
		})
	}
}
