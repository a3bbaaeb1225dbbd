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
		run      func(w *World)
		want     string // part of a violation
	}{
		"without claims a key starts twice": {
			disabled: Config{AdjustClaims: claimer.Claims.WithoutExclusion},
			run: func(w *World) {
				for n := range 20 {
					spec := RequestSpec{Service: "build", Customer: "school", Key: fmt.Sprintf("k%d", n), Body: "b", RunTime: 100 * time.Millisecond}
					w.Submit(w.Entry("a1"), spec)
					w.Submit(w.Entry("b1"), spec)
				}
				w.RunFor(5 * time.Second)
			},
			want: "started on",
		},
		"without epochs a partitioned zone uses an instance of another pool": {
			disabled: Config{AdjustContract: emulator.State.WithoutEpochs},
			run: func(w *World) {
				leader := w.Leader()
				stale := w.Entry("a1")
				if leader.Zone == stale.Zone {
					stale = w.Entry("b1")
				}
				k := w.workers[len(w.workers)-1]
				if k.Zone == stale.Zone {
					k = w.workers[0]
				}
				i, _ := leader.view.State.Instance(k.Name)
				target := "build"
				if i.Pool == target {
					target = "seed"
				}
				w.RunFor(announceInterval)
				for _, e := range w.entries {
					e.Isolate(e.Zone == stale.Zone) // the zone does not learn of the move and still considers the endpoint alive
				}
				w.Propose(leader, keeper.Command{Kind: keeper.Drain, Proposer: "operator", ChangeID: "move", Instance: i, Target: target})
				for moved := i; moved.State != keeper.Serving || moved.Pool != target; { // short steps: the move must complete before the isolated zone times out the endpoint
					w.RunFor(syncTime)
					moved, _ = leader.view.State.Instance(k.Name)
				}
				for n := range 60 { // enough requests to reach the moved instance from both sides
					for range 12 {
						w.Submit(leader, RequestSpec{Service: target, Customer: "school", Body: fmt.Sprintf("new %d", n), RunTime: 60 * time.Millisecond})
						w.Submit(stale, RequestSpec{Service: i.Pool, Customer: "school", Body: fmt.Sprintf("old %d", n), RunTime: 60 * time.Millisecond})
					}
					w.RunFor(20 * time.Millisecond)
				}
			},
			want: "after epoch",
		},
		"without distinguishing a lost connection from a refusal a refused request ran": {
			disabled: Config{AdjustNode: func(cfg *assembler.Config) { cfg.Answerer.RetryIncomplete = true }},
			run: func(w *World) {
				for range 40 {
					w.Submit(w.randomEntry(), RequestSpec{Service: "build", Customer: "school", Body: "b", RunTime: 400 * time.Millisecond})
				}
				w.RunFor(100 * time.Millisecond)
				for _, k := range w.workers {
					k.Kill()
				}
				w.RunFor(12 * time.Second)
			},
			want: "was refused",
		},
		"without refusals a partitioned zone starts work on an endpoint that left": {
			disabled: Config{AdjustContract: emulator.State.WithoutRefusals},
			run: func(w *World) {
				k := w.workers[len(w.workers)-1]
				isolated := w.Entry("a1")
				i, _ := isolated.view.State.Instance(k.Name)
				w.RunFor(announceInterval)
				for _, e := range w.entries {
					e.Isolate(e.Zone == isolated.Zone)
				}
				k.Leave()
				w.RunFor(leaveGracePeriod)
				for range 60 { // more requests than the endpoints of its own zone accept
					for range 12 {
						w.Submit(isolated, RequestSpec{Service: i.Pool, Customer: "school", Body: "b", RunTime: 60 * time.Millisecond})
					}
					w.RunFor(20 * time.Millisecond)
				}
			},
			want: "after it left",
		},
		"without budgets a wave drains more instances than allowed": {
			disabled: Config{AdjustState: keeper.State.WithoutBudgets},
			run: func(w *World) {
				w.Propose(w.entries[0], keeper.Command{Kind: keeper.StartWave, Proposer: "operator", ChangeID: "wave"})
				w.RunFor(20 * time.Second)
			},
			want: "drain of",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			tc.disabled.Seed = 1
			disabled := newFleet(tc.disabled)
			tc.run(disabled)
			disabled.Heal()
			disabled.RunFor(20 * time.Second)
			disabled.Check()
			must.True(t, strings.Contains(strings.Join(disabled.Violations, "\n"), tc.want), must.Sprintf("disabled: %d violations", len(disabled.Violations)))
			t.Logf("expected violation: %s", disabled.Violations[0])

			enabled := newFleet(Config{Seed: 1})
			tc.run(enabled)
			enabled.healAndCheck(t)
		})
	}
}

// TestEjection compares the failures that callers see with and without outlier
// ejection, summed over several seeds because the failures of one seed are too few
// to compare.
func TestEjection(t *testing.T) {
	const ejectionSeeds = 5
	failures := func(seed uint64, disableEjection bool) int {
		w := newFleet(Config{Seed: seed, AdjustNode: func(cfg *assembler.Config) { cfg.Placer.DisableEjection = disableEjection }})
		w.workers[0].Fail = true
		for range 60 {
			w.submitRandom(10)
			w.RunFor(250 * time.Millisecond)
		}
		w.healAndCheck(t)
		return w.countAnswers(messenger.Failed)
	}
	disabled, enabled := 0, 0
	for seed := range uint64(ejectionSeeds) {
		disabled += failures(seed+1, true)
		enabled += failures(seed+1, false)
	}
	t.Logf("failed of %d requests: %d without ejection, %d with it", 600*ejectionSeeds, disabled, enabled)
	must.Less(t, disabled, 2*enabled)
}
