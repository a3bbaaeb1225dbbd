package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"laburnumwind/indexer"
	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// Intervals and limits of requests to the provider of machines, and parameters of the demand on pools.
const (
	listIntervalBusy     = 600 * time.Millisecond  // interval between list requests while a machine is not up or an order is unconfirmed
	listIntervalIdle     = 1500 * time.Millisecond // interval between list requests otherwise
	listIntervalOrdered  = 300 * time.Millisecond  // interval between list requests after an accepted order, which an earlier list may not show (listGracePeriod)
	listMaxAge           = 6 * time.Second         // no order is based on an older list
	listGracePeriod      = 300 * time.Millisecond  // a list requested this soon after an order may not show its effect
	machineOrderInterval = time.Second             // minimum time between two orders for one machine
	maxMachineOrders     = 32                      // maximum number of pending orders; the provider queues any beyond this number
	machineGoneAfter     = 20 * time.Second        // a machine due for maintenance that is not listed for this time counts as removed

	arrivalAveragingTime = 700 * time.Millisecond // time constant of the moving average of arriving work
	arrivalHeadroom      = 1.1                    // cores provided for each core that arriving work needs
	packingEfficiency    = 0.9                    // share of a machine's CPU that tasks of mixed sizes can use
	shortTaskRunTime     = time.Second            // assumed run time, to estimate the growth of demand during a move
	surplusDelay         = 800 * time.Millisecond // a surplus must last this long before machines are released
	workerBootTime       = 4 * time.Second        // after an order, the machine's new worker may be unknown for this time
	// Time after which the long-running tasks on a machine that is due for maintenance are stopped
	// although one of them has no relocation target.
	relocationTimeout = 3 * time.Second
	// Number of machines added to a pool whose long-running tasks have no relocation target: one
	// for these tasks and one for the next tasks without a target.
	relocationMachines = 2
	minPoolMachines    = 2 // minimum number of machines in each pool except standby
)

// machine is the leader's record of a machine.
type machine struct {
	messenger.Machine
	orderPending         bool      // an order is proposed or in flight
	orderUnconfirmed     bool      // an order was not answered: only a later list shows its result
	orderedAt            time.Time // time of the last order
	departingWorker      string    // its worker when the provider accepted the last order; the next list shows whether it has left
	maintenanceStartedAt time.Time // when its last maintenance began, if this leader ordered it
}

// demand is the demand on a pool, from which the number of its machines is computed.
type demand struct {
	arrivalRate         float64 // moving average of the cores that arriving work needs, as of updatedAt
	updatedAt           time.Time
	runningCPU          int          // CPU demand of running tasks, in thousandths of a core
	wantedCPU           int          // CPU demand of running tasks and of those that could start now, in thousandths of a core
	lateCPU             int          // part of wantedCPU that belongs to jobs that can no longer meet their objective
	spreadMachines      int          // number of machines needed to spread the long-running tasks of one step
	trend               trend        // trend of wantedCPU, in cores
	peaks               peakForecast // forecast of peaks of arrivalRate
	needsMachine        bool         // no worker can take a long-running task, or the advisor has denied all workers for a step
	relocationBlockedAt time.Time    // when a long-running task on a machine due for maintenance last had no relocation target
	surplusSince        time.Time    // since when the pool has more machines than it needs; zero: no surplus
}

// WithWork returns the demand after the arrival of work, in core seconds.
func (d demand) WithWork(now time.Time, coreSeconds float64) demand {
	d.arrivalRate = d.arrivalRateAt(now) + coreSeconds/arrivalAveragingTime.Seconds()
	d.updatedAt = now
	return d
}

// arrivalRateAt returns the moving average of the cores that arriving work needs, decayed to now.
func (d demand) arrivalRateAt(now time.Time) float64 {
	if d.updatedAt.IsZero() {
		return 0
	}
	return d.arrivalRate * math.Exp(-now.Sub(d.updatedAt).Seconds()/arrivalAveragingTime.Seconds())
}

// fleet is the leader's view of the provider's machines and of the demand for them.
type fleet struct {
	machines        indexer.Map[string, machine]
	leading         bool      // this node leads
	pendingOrders   int       // number of machines with an order that is proposed or in flight
	listPending     bool      // a list is requested and not yet received
	listedAt        time.Time // when the last received list was requested
	listRequestedAt time.Time
	listWanted      bool                 // the provider accepted an order since the last list was requested
	leadingSince    time.Time            // when this leader took over
	demands         map[string]demand    // by pool
	cordoned        map[string]bool      // workers that get no new runs, because their machine is to be moved or maintained
	maintenanceDue  map[string]bool      // workers whose machine is due for maintenance
	departing       map[string]bool      // cordoned workers whose machine was ordered to move or to start its maintenance
	missingSince    map[string]time.Time // machines of waves that are not listed, and since when
	refusedMoves    map[string]bool      // moves that the provider refused permanently, by "machine pool"
}

// newFleet returns the fleet of a node that becomes the leader at time now.
func newFleet(now time.Time) fleet {
	return fleet{leading: true, machines: indexer.NewMap[string, machine](), leadingSince: now}
}

