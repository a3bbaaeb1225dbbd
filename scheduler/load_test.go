package scheduler

import (
	"fmt"
	"math"
	"time"

	"laburnumwind/registrar"
)

// load submits jobs of two steps at an average rate of jobsPerSecond, until the simulated time exceeds
// until. The jobs of each period go to the next of the queues, except 10 % that go to a random one.
func (w *simCluster) load(queues []string, jobsPerSecond float64, period time.Duration, until time.Duration) {
	w.shapedLoad(queues, jobsPerSecond, period, until, func(time.Duration) float64 { return 1 })
}

// sinusoidalLoad returns a load share that rises from 0 to 1 and falls to 0 within each period.
func sinusoidalLoad(period time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		return math.Pow(math.Sin(math.Pi*float64(at%period)/float64(period)), 2)
	}
}

// shapedLoad is like load, with the rate multiplied by shareAt, a function of the simulated time so far.
func (w *simCluster) shapedLoad(queues []string, jobsPerSecond float64, period, until time.Duration, shareAt func(time.Duration) float64) {
	var submitNext func()
	submitNext = func() {
		if w.Now().Sub(w.start) > until {
			return
		}
		w.After(time.Duration(w.r.ExpFloat64()/jobsPerSecond*float64(time.Second)), submitNext)
		if w.r.Float64() > shareAt(w.Now().Sub(w.start)) {
			return
		}
		w.jobs++
		queue := queues[int(w.Now().Sub(w.start)/period)%len(queues)]
		if w.r.Float64() < 0.1 {
			queue = queues[w.r.IntN(len(queues))]
		}
		w.submit(queue, registrar.Job{ID: fmt.Sprintf("%016x", w.jobs), Steps: []registrar.Step{
			{Count: 2 + w.r.IntN(9), CPU: 500 + w.r.IntN(800), Memory: 800 + w.r.IntN(400), Estimate: 800 * time.Millisecond},
			{Count: 1 + w.r.IntN(4), CPU: 900, Memory: 1000, Estimate: 600 * time.Millisecond, After: []int{0}},
		}})
	}
	submitNext()
}

// onTimeShare returns the share of the jobs of shapedLoad that met their objective, and the number of
// completed jobs. By the configuration of newSimCluster a job must complete within 1.6 times the
// estimated run time of its two steps, 1.4 s, plus 600 ms.
func (w *simCluster) onTimeShare() (share float64, complete int) {
	onTime := 0
	for n := 1; n <= w.jobs; n++ {
		j, ok := w.committed.Job(fmt.Sprintf("%016x", n))
		if !ok || j.Outcome != registrar.Complete {
			continue
		}
		complete++
		if time.Duration(j.EndedAt-j.AcceptedAt) <= time.Duration(1.6*1.4*float64(time.Second))+600*time.Millisecond {
			onTime++
		}
	}
	return float64(onTime) / float64(max(w.jobs, 1)), complete
}
