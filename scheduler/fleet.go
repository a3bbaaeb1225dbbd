package scheduler

import (
	"maps"
	"math"
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
	maxLearningMachines  = 1000                   // with more machines, the reports and heartbeats of idle workers take too much of the leader's processor time
	poolLearningTime     = 6 * time.Second        // a pool keeps its machines this long after its first work: a rise of demand and its effect on the queue last some seconds
	fleetLearningTime    = 12 * time.Second       // a pool without work yet keeps its machines this long after the first work of any pool
	idleLearningTime     = time.Minute            // all pools keep their machines this long without any work
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
	orderUnconfirmed     bool      // an order was not answered: see mayBeOrdered
	orderedAt            time.Time // time of the last order
	departingWorker      string    // its worker when the provider accepted the last order; the next list shows whether it has left
	departingIncarnation int64     // incarnation of that worker
	maintenanceStartedAt time.Time // when its last maintenance began, if this leader ordered it
}

// demand is the demand on a pool, from which the number of its machines is computed.
type demand struct {
	arrivalRate         float64 // moving average of the cores that arriving work needs, as of updatedAt
	updatedAt           time.Time
	firstWorkAt         time.Time    // when the first work arrived under this leader; zero: none did
	runningCPU          int          // CPU demand of running tasks, in thousandths of a core
	wantedCPU           int          // CPU demand of running tasks and of those that could start now, in thousandths of a core
	lateCPU             int          // part of wantedCPU that belongs to jobs that can no longer meet their objective
	spreadMachines      int          // number of machines needed to spread the long-running tasks of one step
	trend               trend        // trend of wantedCPU, in cores
	peaks               peakForecast // forecast of peaks of arrivalRate
	needsMachine        bool         // no worker can take a long-running task, or the advisor has denied all workers for a step
	relocationBlockedAt time.Time    // when a long-running task on a machine due for maintenance last had no relocation target
	arrivingCPU         int          // CPU of the machines that are on their way to the pool, in thousandths of a core
	surplusSince        time.Time    // since when the pool has more machines than it needs; zero: no surplus
}

// WithWork returns the demand after the arrival of work, in core seconds.
func (d demand) WithWork(now time.Time, coreSeconds float64) demand {
	if d.firstWorkAt.IsZero() {
		d.firstWorkAt = now
	}
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
	leadsSince      time.Time // when it became the leader
	firstWorkAt     time.Time // when the first short work arrived under this leader, in any pool; zero: none did
	pendingOrders   int       // number of machines with an order that is proposed or in flight
	listPending     bool      // a list is requested and not yet received
	listedAt        time.Time // when the last received list was requested
	listRequestedAt time.Time
	listWanted      bool                 // the provider accepted an order since the last list was requested
	demands         map[string]demand    // by pool
	cordoned        map[string]bool      // workers that get no new runs, because their machine is to be moved or maintained
	maintenanceDue  map[string]bool      // workers whose machine is due for maintenance
	departing       map[string]bool      // cordoned workers whose machine was ordered to move or to start its maintenance
	missingSince    map[string]time.Time // machines of waves that are not listed, and since when
	offer           offer                // what the listed machines can run
	refusedMoves    map[string]bool      // moves that the provider refused permanently, by "machine pool"
}

