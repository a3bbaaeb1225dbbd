package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// poolView is the state of a pool while machines are balanced between pools.
type poolView struct {
	registrar.Pool
	supply       int       // machines that can serve the pool or are arriving (see addMachine); on standby: all machines that are not down
	arriving     int       // machines of supply that are moving to the pool or in maintenance
	onTimeDemand int       // machines needed for jobs that can still meet their objective
	totalDemand  int       // machines needed for all jobs
	busy         []worker  // workers with runs, none of them long-running
	idle         []machine // machines without runs, free to move
	pinned       int       // machines with long-running tasks, which are not moved
}

// balance moves machines to pools with a deficit, first for jobs that can still meet their objective
// and then for the others. Surplus machines go to standby.
func (t *transition) balance() {
	pools := t.poolViews()
	if len(pools) == 0 {
		return
	}
	t.recordArriving(pools)
	for _, p := range poolsInDeficit(pools, func(p *poolView) int { return p.onTimeDemand }) {
		for p.supply < p.onTimeDemand && t.acquireMachine(pools, p, func(from *poolView) int { return from.onTimeDemand }) {
			p.supply++
		}
		t.cordonLateWorkers(pools, p)
	}
	for _, p := range poolsInDeficit(pools, func(p *poolView) int { return p.totalDemand }) {
		for p.supply < p.totalDemand && t.acquireMachine(pools, p, func(from *poolView) int { return from.totalDemand }) {
			p.supply++
		}
	}
	t.releaseSurplus(pools)
}

// poolsInDeficit returns the pools with fewer machines than they need, the largest deficit first.
func poolsInDeficit(pools []*poolView, demandOf func(*poolView) int) []*poolView {
	var deficits []*poolView
	for _, p := range pools {
		if !p.Standby && p.supply < demandOf(p) {
			deficits = append(deficits, p)
		}
	}
	slices.SortStableFunc(deficits, func(a, b *poolView) int { return cmp.Compare(demandOf(b)-b.supply, demandOf(a)-a.supply) })
	return deficits
}

// cordonLateWorkers cordons workers that other pools need only for jobs that cannot meet their
// objective anyway, the least loaded first, so that their machines become idle and can be moved.
func (t *transition) cordonLateWorkers(pools []*poolView, recipient *poolView) {
	missing := recipient.onTimeDemand - recipient.supply
	for _, p := range pools {
		spare := p.supply - p.onTimeDemand
		slices.SortStableFunc(p.busy, func(a, b worker) int { return cmp.Compare(a.used.CPU, b.used.CPU) })
		for missing > 0 && spare > 0 && len(p.busy) > 0 {
			t.fleet.cordoned[p.busy[0].ID] = true
			p.busy = p.busy[1:]
			missing--
			spare--
		}
	}
}

// poolViews returns the supply and demand of all pools.
func (t *transition) poolViews() []*poolView {
	var pools []*poolView
	for _, p := range t.committed.Config().Pools {
		pools = append(pools, &poolView{Pool: p})
	}
	machineCPU := 0
	for _, m := range t.fleet.machines.All() {
		machineCPU = max(machineCPU, m.Capacity.CPU)
		i := slices.IndexFunc(pools, func(p *poolView) bool { return p.Name == m.Pool })
		if i < 0 || m.State == messenger.MachineDown {
			continue
		}
		pools[i].addMachine(t, m)
	}
	for _, p := range pools {
		p.onTimeDemand, p.totalDemand = t.machineDemand(p, machineCPU)
	}
	return pools
}

// addMachine adds a machine to the supply of the pool, and records it as idle, busy or pinned
// if an order for it may be sent. A machine whose worker is unresponsive or draining is left out,
// unless the last order for it is so recent that its new worker may not be known yet.
func (p *poolView) addMachine(t *transition, m machine) {
	w, ok := t.workers.Get(m.Worker)
	recent := t.now.Sub(m.orderedAt) < workerBootTime
	switch {
	case m.State != messenger.MachineUp:
		p.supply++
		p.arriving++
		return
	case !p.Standby && !recent && (!ok || w.failedCalls > 0 || w.Draining):
		return // its worker is unknown, unresponsive or draining
	}
	p.supply++
	if m.orderPending || m.orderUnconfirmed || !t.haveOrdersExpired(m) || t.now.Sub(m.orderedAt) < machineOrderInterval {
		return
	}
	switch {
	case p.Standby:
		p.idle = append(p.idle, m)
	case !ok || w.failedCalls > 0:
	case w.runs.Contains(func(r run) bool { return r.longRunning }):
		p.pinned++
	case w.runs.Len() == 0 && !t.fleet.cordoned[w.ID]:
		p.idle = append(p.idle, m)
	case w.runs.Len() > 0 && !t.fleet.cordoned[w.ID]:
		p.busy = append(p.busy, w)
	}
}

// machineDemand returns how many machines a pool needs for jobs that can still meet their
// objective, and for all jobs. It also updates the pool's peak forecast. machineCPU is the CPU
// capacity of the largest machine, in thousandths of a core.
func (t *transition) machineDemand(p *poolView, machineCPU int) (onTime, total int) {
	if p.Standby || machineCPU == 0 {
		return 0, 0
	}
	d := t.fleet.demands[p.Name]
	arrivalRate := d.arrivalRateAt(t.now)
	d.peaks = d.peaks.With(t.now, arrivalRate)
	t.fleet = t.fleet.withDemand(p.Name, d)
	minMachines := max(p.pinned, d.spreadMachines, minPoolMachines, t.advice.minMachines(t.committed.Config(), p.Name))
	if d.needsMachine && p.arriving == 0 {
		minMachines = max(minMachines, p.supply+1)
	}
	if t.isRelocationBlocked(d) && p.arriving == 0 {
		minMachines = max(minMachines, p.supply+relocationMachines)
	}
	coresAfterMove, lateCores := t.demandAfterMove(d, arrivalRate), float64(d.lateCPU)/1000
	expectedCores := max(arrivalRate*arrivalHeadroom, d.peaks.expectedDemand(t.now, t.cfg.MoveDuration))
	if t.cfg.LateWorkKeepsMachines {
		lateCores = 0
	}
	onTime = max(minMachines, machinesFor(max(expectedCores, coresAfterMove-lateCores), machineCPU))
	return onTime, max(onTime, machinesFor(coresAfterMove, machineCPU))
}

