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

// Kind is one kind of work and its demand.
type Kind struct {
	Name     string
	Service  string
	Customer string
	Urgency  int
	Wait     time.Duration                     // how long a caller waits
	Run      time.Duration                     // mean run time; run times are exponential
	Rate     func(since time.Duration) float64 // requests a second, by the time since the start
}

// Outcome is what one kind of work got.
type Outcome struct {
	Kind     string
	Offered  int
	Answered int
	Refused  int
	Waits    []time.Duration // from arrival to start, of what started; sorted
}

// Goodput is the part of the requests that were answered in time.
func (o Outcome) Goodput() float64 {
	if o.Offered == 0 {
		return 1
	}
	return float64(o.Answered) / float64(o.Offered)
}

// Wait is a quantile of the waits.
func (o Outcome) Wait(q float64) time.Duration {
	if len(o.Waits) == 0 {
		return 0
	}
	return o.Waits[min(int(q*float64(len(o.Waits))), len(o.Waits)-1)]
}

// Today's sizes, from the brief.
const (
	slotsOfWorker = 8
	settleTime    = 6 * time.Second
	pollRate      = 10 * time.Millisecond
	drainTime     = 15 * time.Second
	declareAt     = 2 * time.Second
)

// PoolSizes are the workers of today's pools; the last is the spare pool with the records.
var PoolSizes = []keeper.Pool{
	{Name: "imaging", Size: 9, Lendable: true},
	{Name: "licensing", Size: 9, Lendable: true},
	{Name: "checks", Size: 11, Lendable: true},
	{Name: "packets", Size: 12, Lendable: true},
	{Name: "records", Size: 8, Spare: true},
}

// services are today's five, each at home in one pool.
var services = []keeper.Service{
	{Name: "build", Pool: "imaging", Share: 1},
	{Name: "seed", Pool: "licensing", Share: 1},
	{Name: "check", Pool: "checks", Share: 1},
	{Name: "assemble", Pool: "packets", Share: 1},
	{Name: "billing", Pool: "records", Share: 1},
}

// Declarations are today's, for two customers that use every service.
func Declarations(maxDown int) keeper.Declarations {
	d := keeper.Declarations{Pools: PoolSizes, Services: services}
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

// Trial is one run of a load under a policy.
type Trial struct {
	Seed   uint64
	Policy admitter.Policy
	Kinds  []Kind
	Length time.Duration
	Fault  func(w *World, since time.Duration) // is called each second
}

// NewToday returns a world of today's size that has settled.
func NewToday(seed uint64, maxDown int, change func(*assembler.Config)) *World {
	zones := []string{"a", "b", "c"}
	w := NewWorld(Config{Seed: seed, Zones: zones, Workers: Fleet(49, slotsOfWorker, zones), Change: change, Tick: 100 * time.Millisecond})
	w.RunFor(declareAt)
	w.Apply(w.entries[0], Declarations(maxDown), 0, "today")
	w.RunFor(settleTime)
	return w
}

// WithFault returns the trial with a fault in its middle.
func (t Trial) WithFault(fault func(w *World, since time.Duration)) Trial {
	t.Fault = fault
	return t
}

// Run runs the trial and returns what each kind of work got, and how many instances changed their place.
func (t Trial) Run() (outcomes []Outcome, moves int) {
	w := t.world()
	t.load(w)
	return w.outcomes(t.Kinds), w.moves()
}

func (t Trial) world() *World {
	return NewToday(t.Seed, 3, func(cfg *assembler.Config) { cfg.Admitter.Policy = t.Policy })
}

// load runs the demand of the trial through a world.
func (t Trial) load(w *World) {
	for since := time.Duration(0); since < t.Length; since += pollRate {
		if t.Fault != nil && since%time.Second == 0 {
			t.Fault(w, since)
		}
		for _, k := range t.Kinds {
			for range w.poisson(k.Rate(since) * pollRate.Seconds()) {
				w.submitLater(k, w.upTo(pollRate))
			}
		}
		w.RunFor(pollRate)
	}
	w.RunFor(drainTime)
}

// moves is how many changes of pool the instances went through since they were placed.
func (w *World) moves() int {
	const epochsOfMove = 2 // a drain and an assignment
	n := uint64(0)
	for _, i := range w.entries[0].view.State.Instances() {
		n += (i.Epoch - 1) / epochsOfMove
	}
	return int(n)
}

// submitLater sends one request of a kind; its body names the kind.
func (w *World) submitLater(k Kind, after time.Duration) {
	job := Job{
		Service:    k.Service,
		Customer:   k.Customer,
		Urgency:    k.Urgency,
		Wait:       k.Wait,
		Run:        time.Duration(w.random.ExpFloat64() * float64(k.Run)),
		Body:       k.Name,
		Idempotent: true,
	}
	e := w.entries[w.random.IntN(len(w.entries))]
	w.After(after, func() { w.Submit(e, job) })
}

// poisson draws a number of arrivals.
func (w *World) poisson(mean float64) int {
	n := 0
	for left := mean - w.random.ExpFloat64(); left > 0; left -= w.random.ExpFloat64() {
		n++
	}
	return n
}

func (w *World) outcomes(kinds []Kind) []Outcome {
	started := make(map[callName]time.Time, len(w.Starts))
	for _, s := range w.Starts {
		name := callName{s.Entry, s.Request}
		_, ok := started[name]
		if !ok {
			started[name] = s.At
		}
	}
	byKind := make(map[string]*Outcome)
	for _, k := range kinds {
		byKind[k.Name] = &Outcome{Kind: k.Name}
	}
	for _, c := range w.Calls {
		o := byKind[c.Body]
		o.Offered++
		switch {
		case c.Answered && c.Answer.Outcome == messenger.Answered:
			o.Answered++
		case c.Answered && c.Answer.Outcome == messenger.Refused:
			o.Refused++
		}
		at, ok := started[callName{c.EntryRun, c.ID}]
		if ok {
			o.Waits = append(o.Waits, at.Sub(c.SentAt))
		}
	}
	var out []Outcome
	for _, k := range kinds {
		o := byKind[k.Name]
		slices.Sort(o.Waits)
		out = append(out, *o)
	}
	return out
}

// with joins another outcome.
func (o Outcome) with(other Outcome) Outcome {
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
