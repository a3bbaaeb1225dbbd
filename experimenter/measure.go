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
	Name     string // unique in a trial
	Service  string
	Customer string
	Urgency  int                               // from 0 (most urgent) to 7 (least urgent)
	Timeout  time.Duration                     // of each request
	RunTime  time.Duration                     // mean; run times are exponentially distributed
	Rate     func(since time.Duration) float64 // requests per second at a time since the start of the trial
}

// Outcome counts the results of the requests of one workload.
type Outcome struct {
	Workload string // name
	Offered  int    // number of requests that were sent
	Answered int
	Refused  int
	Waits    []time.Duration // from submission to the first start, of requests that started; sorted
}

// Goodput returns the fraction of the requests that were answered before their deadline.
// It is 1 if there were no requests.
func (o Outcome) Goodput() float64 {
	if o.Offered == 0 {
		return 1
	}
	return float64(o.Answered) / float64(o.Offered)
}

// WaitQuantile returns the q-quantile of the waits, or zero if no request started.
func (o Outcome) WaitQuantile(q float64) time.Duration {
	if len(o.Waits) == 0 {
		return 0
	}
	return o.Waits[min(int(q*float64(len(o.Waits))), len(o.Waits)-1)]
}

// Slots of each worker, which, like the sizes of ReferencePools, are those of the production
// fleet in the specification, and the timing of the trials.
const (
	slotsPerWorker  = 8
	settleTime      = 6 * time.Second       // wait after Apply of the declarations, in which all workers start to serve
	loadStep        = 10 * time.Millisecond // the arrivals of each such interval are generated together
	finalAnswerWait = 15 * time.Second      // wait after the end of the load for the last answers
	applyDelay      = 2 * time.Second       // from the start of the cluster to Apply of the declarations
)

// ReferencePools are the pools of the reference fleet, with their numbers of workers as sizes.
// The last is the spare pool.
var ReferencePools = []keeper.Pool{
	{Name: "imaging", Size: 9, Lendable: true},
	{Name: "licensing", Size: 9, Lendable: true},
	{Name: "checks", Size: 11, Lendable: true},
	{Name: "packets", Size: 12, Lendable: true},
	{Name: "records", Size: 8, Spare: true},
}

// referenceServices are the five services of the reference fleet, each with a pool of its own.
// Each has the same index as its pool in ReferencePools.
var referenceServices = []keeper.Service{
	{Name: "build", Pool: "imaging", Share: 1},
	{Name: "seed", Pool: "licensing", Share: 1},
	{Name: "check", Pool: "checks", Share: 1},
	{Name: "assemble", Pool: "packets", Share: 1},
	{Name: "billing", Pool: "records", Share: 1},
}

// ReferenceDeclarations returns the declarations of the reference fleet, with two customers
// that may use every service. The budget of each customer allows at most maxDown instances of
// a pool to be down at the same time.
func ReferenceDeclarations(maxDown int) keeper.Declarations {
	d := keeper.Declarations{Pools: ReferencePools, Services: referenceServices}
	for n, name := range []string{"school", "notary"} {
		c := keeper.Customer{
			Name: name, Token: fmt.Sprintf("%064d", n), Weight: 1,
			Budget: keeper.Budget{MaxDown: maxDown, Downtime: 1000 * time.Hour, Window: 30 * 24 * time.Hour},
		}
		for _, v := range referenceServices {
			c.Services = append(c.Services, v.Name)
		}
		d.Customers = append(d.Customers, c)
	}
	return d
}

// Trial is one simulated run of workloads under an admission policy.
type Trial struct {
	Seed        uint64
	Policy      admitter.Policy
	Workloads   []Workload
	Duration    time.Duration
	InjectFault func(cl *Cluster, since time.Duration) // called every second with the time since the start of the load; nil: no fault
}