// newFleet returns the fleet of a node that becomes the leader.
func newFleet(now time.Time) fleet {
	return fleet{leading: true, leadsSince: now, machines: indexer.NewMap[string, machine]()}
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
	if coreSeconds == 0 {
		return
	}
	if t.fleet.firstWorkAt.IsZero() {
		t.fleet.firstWorkAt = t.now
	}
	coreSeconds = t.withinLimit(j, coreSeconds)
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
	t.fleet.offer = newOffer(l.Machines)
	listedNames := make(map[string]bool, len(l.Machines))
	for _, listed := range l.Machines {
		m, known := t.fleet.machines.Get(listed.Name)
		m.Name = listed.Name
		if listed.State == messenger.MachineUnknown { // its entry could not be read: it stays as it was
			listedNames[listed.Name] = known
			continue
		}
		listedNames[listed.Name] = true
		updated := t.confirmDeparture(m, listed, l.SentAt)
		if !updated.orderPending && !l.SentAt.Before(updated.orderedAt.Add(listGracePeriod)) { // otherwise the list may be older than the order
			updated.Machine = listed
			updated.orderUnconfirmed = updated.orderUnconfirmed && t.mayBeOrdered(updated)
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
		m.orderedAt.Equal(o.orderedAt) && m.departingWorker == o.departingWorker && m.departingIncarnation == o.departingIncarnation && m.maintenanceStartedAt.Equal(o.maintenanceStartedAt)
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
	w, _ := t.workers.Get(m.Worker)
	m.orderedAt, m.departingWorker, m.departingIncarnation = t.now, m.Worker, w.Incarnation
	t.fleet.listWanted = true
	if r.Order.Wave == 0 {
		m.State, m.Pool = messenger.MachineMoving, r.Order.Pool
		return m
	}
	m.State, m.maintenanceStartedAt = messenger.MachineMaintenance, t.now
	t.propose(registrar.Command{Maintenance: []registrar.MachineMaintenance{{Wave: r.Order.Wave, Machine: m.Name, Done: true}}}, continuation{})
	return m
}

// confirmDeparture proposes the ends of the runs of a machine's worker once a list shows that the worker has left because
// of an order. The order may be one of this leader that the provider did not answer, or one of an earlier leader. The list
// may be older than the next process of the worker, whose runs go on.
func (t *transition) confirmDeparture(m machine, listed messenger.Machine, requestedAt time.Time) machine {
	if m.orderUnconfirmed || !t.haveOrdersExpired(m) {
		order := t.committed.LastOrder(listed.Name)
		m.departingWorker, m.departingIncarnation = order.Worker, order.Incarnation
	}
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
	if ok && !w.departed && w.Incarnation == m.departingIncarnation {
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
		if m.State != messenger.MachineUp || t.mayBeOrdered(m) {
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
		if (m.orderPending || t.mayBeOrdered(m)) && m.Worker != "" {
			t.fleet.cordoned[m.Worker], t.fleet.departing[m.Worker] = true, true
		}
		if m.departingWorker != "" {
			t.fleet.cordoned[m.departingWorker], t.fleet.departing[m.departingWorker] = true, true
		}
	}
	t.committed.EachWave(t.advanceWave)
	t.balance()
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
	w, _ := t.workers.Get(m.Worker)
	c := registrar.Command{OrderedMachines: []string{m.Name}, MachineOrder: &registrar.MachineOrder{Machine: m.Name, Pool: o.Pool, Worker: m.Worker, Incarnation: w.Incarnation}}
	if o.Wave != 0 {
		c.Maintenance = []registrar.MachineMaintenance{{Wave: o.Wave, Machine: m.Name}}
	}
	t.propose(c, continuation{order: o})
}

// haveOrdersExpired reports whether all orders of earlier leaders for a machine have certainly expired.
func (t *transition) haveOrdersExpired(m machine) bool {
	return m.isOrderedHere() || t.now.Sub(t.committed.LastOrder(m.Name).At) > t.cfg.MachineOrderTimeout
}

// isOrderedHere reports whether this leader has sent the last order for the machine.
func (m machine) isOrderedHere() bool { return !m.orderedAt.IsZero() }

// isAccepted reports whether the provider has accepted the last order for the machine from this leader, or has yet to
// answer it.
func (m machine) isAccepted() bool {
	return m.orderPending || (m.isOrderedHere() && !m.maintenanceStartedAt.Before(m.orderedAt))
}

// mayBeOrdered reports whether the provider may yet carry out the last order for a machine: one that it has not answered,
// or one of an earlier leader, whose answer this leader does not know. Such an order uses the budgets that it needs until
// it has expired or a list shows its effect.
func (t *transition) mayBeOrdered(m machine) bool {
	if m.isOrderedHere() && !m.orderUnconfirmed {
		return false
	}
	order := t.committed.LastOrder(m.Name)
	if t.now.Sub(order.At) > t.cfg.MachineOrderTimeout {
		return false
	}
	if order.Pool != "" {
		return m.Pool != order.Pool
	}
	return m.State != messenger.MachineMaintenance && t.committed.MaintenanceUnderWay(m.Name)
}

// isServing reports whether a long-running task is ready and not being stopped, according to a recent
// run report of a worker that is neither draining nor departing.
func (t *transition) isServing(w worker, r run) bool {
	return r.reported && r.progressPercent >= 100 && !r.stopping && !r.endProposed && !w.Draining && !t.fleet.departing[w.ID] && t.now.Sub(w.holdAnsweredAt) < staleAfter
}
