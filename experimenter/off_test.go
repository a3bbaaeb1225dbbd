package experimenter

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/assembler"
	"laburnumwind/claimer"
	"laburnumwind/emulator"
	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// TestMechanismOff shows that each mechanism is needed: the same run violates an
// invariant with the mechanism disabled, and none with it enabled.
func TestMechanismOff(t *testing.T) {
	tests := map[string]struct {
		disabled Config
		run      func(cl *Cluster)
		want     string // part of a violation
	}{
		"without claims a key starts twice": {
			disabled: Config{AdjustClaims: claimer.Claims.WithoutExclusion},
			run: func(cl *Cluster) {
				for n := range 20 {
					spec := RequestSpec{Service: "build", Customer: "school", Key: fmt.Sprintf("k%d", n), Body: "b", RunTime: 100 * time.Millisecond}
					cl.Submit(cl.Entry("a1"), spec)
					cl.Submit(cl.Entry("b1"), spec)
				}
				cl.RunFor(5 * time.Second)
			},
			want: "started on",
		},
		"without epochs a partitioned zone uses an instance of another pool": {
			disabled: Config{AdjustContract: emulator.State.WithoutEpochs},
			run: func(cl *Cluster) {
				leader := cl.Leader()
				stale := cl.Entry("a1")
				if leader.Zone == stale.Zone {
					stale = cl.Entry("b1")
				}
				w := cl.workers[len(cl.workers)-1]
				if w.Zone == stale.Zone {
					w = cl.workers[0]
				}
				i, _ := leader.view.State.Instance(w.Name)
				target := "build"
				if i.Pool == target {
					target = "seed"
				}
				cl.RunFor(announceInterval)
				for _, e := range cl.entries {
					e.Isolate(e.Zone == stale.Zone) // the zone does not learn of the move and still considers the endpoint alive
				}
				cl.Propose(leader, keeper.Command{Kind: keeper.Drain, Proposer: "operator", ChangeID: "move", Instance: i, Target: target})
				for moved := i; moved.State != keeper.Serving || moved.Pool != target; { // short steps, because the requests must be sent before the isolated zone considers the endpoint lost
					cl.RunFor(minSyncDuration)
					moved, _ = leader.view.State.Instance(w.Name)
				}
				for n := range 60 { // enough requests to reach the moved instance from both sides of the partition
					for range 12 {
						cl.Submit(leader, RequestSpec{Service: target, Customer: "school", Body: fmt.Sprintf("new %d", n), RunTime: 60 * time.Millisecond})
						cl.Submit(stale, RequestSpec{Service: i.Pool, Customer: "school", Body: fmt.Sprintf("old %d", n), RunTime: 60 * time.Millisecond})
					}
					cl.RunFor(20 * time.Millisecond)
				}
			},
			want: "after epoch",
		},
		"without uncertain outcomes for lost connections a request that started is refused": {
			disabled: Config{AdjustNode: func(cfg *assembler.Config) { cfg.Answerer.RetryIncomplete = true }},
			run: func(cl *Cluster) {
				for range 40 {
					cl.Submit(cl.randomEntry(), RequestSpec{Service: "build", Customer: "school", Body: "b", RunTime: 400 * time.Millisecond})
				}
				cl.RunFor(100 * time.Millisecond)
				for _, w := range cl.workers {
					w.Kill()
				}
				cl.RunFor(12 * time.Second)
			},
			want: "was refused",
		},
		"without refusals a partitioned zone starts work on an endpoint that left": {
			disabled: Config{AdjustContract: emulator.State.WithoutRefusals},
			run: func(cl *Cluster) {
				w := cl.workers[len(cl.workers)-1]
				isolated := cl.Entry("a1")
				i, _ := isolated.view.State.Instance(w.Name)
				cl.RunFor(announceInterval)
				for _, e := range cl.entries {
					e.Isolate(e.Zone == isolated.Zone)
				}
				w.Leave()
				cl.RunFor(leaveGracePeriod)
				for range 60 { // more requests than the endpoints of the isolated zone accept, so that some go to other zones
					for range 12 {
						cl.Submit(isolated, RequestSpec{Service: i.Pool, Customer: "school", Body: "b", RunTime: 60 * time.Millisecond})
					}
					cl.RunFor(20 * time.Millisecond)
				}
			},
			want: "after it left",
		},
		"without budgets a wave drains more instances than allowed": {
			disabled: Config{AdjustState: keeper.State.WithoutBudgets},
			run: func(cl *Cluster) {
				cl.Propose(cl.entries[0], keeper.Command{Kind: keeper.StartWave, Proposer: "operator", ChangeID: "wave"})
				cl.RunFor(20 * time.Second)
			},
			want: "drain of",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			tc.disabled.Seed = 1
			disabled := newTestCluster(tc.disabled)
			tc.run(disabled)
			disabled.Heal()
			disabled.RunFor(20 * time.Second)
			disabled.Check()
			must.True(t, strings.Contains(strings.Join(disabled.Violations, "\n"), tc.want), must.Sprintf("%d violations with the mechanism disabled, but not the expected one", len(disabled.Violations)))
			t.Logf("first violation with the mechanism disabled: %s", disabled.Violations[0])

			enabled := newTestCluster(Config{Seed: 1})
			tc.run(enabled)
			enabled.healAndCheck(t)
		})
	}
}

// TestEjection checks that outlier ejection reduces the failures that callers see to
// less than half. It sums them over several seeds, because the failures of one seed
// are too few to compare.
func TestEjection(t *testing.T) {
	const ejectionSeeds = 5
	failures := func(seed uint64, disableEjection bool) int {
		cl := newTestCluster(Config{Seed: seed, AdjustNode: func(cfg *assembler.Config) { cfg.Placer.DisableEjection = disableEjection }})
		cl.workers[0].Fail = true
		for range 60 {
			cl.submitRandom(10)
			cl.RunFor(250 * time.Millisecond)
		}
		cl.healAndCheck(t)
		return cl.countAnswers(messenger.Failed)
	}
	disabled, enabled := 0, 0
	for seed := range uint64(ejectionSeeds) {
		disabled += failures(seed+1, true)
		enabled += failures(seed+1, false)
	}
	t.Logf("failed of %d requests: %d without ejection, %d with it", 600*ejectionSeeds, disabled, enabled)
	must.Less(t, disabled, 2*enabled)
}
