package experimenter

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumwind/admitter"
)

// The load of a rotation trial, from the brief: each queue in turn asks five
// times its mean, more than its pool holds, and a twentieth of it in between.
const (
	rotationPhase = 6 * time.Second
	rotationTotal = 60 * time.Second
	rotationMean  = 0.65 // of the pool
	rotationPeak  = 5.0
	rotationLow   = 0.05
)

// RotationTrial lets the demand rotate among the services.
func RotationTrial(seed uint64, policy admitter.Policy) Trial {
	var kinds []Kind
	for i, v := range services {
		slots := float64(PoolSizes[i].Size * slotsOfWorker)
		mean := rotationMean * slots / workRun.Seconds()
		for _, customer := range []string{"school", "notary"} {
			kinds = append(kinds, Kind{
				Name: v.Name + " of " + customer, Service: v.Name, Customer: customer,
				Urgency: 3, Wait: workWait, Run: workRun,
				Rate: func(since time.Duration) float64 {
					if int(since/rotationPhase)%len(services) == i {
						return mean * rotationPeak / 2
					}
					return mean * rotationLow / 2
				},
			})
		}
	}
	return Trial{Seed: seed, Policy: policy, Kinds: kinds, Length: rotationTotal}
}

// PeakMoves is how many instances would move in a rotation trial if each peak
// were met by moving instances to the hot pool instead of lending slots.
func PeakMoves() int {
	moves := 0
	for phase := range int(rotationTotal / rotationPhase) {
		size := PoolSizes[phase%len(PoolSizes)].Size
		moves += int(rotationMean*rotationPeak*float64(size)) - size
	}
	return moves
}

// Hindsight is the goodput of one queue in front of all slots, without any
// delay or pool: no policy can do better.
func (t Trial) Hindsight() float64 {
	r := rand.New(rand.NewPCG(t.Seed, 13))
	slots := 0
	for _, p := range PoolSizes {
		slots += p.Size * slotsOfWorker
	}
	free := make(ends, slots)
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
	for _, k := range t.Kinds {
		for since := time.Duration(0); since < t.Length; since += pollRate {
			mean := k.Rate(since) * pollRate.Seconds()
			for left := mean - r.ExpFloat64(); left > 0; left -= r.ExpFloat64() {
				out = append(out, arrival{
					at:   since + time.Duration(r.Int64N(int64(pollRate))),
					run:  time.Duration(r.ExpFloat64() * float64(k.Run)),
					wait: k.Wait,
				})
			}
		}
	}
	slices.SortFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

// ends is when each slot is free again, the earliest first.
type ends []time.Duration

// Len is the number of slots.
func (e ends) Len() int { return len(e) }

// Less orders slots by when they are free.
func (e ends) Less(i, k int) bool { return e[i] < e[k] }

// Swap exchanges two slots.
func (e ends) Swap(i, k int) { e[i], e[k] = e[k], e[i] }

// Push is not used: the number of slots is fixed.
func (e *ends) Push(x any) { *e = append(*e, x.(time.Duration)) }

// Pop is not used: the number of slots is fixed.
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// All joins the outcomes of all work.
func All(outcomes []Outcome) Outcome {
	var out Outcome
	for _, o := range outcomes {
		out = out.with(o)
	}
	return out.sorted()
}