// isCordoned reports whether a worker gets no new runs because its machine is to be moved or maintained.
func (f fleet) isCordoned(id string) bool { return f.cordoned[id] }

func (f fleet) withMachine(m machine) fleet {
	f.machines = f.machines.With(m.Name, m)
	return f
}

func (f fleet) withDemand(pool string, d demand) fleet {
	f.demands = maps.Clone(f.demands)
	if f.demands == nil {
		f.demands = make(map[string]demand)
	}
	f.demands[pool] = d
	return f
}

// recordArrival adds the work of a submitted job to the demand on its pool.
func (t *transition) recordArrival(j registrar.Job) {
	coreSeconds := 0.0
	for _, s := range j.Steps {
		if !s.LongRunning {
			coreSeconds += float64(s.Count) * float64(s.CPU) / 1000 * t.expectedRunTime(j.Queue, s).Seconds()
		}
	}
	t.fleet = t.fleet.withDemand(j.Pool, t.fleet.demands[j.Pool].WithWork(t.now, coreSeconds))
}

// handleMachineList applies a machine list of the provider. It keeps the record of a machine while
// the list may be older than the last order for it, and drops machines that are not listed.
func (t *transition) handleMachineList(l messenger.MachineList) {
	t.fleet.listPending = false
	if !l.OK || !t.fleet.leading {
		return
	}
	t.fleet.listedAt = l.SentAt
	listedNames := make(map[string]bool, len(l.Machines))
	for _, listed := range l.Machines {
		m, known := t.fleet.machines.Get(listed.Name)
		if listed.State == messenger.MachineUnknown { // its entry could not be read: it stays as it was
			listedNames[listed.Name] = known
			continue
		}
		listedNames[listed.Name] = true
		updated := t.confirmDeparture(m, listed, l.SentAt)
		if !updated.orderPending && !l.SentAt.Before(updated.orderedAt.Add(listGracePeriod)) { // otherwise the list may be older than the order
			updated.Machine = listed
			updated.orderUnconfirmed = false
			t.forgetMissing(listed.Name)
		}
		if !known || !updated.equal(m) {
			t.fleet = t.fleet.withMachine(updated)
		}
	}
	for name := range t.fleet.machines.All() {
		if !listedNames[name] {
			t.fleet.machines = t.fleet.machines.Without(name)
		}
	}
}

// equal reports whether two records of a machine have the same value in every field.
func (m machine) equal(o machine) bool {
	return m.Machine.Equal(o.Machine) && m.orderPending == o.orderPending && m.orderUnconfirmed == o.orderUnconfirmed &&
		m.orderedAt.Equal(o.orderedAt) && m.departingWorker == o.departingWorker && m.maintenanceStartedAt.Equal(o.maintenanceStartedAt)
}

// forgetMissing records that a machine is listed.
func (t *transition) forgetMissing(name string) {
	if _, ok := t.fleet.missingSince[name]; ok {
		t.fleet.missingSince = maps.Clone(t.fleet.missingSince)
		delete(t.fleet.missingSince, name)
	}
}

// handleMachineReply handles the provider's answer to an order. A move that the provider would refuse
// again is not ordered again while this node leads.
func (t *transition) handleMachineReply(r messenger.MachineReply) {
	if !t.fleet.leading || r.Order.Fence != t.term {
		return
	}
	m, ok := t.fleet.machines.Get(r.Order.Machine)
	if !ok {
		return
	}
	m.orderPending = false
	m.orderUnconfirmed = !r.OK && !r.Refused
	t.logDecision(messenger.Decision{Event: "machineOrdered", Instance: m.Name, Pool: r.Order.Pool, Reason: describeReply(r)})
	if r.OK {
		m = t.applyAcceptedOrder(m, r)
	}
	if r.Final && r.Order.Wave == 0 {
		t.fleet.refusedMoves = maps.Clone(t.fleet.refusedMoves)
		if t.fleet.refusedMoves == nil {
			t.fleet.refusedMoves = make(map[string]bool)
		}
		t.fleet.refusedMoves[m.Name+" "+r.Order.Pool] = true
	}
	t.fleet = t.fleet.withMachine(m)
}

// describeReply returns the result of a machine order as a phrase for the log.
func describeReply(r messenger.MachineReply) string {
	switch {
	case r.OK:
		return "done"
	case r.Refused:
		return "refused: " + r.Reason
	}
	return "not answered"
}

// applyAcceptedOrder updates a machine whose order the provider accepted. If the order was for
// maintenance, it proposes to record the maintenance as done. The provider also accepts an order that
// it executed before, possibly for an earlier leader, so only the next list shows whether the
// machine's worker has left.
func (t *transition) applyAcceptedOrder(m machine, r messenger.MachineReply) machine {
	m.orderedAt, m.departingWorker = t.now, m.Worker
	t.fleet.listWanted = true
	if r.Order.Wave == 0 {
		m.State, m.Pool = messenger.MachineMoving, r.Order.Pool
		return m
	}
	m.State, m.maintenanceStartedAt = messenger.MachineMaintenance, t.now
	t.propose(registrar.Command{Maintenance: []registrar.MachineMaintenance{{Wave: r.Order.Wave, Machine: m.Name, Done: true}}}, continuation{})
	return m
}

