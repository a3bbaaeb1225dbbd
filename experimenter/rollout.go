package experimenter

import (
	"time"

	"laburnumwind/assembler"
	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// Parameters of a roll-out trial.
const (
	rolloutReboot  = 60 * time.Second // duration of a reboot
	rolloutTimeout = 4 * time.Hour    // the trial ends even if the wave is still running
	rolloutStep    = time.Second      // interval at which the trial calls the fault, submits load and checks the wave
	rolloutLoad    = 0.3              // fraction of each pool's slots that the full rate would use; the trial sends sampleFraction of this rate
)

// RolloutResult is the result of a maintenance wave through the whole fleet.
type RolloutResult struct {
	Duration    time.Duration // of the wave; not valid if State is WaveRunning
	MinDuration time.Duration // shortest duration that budgets and reboots allow
	Done        int           // number of instances that returned from their maintenance
	Failed      int           // number of instances that did not return in time
	State       keeper.WaveState
	Reserve     int // instances held in reserve before the wave for the failure of one more rack, summed over the pools
	RackReserve int // the reserve if each pool had a whole rack of instances
	Interrupted int // requests that the wave or the fault interrupted: failed or uncertain, though their run time is below their timeout
	Violations  int // number of violations reported during the run; Run does not call Check
	Requests    int // number of requests that were sent
	Starts      int // number of attempts that started
	PeakDown    int // highest number of instances of one pool down at the same time
}

// RolloutTrial runs a maintenance wave through the reference fleet under load.
type RolloutTrial struct {
	Seed            uint64
	MaxDown         int                                    // maximum number of instances of a pool that the budget allows to be down at the same time
	DrainOneAtATime bool                                   // baseline: maintain one instance at a time
	InjectFault     func(cl *Cluster, since time.Duration) // called every second with the time since the start of the wave; nil: no fault
	MaxFailed       int                                    // the wave stops when more instances than this have failed
}

// Run runs the trial until the wave ends, at the latest until rolloutTimeout.
func (t RolloutTrial) Run() RolloutResult {
	cl := NewReferenceCluster(t.Seed, t.MaxDown, func(cfg *assembler.Config) { cfg.Planner.DrainOneAtATime = t.DrainOneAtATime })
	cl.cfg.Reboot = rolloutReboot
	out := cl.newRolloutResult(t.MaxDown)
	begin := cl.Now()
	cl.Propose(cl.entries[0], keeper.Command{Kind: keeper.StartWave, Proposer: "operator", ChangeID: "wave", MaxFailed: t.MaxFailed})
	cl.RunFor(rolloutStep)
	for cl.wave().State == keeper.WaveRunning && cl.Now().Sub(begin) < rolloutTimeout {
		if t.InjectFault != nil {
			t.InjectFault(cl, cl.Now().Sub(begin))
		}
		cl.submitOneSecondOfLoad()
		cl.RunFor(rolloutStep)
		out.PeakDown = max(out.PeakDown, cl.peakDown())
	}
	wave := cl.wave()
	out.Duration = wave.Ended.Sub(wave.Started)
	out.Done, out.Failed, out.State = wave.Done, wave.Failed, wave.State
	cl.RunFor(finalAnswerWait)
	for _, c := range cl.Calls {
		ranTooLong := c.RunTime >= c.Timeout // its deadline would have passed without the wave as well
		if c.Answered && c.Answer.Outcome > messenger.Refused && !ranTooLong {
			out.Interrupted++
		}
	}
	out.Violations = len(cl.Violations)
	out.Requests = len(cl.Calls)
	out.Starts = len(cl.Starts)
	return out
}

// Times since the start of the wave at which a fault starts and ends.
const (
	rolloutFaultStart = 60 * time.Second
	rolloutFaultEnd   = 120 * time.Second
)

// RolloutFaults returns the faults that a roll-out trial can inject, by name. Each fault
// lasts one minute.
func RolloutFaults() map[string]func(cl *Cluster, since time.Duration) {
	return map[string]func(cl *Cluster, since time.Duration){
		"none": func(*Cluster, time.Duration) {},
		"rack lost": func(cl *Cluster, since time.Duration) {
			lastRack := cl.workers[len(cl.workers)-1].Rack // the first racks are already down for maintenance at this time
			for _, w := range cl.workers {
				if w.Rack != lastRack {
					continue
				}
				switch since {
				case rolloutFaultStart:
					w.Kill()
				case rolloutFaultEnd:
					w.Restart()
				}
			}
		},
		"zone cut": func(cl *Cluster, since time.Duration) {
			if since == rolloutFaultStart || since == rolloutFaultEnd {
				cl.PartitionZone("c", since == rolloutFaultStart)
			}
		},
		"leader lost": func(cl *Cluster, since time.Duration) {
			leader := cl.Leader()
			if since == rolloutFaultStart && leader != nil {
				leader.Crash()
			}
			if since == rolloutFaultEnd {
				cl.Heal()
			}
		},
	}
}

// wave returns the maintenance wave as seen by a running entry instance with fresh state, or
// by the first entry instance if there is none.
func (cl *Cluster) wave() keeper.Wave {
	state := cl.entries[0].view.State
	for _, e := range cl.entries {
		if e.Alive() && e.view.IsFresh {
			state = e.view.State
		}
	}
	return state.Wave()
}

// newRolloutResult returns a result with the reserves and the minimum duration, which follow
// from the state before the wave. In each round, a pool maintains as many instances as its
// budget allows beyond the reserve, but at least one. A round lasts a reboot and a drain, for
// which the minimum takes the mean run time of a request. The pool with the most rounds
// determines the minimum.
func (cl *Cluster) newRolloutResult(maxDown int) RolloutResult {
	var out RolloutResult
	s := cl.entries[0].view.State
	for _, p := range ReferencePools {
		statuses := s.BudgetStatuses(cl.Now(), p.Name)
		reserve := statuses[0].Reserve // the same for all customers
		out.Reserve += reserve
		out.RackReserve += min(largestRack(cl), p.Size)
		parallel := max(maxDown-reserve, 1)
		rounds := (p.Size + parallel - 1) / parallel
		out.MinDuration = max(out.MinDuration, time.Duration(rounds)*(rolloutReboot+meanRunTime))
	}
	return out
}

// largestRack returns the number of workers in the largest rack.
func largestRack(cl *Cluster) int {
	racks := make(map[string]int)
	largest := 0
	for _, w := range cl.workers {
		racks[w.Rack]++
		largest = max(largest, racks[w.Rack])
	}
	return largest
}

// peakDown returns the highest number of instances of one pool that are down now.
func (cl *Cluster) peakDown() int {
	down := make(map[string]int)
	peak := 0
	for _, i := range cl.entries[0].view.State.Instances() {
		if i.IsDown() {
			down[i.Pool]++
			peak = max(peak, down[i.Pool])
		}
	}
	return peak
}

// submitOneSecondOfLoad sends the requests of one second to all services. They have no keys
// and are not idempotent, so that a request that the wave interrupts is not retried.
func (cl *Cluster) submitOneSecondOfLoad() {
	const sampleFraction = 0.05 // of the full rate that is sent, enough to detect requests that a drain interrupts
	for i, v := range referenceServices {
		rate := rolloutLoad * sampleFraction * float64(ReferencePools[i].Size*slotsPerWorker) / meanRunTime.Seconds()
		workload := Workload{Name: v.Name, Service: v.Name, Customer: "school", Urgency: 3, Timeout: requestTimeout, RunTime: meanRunTime}
		for range cl.poisson(rate) {
			spec := RequestSpec{
				Service: workload.Service, Customer: workload.Customer, Urgency: workload.Urgency, Timeout: workload.Timeout, Body: workload.Name,
				RunTime: time.Duration(cl.random.ExpFloat64() * float64(workload.RunTime)),
			}
			e := cl.entries[cl.random.IntN(len(cl.entries))]
			cl.After(cl.randomDuration(time.Second), func() { cl.Submit(e, spec) })
		}
	}
}
