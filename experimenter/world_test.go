package experimenter

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/assembler"
	"laburnumwind/claimer"
	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

var seeds = flag.Int("seeds", 3, "number of seeds of each randomized run")

// declarations returns five services on five pools of four workers, the smallest
// fleet that the fault tests need.
func declarations(maxDown int) keeper.Declarations {
	d := keeper.Declarations{}
	services := []string{"build", "seed", "check", "assemble", "billing"}
	for _, name := range services {
		d.Pools = append(d.Pools, keeper.Pool{Name: name, Size: 4, Lendable: true, Spare: name == "billing"})
		d.Services = append(d.Services, keeper.Service{Name: name, Pool: name, Share: 1})
	}
	for n, name := range []string{"school", "notary"} {
		d.Customers = append(d.Customers, keeper.Customer{
			Name: name, Token: fmt.Sprintf("%064d", n), Weight: 1, Services: services,
			Budget: keeper.Budget{MaxDown: maxDown, Downtime: 24 * time.Hour, Window: 30 * 24 * time.Hour},
		})
	}
	return d
}

func newFleet(cfg Config) *World {
	cfg.Zones = []string{"a", "b", "c"}
	cfg.Workers = NewWorkerConfigs(20, 4, cfg.Zones)
	w := NewWorld(cfg)
	w.RunFor(2 * time.Second)
	w.Apply(w.entries[0], declarations(3), 0, "first")
	w.RunFor(4 * time.Second)
	return w
}

func (w *World) randomEntry() *Entry { return w.entries[w.random.IntN(len(w.entries))] }

// submitRandom sends n requests to random services and entry instances. Some are sent
// twice with the same key, and some are canceled.
func (w *World) submitRandom(n int) {
	services := []string{"build", "seed", "check", "assemble", "billing"}
	for range n {
		spec := RequestSpec{
			Service:  services[w.random.IntN(len(services))],
			Customer: []string{"school", "notary"}[w.random.IntN(2)],
			Urgency:  w.random.IntN(8),
			RunTime:  20*time.Millisecond + w.randomDuration(400*time.Millisecond),
			Body:     fmt.Sprintf("body %d", len(w.Calls)),
		}
		switch w.random.IntN(3) {
		case 0:
			spec.Idempotent = true
		case 1:
			spec.Key = fmt.Sprintf("key %d", len(w.Calls))
			w.Submit(w.randomEntry(), spec)
			if w.random.IntN(2) == 0 { // the caller sends it again within 3 s, possibly to another entry instance
				w.After(w.randomDuration(3*time.Second), func() { w.Submit(w.randomEntry(), spec) })
			}
			continue
		}
		c := w.Submit(w.randomEntry(), spec)
		if c != nil && w.random.IntN(20) == 0 {
			w.After(w.randomDuration(time.Second), func() { w.Cancel(c) })
		}
	}
}

func (w *World) healAndCheck(t *testing.T) {
	t.Helper()
	w.Heal()
	w.RunFor(40 * time.Second)
	w.Check()
	must.SliceEmpty(t, w.Violations, must.Sprint(w.Violations[:min(len(w.Violations), 5)]))
}

