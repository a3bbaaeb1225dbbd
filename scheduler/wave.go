package scheduler

import (
	"maps"
	"slices"
	"time"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// advanceWave starts the maintenance of the due machines of a wave (a rolling maintenance), the least
// disruptive first, and keeps at most MaxDown machines of the wave down. Machines that are gone count
// as done.
func (t *transition) advanceWave(w registrar.Wave) {
	if w.IsComplete() {
		return
	}
	budget := w.MaxDown
	var due []machine
	var gone, begun []registrar.MachineMaintenance // of machines that are gone, and of those in maintenance whose order has no known answer
	for _, name := range w.Machines {
		m, ok := t.fleet.machines.Get(name)
		done := slices.Contains(w.Done, name)
		switch {
		case !ok:
			if !done && t.isMachineGone(name) {
				gone = append(gone, registrar.MachineMaintenance{Wave: w.ID, Machine: name, Done: true})
			}
		case t.countsAsDown(m):
			budget--
			if !done && m.State == messenger.MachineMaintenance && !m.isAccepted() && slices.Contains(w.Started, name) {
				begun = append(begun, registrar.MachineMaintenance{Wave: w.ID, Machine: name, Done: true})
			}
		case !done && m.State == messenger.MachineUp && !m.orderPending && t.haveOrdersExpired(m) && t.now.Sub(m.orderedAt) > machineOrderInterval:
			due = append(due, m)
		}
	}
	if len(gone)+len(begun) > 0 {
		t.propose(registrar.Command{Maintenance: slices.Concat(gone, begun)}, continuation{})
	}
	for _, m := range due {
		t.fleet.maintenanceDue[m.Worker] = true
	}
	slices.SortStableFunc(due, func(a, b machine) int { return t.disruptionCost(a) - t.disruptionCost(b) })
	for _, m := range due {
		if budget <= 0 || t.fleet.pendingOrders >= maxMachineOrders {
			t.relocateAhead(m)
			continue
		}
		budget--
		t.startMaintenance(w, m)
	}
}

// relocateAhead evicts a long-running task from a machine whose maintenance is due, but not yet allowed by
// the wave. Evictions follow one another within the disruption budgets of the steps and so take longest.
// The machine takes other tasks meanwhile.
func (t *transition) relocateAhead(m machine) {
	pool, _ := t.committed.Config().Pool(m.Pool)
	w, ok := t.workers.Get(m.Worker)
	if pool.Standby || !ok || !t.isResponsive(w) {
		return
	}
	if !t.hasRelocationTargets(w) {
		t.recordRelocationBlocked(w.Pool)
		return
	}
	t.evictOne(w)
}

// recordRelocationBlocked records that a pool needs more machines for its long-running tasks.
func (t *transition) recordRelocationBlocked(pool string) {
	d := t.fleet.demands[pool]
	d.relocationBlockedAt = t.now
	t.fleet = t.fleet.withDemand(pool, d)
}

// isResponsive reports whether the runs on a worker are known.
func (t *transition) isResponsive(w worker) bool {
	return !w.departed && w.failedCalls == 0 && t.now.Sub(w.holdAnsweredAt) <= staleAfter
}

// isMachineGone reports whether a machine has not been listed for machineGoneAfter. It records
// when the machine was first missing.
func (t *transition) isMachineGone(name string) bool {
	since, ok := t.fleet.missingSince[name]
	if !ok {
		t.fleet.missingSince = maps.Clone(t.fleet.missingSince)
		if t.fleet.missingSince == nil {
			t.fleet.missingSince = make(map[string]time.Time)
		}
		t.fleet.missingSince[name] = t.now
		return false
	}
	return t.now.Sub(since) > machineGoneAfter
}

// countsAsDown reports whether a machine is down or in maintenance, or may be because of its last order.
func (t *transition) countsAsDown(m machine) bool {
	if m.orderPending || t.mayBeOrdered(m) || m.State == messenger.MachineMaintenance || m.State == messenger.MachineDown {
		return true
	}
	return !m.maintenanceStartedAt.IsZero() && t.now.Sub(m.maintenanceStartedAt) < t.cfg.MaintenanceDuration+listGracePeriod
}

// disruptionCost returns the cost of the runs that the maintenance of a machine would disrupt: 10 for
// each run, and 1000 more for a long-running one.
func (t *transition) disruptionCost(m machine) int {
	w, ok := t.workers.Get(m.Worker)
	if !ok {
		return 0
	}
	cost := 0
	for _, r := range w.runs.All() {
		cost += 10
		if r.longRunning {
			cost += 1000
		}
	}
	return cost
}

// startMaintenance orders the maintenance of a machine once its worker has no short tasks and its
// long-running tasks may be stopped. Until then the worker is cordoned, and if stopping all its
// long-running tasks at once would exceed a disruption budget, one of them is evicted. A machine on
// standby has no worker, so its maintenance is ordered at once.
func (t *transition) startMaintenance(wave registrar.Wave, m machine) {
	pool, _ := t.committed.Config().Pool(m.Pool)
	if !pool.Standby {
		w, ok := t.workers.Get(m.Worker)
		if !ok || !t.isResponsive(w) {
			return // the list may be outdated: another worker with unknown runs may be on the machine
		}
		t.fleet.cordoned[w.ID] = true
		if !t.canRelocate(w) {
			return
		}
		if !t.isWithinDisruptionBudget(w) {
			t.evictOne(w)
			return
		}
		if w.runs.Contains(func(r run) bool { return !r.longRunning }) {
			return
		}
	}
	t.orderMachine(m, messenger.MachineOrder{Machine: m.Name, Wave: wave.ID})
}

// isWithinDisruptionBudget reports whether all long-running tasks of a worker may be stopped now:
// no step would have more unavailable tasks than its MaxUnavailable allows.
func (t *transition) isWithinDisruptionBudget(w worker) bool {
	for _, r := range w.runs.All() {
		if !r.longRunning {
			continue
		}
		j, ok := t.committed.Job(r.task.Job)
		if !ok || j.Outcome != registrar.Active || !j.Steps[r.task.Step].HasMaxUnavailable {
			continue
		}
		if t.countUnavailable(j, r.task, w.ID) > j.Steps[r.task.Step].MaxUnavailable {
			return false
		}
	}
	return true
}

// evictOne stops one long-running task of a worker, so that it starts elsewhere, if its step's
// disruption budget allows it now.
func (t *transition) evictOne(w worker) {
	for _, r := range w.runs.All() {
		j, ok := t.committed.Job(r.task.Job)
		if !ok || !r.longRunning || r.stopping || r.endProposed || !r.committed || j.Outcome != registrar.Active {
			continue
		}
		if t.countUnavailable(j, r.task, "") < j.Steps[r.task.Step].MaxUnavailable {
			t.stop(w, r, "its machine is due for maintenance")
			return
		}
	}
}

// canRelocate reports whether each long-running task of a worker has a relocation target. It also
// returns true once relocationTimeout has passed since a task of the worker was first found without
// one. If a task has no target, canRelocate records that the pool needs more machines.
func (t *transition) canRelocate(w worker) bool {
	if t.hasRelocationTargets(w) {
		return true
	}
	t.recordRelocationBlocked(w.Pool)
	if w.relocationBlockedSince.IsZero() {
		w.relocationBlockedSince = t.now
		t.setWorker(w)
	}
	return t.now.Sub(w.relocationBlockedSince) > relocationTimeout
}

// hasRelocationTargets reports whether each long-running task of a worker has a relocation target.
func (t *transition) hasRelocationTargets(w worker) bool {
	for _, r := range w.runs.All() {
		j, ok := t.committed.Job(r.task.Job)
		if r.longRunning && ok && j.Outcome == registrar.Active && !t.hasRelocationTarget(w, j.Steps[r.task.Step], r) {
			return false
		}
	}
	return true
}

// hasRelocationTarget reports whether another worker, whose machine stays in the pool, has enough
// free resources for a long-running task once the short tasks there have ended. Short tasks are not
// counted, since long-running tasks are placed first.
func (t *transition) hasRelocationTarget(w worker, step registrar.Step, r run) bool {
	for _, other := range t.workers.All() {
		if other.Pool != w.Pool || other.ID == w.ID || !other.acceptsStarts(t.now) || t.fleet.isCordoned(other.ID) || t.fleet.maintenanceDue[other.ID] {
			continue
		}
		free := other.Capacity.Sub(other.longRunningResources())
		if free.Fits(r.resources) && other.hasRequiredLabel(step) && other.countStepRuns(r.task) < maxTasksPerWorker(step) {
			return true
		}
	}
	return false
}

// longRunningResources returns the resources that the long-running tasks of a worker use.
func (w worker) longRunningResources() registrar.Resources {
	total := registrar.Resources{}
	for _, r := range w.runs.All() {
		if r.longRunning {
			total = total.Add(r.resources)
		}
	}
	return total
}

// countStepRuns returns the number of a worker's runs that belong to the same step as a task.
func (w worker) countStepRuns(task registrar.TaskID) int {
	n := 0
	for _, r := range w.runs.All() {
		if r.task.Job == task.Job && r.task.Occurrence == task.Occurrence && r.task.Step == task.Step {
			n++
		}
	}
	return n
}

// countUnavailable returns how many tasks of a step are not serving, or would not be serving
// without the excluded worker.
func (t *transition) countUnavailable(j registrar.Job, id registrar.TaskID, excluded string) int {
	o, ok := j.Occurrence(id.Occurrence)
	if !ok {
		return 0
	}
	unavailable := 0
	for index, task := range o.Steps[id.Step] {
		w, ok := t.workers.Get(task.Worker)
		position := -1
		if ok {
			position = w.find(registrar.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step, Index: index})
		}
		serving := task.Phase == registrar.Running && position >= 0 && task.Worker != excluded && t.isServing(w, w.runs.At(position))
		if !serving {
			unavailable++
		}
	}
	return unavailable
}
