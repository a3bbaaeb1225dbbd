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

var seeds = flag.Int("seeds", 3, "number of seeds of each randomised run")

// declarations are five services on five pools, as small as the faults need.
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
	cfg.Workers = Fleet(20, 4, cfg.Zones)
	w := NewWorld(cfg)
	w.RunFor(2 * time.Second)
	w.Apply(w.entries[0], declarations(3), 0, "first")
	w.RunFor(4 * time.Second)
	return w
}

func (w *World) anyEntry() *Entry { return w.entries[w.random.IntN(len(w.entries))] }

// callSome sends requests of all services to random entry instances, some with
// a key that was used before.
func (w *World) callSome(n int) {
	services := []string{"build", "seed", "check", "assemble", "billing"}
	for range n {
		job := Job{
			Service:  services[w.random.IntN(len(services))],
			Customer: []string{"school", "notary"}[w.random.IntN(2)],
			Urgency:  w.random.IntN(8),
			Run:      20*time.Millisecond + w.upTo(400*time.Millisecond),
			Body:     fmt.Sprintf("body %d", len(w.Calls)),
		}
		switch w.random.IntN(3) {
		case 0:
			job.Idempotent = true
		case 1:
			job.Key = fmt.Sprintf("key %d", len(w.Calls))
			w.Submit(w.anyEntry(), job)
			if w.random.IntN(2) == 0 { // the caller sends it again elsewhere, at once or later
				w.After(w.upTo(3*time.Second), func() { w.Submit(w.anyEntry(), job) })
			}
			continue
		}
		c := w.Submit(w.anyEntry(), job)
		if c != nil && w.random.IntN(20) == 0 {
			w.After(w.upTo(time.Second), func() { w.Cancel(c) })
		}
	}
}

func (w *World) finish(t *testing.T) {
	t.Helper()
	w.Heal()
	w.RunFor(40 * time.Second)
	w.Check()
	must.SliceEmpty(t, w.Broken, must.Sprint(w.Broken[:min(len(w.Broken), 5)]))
}