func (w *World) countAnswers(outcome messenger.Outcome) int {
	n := 0
	for _, c := range w.Calls {
		if c.Answered && c.Answer.Outcome == outcome {
			n++
		}
	}
	return n
}

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		run  func(w *World)
		want func(t *testing.T, w *World)
	}{
		"no fault": {
			run: func(w *World) { w.submitRandom(100); w.RunFor(5 * time.Second) },
			want: func(t *testing.T, w *World) {
				must.Eq(t, 0, w.countAnswers(messenger.Uncertain))
				must.Eq(t, 0, w.countAnswers(messenger.Failed))
			},
		},
		"one key at two entry instances at once": {
			run: func(w *World) {
				for n := range 40 {
					spec := RequestSpec{Service: "build", Customer: "school", Key: fmt.Sprintf("k%d", n), Body: "b", RunTime: 100 * time.Millisecond}
					w.Submit(w.Entry("a1"), spec)
					w.Submit(w.Entry("b1"), spec)
					w.Submit(w.Entry("c2"), spec)
					w.RunFor(20 * time.Millisecond)
				}
				w.RunFor(5 * time.Second)
			},
			want: func(t *testing.T, w *World) { must.Eq(t, 40, w.countAnswers(messenger.Answered)) },
		},
		"a repeated key gets the stored answer": {
			run: func(w *World) {
				spec := RequestSpec{Service: "build", Customer: "school", Key: "k", Body: "b", RunTime: 100 * time.Millisecond}
				w.Submit(w.Entry("a1"), spec)
				w.RunFor(time.Second)
				w.Submit(w.Entry("c2"), spec)
				w.RunFor(time.Second)
				spec.Body = "another"
				w.Submit(w.Entry("b2"), spec)
				w.RunFor(time.Second)
			},
			want: func(t *testing.T, w *World) {
				must.Eq(t, 2, w.countAnswers(messenger.Answered))
				must.True(t, w.Calls[1].Answer.Replayed)
				must.Eq(t, messenger.KeyMismatch, w.Calls[2].Answer.Reason)
			},
		},
		"an entry instance crashes between claim and answer": {
			run: func(w *World) {
				for n := range 20 {
					w.Submit(w.Entry("a2"), RequestSpec{Service: "build", Customer: "school", Key: fmt.Sprintf("k%d", n), Body: "b", RunTime: 300 * time.Millisecond})
				}
				w.RunFor(time.Duration(w.random.IntN(12)) * time.Millisecond)
				w.Entry("a2").Crash()
				w.RunFor(15 * time.Second) // the claimer's sweep asks the endpoints for the outcome
				for n := range 20 {
					w.Submit(w.Entry("b1"), RequestSpec{Service: "build", Customer: "school", Key: fmt.Sprintf("k%d", n), Body: "b", RunTime: 300 * time.Millisecond})
				}
				w.RunFor(15 * time.Second)
			},
			want: func(t *testing.T, w *World) { must.Eq(t, 20, w.countAnswers(messenger.Answered)) },
		},
		"a clock a day ahead in all instances after an answer": {
			run: func(w *World) { repeatAfterClockSkew(w, maxClockSkew) },
			want: func(t *testing.T, w *World) {
				must.Eq(t, 1, w.countAnswers(messenger.Answered))
				must.Eq(t, messenger.Refused, w.Calls[1].Answer.Outcome) // the key has expired
			},
		},
		"a clock a day behind in all instances after an answer": {
			run: func(w *World) { repeatAfterClockSkew(w, -maxClockSkew) },
			want: func(t *testing.T, w *World) {
				must.Eq(t, 2, w.countAnswers(messenger.Answered))
				must.True(t, w.Calls[1].Answer.Replayed)
			},
		},
		"an entry instance with its clock a day ahead crashes between claim and answer": {
			run: func(w *World) {
				e := w.Entry("a2")
				e.Crash()
				e.SetClockSkew(maxClockSkew)
				e.Restart()
				w.RunFor(5 * time.Second)
				spec := RequestSpec{Service: "build", Customer: "school", Key: "k", Body: "b", RunTime: 300 * time.Millisecond}
				w.Submit(e, spec)
				w.RunFor(30 * time.Millisecond)
				e.Crash()
				w.RunFor(claimer.MaxClaimDeadline + 10*time.Second) // the claimer's sweep asks the endpoint for the outcome
				w.Submit(w.Entry("b1"), spec)
				w.RunFor(5 * time.Second)
			},
			want: func(t *testing.T, w *World) {
				must.Eq(t, 1, w.countAnswers(messenger.Answered))
				must.Len(t, 1, w.Starts)
			},
		},
		"a partitioned zone": {
			run: func(w *World) {
				w.PartitionZone("a", true)
				w.RunFor(5 * time.Second)
				w.Submit(w.Entry("a1"), RequestSpec{Service: "check", Customer: "school", Key: "k", Body: "keyed", RunTime: 50 * time.Millisecond})
				w.Submit(w.Entry("a1"), RequestSpec{Service: "build", Customer: "school", Body: "keyless", RunTime: 50 * time.Millisecond})
				w.RunFor(6 * time.Second)
			},
			want: func(t *testing.T, w *World) {
				must.Eq(t, messenger.Refused, w.Calls[0].Answer.Outcome)
				must.Eq(t, messenger.Answered, w.Calls[1].Answer.Outcome)
			},
		},
		"the leader is isolated while operators race": {
			run: func(w *World) {
				old := w.Leader()
				old.Isolate(true)
				w.Apply(old, declarations(2), 1, "at the old leader")
				w.RunFor(3 * time.Second)
				for _, e := range w.entries {
					if e != old {
						w.Apply(e, declarations(4), 1, "of "+e.Name)
					}
				}
				w.RunFor(3 * time.Second)
				old.Isolate(false)
				w.RunFor(5 * time.Second)
			},
			want: func(t *testing.T, w *World) {
				accepted := 0
				for _, c := range w.Changes {
					if c.Done && c.Result.Code == keeper.Accepted && c.Expected == 1 {
						accepted++
					}
				}
				must.Eq(t, 1, accepted)
			},
		},
		"a change sent again after a lost answer and a restart of all": {
			run: func(w *World) {
				w.Apply(w.entries[1], declarations(2), 1, "once")
				w.RunFor(2 * time.Second)
				for _, e := range w.entries {
					e.Crash()
				}
				w.RunFor(time.Second)
				for _, e := range w.entries {
					e.Restart()
				}
				w.RunFor(5 * time.Second)
				w.Apply(w.entries[4], declarations(2), 1, "once")
				w.RunFor(3 * time.Second)
			},
			want: func(t *testing.T, w *World) {
				last := w.Changes[len(w.Changes)-1]
				must.True(t, last.Done)
				must.Eq(t, keeper.Accepted, last.Result.Code)
			},
		},
		"a worker leaves under load": {
			run: func(w *World) {
				w.submitRandom(60)
				w.RunFor(50 * time.Millisecond)
				w.workers[0].Leave()
				w.workers[7].Leave()
				w.submitRandom(60)
				w.RunFor(10 * time.Second)
			},
			want: func(t *testing.T, w *World) {
				must.Eq(t, 0, w.countAnswers(messenger.Uncertain))
				for _, s := range w.Starts {
					k := w.worker(s.Worker)
					must.False(t, k.leaving && s.At.After(k.LeftAt.Add(2*time.Second)))
				}
			},
		},
		"a wave through the fleet under load": {
			run: func(w *World) {
				w.Propose(w.entries[2], keeper.Command{Kind: keeper.StartWave, Proposer: "operator", ChangeID: "wave", MaxFailed: 1})
				for range 60 {
					w.submitRandom(10)
					w.RunFor(time.Second)
				}
			},
			want: func(t *testing.T, w *World) {
				wave := w.entries[0].view.State.Wave()
				must.Eq(t, keeper.WaveDone, wave.State)
				must.Eq(t, 20, wave.Done)
				must.Eq(t, 0, w.countAnswers(messenger.Uncertain)) // a drain interrupts no request
				must.Eq(t, 0, w.countAnswers(messenger.Failed))
			},
		},
		"a rack is lost and the leader crashes during a wave": {
			run: func(w *World) {
				w.Propose(w.entries[2], keeper.Command{Kind: keeper.StartWave, Proposer: "operator", ChangeID: "wave", MaxFailed: 1})
				w.RunFor(8 * time.Second)
				rack := w.workers[4].Rack
				for _, k := range w.workers {
					if k.Rack == rack {
						k.Kill()
					}
				}
				w.RunFor(2 * time.Second)
				leader := w.Leader()
				leader.Crash()
				w.submitRandom(40)
				w.RunFor(20 * time.Second)
				for _, k := range w.workers {
					k.Restart()
				}
				leader.Restart()
				w.RunFor(60 * time.Second)
			},
			want: func(t *testing.T, w *World) {
				wave := w.entries[0].view.State.Wave()
				must.Eq(t, keeper.WaveDone, wave.State, must.Sprintf("%+v", wave))
			},
		},
		"a wave that fails stops by itself": {
			run: func(w *World) {
				w.cfg.Reboot = time.Hour // no instance returns from its reboot
				w.Propose(w.entries[1], keeper.Command{Kind: keeper.StartWave, Proposer: "operator", ChangeID: "wave", MaxFailed: 1})
				w.RunFor(40 * time.Second)
			},
			want: func(t *testing.T, w *World) {
				wave := w.entries[0].view.State.Wave()
				must.Eq(t, keeper.WaveStopped, wave.State)
				for _, p := range w.entries[0].view.State.Declarations().Pools {
					for _, s := range w.entries[0].view.State.BudgetStatuses(w.Now(), p.Name) {
						must.LessEq(t, s.MaxDown, s.Down)
					}
				}
			},
		},
		"a worker that fails everything": {
			run: func(w *World) {
				w.workers[0].Fail = true
				for range 40 {
					w.submitRandom(10)
					w.RunFor(250 * time.Millisecond)
				}
			},
			want: func(t *testing.T, w *World) {
				must.Less(t, 60, w.countAnswers(messenger.Failed)) // of 400 requests; without ejection its short queue would attract most of them
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(*seeds) {
				w := newFleet(Config{Seed: seed + 1, AdjustNode: func(cfg *assembler.Config) { cfg.Planner.RebootTimeout = 20 * time.Second }})
				tc.run(w)
				w.healAndCheck(t)
				tc.want(t, w)
			}
		})
	}
}

