package experimenter

import (
	"time"

	"laburnumwind/assembler"
	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// The roll-out under measurement.
const (
	rolloutReboot = 60 * time.Second
	rolloutMost   = 4 * time.Hour
	rolloutStep   = time.Second
	rolloutRate   = 0.3 // of each pool's slots in use during the wave
)

// Rollout is what a maintenance of the whole fleet came to.
type Rollout struct {
	Took      time.Duration
	Bound     time.Duration // what budgets and reboots allow at best
	Done      int
	Failed    int
	State     keeper.WaveState
	Reserve   int // instances kept for one more loss, over all pools, before the wave
	RackEach  int // what one rack for each pool would keep
	Cut       int // requests that the wave, or the fault, cut off
	Broken    int // invariants that did not hold
	Requests  int
	Starts    int
	WorstDown int // most instances of one pool that were down at once
}

// RolloutTrial takes a wave through the fleet of today under load.
type RolloutTrial struct {
	Seed      uint64
	MaxDown   int
	OneByOne  bool                                // baseline
	Fault     func(w *World, since time.Duration) // is called each second
	MaxFailed int
}

// Run runs the trial.
func (t RolloutTrial) Run() Rollout {
	w := NewToday(t.Seed, t.MaxDown, func(cfg *assembler.Config) { cfg.Planner.OneByOne = t.OneByOne })
	w.cfg.Reboot = rolloutReboot
	out := w.beforeRollout(t.MaxDown)
	begin := w.Now()
	w.Propose(w.entries[0], keeper.Command{Kind: keeper.StartWave, Proposer: "operator", ChangeID: "wave", MaxFailed: t.MaxFailed})
	w.RunFor(rolloutStep)
	for w.wave().State == keeper.WaveRunning && w.Now().Sub(begin) < rolloutMost {
		if t.Fault != nil {
			t.Fault(w, w.Now().Sub(begin))
		}
		w.usualSecond()
		w.RunFor(rolloutStep)
		out.WorstDown = max(out.WorstDown, w.worstDown())
	}
	wave := w.wave()
	out.Took = wave.Ended.Sub(wave.Started)
	out.Done, out.Failed, out.State = wave.Done, wave.Failed, wave.State
	w.RunFor(drainTime)
	for _, c := range w.Calls {
		ranTooLong := c.Run >= c.Wait // it would not have been answered in time anyway
		if c.Answered && c.Answer.Outcome > messenger.Refused && !ranTooLong {
			out.Cut++
		}
	}
	out.Broken = len(w.Broken)
	out.Requests = len(w.Calls)
	out.Starts = len(w.Starts)
	return out
}

// Times of a fault in a roll-out.
const (
	rolloutFaultBegin = 60 * time.Second
	rolloutFaultEnd   = 120 * time.Second
)

// RolloutFaults are what may happen in the middle of a roll-out, by name. All end after a minute.
func RolloutFaults() map[string]func(w *World, since time.Duration) {
	return map[string]func(w *World, since time.Duration){
		"none": func(*World, time.Duration) {},
		"rack lost": func(w *World, since time.Duration) {
			last := w.workers[len(w.workers)-1].Rack // the first ones are down for their maintenance then
			for _, k := range w.workers {
				if k.Rack != last {
					continue
				}
				switch since {
				case rolloutFaultBegin:
					k.Kill()
				case rolloutFaultEnd:
					k.Restart()
				}
			}
		},
		"zone cut": func(w *World, since time.Duration) {
			if since == rolloutFaultBegin || since == rolloutFaultEnd {
				w.CutZone("c", since == rolloutFaultBegin)
			}
		},
		"leader lost": func(w *World, since time.Duration) {
			leader := w.Leader()
			if since == rolloutFaultBegin && leader != nil {
				leader.Crash()
			}
			if since == rolloutFaultEnd {
				w.Heal()
			}
		},
	}
}

// wave is the wave as the instance that knows most sees it.
func (w *World) wave() keeper.Wave {
	best := w.entries[0].view.State
	for _, e := range w.entries {
		if e.Alive() && e.view.Fresh {
			best = e.view.State
		}
	}
	return best.Wave()
}

// beforeRollout computes the reserve and the bound: the largest over pools of
// the rounds that size and budget need, each a drain and a reboot long.
func (w *World) beforeRollout(maxDown int) Rollout {
	var out Rollout
	s := w.entries[0].view.State
	for _, p := range PoolSizes {
		standings := s.Standings(w.Now(), p.Name)
		reserve := standings[0].Reserve
		out.Reserve += reserve
		out.RackEach += min(rackOf(w), p.Size)
		atOnce := max(maxDown-reserve, 1)
		rounds := (p.Size + atOnce - 1) / atOnce
		out.Bound = max(out.Bound, time.Duration(rounds)*(rolloutReboot+workRun))
	}
	return out
}

func rackOf(w *World) int {
	racks := make(map[string]int)
	most := 0
	for _, k := range w.workers {
		racks[k.Rack]++
		most = max(most, racks[k.Rack])
	}
	return most
}

func (w *World) worstDown() int {
	down := make(map[string]int)
	worst := 0
	for _, i := range w.entries[0].view.State.Instances() {
		if i.IsDown() {
			down[i.Pool]++
			worst = max(worst, down[i.Pool])
		}
	}
	return worst
}

// usualSecond sends one second of work without keys to all services.
func (w *World) usualSecond() {
	const part = 0.05 // of the usual rate: enough to see whether a drain cuts work off
	for i, v := range services {
		rate := rolloutRate * part * float64(PoolSizes[i].Size*slotsOfWorker) / workRun.Seconds()
		k := Kind{Name: v.Name, Service: v.Name, Customer: "school", Urgency: 3, Wait: workWait, Run: workRun}
		for range w.poisson(rate) {
			job := Job{
				Service: k.Service, Customer: k.Customer, Urgency: k.Urgency, Wait: k.Wait, Body: k.Name,
				Run: time.Duration(w.random.ExpFloat64() * float64(k.Run)),
			}
			e := w.entries[w.random.IntN(len(w.entries))]
			w.After(w.upTo(time.Second), func() { w.Submit(e, job) })
		}
	}
}