// confirmDeparture proposes the ends of the runs of a machine's worker once a list shows that the
// worker has left.
func (t *transition) confirmDeparture(m machine, listed messenger.Machine, requestedAt time.Time) machine {
	if m.departingWorker == "" || m.orderPending || requestedAt.Before(m.orderedAt) {
		return m
	}
	departed := listed.State != messenger.MachineUp || listed.Worker != m.departingWorker
	if !departed {
		if !requestedAt.Before(m.orderedAt.Add(listGracePeriod)) {
			m.departingWorker = "" // the order had been executed before
		}
		return m
	}
	w, ok := t.workers.Get(m.departingWorker)
	if ok {
		t.proposeAllEnds(w, "its machine left")
		w, _ = t.workers.Get(w.ID)
		w.Draining, w.departed, w.reportRequestedAt = true, true, time.Time{}
		t.setWorker(w)
	}
	m.departingWorker = ""
	return m
}

// reconcileFleet requests machine lists, and orders maintenance and moves. It orders nothing while
// the last list is older than listMaxAge.
func (t *transition) reconcileFleet() {
	if !t.fleet.leading {
		return
	}
	interval := listIntervalIdle
	for _, m := range t.fleet.machines.All() {
		if m.State != messenger.MachineUp || m.orderUnconfirmed {
			interval = listIntervalBusy
		}
	}
	if t.fleet.listWanted {
		interval = listIntervalOrdered
	}
	if !t.fleet.listPending && t.now.Sub(t.fleet.listRequestedAt) >= interval {
		t.fleet.listWanted = false
		t.fleet.listPending, t.fleet.listRequestedAt = true, t.now
		t.Send(messenger.Provider, messenger.ListMachines{})
	}
	fresh := !t.fleet.listedAt.IsZero() && t.now.Sub(t.fleet.listedAt) < listMaxAge
	if !fresh {
		return
	}
	t.fleet.cordoned, t.fleet.departing, t.fleet.maintenanceDue = make(map[string]bool), make(map[string]bool), make(map[string]bool)
	t.fleet.pendingOrders = 0
	for _, m := range t.fleet.machines.All() {
		if m.orderPending {
			t.fleet.pendingOrders++
		}
		if (m.orderPending || m.orderUnconfirmed) && m.Worker != "" {
			t.fleet.cordoned[m.Worker], t.fleet.departing[m.Worker] = true, true
		}
		if m.departingWorker != "" {
			t.fleet.cordoned[m.departingWorker], t.fleet.departing[m.departingWorker] = true, true
		}
	}
	t.committed.EachWave(t.advanceWave)
	t.balance()
}

// advanceWave starts the maintenance of the due machines of a wave (a rolling maintenance), the least
// disruptive first, and keeps at most MaxDown machines of the wave down. Machines that are gone count
// as done.
func (t *transition) advanceWave(w registrar.Wave) {
	if w.IsComplete() {
		return
	}
	budget := w.MaxDown
	var due []machine
	var gone []registrar.MachineMaintenance
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
		case !done && m.State == messenger.MachineUp && !m.orderPending && t.haveOrdersExpired(m) && t.now.Sub(m.orderedAt) > machineOrderInterval:
			due = append(due, m)
		}
	}
	if len(gone) > 0 {
		t.propose(registrar.Command{Maintenance: gone}, continuation{})
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
	if m.orderPending || m.orderUnconfirmed || m.State == messenger.MachineMaintenance || m.State == messenger.MachineDown {
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

// orderMachine proposes the intent to order a move or a maintenance. The order is sent to the provider
// once the intent is committed, so that a later leader sends no order for the machine until this order
// has certainly expired.
func (t *transition) orderMachine(m machine, o messenger.MachineOrder) {
	m.orderPending, m.orderedAt = true, t.now
	t.fleet = t.fleet.withMachine(m)
	t.fleet.pendingOrders++
	if m.Worker != "" {
		t.fleet.cordoned[m.Worker], t.fleet.departing[m.Worker] = true, true
	}
	c := registrar.Command{OrderedMachines: []string{m.Name}}
	if o.Wave != 0 {
		c.Maintenance = []registrar.MachineMaintenance{{Wave: o.Wave, Machine: m.Name}}
	}
	t.propose(c, continuation{order: o})
}

// haveOrdersExpired reports whether all orders of earlier leaders for a machine have certainly expired.
func (t *transition) haveOrdersExpired(m machine) bool {
	at := t.committed.OrderedAt(m.Name)
	return at.After(t.fleet.leadingSince) || t.now.Sub(at) > t.cfg.MachineOrderTimeout
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

// isServing reports whether a long-running task is ready and not being stopped, according to a recent
// run report of a worker that is neither draining nor departing.
func (t *transition) isServing(w worker, r run) bool {
	return r.reported && r.progressPercent >= 100 && !r.stopping && !r.endProposed && !w.Draining && !t.fleet.departing[w.ID] && t.now.Sub(w.holdAnsweredAt) < staleAfter
}
