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

// testDeclarations returns declarations of five services on five pools of four workers, the
// smallest fleet that the fault tests need. Both customers have a budget of maxDown instances.
func testDeclarations(maxDown int) keeper.Declarations {
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

// newTestCluster returns a cluster in which testDeclarations are applied and 20 workers
// serve.
func newTestCluster(cfg Config) *Cluster {
	cfg.Zones = []string{"a", "b", "c"}
	cfg.Workers = NewWorkerConfigs(20, 4, cfg.Zones)
	cl := NewCluster(cfg)
	cl.RunFor(2 * time.Second)
	cl.Apply(cl.entries[0], testDeclarations(3), 0, "first")
	cl.RunFor(4 * time.Second)
	return cl
}

func (cl *Cluster) randomEntry() *Entry { return cl.entries[cl.random.IntN(len(cl.entries))] }

// submitRandom sends n requests to random services and entry instances. Some are sent
// twice with the same key, and some are canceled.
func (cl *Cluster) submitRandom(n int) {
	services := []string{"build", "seed", "check", "assemble", "billing"}
	for range n {
		spec := RequestSpec{
			Service:  services[cl.random.IntN(len(services))],
			Customer: []string{"school", "notary"}[cl.random.IntN(2)],
			Urgency:  cl.random.IntN(8),
			RunTime:  20*time.Millisecond + cl.randomDuration(400*time.Millisecond),
			Body:     fmt.Sprintf("body %d", len(cl.Calls)),
		}
		switch cl.random.IntN(3) {
		case 0:
			spec.Idempotent = true
		case 1:
			spec.Key = fmt.Sprintf("key %d", len(cl.Calls))
			cl.Submit(cl.randomEntry(), spec)
			if cl.random.IntN(2) == 0 { // the caller sends it again within 3 s, possibly to another entry instance
				cl.After(cl.randomDuration(3*time.Second), func() { cl.Submit(cl.randomEntry(), spec) })
			}
			continue
		}
		c := cl.Submit(cl.randomEntry(), spec)
		if c != nil && cl.random.IntN(20) == 0 {
			cl.After(cl.randomDuration(time.Second), func() { cl.Cancel(c) })
		}
	}
}

// healAndCheck ends all faults, gives the cluster 40 s to recover, and fails the test if any
// invariant was violated.
func (cl *Cluster) healAndCheck(t *testing.T) {
	t.Helper()
	cl.Heal()
	cl.RunFor(40 * time.Second)
	cl.Check()
	must.SliceEmpty(t, cl.Violations, must.Sprint(cl.Violations[:min(len(cl.Violations), 5)]))
}

// countAnswers returns the number of requests answered with an outcome.
func (cl *Cluster) countAnswers(outcome messenger.Outcome) int {
	n := 0
	for _, c := range cl.Calls {
		if c.Answered && c.Answer.Outcome == outcome {
			n++
		}
	}
	return n
}

// TestFaults checks the invariants and the expected result after each scenario of faults
// or maintenance.
func TestFaults(t *testing.T) {
	tests := map[string]struct {
		run  func(cl *Cluster)
		want func(t *testing.T, cl *Cluster)
	}{
		"no fault": {
			run: func(cl *Cluster) { cl.submitRandom(100); cl.RunFor(5 * time.Second) },
			want: func(t *testing.T, cl *Cluster) {
				must.Eq(t, 0, cl.countAnswers(messenger.Uncertain))
				must.Eq(t, 0, cl.countAnswers(messenger.Failed))
			},
		},
		"one key at three entry instances at once": {
			run: func(cl *Cluster) {
				for n := range 40 {
					spec := RequestSpec{Service: "build", Customer: "school", Key: fmt.Sprintf("k%d", n), Body: "b", RunTime: 100 * time.Millisecond}
					cl.Submit(cl.Entry("a1"), spec)
					cl.Submit(cl.Entry("b1"), spec)
					cl.Submit(cl.Entry("c2"), spec)
					cl.RunFor(20 * time.Millisecond)
				}
				cl.RunFor(5 * time.Second)
			},
			want: func(t *testing.T, cl *Cluster) { must.Eq(t, 40, cl.countAnswers(messenger.Answered)) },
		},
		"a repeated key gets the stored answer": {
			run: func(cl *Cluster) {
				spec := RequestSpec{Service: "build", Customer: "school", Key: "k", Body: "b", RunTime: 100 * time.Millisecond}
				cl.Submit(cl.Entry("a1"), spec)
				cl.RunFor(time.Second)
				cl.Submit(cl.Entry("c2"), spec)
				cl.RunFor(time.Second)
				spec.Body = "another"
				cl.Submit(cl.Entry("b2"), spec)
				cl.RunFor(time.Second)
			},
			want: func(t *testing.T, cl *Cluster) {
				must.Eq(t, 2, cl.countAnswers(messenger.Answered))
				must.True(t, cl.Calls[1].Answer.Replayed)
				must.Eq(t, messenger.KeyMismatch, cl.Calls[2].Answer.Reason)
			},
		},
		"an entry instance crashes between claim and answer": {
			run: func(cl *Cluster) {
				for n := range 20 {
					cl.Submit(cl.Entry("a2"), RequestSpec{Service: "build", Customer: "school", Key: fmt.Sprintf("k%d", n), Body: "b", RunTime: 300 * time.Millisecond})
				}
				cl.RunFor(time.Duration(cl.random.IntN(12)) * time.Millisecond)
				cl.Entry("a2").Crash()
				cl.RunFor(15 * time.Second) // the claimer's sweep asks the endpoints for the outcome
				for n := range 20 {
					cl.Submit(cl.Entry("b1"), RequestSpec{Service: "build", Customer: "school", Key: fmt.Sprintf("k%d", n), Body: "b", RunTime: 300 * time.Millisecond})
				}
				cl.RunFor(15 * time.Second)
			},
			want: func(t *testing.T, cl *Cluster) { must.Eq(t, 20, cl.countAnswers(messenger.Answered)) },
		},
		"all clocks 26 hours ahead after an answer": {
			run: func(cl *Cluster) { repeatAfterClockSkew(cl, maxClockSkew) },
			want: func(t *testing.T, cl *Cluster) {
				must.Eq(t, 1, cl.countAnswers(messenger.Answered))
				must.Eq(t, messenger.Refused, cl.Calls[1].Answer.Outcome) // the key has expired
			},
		},
		"all clocks 26 hours behind after an answer": {
			run: func(cl *Cluster) { repeatAfterClockSkew(cl, -maxClockSkew) },
			want: func(t *testing.T, cl *Cluster) {
				must.Eq(t, 2, cl.countAnswers(messenger.Answered))
				must.True(t, cl.Calls[1].Answer.Replayed)
			},
		},
		"an entry instance with its clock 26 hours ahead crashes between claim and answer": {
			run: func(cl *Cluster) {
				e := cl.Entry("a2")
				e.Crash()
				e.SkewClock(maxClockSkew)
				e.Restart()
				cl.RunFor(5 * time.Second)
				spec := RequestSpec{Service: "build", Customer: "school", Key: "k", Body: "b", RunTime: 300 * time.Millisecond}
				cl.Submit(e, spec)
				cl.RunFor(30 * time.Millisecond)
				e.Crash()
				cl.RunFor(claimer.MaxClaimDeadline + 10*time.Second) // the claimer's sweep asks the endpoint for the outcome
				cl.Submit(cl.Entry("b1"), spec)
				cl.RunFor(5 * time.Second)
			},
			want: func(t *testing.T, cl *Cluster) {
				must.Eq(t, 1, cl.countAnswers(messenger.Answered))
				must.Len(t, 1, cl.Starts)
			},
		},
		"a partitioned zone": {
			run: func(cl *Cluster) {
				cl.PartitionZone("a", true)
				cl.RunFor(5 * time.Second)
				cl.Submit(cl.Entry("a1"), RequestSpec{Service: "check", Customer: "school", Key: "k", Body: "keyed", RunTime: 50 * time.Millisecond})
				cl.Submit(cl.Entry("a1"), RequestSpec{Service: "build", Customer: "school", Body: "keyless", RunTime: 50 * time.Millisecond})
				cl.RunFor(6 * time.Second)
			},
			want: func(t *testing.T, cl *Cluster) {
				must.Eq(t, messenger.Refused, cl.Calls[0].Answer.Outcome)
				must.Eq(t, messenger.Answered, cl.Calls[1].Answer.Outcome)
			},
		},
		"operators send competing changes while the leader is isolated": {
			run: func(cl *Cluster) {
				old := cl.Leader()
				old.Isolate(true)
				cl.Apply(old, testDeclarations(2), 1, "at the old leader")
				cl.RunFor(3 * time.Second)
				for _, e := range cl.entries {
					if e != old {
						cl.Apply(e, testDeclarations(4), 1, "of "+e.Name)
					}
				}
				cl.RunFor(3 * time.Second)
				old.Isolate(false)
				cl.RunFor(5 * time.Second)
			},
			want: func(t *testing.T, cl *Cluster) {
				accepted := 0
				for _, c := range cl.Changes {
					if c.Done && c.Result.Code == keeper.Accepted && c.Expected == 1 {
						accepted++
					}
				}
				must.Eq(t, 1, accepted)
			},
		},
		"a change sent again after all entry instances restarted": {
			run: func(cl *Cluster) {
				cl.Apply(cl.entries[1], testDeclarations(2), 1, "once")
				cl.RunFor(2 * time.Second)
				for _, e := range cl.entries {
					e.Crash()
				}
				cl.RunFor(time.Second)
				for _, e := range cl.entries {
					e.Restart()
				}
				cl.RunFor(5 * time.Second)
				cl.Apply(cl.entries[4], testDeclarations(2), 1, "once")
				cl.RunFor(3 * time.Second)
			},
			want: func(t *testing.T, cl *Cluster) {
				last := cl.Changes[len(cl.Changes)-1]
				must.True(t, last.Done)
				must.Eq(t, keeper.Accepted, last.Result.Code)
			},
		},
		"a worker leaves under load": {
			run: func(cl *Cluster) {
				cl.submitRandom(60)
				cl.RunFor(50 * time.Millisecond)
				cl.workers[0].Leave()
				cl.workers[7].Leave()
				cl.submitRandom(60)
				cl.RunFor(10 * time.Second)
			},
			want: func(t *testing.T, cl *Cluster) {
				must.Eq(t, 0, cl.countAnswers(messenger.Uncertain))
				for _, s := range cl.Starts {
					w := cl.worker(s.Worker)
					must.False(t, w.leaving && s.At.After(w.LeftAt.Add(2*time.Second)))
				}
			},
		},
		"a wave through the fleet under load": {
			run: func(cl *Cluster) {
				cl.Propose(cl.entries[2], keeper.Command{Kind: keeper.StartWave, Proposer: "operator", ChangeID: "wave", MaxFailed: 1})
				for range 60 {
					cl.submitRandom(10)
					cl.RunFor(time.Second)
				}
			},
			want: func(t *testing.T, cl *Cluster) {
				wave := cl.entries[0].view.State.Wave()
				must.Eq(t, keeper.WaveDone, wave.State)
				must.Eq(t, 20, wave.Done)
				must.Eq(t, 0, cl.countAnswers(messenger.Uncertain)) // a drain interrupts no request
				must.Eq(t, 0, cl.countAnswers(messenger.Failed))
			},
		},
		"a rack is lost and the leader crashes during a wave": {
			run: func(cl *Cluster) {
				cl.Propose(cl.entries[2], keeper.Command{Kind: keeper.StartWave, Proposer: "operator", ChangeID: "wave", MaxFailed: 1})
				cl.RunFor(8 * time.Second)
				rack := cl.workers[4].Rack
				for _, w := range cl.workers {
					if w.Rack == rack {
						w.Kill()
					}
				}
				cl.RunFor(2 * time.Second)
				leader := cl.Leader()
				leader.Crash()
				cl.submitRandom(40)
				cl.RunFor(20 * time.Second)
				for _, w := range cl.workers {
					w.Restart()
				}
				leader.Restart()
				cl.RunFor(60 * time.Second)
			},
			want: func(t *testing.T, cl *Cluster) {
				wave := cl.entries[0].view.State.Wave()
				must.Eq(t, keeper.WaveDone, wave.State, must.Sprintf("%+v", wave))
			},
		},
		"a wave stops after too many failures": {
			run: func(cl *Cluster) {
				cl.cfg.Reboot = time.Hour // no instance returns from its reboot
				cl.Propose(cl.entries[1], keeper.Command{Kind: keeper.StartWave, Proposer: "operator", ChangeID: "wave", MaxFailed: 1})
				cl.RunFor(40 * time.Second)
			},
			want: func(t *testing.T, cl *Cluster) {
				wave := cl.entries[0].view.State.Wave()
				must.Eq(t, keeper.WaveStopped, wave.State)
				for _, p := range cl.entries[0].view.State.Declarations().Pools {
					for _, s := range cl.entries[0].view.State.BudgetStatuses(cl.Now(), p.Name) {
						must.LessEq(t, s.MaxDown, s.Down)
					}
				}
			},
		},
		"a worker that fails every attempt": {
			run: func(cl *Cluster) {
				cl.workers[0].Fail = true
				for range 40 {
					cl.submitRandom(10)
					cl.RunFor(250 * time.Millisecond)
				}
			},
			want: func(t *testing.T, cl *Cluster) {
				must.Less(t, 60, cl.countAnswers(messenger.Failed)) // of 400 requests; without ejection its short queue would attract most of them
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(*seeds) {
				// The default MaintenanceTimeout of 15 minutes exceeds the duration of every run.
				cl := newTestCluster(Config{Seed: seed + 1, AdjustNode: func(cfg *assembler.Config) { cfg.Planner.MaintenanceTimeout = 20 * time.Second }})
				tc.run(cl)
				cl.healAndCheck(t)
				tc.want(t, cl)
			}
		})
	}
}

// maxClockSkew bounds the skew of a machine's clock. It exceeds the retention of keys.
const maxClockSkew = 26 * time.Hour

// repeatAfterClockSkew sends a key again after all entry instances restarted with a
// skewed clock.
func repeatAfterClockSkew(cl *Cluster, by time.Duration) {
	spec := RequestSpec{Service: "build", Customer: "school", Key: "k", Body: "b", RunTime: 100 * time.Millisecond}
	cl.Submit(cl.Entry("a1"), spec)
	cl.RunFor(time.Second)
	for _, e := range cl.entries {
		e.Crash()
		e.SkewClock(by)
		e.Restart()
	}
	cl.RunFor(5 * time.Second)
	cl.Submit(cl.Entry("b1"), spec)
	cl.RunFor(5 * time.Second)
}

// chaos runs random steps under load. Each step injects a fault, ends faults, changes the
// declarations, starts a wave or does none of these. Faults may overlap and repeat.
func chaos(cl *Cluster, steps int) {
	cl.InjectMessageFaults(0.01)
	revision := uint64(1)
	for range steps {
		e := cl.randomEntry()
		w := cl.workers[cl.random.IntN(len(cl.workers))]
		switch cl.random.IntN(24) {
		case 0:
			e.Crash()
		case 1:
			e.Freeze()
		case 2:
			e.Isolate(true)
		case 3:
			cl.PartitionZone(e.Zone, true)
		case 4:
			cl.Partition(e.Zone, w.Zone, e.Zone != w.Zone)
		case 5:
			w.Kill()
		case 6:
			w.Leave()
		case 7:
			w.Fail = !w.Fail
			cl.countFault("worker fails")
		case 8:
			cl.Apply(e, testDeclarations(2+cl.random.IntN(2)), revision, fmt.Sprintf("change %d", len(cl.Changes)))
			revision = max(revision, e.view.State.Revision())
		case 9:
			cl.Propose(e, keeper.Command{Kind: keeper.StartWave, Proposer: "operator", ChangeID: fmt.Sprintf("wave %d", len(cl.Changes)), MaxFailed: 2})
		case 10, 11:
			clear(cl.partitions)
			e.Isolate(false)
		case 12, 13:
			e.Thaw()
			e.Restart()
		case 14:
			w.Restart()
		case 15:
			cl.loseDisk()
		case 16:
			e.Crash()
			e.SkewClock(cl.randomDuration(2*maxClockSkew) - maxClockSkew)
		}
		cl.submitRandom(4)
		cl.RunFor(cl.randomDuration(800 * time.Millisecond))
	}
}

// loseDisk replaces the disk of one voter after all other faults were healed, because
// operators may only replace a disk while the other voters are healthy.
func (cl *Cluster) loseDisk() {
	cl.Heal()
	cl.RunFor(5 * time.Second)
	cl.InjectMessageFaults(0.01)
	e := cl.entries[cl.random.IntN(3)] // the first three entry instances are the voters
	e.Crash()
	e.LoseDisk()
	if cl.random.IntN(2) == 0 {
		e.Restart()
	}
}

// TestChaos checks the invariants under random faults, and that every kind of fault was
// injected.
func TestChaos(t *testing.T) {
	faults := make(map[string]int)
	calls, starts := 0, 0
	for seed := range uint64(*seeds) {
		cl := newTestCluster(Config{Seed: seed + 500})
		chaos(cl, 120)
		cl.healAndCheck(t)
		for kind, n := range cl.FaultCounts {
			faults[kind] += n
		}
		calls += len(cl.Calls)
		starts += len(cl.Starts)
	}
	t.Logf("seeds 500 to %d, %d requests, %d starts, faults injected: %v", 499+*seeds, calls, starts, faults)
	for _, kind := range []string{
		"entry crashed", "entry frozen", "entry isolated", "zone partitioned", "worker killed", "worker leaves",
		"worker fails", "disk lost", "clock skewed", "caller disconnected", "message lost", "message duplicated", "message delayed",
	} {
		must.Greater(t, 0, faults[kind], must.Sprintf("fault %q was never injected", kind))
	}
}
