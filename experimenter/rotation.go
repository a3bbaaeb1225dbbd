package experimenter

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumwind/admitter"
)

// The load of a rotation trial, from the specification: one service after another
// receives five times its mean rate, which exceeds its pool, and a twentieth of the
// mean otherwise.
const (
	rotationPhase      = 6 * time.Second
	rotationDuration   = 60 * time.Second
	rotationMeanLoad   = 0.65 // fraction of the pool's slots
	rotationPeakFactor = 5.0
	rotationLowFactor  = 0.05
)

// RotationTrial returns a trial whose peak of demand rotates among the services.
func RotationTrial(seed uint64, policy admitter.Policy) Trial {
	var workloads []Workload
	for i, v := range services {
		slots := float64(ReferencePools[i].Size * slotsPerWorker)
		mean := rotationMeanLoad * slots / meanRunTime.Seconds()
		for _, customer := range []string{"school", "notary"} {
			workloads = append(workloads, Workload{
				Name: v.Name + " of " + customer, Service: v.Name, Customer: customer,
				Urgency: 3, Timeout: requestTimeout, RunTime: meanRunTime,
				Rate: func(since time.Duration) float64 {
					if int(since/rotationPhase)%len(services) == i {
						return mean * rotationPeakFactor / 2
					}
					return mean * rotationLowFactor / 2
				},
			})
		}
	}
	return Trial{Seed: seed, Policy: policy, Workloads: workloads, Duration: rotationDuration}
}

// PeakMoves returns how many instances would move in a rotation trial if each peak
// were met by moving instances to the overloaded pool instead of lending slots.
func PeakMoves() int {
	moves := 0
	for phase := range int(rotationDuration / rotationPhase) {
		size := ReferencePools[phase%len(ReferencePools)].Size
		moves += int(rotationMeanLoad*rotationPeakFactor*float64(size)) - size
	}
	return moves
}

// GoodputUpperBound returns an upper bound on the goodput of any policy: the goodput of
// a single queue in front of all slots, without pools or network delay.
func (t Trial) GoodputUpperBound() float64 {
	r := rand.New(rand.NewPCG(t.Seed, 13))
	slots := 0
	for _, p := range ReferencePools {
		slots += p.Size * slotsPerWorker
	}
	free := make(slotHeap, slots)
	arrivals := t.arrivals(r)
	answered := 0
	for _, a := range arrivals {
		begin := max(a.at, free[0])
		if begin+a.run > a.at+a.wait {
			continue
		}
		answered++
		free[0] = begin + a.run
		heap.Fix(&free, 0)
	}
	return float64(answered) / float64(max(len(arrivals), 1))
}

type arrival struct{ at, run, wait time.Duration }

func (t Trial) arrivals(r *rand.Rand) []arrival {
	var out []arrival
	for _, k := range t.Workloads {
		for since := time.Duration(0); since < t.Duration; since += loadStep {
			mean := k.Rate(since) * loadStep.Seconds()
			for left := mean - r.ExpFloat64(); left > 0; left -= r.ExpFloat64() {
				out = append(out, arrival{
					at:   since + time.Duration(r.Int64N(int64(loadStep))),
					run:  time.Duration(r.ExpFloat64() * float64(k.RunTime)),
					wait: k.Timeout,
				})
			}
		}
	}
	slices.SortFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

// slotHeap is a heap of the times at which the slots become free.
type slotHeap []time.Duration

// Len returns the number of slots.
func (e slotHeap) Len() int { return len(e) }

// Less orders slots by the time at which they become free.
func (e slotHeap) Less(i, k int) bool { return e[i] < e[k] }

// Swap exchanges two slots.
func (e slotHeap) Swap(i, k int) { e[i], e[k] = e[k], e[i] }

// Push implements heap.Interface. It is not used, because the number of slots is fixed.
func (e *slotHeap) Push(x any) { *e = append(*e, x.(time.Duration)) }

// Pop implements heap.Interface. It is not used, because the number of slots is fixed.
func (e *slotHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// MergeOutcomes returns the merged outcome of all workloads.
func MergeOutcomes(outcomes []Outcome) Outcome {
	var out Outcome
	for _, o := range outcomes {
		out = out.mergedWith(o)
	}
	return out.sorted()
}
