package experimenter

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumwind/admitter"
)

// The load of a rotation trial, from the specification: one service after another
// receives five times its mean rate, which exceeds the capacity of its pool. The other
// services receive a twentieth of their mean rate.
const (
	rotationPhase      = 6 * time.Second  // duration of the peak of one service
	rotationDuration   = 60 * time.Second // duration of the load
	rotationMeanLoad   = 0.65             // fraction of the pool's slots in use at the mean rate
	rotationPeakFactor = 5.0              // rate during the peak, as a multiple of the mean
	rotationLowFactor  = 0.05             // rate outside the peak, as a multiple of the mean
)

// RotationTrial returns a trial in which the peak of the demand rotates among the services.
func RotationTrial(seed uint64, policy admitter.Policy) Trial {
	var workloads []Workload
	for i, v := range referenceServices {
		slots := float64(ReferencePools[i].Size * slotsPerWorker)
		mean := rotationMeanLoad * slots / meanRunTime.Seconds() // of the service; each of its two customers sends half of it
		for _, customer := range []string{"school", "notary"} {
			workloads = append(workloads, Workload{
				Name: v.Name + " of " + customer, Service: v.Name, Customer: customer,
				Urgency: 3, Timeout: requestTimeout, RunTime: meanRunTime,
				Rate: func(since time.Duration) float64 {
					if int(since/rotationPhase)%len(referenceServices) == i {
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

// SingleQueueGoodput returns the goodput of a single queue in front of all slots, without
// pools or network delay. It skips requests that would miss their deadline and otherwise
// starts them in the order of arrival; no policy with pools is expected to exceed it. The
// arrivals have the rates of the trial, but are not those that Run sends.
func (t Trial) SingleQueueGoodput() float64 {
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
		if begin+a.runTime > a.at+a.timeout {
			continue
		}
		answered++
		free[0] = begin + a.runTime
		heap.Fix(&free, 0)
	}
	return float64(answered) / float64(max(len(arrivals), 1))
}

// arrival is a request that arrives at a time since the start of the trial.
type arrival struct{ at, runTime, timeout time.Duration }

// arrivals returns random arrivals of all workloads, in order of time. Their number in each
// load step has a Poisson distribution.
func (t Trial) arrivals(r *rand.Rand) []arrival {
	var out []arrival
	for _, workload := range t.Workloads {
		for since := time.Duration(0); since < t.Duration; since += loadStep {
			mean := workload.Rate(since) * loadStep.Seconds()
			for left := mean - r.ExpFloat64(); left > 0; left -= r.ExpFloat64() {
				out = append(out, arrival{
					at:      since + time.Duration(r.Int64N(int64(loadStep))),
					runTime: time.Duration(r.ExpFloat64() * float64(workload.RunTime)),
					timeout: workload.Timeout,
				})
			}
		}
	}
	slices.SortFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

// slotHeap is a min-heap of the times at which the slots become free.
type slotHeap []time.Duration

// Len returns the number of slots.
func (h slotHeap) Len() int { return len(h) }

// Less orders slots by the time at which they become free.
func (h slotHeap) Less(i, k int) bool { return h[i] < h[k] }

// Swap exchanges two slots.
func (h slotHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface. It is not used, because the number of slots is fixed.
func (h *slotHeap) Push(x any) { *h = append(*h, x.(time.Duration)) }

// Pop implements heap.Interface. It is not used, because the number of slots is fixed.
func (h *slotHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
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
