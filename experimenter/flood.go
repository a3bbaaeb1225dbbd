package experimenter

import (
	"time"

	"laburnumwind/admitter"
)

// The load of a flood trial.
const (
	floodBegin  = 10 * time.Second
	floodLength = 30 * time.Second
	floodTotal  = 50 * time.Second
	floodFactor = 3   // times what the whole fleet can do
	usualLoad   = 0.6 // of each pool, without the flood
	workRun     = 500 * time.Millisecond
	workWait    = 5 * time.Second
	floodKind   = "flood"
)

// Policies are the decision under test and its baselines.
func Policies() []admitter.Policy {
	return []admitter.Policy{
		admitter.FairShare(), admitter.FirstCome(), admitter.StrictPriority(), admitter.StaticPartition(),
	}
}

// usualKinds are both customers' work in all services.
func usualKinds() []Kind {
	var out []Kind
	for i, v := range services {
		slots := float64(PoolSizes[i].Size * slotsOfWorker)
		for _, customer := range []string{"school", "notary"} {
			rate := usualLoad / 2 * slots / workRun.Seconds()
			out = append(out, Kind{
				Name: v.Name + " of " + customer, Service: v.Name, Customer: customer,
				Urgency: 3, Wait: workWait, Run: workRun,
				Rate: func(time.Duration) float64 { return rate },
			})
		}
	}
	return out
}

// FloodTrial is a flood of one customer's builds with an urgency; with urgency
// below zero there is no flood.
func FloodTrial(seed uint64, policy admitter.Policy, urgency int) Trial {
	kinds := usualKinds()
	fleet := 0.0
	for _, p := range PoolSizes {
		fleet += float64(p.Size * slotsOfWorker)
	}
	kinds = append(kinds, Kind{
		Name: floodKind, Service: "build", Customer: "school", Urgency: urgency, Wait: workWait, Run: workRun,
		Rate: func(since time.Duration) float64 {
			if urgency < 0 || since < floodBegin || since >= floodBegin+floodLength {
				return 0
			}
			return floodFactor * fleet / workRun.Seconds()
		},
	})
	return Trial{Seed: seed, Policy: policy, Kinds: kinds, Length: floodTotal}
}

// Others joins the outcomes of all work but the flood and the flooding customer's own builds.
func Others(outcomes []Outcome) Outcome {
	var out Outcome
	for _, o := range outcomes {
		if o.Kind == floodKind || o.Kind == "build of school" {
			continue
		}
		out = out.with(o)
	}
	return out.sorted()
}

// Flood is the outcome of the flood itself.
func Flood(outcomes []Outcome) Outcome {
	for _, o := range outcomes {
		if o.Kind == floodKind {
			return o
		}
	}
	return Outcome{}
}

// Times of a fault in a trial.
const (
	faultBegin = 20 * time.Second
	faultEnd   = 35 * time.Second
)

// Faults are what may happen in the middle of a trial, by name.
func Faults() map[string]func(w *World, since time.Duration) {
	return map[string]func(w *World, since time.Duration){
		"none": func(*World, time.Duration) {},
		"rack lost": func(w *World, since time.Duration) {
			for _, k := range w.workers {
				if since == faultBegin && k.Rack == w.workers[0].Rack {
					k.Kill()
				}
			}
		},
		"zone cut": func(w *World, since time.Duration) {
			if since == faultBegin || since == faultEnd {
				w.CutZone("c", since == faultBegin)
			}
		},
	}
}