// maxClockSkew bounds the skew of a machine's clock. It exceeds the retention of keys.
const maxClockSkew = 26 * time.Hour

// repeatAfterClockSkew sends a key again after all entry instances restarted with a
// skewed clock.
func repeatAfterClockSkew(w *World, by time.Duration) {
	spec := RequestSpec{Service: "build", Customer: "school", Key: "k", Body: "b", RunTime: 100 * time.Millisecond}
	w.Submit(w.Entry("a1"), spec)
	w.RunFor(time.Second)
	for _, e := range w.entries {
		e.Crash()
		e.SetClockSkew(by)
		e.Restart()
	}
	w.RunFor(5 * time.Second)
	w.Submit(w.Entry("b1"), spec)
	w.RunFor(5 * time.Second)
}

// chaos injects random faults of all kinds under load. Faults may overlap and repeat.
func chaos(w *World, steps int) {
	w.WithLoss(0.01)
	revision := uint64(1)
	for range steps {
		e := w.randomEntry()
		k := w.workers[w.random.IntN(len(w.workers))]
		switch w.random.IntN(24) {
		case 0:
			e.Crash()
		case 1:
			e.Freeze()
		case 2:
			e.Isolate(true)
		case 3:
			w.PartitionZone(e.Zone, true)
		case 4:
			w.Partition(e.Zone, k.Zone, e.Zone != k.Zone)
		case 5:
			k.Kill()
		case 6:
			k.Leave()
		case 7:
			k.Fail = !k.Fail
			w.countFault("worker fails")
		case 8:
			w.Apply(e, declarations(2+w.random.IntN(2)), revision, fmt.Sprintf("change %d", len(w.Changes)))
			revision = max(revision, e.view.State.Revision())
		case 9:
			w.Propose(e, keeper.Command{Kind: keeper.StartWave, Proposer: "operator", ChangeID: fmt.Sprintf("wave %d", len(w.Changes)), MaxFailed: 2})
		case 10, 11:
			clear(w.partitions)
			e.Isolate(false)
		case 12, 13:
			e.Thaw()
			e.Restart()
		case 14:
			k.Restart()
		case 15:
			w.loseDisk()
		case 16:
			e.Crash()
			e.SetClockSkew(w.randomDuration(2*maxClockSkew) - maxClockSkew)
		}
		w.submitRandom(4)
		w.RunFor(w.randomDuration(800 * time.Millisecond))
	}
}

