package scheduler

import (
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
