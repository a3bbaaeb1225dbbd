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

// TestUpkeepWaitsForTheWorker checks that no upkeep is ordered while it is not
// known what runs on the machine: the list may name a worker that is gone.
func TestUpkeepWaitsForTheWorker(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tests := map[string]struct {
		pool    string
		worker  worker
		ordered bool
	}{
		"a worker that answers":          {pool: "a", worker: worker{Worker: registrar.Worker{ID: "i-1"}, answeredAt: now, heardAt: now}, ordered: true},
		"a worker that nobody knows":     {pool: "a", worker: worker{Worker: registrar.Worker{ID: "i-other"}, answeredAt: now, heardAt: now}},
		"a worker that missed a hold":    {pool: "a", worker: worker{Worker: registrar.Worker{ID: "i-1"}, answeredAt: now, heardAt: now, misses: 1}},
		"a worker that is silent":        {pool: "a", worker: worker{Worker: registrar.Worker{ID: "i-1"}, answeredAt: now.Add(-time.Minute), heardAt: now}},
		"a worker whose machine went":    {pool: "a", worker: worker{Worker: registrar.Worker{ID: "i-1"}, answeredAt: now, heardAt: now, left: true}},
		"a machine that is switched off": {pool: "off", worker: worker{Worker: registrar.Worker{ID: "i-other"}}, ordered: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			config := registrar.Config{Version: 1, Pools: []registrar.Pool{{Name: "a"}, {Name: "off", Standby: true}}}
			wave := registrar.Wave{ID: 1, Machines: []string{"m-1"}, Most: 1}
			register, _ := registrar.NewState().Apply(now, registrar.Command{Config: &config, Wave: &wave})
			s := NewState(Config{MaxLease: maxLease}, 1)
			s, _ = s.Step(now, messenger.JobsView{State: register, Leads: true, LeaseEnd: now.Add(time.Hour), Term: 2})
			s = s.WithWorker(tt.worker)
			s.fleet = s.fleet.withMachine(machine{Machine: messenger.Machine{Name: "m-1", Pool: tt.pool, State: messenger.MachineUp, Worker: "i-1"}})
			s.fleet.listedAt, s.tickAt, s.fleetAt = now, now, now
			s, _ = s.Step(now, messenger.Tick{})
			m, _ := s.fleet.machines.Get("m-1")
			must.EqOp(t, tt.ordered, m.out)
		})
	}
}

// TestWaveAmongTasksApart checks that tasks that last, each on a machine of its
// own, make way for the upkeep of most machines in time, and none goes twice.
func TestWaveAmongTasksApart(t *testing.T) {
	tests := map[string]struct{ bound bool }{
		"all can go elsewhere":    {},
		"one can go nowhere else": {bound: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { waveAmongTasksApart(t, tt.bound) })
	}
}

func waveAmongTasksApart(t *testing.T, bound bool) {
	for seed := range *seeds {
		w := newWorld(t, uint64(seed), map[string]int{"a": 9, "b": 5, "standby": 4}, faults{})
		most := 7 // stops, one for each machine
		if bound {
			most++
			m := w.machines["m-a-0"]
			m.Labels = append(m.Labels, "special")
			w.workers[m.Machine.Worker].Labels = m.Labels
			w.After(3*time.Second, func() {
				w.submit("a", registrar.Job{ID: fmt.Sprintf("%016x", 2), Steps: []registrar.Step{{Count: 1, CPU: 500, Memory: 500, Requires: "special", Lasting: true, MayMiss: 1, HasMayMiss: true}}})
			})
		}
		w.After(3*time.Second, func() {
			w.submit("a", registrar.Job{ID: fmt.Sprintf("%016x", 1), Steps: []registrar.Step{{Count: 8, CPU: 2000, Memory: 7000, Spread: 1, Lasting: true, MayMiss: 1, HasMayMiss: true}}})
		})
		w.After(8*time.Second, func() {
			var machines []string
			for _, name := range slices.Sorted(maps.Keys(w.machines)) {
				if w.machines[name].Pool == "a" && len(machines) < 7 {
					machines = append(machines, name)
				}
			}
			wave := registrar.Wave{ID: 1, Machines: machines, FinishBy: (20 * time.Second).Nanoseconds(), Most: 4}
			w.register, _ = w.register.Apply(w.Now(), registrar.Command{Wave: &wave})
			w.view()
		})
		if seed == 0 {
			w.Every(500*time.Millisecond, func() {
				wv, _ := w.register.Wave(1)
				n := 0
				for _, m := range w.machines {
					if m.Pool == "a" {
						n++
					}
				}
				fmt.Println(w.Now().Sub(w.start), len(wv.Done), w.outcomes, n, len(w.state.fleet.due), w.state.fleet.demands["a"].crampedAt.Sub(w.start))
			})
		}
		w.RunFor(28 * time.Second)
		wave, _ := w.register.Wave(1)
		must.True(t, wave.IsComplete(), must.Sprintf("seed %d: %d of %d done", seed, len(wave.Done), len(wave.Machines)))
		must.LessEq(t, most, w.outcomes["stopped"], must.Sprintf("seed %d: %v", seed, w.outcomes))
	}
}
