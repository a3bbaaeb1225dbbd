package scheduler

import (
	"fmt"
	"math"
	"time"

	"laburnumwind/registrar"
)

// load hands in jobs of two steps at a rate that turns from queue to queue.
func (w *world) load(queues []string, perS float64, turn time.Duration, until time.Duration) {
	w.shapedLoad(queues, perS, turn, until, func(time.Duration) float64 { return 1 })
}

// swells is a load that rises and falls within each turn.
func swells(turn time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		return math.Pow(math.Sin(math.Pi*float64(at%turn)/float64(turn)), 2)
	}
}

// shapedLoad hands in jobs of two steps at a share of a rate, which turns from queue to queue.
func (w *world) shapedLoad(queues []string, perS float64, turn, until time.Duration, shape func(time.Duration) float64) {
	var next func()
	next = func() {
		if w.Now().Sub(w.start) > until {
			return
		}
		w.After(time.Duration(w.r.ExpFloat64()/perS*float64(time.Second)), next)
		if w.r.Float64() > shape(w.Now().Sub(w.start)) {
			return
		}
		w.jobs++
		queue := queues[int(w.Now().Sub(w.start)/turn)%len(queues)]
		if w.r.Float64() < 0.1 {
			queue = queues[w.r.IntN(len(queues))]
		}
		w.submit(queue, registrar.Job{ID: fmt.Sprintf("%016x", w.jobs), Steps: []registrar.Step{
			{Count: 2 + w.r.IntN(9), CPU: 500 + w.r.IntN(800), Memory: 800 + w.r.IntN(400), Estimate: 800 * time.Millisecond},
			{Count: 1 + w.r.IntN(4), CPU: 900, Memory: 1000, Estimate: 600 * time.Millisecond, After: []int{0}},
		}})
	}
	next()
}

// inTime is the share of the jobs that met their objective, and the number that are complete.
func (w *world) inTime() (share float64, complete int) {
	met := 0
	for n := 1; n <= w.jobs; n++ {
		j, ok := w.register.Job(fmt.Sprintf("%016x", n))
		if !ok || j.Outcome != registrar.Complete {
			continue
		}
		complete++
		if time.Duration(j.Ended-j.Accepted) <= time.Duration(1.6*1.4*float64(time.Second))+600*time.Millisecond {
			met++
		}
	}
	return float64(met) / float64(max(w.jobs, 1)), complete
}
