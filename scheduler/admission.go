package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"laburnumwind/estimator"
	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// maxJudgedWorkers is the number of workers above which nothing is refused for load. Recording the backlog and the capacity in
// each pass takes processor time that a leader of 3,000 workers does not have: passes come late, and work seems to pile up.
const maxJudgedWorkers = 1000

// poolLoad is the work and the capacity of a pool, as the last placement pass found them. Submissions that are accepted
// since are added, so that the decision on one visits no other job.
type poolLoad struct {
	backlog estimator.Backlog
	cores   float64 // of its workers, without those that long-running tasks use
}

// workKey identifies the work of one team in a pool that has one priority.
type workKey struct {
	pool     string
	team     string
	priority int
}

// refusesSubmissions reports whether submissions may be refused for load or because their job can never run. This needs
// teams in the configuration and a recent list of the machines: otherwise the capacity is not known.
func (t *transition) refusesSubmissions() bool {
	return len(t.committed.Config().Teams) > 0 && !t.fleet.listedAt.IsZero() && t.now.Sub(t.fleet.listedAt) < listMaxAge
}

// refuseNeverRuns refuses a submission whose job can never run, and reports whether it did. A submission whose job is
// already proposed is not refused, because the job may be committed.
func (t *transition) refuseNeverRuns(callID uint64, j registrar.Job) bool {
	if !t.refusesSubmissions() {
		return false
	}
	reason := t.cannotRun(j)
	if reason == "" || t.isProposed(j.ID) {
		return false
	}
	t.refuseInvalid(callID, messenger.Decision{Event: "refusedCannotRun", Job: j.ID, Pool: j.Pool, Reason: reason})
	return true
}

// refuseForLoad refuses a submission that its pool cannot serve in time, and reports whether it did. It adds the work of
// one that it does not refuse to the backlog. A submission whose job is already proposed is not refused, because the job
// may run.
func (t *transition) refuseForLoad(callID uint64, q registrar.Queue, j registrar.Job) bool {
	v, allowed, judged := t.judgeLoad(q, j)
	if !judged {
		return false
	}
	t.setRefusing(q.Name, v.Refused)
	if v.Refused && !t.isProposed(j.ID) {
		reason := fmt.Sprintf("expected wait %.1f s, allowed time %.1f s, retry after %.0f s", v.Wait.Seconds(), allowed.Seconds(), v.RetryAfter.Seconds())
		t.logDecision(messenger.Decision{Event: "refusedForLoad", Job: j.ID, Pool: j.Pool, Reason: reason})
		t.answerCall(callID, messenger.JobAnswer{Status: messenger.CallOverloaded, RetryAfter: v.RetryAfter})
		return true
	}
	load := t.loads[j.Pool]
	load.backlog = load.backlog.With(estimator.Work{Team: j.Team, Priority: q.Priority, CoreSeconds: t.leastWork(j, registrar.Occurrence{})})
	t.loads = maps.Clone(t.loads)
	t.loads[j.Pool] = load
	return false
}

// judgeLoad returns the estimator's verdict on a submission and the time allowed for its job. It returns false if the job
// is not judged by load.
func (t *transition) judgeLoad(q registrar.Queue, j registrar.Job) (estimator.Verdict, time.Duration, bool) {
	load, known := t.loads[j.Pool]
	if !known || !t.refusesSubmissions() || !isJudgedByLoad(q, j) {
		return estimator.Verdict{}, 0, false
	}
	chain := t.criticalPath(j, registrar.Occurrence{})
	allowed := time.Duration(max(q.Stretch, 1)*float64(chain)) + q.Objective
	return estimator.Decide(
		estimator.Pool{Backlog: load.backlog, Cores: load.cores, SoonCores: float64(t.fleet.demands[j.Pool].arrivingCPU) / 1000, SoonIn: t.cfg.MoveDuration},
		estimator.Job{ID: j.ID, Team: j.Team, Weights: t.weights, Priority: q.Priority, Chain: chain, Allowed: allowed},
		t.refusing[q.Name],
	), allowed, true
}

// setRefusing records whether a queue refuses submissions for load.
func (t *transition) setRefusing(queue string, refusing bool) {
	if t.refusing[queue] == refusing {
		return
	}
	t.refusing = maps.Clone(t.refusing)
	if t.refusing == nil {
		t.refusing = make(map[string]bool)
	}
	t.refusing[queue] = refusing
}

// isJudgedByLoad reports whether a job may be refused for load: it has an objective, is due at once and uses processors of
// its own for a limited time.
func isJudgedByLoad(q registrar.Queue, j registrar.Job) bool {
	hasObjective := q.Objective > 0 || q.Stretch > 0
	return hasObjective && j.OccurrenceCount == 0 && !slices.ContainsFunc(j.Steps, func(s registrar.Step) bool { return s.LongRunning || s.BestEffort })
}

// isProposed reports whether the submission of a job is proposed and not yet committed.
func (t *transition) isProposed(id string) bool {
	for _, continuations := range t.continuations.All() {
		if slices.ContainsFunc(continuations, func(c continuation) bool { return c.submitted == id }) {
			return true
		}
	}
	for _, q := range t.batch.All() {
		if q.onCommit.submitted == id {
			return true
		}
	}
	return false
}

