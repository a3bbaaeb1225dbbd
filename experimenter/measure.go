package experimenter

import (
	"fmt"
	"slices"
	"time"

	"laburnumwind/admitter"
	"laburnumwind/assembler"
	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// Workload describes the requests of one customer to one service and their rate.
type Workload struct {
	Name     string
	Service  string
	Customer string
	Urgency  int
	Timeout  time.Duration                     // of each request
	RunTime  time.Duration                     // mean; run times are exponentially distributed
	Rate     func(since time.Duration) float64 // requests per second, at a time since the start of the trial
}

// Outcome counts the results of the requests of one workload.
type Outcome struct {
	Workload string
	Offered  int
	Answered int
	Refused  int
	Waits    []time.Duration // from arrival to the first start, of requests that started; sorted
}

// Goodput returns the fraction of the requests that were answered before their deadline.
func (o Outcome) Goodput() float64 {
	if o.Offered == 0 {
		return 1
	}
	return float64(o.Answered) / float64(o.Offered)
}

// WaitQuantile returns the q-quantile of the waits.
func (o Outcome) WaitQuantile(q float64) time.Duration {
	if len(o.Waits) == 0 {
		return 0
	}
	return o.Waits[min(int(q*float64(len(o.Waits))), len(o.Waits)-1)]
}

// Size and timing of the reference fleet. Its sizes are those of the production
// fleet in the specification.
const (
	slotsPerWorker = 8
	settleTime     = 6 * time.Second
	loadStep       = 10 * time.Millisecond
	drainTime      = 15 * time.Second
	declareAt      = 2 * time.Second
)

// ReferencePools are the pools of the reference fleet with their number of workers.
// The last is the spare pool.
var ReferencePools = []keeper.Pool{
	{Name: "imaging", Size: 9, Lendable: true},
	{Name: "licensing", Size: 9, Lendable: true},
	{Name: "checks", Size: 11, Lendable: true},
	{Name: "packets", Size: 12, Lendable: true},
	{Name: "records", Size: 8, Spare: true},
}

// services are the five services of the reference fleet, each with a pool of its own.
var services = []keeper.Service{
	{Name: "build", Pool: "imaging", Share: 1},
	{Name: "seed", Pool: "licensing", Share: 1},
	{Name: "check", Pool: "checks", Share: 1},
	{Name: "assemble", Pool: "packets", Share: 1},
	{Name: "billing", Pool: "records", Share: 1},
}

// Declarations returns the declarations of the reference fleet, with two customers
// that may use every service.
func Declarations(maxDown int) keeper.Declarations {
	d := keeper.Declarations{Pools: ReferencePools, Services: services}
	for n, name := range []string{"school", "notary"} {
		c := keeper.Customer{
			Name: name, Token: fmt.Sprintf("%064d", n), Weight: 1,
			Budget: keeper.Budget{MaxDown: maxDown, Downtime: 1000 * time.Hour, Window: 30 * 24 * time.Hour},
		}
		for _, v := range services {
			c.Services = append(c.Services, v.Name)
		}
		d.Customers = append(d.Customers, c)
	}
	return d
}

// Trial is one simulated run of workloads under an admission policy.
type Trial struct {
	Seed      uint64
	Policy    admitter.Policy
	Workloads []Workload
	Duration  time.Duration
	Fault     func(w *World, since time.Duration) // called every second
}

// NewReferenceWorld returns a world with the reference fleet of 49 workers in three
// zones, after declarations are applied and all workers serve.
func NewReferenceWorld(seed uint64, maxDown int, adjust func(*assembler.Config)) *World {
	zones := []string{"a", "b", "c"}
	w := NewWorld(Config{Seed: seed, Zones: zones, Workers: NewWorkerConfigs(49, slotsPerWorker, zones), AdjustNode: adjust, Tick: 100 * time.Millisecond})
	w.RunFor(declareAt)
	w.Apply(w.entries[0], Declarations(maxDown), 0, "today")
	w.RunFor(settleTime)
	return w
}

// WithFault returns the trial with a fault injected.
func (t Trial) WithFault(fault func(w *World, since time.Duration)) Trial {
	t.Fault = fault
	return t
}

// Run runs the trial. It returns the outcome of each workload and the number of
// moves of instances between pools.
func (t Trial) Run() (outcomes []Outcome, moves int) {
	w := t.world()
	t.runLoad(w)
	return w.outcomes(t.Workloads), w.moves()
}

func (t Trial) world() *World {
	return NewReferenceWorld(t.Seed, 3, func(cfg *assembler.Config) { cfg.Admitter.Policy = t.Policy })
}

// runLoad sends the requests of the trial and then waits drainTime for their answers.
func (t Trial) runLoad(w *World) {
	for since := time.Duration(0); since < t.Duration; since += loadStep {
		if t.Fault != nil && since%time.Second == 0 {
			t.Fault(w, since)
		}
		for _, k := range t.Workloads {
			for range w.poisson(k.Rate(since) * loadStep.Seconds()) {
				w.scheduleRequest(k, w.randomDuration(loadStep))
			}
		}
		w.RunFor(loadStep)
	}
	w.RunFor(drainTime)
}

// moves returns how often instances changed their pool since their first assignment.
func (w *World) moves() int {
	const epochsPerMove = 2 // a drain and an assignment
	n := uint64(0)
	for _, i := range w.entries[0].view.State.Instances() {
		n += (i.Epoch - 1) / epochsPerMove
	}
	return int(n)
}

// scheduleRequest sends one request of a workload after a delay. The body of the
// request is the name of the workload.
func (w *World) scheduleRequest(k Workload, after time.Duration) {
	spec := RequestSpec{
		Service:    k.Service,
		Customer:   k.Customer,
		Urgency:    k.Urgency,
		Timeout:    k.Timeout,
		RunTime:    time.Duration(w.random.ExpFloat64() * float64(k.RunTime)),
		Body:       k.Name,
		Idempotent: true,
	}
	e := w.entries[w.random.IntN(len(w.entries))]
	w.After(after, func() { w.Submit(e, spec) })
}

// poisson draws a number of arrivals from the Poisson distribution with a mean.
func (w *World) poisson(mean float64) int {
	n := 0
	for left := mean - w.random.ExpFloat64(); left > 0; left -= w.random.ExpFloat64() {
		n++
	}
	return n
}

func (w *World) outcomes(workloads []Workload) []Outcome {
	started := make(map[requestID]time.Time, len(w.Starts))
	for _, s := range w.Starts {
		id := requestID{s.EntryRun, s.Request}
		_, ok := started[id]
		if !ok {
			started[id] = s.At
		}
	}
	byWorkload := make(map[string]*Outcome)
	for _, k := range workloads {
		byWorkload[k.Name] = &Outcome{Workload: k.Name}
	}
	for _, c := range w.Calls {
		o := byWorkload[c.Body]
		o.Offered++
		switch {
		case c.Answered && c.Answer.Outcome == messenger.Answered:
			o.Answered++
		case c.Answered && c.Answer.Outcome == messenger.Refused:
			o.Refused++
		}
		at, ok := started[requestID{c.EntryRun, c.ID}]
		if ok {
			o.Waits = append(o.Waits, at.Sub(c.SentAt))
		}
	}
	var out []Outcome
	for _, k := range workloads {
		o := byWorkload[k.Name]
		slices.Sort(o.Waits)
		out = append(out, *o)
	}
	return out
}

// mergedWith returns the sum of two outcomes. Its waits are not sorted.
func (o Outcome) mergedWith(other Outcome) Outcome {
	o.Offered += other.Offered
	o.Answered += other.Answered
	o.Refused += other.Refused
	o.Waits = append(slices.Clip(o.Waits), other.Waits...)
	return o
}

func (o Outcome) sorted() Outcome {
	slices.Sort(o.Waits)
	return o
}
