package experimenter

import (
	"time"

	"laburnumwind/assembler"
	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// Parameters of a roll-out trial.
const (
	rolloutReboot  = 60 * time.Second
	rolloutTimeout = 4 * time.Hour
	rolloutStep    = time.Second
	rolloutLoad    = 0.3 // fraction of each pool's slots in use during the wave
)

// Rollout is the result of a maintenance wave through the whole fleet.
type Rollout struct {
	Duration    time.Duration
	MinDuration time.Duration // shortest duration that budgets and reboots allow
	Done        int
	Failed      int
	State       keeper.WaveState
	Reserve     int // instances held back for one more failure, summed over the pools, before the wave
	RackReserve int // reserve if each pool held back a whole rack
	Interrupted int // requests that the wave or the fault interrupted
	Violations  int // violated invariants
	Requests    int
	Starts      int
	PeakDown    int // highest number of instances of one pool down at the same time
}

// RolloutTrial runs a maintenance wave through the reference fleet under load.
type RolloutTrial struct {
	Seed            uint64
	MaxDown         int
	DrainOneAtATime bool                                // baseline: maintain one instance at a time
	Fault           func(w *World, since time.Duration) // called every second
	MaxFailed       int
}

// Run runs the trial.
func (t RolloutTrial) Run() Rollout {
	w := NewReferenceWorld(t.Seed, t.MaxDown, func(cfg *assembler.Config) { cfg.Planner.DrainOneAtATime = t.DrainOneAtATime })
	w.cfg.Reboot = rolloutReboot
	out := w.rolloutBaseline(t.MaxDown)
	begin := w.Now()
	w.Propose(w.entries[0], keeper.Command{Kind: keeper.StartWave, Proposer: "operator", ChangeID: "wave", MaxFailed: t.MaxFailed})
	w.RunFor(rolloutStep)
	for w.wave().State == keeper.WaveRunning && w.Now().Sub(begin) < rolloutTimeout {
		if t.Fault != nil {
			t.Fault(w, w.Now().Sub(begin))
		}
		w.submitSecondOfLoad()
		w.RunFor(rolloutStep)
		out.PeakDown = max(out.PeakDown, w.peakDown())
	}
	wave := w.wave()
	out.Duration = wave.Ended.Sub(wave.Started)
	out.Done, out.Failed, out.State = wave.Done, wave.Failed, wave.State
	w.RunFor(drainTime)
	for _, c := range w.Calls {
		ranTooLong := c.RunTime >= c.Timeout // its deadline would have passed without the wave as well
		if c.Answered && c.Answer.Outcome > messenger.Refused && !ranTooLong {
			out.Interrupted++
		}
	}
	out.Violations = len(w.Violations)
	out.Requests = len(w.Calls)
	out.Starts = len(w.Starts)
	return out
}

// Start and end of a fault, from the start of the wave.
const (
	rolloutFaultStart = 60 * time.Second
	rolloutFaultEnd   = 120 * time.Second
)

// RolloutFaults returns the faults that a roll-out trial can inject, by name. All
// last a minute.
func RolloutFaults() map[string]func(w *World, since time.Duration) {
	return map[string]func(w *World, since time.Duration){
		"none": func(*World, time.Duration) {},
		"rack lost": func(w *World, since time.Duration) {
			last := w.workers[len(w.workers)-1].Rack // the first racks are down for maintenance at this time
			for _, k := range w.workers {
				if k.Rack != last {
					continue
				}
				switch since {
				case rolloutFaultStart:
					k.Kill()
				case rolloutFaultEnd:
					k.Restart()
				}
			}
		},
		"zone cut": func(w *World, since time.Duration) {
			if since == rolloutFaultStart || since == rolloutFaultEnd {
				w.PartitionZone("c", since == rolloutFaultStart)
			}
		},
		"leader lost": func(w *World, since time.Duration) {
			leader := w.Leader()
			if since == rolloutFaultStart && leader != nil {
				leader.Crash()
			}
			if since == rolloutFaultEnd {
				w.Heal()
			}
		},
	}
}

// wave returns the maintenance wave as seen by an entry instance with fresh state.
func (w *World) wave() keeper.Wave {
	state := w.entries[0].view.State
	for _, e := range w.entries {
		if e.Alive() && e.view.IsFresh {
			state = e.view.State
		}
	}
	return state.Wave()
}

// rolloutBaseline computes the reserve and the minimum duration before the wave. The
// slowest pool determines the minimum: the number of rounds that its size and budget
// require, times the duration of a drain and a reboot.
func (w *World) rolloutBaseline(maxDown int) Rollout {
	var out Rollout
	s := w.entries[0].view.State
	for _, p := range ReferencePools {
		statuses := s.BudgetStatuses(w.Now(), p.Name)
		reserve := statuses[0].Reserve
		out.Reserve += reserve
		out.RackReserve += min(largestRack(w), p.Size)
		parallel := max(maxDown-reserve, 1)
		rounds := (p.Size + parallel - 1) / parallel
		out.MinDuration = max(out.MinDuration, time.Duration(rounds)*(rolloutReboot+meanRunTime))
	}
	return out
}

func largestRack(w *World) int {
	racks := make(map[string]int)
	largest := 0
	for _, k := range w.workers {
		racks[k.Rack]++
		largest = max(largest, racks[k.Rack])
	}
	return largest
}

func (w *World) peakDown() int {
	down := make(map[string]int)
	peak := 0
	for _, i := range w.entries[0].view.State.Instances() {
		if i.IsDown() {
			down[i.Pool]++
			peak = max(peak, down[i.Pool])
		}
	}
	return peak
}

// submitSecondOfLoad sends one second of requests without keys to all services.
func (w *World) submitSecondOfLoad() {
	const sampled = 0.05 // fraction of the full rate, enough to detect requests that a drain interrupts
	for i, v := range services {
		rate := rolloutLoad * sampled * float64(ReferencePools[i].Size*slotsPerWorker) / meanRunTime.Seconds()
		k := Workload{Name: v.Name, Service: v.Name, Customer: "school", Urgency: 3, Timeout: requestTimeout, RunTime: meanRunTime}
		for range w.poisson(rate) {
			spec := RequestSpec{
				Service: k.Service, Customer: k.Customer, Urgency: k.Urgency, Timeout: k.Timeout, Body: k.Name,
				RunTime: time.Duration(w.random.ExpFloat64() * float64(k.RunTime)),
			}
			e := w.entries[w.random.IntN(len(w.entries))]
			w.After(w.randomDuration(time.Second), func() { w.Submit(e, spec) })
		}
	}
}