func (w *World) answered(outcome messenger.Outcome) int {
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
		act  func(w *World)
		want func(t *testing.T, w *World)
	}{
		"no fault": {
			act: func(w *World) { w.callSome(100); w.RunFor(5 * time.Second) },
			want: func(t *testing.T, w *World) {
				must.Eq(t, 0, w.answered(messenger.Uncertain))
				must.Eq(t, 0, w.answered(messenger.Failed))
			},
		},
		"one key at two entry instances at once": {
			act: func(w *World) {
				for n := range 40 {
					job := Job{Service: "build", Customer: "school", Key: fmt.Sprintf("k%d", n), Body: "b", Run: 100 * time.Millisecond}
					w.Submit(w.Entry("a1"), job)
					w.Submit(w.Entry("b1"), job)
					w.Submit(w.Entry("c2"), job)
					w.RunFor(20 * time.Millisecond)
				}
				w.RunFor(5 * time.Second)
			},
			want: func(t *testing.T, w *World) { must.Eq(t, 40, w.answered(messenger.Answered)) },
		},
		"a repeated key gets the stored answer": {
			act: func(w *World) {
				job := Job{Service: "build", Customer: "school", Key: "k", Body: "b", Run: 100 * time.Millisecond}
				w.Submit(w.Entry("a1"), job)
				w.RunFor(time.Second)
				w.Submit(w.Entry("c2"), job)
				w.RunFor(time.Second)
				job.Body = "another"
				w.Submit(w.Entry("b2"), job)
				w.RunFor(time.Second)
			},
			want: func(t *testing.T, w *World) {
				must.Eq(t, 2, w.answered(messenger.Answered))
				must.True(t, w.Calls[1].Answer.Replayed)
				must.Eq(t, messenger.KeyMismatch, w.Calls[2].Answer.Reason)
			},
		},
		"an entry instance dies between claim and answer": {
			act: func(w *World) {
				for n := range 20 {
					w.Submit(w.Entry("a2"), Job{Service: "build", Customer: "school", Key: fmt.Sprintf("k%d", n), Body: "b", Run: 300 * time.Millisecond})
				}
				w.RunFor(time.Duration(w.random.IntN(12)) * time.Millisecond)
				w.Entry("a2").Crash()
				w.RunFor(15 * time.Second) // the sweep asks the endpoints
				for n := range 20 {
					w.Submit(w.Entry("b1"), Job{Service: "build", Customer: "school", Key: fmt.Sprintf("k%d", n), Body: "b", Run: 300 * time.Millisecond})
				}
				w.RunFor(15 * time.Second)
			},
			want: func(t *testing.T, w *World) { must.Eq(t, 20, w.answered(messenger.Answered)) },
		},
		"a clock a day ahead in all instances after an answer": {
			act: func(w *World) { repeatAfterJump(w, clockJump) },
			want: func(t *testing.T, w *World) {
				must.Eq(t, 1, w.answered(messenger.Answered))
				must.Eq(t, messenger.Refused, w.Calls[1].Answer.Outcome) // the key is too old now
			},
		},
		"a clock a day behind in all instances after an answer": {
			act: func(w *World) { repeatAfterJump(w, -clockJump) },
			want: func(t *testing.T, w *World) {
				must.Eq(t, 2, w.answered(messenger.Answered))
				must.True(t, w.Calls[1].Answer.Replayed)
			},
		},
		"an entry instance with its clock a day ahead dies between claim and answer": {
			act: func(w *World) {
				e := w.Entry("a2")
				e.Crash()
				e.JumpClock(clockJump)
				e.Restart()
				w.RunFor(5 * time.Second)
				job := Job{Service: "build", Customer: "school", Key: "k", Body: "b", Run: 300 * time.Millisecond}
				w.Submit(e, job)
				w.RunFor(30 * time.Millisecond)
				e.Crash()
				w.RunFor(claimer.AskAfter + 10*time.Second) // the sweep asks the endpoint
				w.Submit(w.Entry("b1"), job)
				w.RunFor(5 * time.Second)
			},
			want: func(t *testing.T, w *World) {
				must.Eq(t, 1, w.answered(messenger.Answered))
				must.Len(t, 1, w.Starts)
			},
		},
		"a cut-off zone": {
			act: func(w *World) {
				w.CutZone("a", true)
				w.RunFor(5 * time.Second)
				w.Submit(w.Entry("a1"), Job{Service: "check", Customer: "school", Key: "k", Body: "keyed", Run: 50 * time.Millisecond})
				w.Submit(w.Entry("a1"), Job{Service: "build", Customer: "school", Body: "keyless", Run: 50 * time.Millisecond})
				w.RunFor(6 * time.Second)
			},
			want: func(t *testing.T, w *World) {
				must.Eq(t, messenger.Refused, w.Calls[0].Answer.Outcome)
				must.Eq(t, messenger.Answered, w.Calls[1].Answer.Outcome)
			},
		},
		"the leader is cut off silently while operators race": {
			act: func(w *World) {
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
			act: func(w *World) {
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
			act: func(w *World) {
				w.callSome(60)
				w.RunFor(50 * time.Millisecond)
				w.workers[0].Leave()
				w.workers[7].Leave()
				w.callSome(60)
				w.RunFor(10 * time.Second)
			},
			want: func(t *testing.T, w *World) {
				must.Eq(t, 0, w.answered(messenger.Uncertain))
				for _, s := range w.Starts {
					k := w.worker(s.Worker)
					must.False(t, k.leaving && s.At.After(k.LeftAt.Add(2*time.Second)))
				}
			},
		},
		"a wave through the fleet under load": {
			act: func(w *World) {
				w.Propose(w.entries[2], keeper.Command{Kind: keeper.StartWave, Proposer: "operator", ChangeID: "wave", MaxFailed: 1})
				for range 60 {
					w.callSome(10)
					w.RunFor(time.Second)
				}
			},
			want: func(t *testing.T, w *World) {
				wave := w.entries[0].view.State.Wave()
				must.Eq(t, keeper.WaveDone, wave.State)
				must.Eq(t, 20, wave.Done)
				must.Eq(t, 0, w.answered(messenger.Uncertain)) // a drain cuts nothing off
				must.Eq(t, 0, w.answered(messenger.Failed))
			},
		},
		"a rack is lost and the leader dies in the middle of a wave": {
			act: func(w *World) {
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
				w.callSome(40)
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
			act: func(w *World) {
				w.cfg.Reboot = time.Hour // nothing comes back
				w.Propose(w.entries[1], keeper.Command{Kind: keeper.StartWave, Proposer: "operator", ChangeID: "wave", MaxFailed: 1})
				w.RunFor(40 * time.Second)
			},
			want: func(t *testing.T, w *World) {
				wave := w.entries[0].view.State.Wave()
				must.Eq(t, keeper.WaveStopped, wave.State)
				for _, p := range w.entries[0].view.State.Declarations().Pools {
					for _, s := range w.entries[0].view.State.Standings(w.Now(), p.Name) {
						must.LessEq(t, s.Allowed, s.Down)
					}
				}
			},
		},
		"a worker that fails everything": {
			act: func(w *World) {
				w.workers[0].Fail = true
				for range 40 {
					w.callSome(10)
					w.RunFor(250 * time.Millisecond)
				}
			},
			want: func(t *testing.T, w *World) {
				must.Less(t, 60, w.answered(messenger.Failed)) // of 400; it looks idle and would take most
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(*seeds) {
				w := newFleet(Config{Seed: seed + 1, Change: func(cfg *assembler.Config) { cfg.Planner.RebootLimit = 20 * time.Second }})
				tc.act(w)
				w.finish(t)
				tc.want(t, w)
			}
		})
	}
}

// clockJump is the most by which a machine's clock is wrong, longer than keys are kept.
const clockJump = 26 * time.Hour

// repeatAfterJump sends a key again after a restart of all with wrong clocks.
func repeatAfterJump(w *World, by time.Duration) {
	job := Job{Service: "build", Customer: "school", Key: "k", Body: "b", Run: 100 * time.Millisecond}
	w.Submit(w.Entry("a1"), job)
	w.RunFor(time.Second)
	for _, e := range w.entries {
		e.Crash()
		e.JumpClock(by)
		e.Restart()
	}
	w.RunFor(5 * time.Second)
	w.Submit(w.Entry("b1"), job)
	w.RunFor(5 * time.Second)
}

// chaos lets faults of all kinds come at any moment, together or twice.
func chaos(w *World, steps int) {
	w.WithLoss(0.01)
	revision := uint64(1)
	for range steps {
		e := w.anyEntry()
		k := w.workers[w.random.IntN(len(w.workers))]
		switch w.random.IntN(24) {
		case 0:
			e.Crash()
		case 1:
			e.Freeze()
		case 2:
			e.Isolate(true)
		case 3:
			w.CutZone(e.Zone, true)
		case 4:
			w.Cut(e.Zone, k.Zone, e.Zone != k.Zone)
		case 5:
			k.Kill()
		case 6:
			k.Leave()
		case 7:
			k.Fail = !k.Fail
			w.fault("worker fails")
		case 8:
			w.Apply(e, declarations(2+w.random.IntN(2)), revision, fmt.Sprintf("change %d", len(w.Changes)))
			revision = max(revision, e.view.State.Revision())
		case 9:
			w.Propose(e, keeper.Command{Kind: keeper.StartWave, Proposer: "operator", ChangeID: fmt.Sprintf("wave %d", len(w.Changes)), MaxFailed: 2})
		case 10, 11:
			clear(w.cuts)
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
			e.JumpClock(w.upTo(2*clockJump) - clockJump)
		}
		w.callSome(4)
		w.RunFor(w.upTo(800 * time.Millisecond))
	}
}

// loseDisk takes one voter's disk while the others are whole, as operators are told to.
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
		w.finish(t)
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
		must.Greater(t, 0, faults[kind], must.Sprintf("no %s was injected", kind))
	}
}