// NewReferenceCluster returns a cluster with the reference fleet of 49 workers in three zones,
// after its declarations are applied and all workers serve.
func NewReferenceCluster(seed uint64, maxDown int, adjust func(*assembler.Config)) *Cluster {
	zones := []string{"a", "b", "c"}
	cl := NewCluster(Config{Seed: seed, Zones: zones, Workers: NewWorkerConfigs(49, slotsPerWorker, zones), AdjustNode: adjust, Tick: 100 * time.Millisecond})
	cl.RunFor(applyDelay)
	cl.Apply(cl.entries[0], ReferenceDeclarations(maxDown), 0, "today")
	cl.RunFor(settleTime)
	return cl
}

// WithFault returns the trial with a fault.
func (t Trial) WithFault(fault func(cl *Cluster, since time.Duration)) Trial {
	t.InjectFault = fault
	return t
}

// Run runs the trial. It returns the outcome of each workload and the number of
// moves of instances between pools.
func (t Trial) Run() (outcomes []Outcome, moves int) {
	cl := t.newCluster()
	t.runLoad(cl)
	return cl.outcomes(t.Workloads), cl.moves()
}

func (t Trial) newCluster() *Cluster {
	return NewReferenceCluster(t.Seed, 3, func(cfg *assembler.Config) { cfg.Admitter.Policy = t.Policy })
}

// runLoad sends the requests of the trial and injects its fault. Then it waits
// finalAnswerWait for the last answers.
func (t Trial) runLoad(cl *Cluster) {
	for since := time.Duration(0); since < t.Duration; since += loadStep {
		if t.InjectFault != nil && since%time.Second == 0 {
			t.InjectFault(cl, since)
		}
		for _, workload := range t.Workloads {
			for range cl.poisson(workload.Rate(since) * loadStep.Seconds()) {
				cl.scheduleRequest(workload, cl.randomDuration(loadStep))
			}
		}
		cl.RunFor(loadStep)
	}
	cl.RunFor(finalAnswerWait)
}

// moves estimates how many times instances moved to another pool after their first assignment.
// It derives the estimate from the epochs, so losses and maintenances of instances count as
// moves too.
func (cl *Cluster) moves() int {
	const epochsPerMove = 2 // a drain and an assignment each start a new epoch
	n := uint64(0)
	for _, i := range cl.entries[0].view.State.Instances() {
		n += (i.Epoch - 1) / epochsPerMove
	}
	return int(n)
}

// scheduleRequest sends one request of a workload after a delay. The body of the request is
// the name of the workload, by which outcomes identifies it.
func (cl *Cluster) scheduleRequest(workload Workload, after time.Duration) {
	spec := RequestSpec{
		Service:    workload.Service,
		Customer:   workload.Customer,
		Urgency:    workload.Urgency,
		Timeout:    workload.Timeout,
		RunTime:    time.Duration(cl.random.ExpFloat64() * float64(workload.RunTime)),
		Body:       workload.Name,
		Idempotent: true,
	}
	e := cl.entries[cl.random.IntN(len(cl.entries))]
	cl.After(after, func() { cl.Submit(e, spec) })
}

// poisson returns a random number from the Poisson distribution with the given mean.
func (cl *Cluster) poisson(mean float64) int {
	n := 0
	for left := mean - cl.random.ExpFloat64(); left > 0; left -= cl.random.ExpFloat64() {
		n++
	}
	return n
}

// outcomes returns the outcome of each workload, in the given order.
func (cl *Cluster) outcomes(workloads []Workload) []Outcome {
	started := make(map[requestID]time.Time, len(cl.Starts))
	for _, s := range cl.Starts {
		id := requestID{s.EntryRun, s.Request}
		_, ok := started[id]
		if !ok {
			started[id] = s.At
		}
	}
	byWorkload := make(map[string]*Outcome)
	for _, workload := range workloads {
		byWorkload[workload.Name] = &Outcome{Workload: workload.Name}
	}
	for _, c := range cl.Calls {
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
	for _, workload := range workloads {
		o := byWorkload[workload.Name]
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

// sorted returns the outcome with sorted waits.
func (o Outcome) sorted() Outcome {
	slices.Sort(o.Waits)
	return o
}
