package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// summaryInterval is the minimum time between two summary lines.
const summaryInterval = time.Second

const maxMachinesInWaveLine = 5 // maximum number of machines of a wave in one log line

// logSummary logs the work and the machines of each pool, and the incomplete waves, at most once
// every summaryInterval.
func (t *transition) logSummary() {
	if t.now.Sub(t.lastSummaryAt) < summaryInterval {
		return
	}
	t.lastSummaryAt = t.now
	type poolSummary struct{ workers, ready, runs, machines, up int }
	pools := make(map[string]poolSummary)
	for _, w := range t.workers.All() {
		s := pools[w.Pool]
		s.workers++
		s.runs += w.runs.Len()
		if w.acceptsStarts(t.now) {
			s.ready++
		}
		pools[w.Pool] = s
	}
	if t.fleet.leading {
		for _, m := range t.fleet.machines.All() {
			s := pools[m.Pool]
			s.machines++
			if m.State == messenger.MachineUp && !m.orderPending {
				s.up++
			}
			pools[m.Pool] = s
		}
	}
	var b strings.Builder
	for _, p := range t.committed.Config().Pools {
		s := pools[p.Name]
		d := t.fleet.demands[p.Name]
		fmt.Fprintf(&b, "%s: %d workers, %d ready, %d runs, %d cores demanded, %.0f cores needed by arriving work, %d of %d machines up; ", p.Name, s.workers, s.ready, s.runs, d.wantedCPU/1000, d.arrivalRateAt(t.now), s.up, s.machines)
	}
	t.committed.EachWave(t.logWave)
	t.reportTeams()
	t.logDecision(messenger.Decision{Event: "summary", Candidates: t.committed.ActiveJobs(), Reason: b.String()})
}

// logWave logs how many machines of an incomplete wave still need maintenance, and why the first
// maxMachinesInWaveLine of them have not had it yet.
func (t *transition) logWave(w registrar.Wave) {
	if w.IsComplete() || !t.fleet.leading {
		return
	}
	remaining := 0
	var b strings.Builder
	for _, name := range w.Machines {
		if slices.Contains(w.Done, name) {
			continue
		}
		remaining++
		if remaining <= maxMachinesInWaveLine {
			fmt.Fprintf(&b, "%s %s; ", name, t.maintenanceStatus(name))
		}
	}
	t.logDecision(messenger.Decision{Event: "wave", Candidates: remaining, Reason: b.String()})
}

// exhaustedBudget describes the first step of a worker whose disruption budget is used up.
func (t *transition) exhaustedBudget(w worker) string {
	for _, r := range w.runs.All() {
		j, ok := t.committed.Job(r.task.Job)
		if !r.longRunning || !ok || j.Outcome != registrar.Active || !j.Steps[r.task.Step].HasMaxUnavailable {
			continue
		}
		unavailable := t.countUnavailable(j, r.task, "")
		if unavailable >= j.Steps[r.task.Step].MaxUnavailable {
			return fmt.Sprintf("job %s step %d: %d of %d tasks unavailable, %d may be", r.task.Job, r.task.Step, unavailable, j.Steps[r.task.Step].Count, j.Steps[r.task.Step].MaxUnavailable)
		}
	}
	return "no step"
}

// maintenanceStatus returns why the maintenance of a machine is not done yet, as a phrase for the log.
func (t *transition) maintenanceStatus(name string) string {
	m, ok := t.fleet.machines.Get(name)
	w, known := t.workers.Get(m.Worker)
	pool, _ := t.committed.Config().Pool(m.Pool)
	switch {
	case !ok:
		return "is not listed by the provider"
	case m.State != messenger.MachineUp:
		return "is not up"
	case m.orderPending || m.orderUnconfirmed:
		return "has an unconfirmed order"
	case !t.haveOrdersExpired(m):
		return "may have an unconfirmed order of an earlier leader"
	case pool.Standby:
		return "is due for maintenance"
	case !known || w.departed:
		return "has an unknown or departed worker"
	case w.failedCalls > 0 || t.now.Sub(w.holdAnsweredAt) > staleAfter:
		return "has an unresponsive worker"
	case !t.hasRelocationTargets(w):
		return fmt.Sprintf("has %d tasks, and no other worker of %s has room for the long-running ones", w.runs.Len(), w.Pool)
	case !t.isWithinDisruptionBudget(w):
		return fmt.Sprintf("has %d tasks, and waits for the disruption budget of %s", w.runs.Len(), t.exhaustedBudget(w))
	case w.runs.Contains(func(r run) bool { return r.longRunning }):
		return fmt.Sprintf("has %d tasks, some of them long-running", w.runs.Len())
	}
	return fmt.Sprintf("has %d tasks", w.runs.Len())
}