// loseDisk replaces the disk of one voter after all other faults were healed: a disk
// may only be replaced while the other voters are healthy.
func (w *World) loseDisk() {
	w.Heal()
	w.RunFor(5 * time.Second)
	w.WithLoss(0.01)
	e := w.entries[w.random.IntN(3)]
	e.Crash()
	e.LoseDisk()
	if w.random.IntN(2) == 0 {
		e.Restart()
	}
}

func TestChaos(t *testing.T) {
	faults := make(map[string]int)
	calls, starts := 0, 0
	for seed := range uint64(*seeds) {
		w := newFleet(Config{Seed: seed + 500})
		chaos(w, 120)
		w.healAndCheck(t)
		for kind, n := range w.Faults {
			faults[kind] += n
		}
		calls += len(w.Calls)
		starts += len(w.Starts)
	}
	t.Logf("seeds 500 to %d, %d requests, %d starts, faults injected: %v", 499+*seeds, calls, starts, faults)
	for _, kind := range []string{
		"entry killed", "entry frozen", "entry isolated", "zone cut", "worker killed", "worker leaves",
		"worker fails", "disk lost", "clock jumped", "caller gone", "message lost", "message doubled", "message late",
	} {
		must.Greater(t, 0, faults[kind], must.Sprintf("fault %q was never injected", kind))
	}
}
