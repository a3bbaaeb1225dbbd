package experimenter

import (
	"time"

	"laburnumwind/admitter"
)

// The load of a flood trial. The other trials share its run time and timeout.
const (
	floodStart         = 10 * time.Second
	floodDuration      = 30 * time.Second
	floodTrialDuration = 50 * time.Second
	floodFactor        = 3                      // multiple of the capacity of the whole fleet
	baseLoad           = 0.6                    // fraction of each pool's slots in use without the flood
	meanRunTime        = 500 * time.Millisecond // of a request on an endpoint
	requestTimeout     = 5 * time.Second        // from submission to deadline
	floodName          = "flood"                // name of the flood's workload
)

// AdmissionPolicies returns the admission policy under test, followed by the baseline policies.
func AdmissionPolicies() []admitter.Policy {
	return []admitter.Policy{
		admitter.FairShare(), admitter.FirstCome(), admitter.StrictPriority(), admitter.StaticPartition(),
	}
}

// baseWorkloads returns a workload for each customer and service, without the flood.
func baseWorkloads() []Workload {
	var out []Workload
	for i, v := range referenceServices {
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
// requests of the given urgency. A negative urgency disables the flood.
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

// BackgroundOutcome returns the merged outcome of all workloads of a flood trial, except
// the flood and the flooding customer's other requests to the same service, which wait in
// the same queue as the flood.
func BackgroundOutcome(outcomes []Outcome) Outcome {
	var out Outcome
	for _, o := range outcomes {
		if o.Workload == floodName || o.Workload == "build of school" {
			continue
		}
		out = out.mergedWith(o)
	}
	return out.sorted()
}

// FloodOutcome returns the outcome of the flood.
func FloodOutcome(outcomes []Outcome) Outcome {
	for _, o := range outcomes {
		if o.Workload == floodName {
			return o
		}
	}
	return Outcome{}
}

// Times since the start of a flood trial at which a fault starts and ends. A lost rack does
// not return.
const (
	faultStart = 20 * time.Second
	faultEnd   = 35 * time.Second
)

// FloodFaults returns the faults that a flood trial can inject, by name.
func FloodFaults() map[string]func(cl *Cluster, since time.Duration) {
	return map[string]func(cl *Cluster, since time.Duration){
		"none": func(*Cluster, time.Duration) {},
		"rack lost": func(cl *Cluster, since time.Duration) {
			for _, w := range cl.workers {
				if since == faultStart && w.Rack == cl.workers[0].Rack {
					w.Kill()
				}
			}
		},
		"zone cut": func(cl *Cluster, since time.Duration) {
			if since == faultStart || since == faultEnd {
				cl.PartitionZone("c", since == faultStart)
			}
		},
	}
}
