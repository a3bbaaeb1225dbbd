package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// startWave declares a wave over the first n machines of pool a.
func (w *simCluster) startWave(n, maxDown int) {
	var machines []string
	for _, name := range slices.Sorted(maps.Keys(w.machines)) {
		if w.machines[name].Pool == "a" && len(machines) < n {
			machines = append(machines, name)
		}
	}
	wave := registrar.Wave{ID: 1, Machines: machines, FinishBy: time.Minute.Nanoseconds(), MaxDown: maxDown}
	w.committed, _ = w.committed.Apply(w.Now(), registrar.Command{Wave: &wave})
	w.sendView()
}

// TestBudgetsAcrossLeaders guards against a budget that two leaders use: the next one did not know of the stops and the
// machine orders that the one before had sent, nor a leader of its own order once a list had come that did not show it.
// The simulated workers and the simulated provider check the budgets.
func TestBudgetsAcrossLeaders(t *testing.T) {
	tests := map[string]struct {
		stopTime, providerDelay time.Duration
		losesReplies            bool
		tasks                   int // long-running, one a machine, of which one may be unavailable
		maxDown                 int
		load                    float64 // jobs a second, which change the order of the machines
		changeOnStop            bool    // the leader changes after a stop has been decided, else after a machine order
		keepsLeader             bool
	}{
		"a stop is under way":                         {stopTime: 900 * time.Millisecond, tasks: 5, load: 10, maxDown: 1, changeOnStop: true},
		"an order for maintenance is under way":       {providerDelay: time.Second, maxDown: 1},
		"two such orders are under way":               {providerDelay: time.Second, maxDown: 2},
		"the order ends a task":                       {providerDelay: time.Second, tasks: 5, maxDown: 2},
		"the provider's replies are lost":             {providerDelay: time.Second, losesReplies: true, maxDown: 1, keepsLeader: true},
		"replies are lost, the order ends a task":     {providerDelay: time.Second, losesReplies: true, tasks: 5, maxDown: 2, keepsLeader: true},
		"the provider's replies are lost, new leader": {providerDelay: time.Second, losesReplies: true, maxDown: 1},
	}
	for name, tt := range tests {
		for _, offset := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 600 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, leader changes after %v", name, offset), func(t *testing.T) {
				w := newSimCluster(t, 1, map[string]int{"a": 7, "standby": 2}, faults{})
				w.stopTime, w.providerDelay, w.losesReplies = tt.stopTime, tt.providerDelay, tt.losesReplies
				if tt.tasks > 0 {
					w.After(3*time.Second, func() {
						w.submit("a", registrar.Job{ID: "j", Steps: []registrar.Step{{Count: tt.tasks, CPU: 2000, Memory: 7000, MaxPerWorker: 1, LongRunning: true, MaxUnavailable: 1, HasMaxUnavailable: true}}})
					})
				}
				if tt.load > 0 {
					w.After(3*time.Second, func() { w.load([]string{"a"}, tt.load, time.Hour, time.Hour) })
				}
				w.After(8*time.Second, func() { w.startWave(5, tt.maxDown) })
				lastChange := time.Time{}
				w.Every(5*time.Millisecond, func() {
					if !tt.keepsLeader && w.Now().Sub(lastChange) > 2*time.Second && w.hasDecided(tt.changeOnStop) {
						lastChange = w.Now()
						w.After(offset, w.changeLeader)
					}
				})
				w.RunFor(68 * time.Second)
				wave, _ := w.committed.Wave(1)
				must.True(t, wave.IsComplete(), must.Sprintf("maintenance of %d of %d machines done", len(wave.Done), len(wave.Machines)))
			})
		}
	}
}

// hasDecided reports whether the leader has decided on a stop, or on an order for a machine of the wave, that is not
// carried out yet.
func (w *simCluster) hasDecided(stop bool) bool {
	if stop {
		for _, known := range w.state.workers.All() {
			if known.runs.Contains(func(r run) bool { return r.stopping }) {
				return true
			}
		}
		return false
	}
	wave, ok := w.committed.Wave(1)
	if !ok {
		return false
	}
	return slices.ContainsFunc(wave.Machines, func(name string) bool {
		m, known := w.state.fleet.machines.Get(name)
		return known && m.orderPending && m.State == messenger.MachineUp
	})
}
