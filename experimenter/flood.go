package experimenter

import (
	"time"

	"laburnumwind/admitter"
)

// The load of a flood trial.
const (
	floodStart         = 10 * time.Second
	floodDuration      = 30 * time.Second
	floodTrialDuration = 50 * time.Second
	floodFactor        = 3   // multiple of the capacity of the whole fleet
	baseLoad           = 0.6 // fraction of each pool's slots in use without the flood
	meanRunTime        = 500 * time.Millisecond
	requestTimeout     = 5 * time.Second
	floodName          = "flood"
)

// Policies returns the admission policy under test, followed by its baselines.
func Policies() []admitter.Policy {
	return []admitter.Policy{
		admitter.FairShare(), admitter.FirstCome(), admitter.StrictPriority(), admitter.StaticPartition(),
	}
}

// baseWorkloads returns the workloads of both customers in all services without a flood.
func baseWorkloads() []Workload {
	var out []Workload
	for i, v := range services {
		slots := float64(ReferencePools[i].Size * slotsPerWorker)
		for _, customer := range []string{"school", "notary"} {
			rate := baseLoad / 2 * slots / meanRunTime.Seconds()
			out = append(out, Workload{
				Name: v.Name + " of " + customer, Service: v.Name, Customer: customer,
				Urgency: 3, Timeout: requestTimeout, RunTime: meanRunTime,
				Rate: func(time.Duration) float64 { return rate },
			})
		}
	}
	return out
}

// FloodTrial returns a trial in which one customer floods the build service with
// requests of an urgency. A negative urgency means no flood.
func FloodTrial(seed uint64, policy admitter.Policy, urgency int) Trial {
	workloads := baseWorkloads()
	fleet := 0.0
	for _, p := range ReferencePools {
		fleet += float64(p.Size * slotsPerWorker)
	}
	workloads = append(workloads, Workload{
		Name: floodName, Service: "build", Customer: "school", Urgency: urgency, Timeout: requestTimeout, RunTime: meanRunTime,
		Rate: func(since time.Duration) float64 {
			if urgency < 0 || since < floodStart || since >= floodStart+floodDuration {
				return 0
			}
			return floodFactor * fleet / meanRunTime.Seconds()
		},
	})
	return Trial{Seed: seed, Policy: policy, Workloads: workloads, Duration: floodTrialDuration}
}

// OutcomeWithoutFlood returns the merged outcome of all workloads except the flood and
// the flooding customer's own builds.
func OutcomeWithoutFlood(outcomes []Outcome) Outcome {
	var out Outcome
	for _, o := range outcomes {
		if o.Workload == floodName || o.Workload == "build of school" {
			continue
		}
		out = out.mergedWith(o)
	}
	return out.sorted()
}

// FloodOutcome returns the outcome of the flood itself.
func FloodOutcome(outcomes []Outcome) Outcome {
	for _, o := range outcomes {
		if o.Workload == floodName {
			return o
		}
	}
	return Outcome{}
}

// Start and end of a fault, from the start of a flood trial.
const (
	faultStart = 20 * time.Second
	faultEnd   = 35 * time.Second
)

// Faults returns the faults that a flood trial can inject, by name.
func Faults() map[string]func(w *World, since time.Duration) {
	return map[string]func(w *World, since time.Duration){
		"none": func(*World, time.Duration) {},
		"rack lost": func(w *World, since time.Duration) {
			for _, k := range w.workers {
				if since == faultStart && k.Rack == w.workers[0].Rack {
					k.Kill()
				}
			}
		},
		"zone cut": func(w *World, since time.Duration) {
			if since == faultStart || since == faultEnd {
				w.PartitionZone("c", since == faultStart)
			}
		},
	}
}