// machinesFor returns the number of machines that provide the given number of cores to tasks.
// Each machine has machineCPU thousandths of a core, of which tasks can use the share
// packingEfficiency.
func machinesFor(cores float64, machineCPU int) int {
	return int(math.Ceil(cores * 1000 / (float64(machineCPU) * packingEfficiency)))
}

// isRelocationBlocked reports whether a long-running task had no relocation target within the last
// two fleet intervals.
func (t *transition) isRelocationBlocked(d demand) bool {
	return t.now.Sub(d.relocationBlockedAt) < 2*fleetInterval
}

// demandAfterMove returns the expected demand in cores when a machine that is ordered now arrives:
// the demand of running and waiting tasks, plus GrowthFactor times the expected growth during the
// move. The growth is estimated from the arriving work that the cores in use cannot process, and
// from the trend; the larger estimate counts.
func (t *transition) demandAfterMove(d demand, arrivalRate float64) float64 {
	wanted, running := float64(d.wantedCPU)/1000, float64(d.runningCPU)/1000
	growth := max(arrivalRate-running, 0) * t.cfg.MoveDuration.Seconds() / shortTaskRunTime.Seconds()
	return wanted + max(growth, d.trend.growth(t.cfg.MoveDuration))*t.cfg.GrowthFactor
}

// acquireMachine orders the move of a machine to the recipient, from the pool with the largest surplus
// or, if no pool has any, from standby. If all idle machines of a pool were refused, it tries the next.
// It reports whether it ordered one.
func (t *transition) acquireMachine(pools []*poolView, recipient *poolView, demandOf func(*poolView) int) bool {
	var donors []*poolView
	for _, p := range pools {
		if p != recipient && len(p.idle) > 0 && (p.Standby || p.supply > demandOf(p)) {
			donors = append(donors, p)
		}
	}
	slices.SortStableFunc(donors, func(a, b *poolView) int { return b.surplus(demandOf) - a.surplus(demandOf) })
	return slices.ContainsFunc(donors, func(donor *poolView) bool { return t.moveMachine(donor, recipient.Name) })
}

// surplus returns how many machines a pool can give away. Standby counts as 0, so that the surplus
// of other pools is used first, since machines cost nothing while they are on standby.
func (p *poolView) surplus(demandOf func(*poolView) int) int {
	if p.Standby {
		return 0
	}
	return p.supply - demandOf(p)
}

// moveMachine orders an idle machine of a pool to another pool, and reports whether it did. Machines
// whose move there was refused permanently are removed from the idle ones.
func (t *transition) moveMachine(from *poolView, to string) bool {
	for len(from.idle) > 0 && t.fleet.pendingOrders < maxMachineOrders {
		m := from.idle[len(from.idle)-1]
		from.idle = from.idle[:len(from.idle)-1]
		if t.fleet.refusedMoves[m.Name+" "+to] {
			continue
		}
		from.supply--
		t.logDecision(messenger.Decision{Event: "move", Instance: m.Name, Pool: to, Reason: from.Name, Age: t.now.Sub(t.fleet.listedAt)})
		t.orderMachine(m, messenger.MachineOrder{Machine: m.Name, Pool: to})
		return true
	}
	return false
}

// isLearningDemand reports whether too little is known of the demand on a pool to release machines that it was given: a
// pool that has been emptied serves the first rise of its demand only after new machines have arrived, which takes longer
// than a small job may wait.
func (t *transition) isLearningDemand(d demand) bool {
	switch {
	case t.cfg.ReleasesUnknownPools || t.fleet.machines.Len() > maxLearningMachines:
		return false
	case !d.firstWorkAt.IsZero():
		return t.now.Sub(d.firstWorkAt) < poolLearningTime
	case !t.fleet.firstWorkAt.IsZero():
		return t.now.Sub(t.fleet.firstWorkAt) < fleetLearningTime
	}
	return t.now.Sub(t.fleet.leadsSince) < idleLearningTime
}

// releaseSurplus moves the surplus machines of a pool to standby once the surplus has lasted for
// surplusDelay.
func (t *transition) releaseSurplus(pools []*poolView) {
	standby := slices.IndexFunc(pools, func(p *poolView) bool { return p.Standby })
	for _, p := range pools {
		if p.Standby {
			continue
		}
		d := t.fleet.demands[p.Name]
		if p.supply <= p.totalDemand {
			d.surplusSince = time.Time{}
		} else if d.surplusSince.IsZero() {
			d.surplusSince = t.now
		}
		t.fleet = t.fleet.withDemand(p.Name, d)
		if standby < 0 || t.isLearningDemand(d) || d.surplusSince.IsZero() || t.now.Sub(d.surplusSince) < surplusDelay {
			continue
		}
		moved := true
		for p.supply > p.totalDemand && moved {
			moved = t.moveMachine(p, pools[standby].Name)
		}
	}
}