// leastWork returns the core-seconds that are left of an occurrence, at least. An empty occurrence counts all steps. Half of
// the work of running tasks counts, since they are half done on average.
func (t *transition) leastWork(j registrar.Job, o registrar.Occurrence) float64 {
	sum, running := 0.0, j.Running
	for i, s := range j.Steps {
		if s.LongRunning || s.BestEffort {
			continue
		}
		tasks := float64(s.Count)
		if i < len(o.Remaining) {
			tasks = float64(o.Remaining[i])
			if o.IsReady(s) {
				half := min(running, o.Remaining[i])
				running -= half
				tasks -= float64(half) / 2
			}
		}
		runTime := t.expectedRunTime(j.Queue, s)
		if t.runTimes[j.Queue].samples < minSamples {
			runTime = time.Duration(float64(runTime) * estimator.MinRunTimeShare)
		}
		sum += tasks * float64(s.CPU) / 1000 * runTime.Seconds()
	}
	return sum
}

// recordWork adds the work of an occurrence to the backlog of a pass. Work that is worth nothing any more does not count: it
// is placed after all other work of its priority, and so does not delay a new job.
func (t *transition) recordWork(p *placement, key workKey, j registrar.Job, o registrar.Occurrence, allowed time.Duration) {
	start := time.Unix(0, j.AcceptedAt)
	if due := j.DueAt(o.Number); !due.IsZero() {
		start = due
	}
	if t.now.Sub(start) <= estimator.WorthlessAfter*allowed {
		p.work[key] += t.leastWork(j, o)
	}
}

// recordLoads records the backlog and the capacity of all pools for the submissions until the next pass.
func (t *transition) recordLoads(p *placement) {
	t.loads = nil
	if p.work == nil {
		return
	}
	t.loads = make(map[string]poolLoad)
	for _, w := range t.workers.Pointers() {
		if w.Draining || w.departed || w.failedCalls > 0 {
			continue
		}
		cpu := w.Capacity.CPU
		for _, r := range w.runs.All() {
			if r.longRunning {
				cpu -= r.resources.CPU
			}
		}
		load := t.loads[w.Pool]
		load.cores += float64(max(cpu, 0)) / 1000
		t.loads[w.Pool] = load
	}
	works := make(map[string][]estimator.Work)
	for key, coreSeconds := range p.work {
		works[key.pool] = append(works[key.pool], estimator.Work{Team: key.team, Priority: key.priority, CoreSeconds: coreSeconds})
	}
	for pool, ws := range works {
		load := t.loads[pool]
		load.backlog = estimator.NewBacklog(ws)
		t.loads[pool] = load
	}
	t.weights = make(map[string]float64)
	for _, team := range t.committed.Config().Teams {
		t.weights[team.Name] = team.Weight
	}
}

// recordArriving records how much capacity the machines that are on their way to a pool will add. Machines of other pools
// do not count, although the pool may get some: under the load "turns" nearly all of them are busy when they are needed.
func (t *transition) recordArriving(pools []*poolView) {
	machineCPU := 0
	for _, m := range t.fleet.machines.All() {
		machineCPU = max(machineCPU, m.Capacity.CPU)
	}
	for _, p := range pools {
		d := t.fleet.demands[p.Name]
		d.arrivingCPU = p.arriving * machineCPU
		t.fleet = t.fleet.withDemand(p.Name, d)
	}
}

// offer is what the machines of a complete list can run.
type offer struct {
	complete   bool                  // every entry of the list could be read and has a capacity
	capacities []registrar.Resources // distinct ones of all machines
	labels     map[string]bool       // of all machines
}

// newOffer returns the offer of a list of machines.
func newOffer(machines []messenger.Machine) offer {
	o := offer{complete: len(machines) > 0, labels: make(map[string]bool)}
	for _, m := range machines {
		o.complete = o.complete && m.State != messenger.MachineUnknown && m.Capacity != (registrar.Resources{})
		if !slices.Contains(o.capacities, m.Capacity) {
			o.capacities = append(o.capacities, m.Capacity)
		}
		for _, label := range m.Labels {
			o.labels[label] = true
		}
	}
	return o
}

// cannotRun returns why a job can never run, or "" if it may: no machine has the resources that one of its tasks requests,
// or the label that it requires, and no known worker does. Any machine may be moved to the pool. Machines that are down
// count, because they may return.
func (t *transition) cannotRun(j registrar.Job) string {
	if !t.fleet.offer.complete {
		return ""
	}
	for i, s := range j.Steps {
		request := s.Request()
		fits := func(r registrar.Resources) bool { return r.Fits(request) }
		if !slices.ContainsFunc(t.fleet.offer.capacities, fits) && !t.anyWorker(func(w registrar.Worker) bool { return fits(w.Capacity) }) {
			return fmt.Sprintf("step %d: no machine has %d thousandths of a core, %d MiB and %d accelerators", i, request.CPU, request.Memory, request.GPU)
		}
		hasLabel := func(w registrar.Worker) bool { return slices.Contains(w.Labels, s.Requires) }
		if s.Requires != "" && !t.fleet.offer.labels[s.Requires] && !t.anyWorker(hasLabel) {
			return fmt.Sprintf("step %d: no machine and no worker has the label %q", i, s.Requires)
		}
	}
	return ""
}

// anyWorker reports whether a known worker of any pool has a property.
func (t *transition) anyWorker(has func(registrar.Worker) bool) bool {
	for _, w := range t.workers.Pointers() {
		if has(w.Worker) {
			return true
		}
	}
	return false
}
