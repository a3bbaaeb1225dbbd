package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// poolView is a pool while machines are balanced between pools.
type poolView struct {
	registrar.Pool
	have     int       // machines there with a worker that answers, or on their way
	coming   int       // of these, on their way
	needs    int       // machines wanted for what can be in time
	wants    int       // machines wanted for all
	busy     []worker  // with runs, none of which lasts
	idle     []machine // without runs, free to go
	anchored int       // machines with lasting tasks
}

// balance moves machines to pools that need more, first for what can be in time
// and then for the rest, and surplus ones to standby.
func (t *turn) balance() {
	pools := t.poolViews()
	if len(pools) == 0 {
		return
	}
	for _, p := range shortOf(pools, func(p *poolView) int { return p.needs }) {
		for p.have < p.needs && t.bring(pools, p, func(from *poolView) int { return from.needs }) {
			p.have++
		}
		t.claim(pools, p)
	}
	for _, p := range shortOf(pools, func(p *poolView) int { return p.wants }) {
		for p.have < p.wants && t.bring(pools, p, func(from *poolView) int { return from.wants }) {
			p.have++
		}
	}
	t.release(pools)
}

// shortOf returns the pools that have less than they should, the shortest first.
func shortOf(pools []*poolView, should func(*poolView) int) []*poolView {
	var short []*poolView
	for _, p := range pools {
		if !p.Standby && p.have < should(p) {
			short = append(short, p)
		}
	}
	slices.SortStableFunc(short, func(a, b *poolView) int { return cmp.Compare(should(b)-b.have, should(a)-a.have) })
	return short
}

// claim keeps machines free of new runs that other pools use only for work that
// is late already, so that they become idle and can move.
func (t *turn) claim(pools []*poolView, to *poolView) {
	missing := to.needs - to.have
	for _, p := range pools {
		spare := p.have - p.needs
		slices.SortStableFunc(p.busy, func(a, b worker) int { return cmp.Compare(a.used.CPU, b.used.CPU) })
		for missing > 0 && spare > 0 && len(p.busy) > 0 {
			t.fleet.reserved[p.busy[0].ID] = true
			p.busy = p.busy[1:]
			missing--
			spare--
		}
	}
}

func (t *turn) poolViews() []*poolView {
	var pools []*poolView
	for _, p := range t.view.Config().Pools {
		pools = append(pools, &poolView{Pool: p})
	}
	size := 0
	for _, m := range t.fleet.machines.All() {
		size = max(size, m.Capacity.CPU)
		i := slices.IndexFunc(pools, func(p *poolView) bool { return p.Name == m.Pool })
		if i < 0 || m.State == messenger.MachineDown {
			continue
		}
		pools[i].add(t, m)
	}
	for _, p := range pools {
		p.needs, p.wants = t.needs(p, size)
	}
	return pools
}

func (p *poolView) add(t *turn, m machine) {
	w, ok := t.workers.Get(m.Worker)
	recent := t.now.Sub(m.orderedAt) < bootTime
	switch {
	case m.State != messenger.MachineUp:
		p.have++
		p.coming++
		return
	case !p.Standby && !recent && (!ok || w.misses > 0 || w.Draining):
		return // it does not answer, or is about to leave
	}
	p.have++
	if m.out || m.unsure || !t.isSettled(m) || t.now.Sub(m.orderedAt) < orderRetry {
		return
	}
	switch {
	case p.Standby:
		p.idle = append(p.idle, m)
	case !ok || w.misses > 0:
	case slices.ContainsFunc(w.runs, func(r run) bool { return r.lasting }):
		p.anchored++
	case len(w.runs) == 0 && !t.fleet.reserved[w.ID]:
		p.idle = append(p.idle, m)
	case len(w.runs) > 0 && !t.fleet.reserved[w.ID]:
		p.busy = append(p.busy, w)
	}
}

// needs is how many machines a pool should have, for what can be in time and for all.
func (t *turn) needs(p *poolView, size int) (inTime, all int) {
	if p.Standby || size == 0 {
		return 0, 0
	}
	d := t.fleet.demands[p.Name]
	rate := d.rateAt(t.now)
	d.turns = d.turns.With(t.now, rate)
	t.fleet = t.fleet.withDemand(p.Name, d)
	least := max(p.anchored, d.spread, leastInPool, t.consents.machines(t.view.Config(), p.Name))
	if d.unplaced && p.coming == 0 {
		least = max(least, p.have+1)
	}
	if t.isCramped(d) && p.coming == 0 {
		least = max(least, p.have+crampedRoom)
	}
	waiting, late := t.waitingAfterMove(d, rate), float64(d.late)/1000
	expected := max(rate*demandRoom, d.turns.expected(t.now, t.cfg.Move))
	if t.cfg.LateHolds {
		late = 0
	}
	inTime = max(least, machines(max(expected, waiting-late), size))
	return inTime, max(inTime, machines(waiting, size))
}

// machines is how many machines of a size give so many processors to tasks.
func machines(cores float64, size int) int {
	return int(math.Ceil(cores * 1000 / (float64(size) * packing)))
}

// isCramped tells whether a lasting task waits for a worker to go to.
func (t *turn) isCramped(d demand) bool {
	return t.now.Sub(d.crampedAt) < 2*fleetEvery
}

// waitingAfterMove is how many processors could be used at once when a machine
// that is ordered now arrives: what runs and waits, and what comes meanwhile
// beyond what the pool can do.
func (t *turn) waitingAfterMove(d demand, rate float64) float64 {
	wanted, running := float64(d.wanted)/1000, float64(d.running)/1000
	growth := max(rate-running, 0) * t.cfg.Move.Seconds() / taskLength.Seconds()
	return wanted + max(growth, d.trend.rise(t.cfg.Move))*t.cfg.GrowthShare
}

// bring orders one machine to a pool: one that another pool does not need, else one from standby.
func (t *turn) bring(pools []*poolView, to *poolView, keeps func(*poolView) int) bool {
	var best *poolView
	for _, p := range pools {
		if p == to || len(p.idle) == 0 || (!p.Standby && p.have <= keeps(p)) {
			continue
		}
		if best == nil || p.surplus(keeps) > best.surplus(keeps) {
			best = p
		}
	}
	if best == nil {
		return false
	}
	return t.move(best, to.Name)
}

// surplus is what a pool can give; standby gives last, since its machines cost nothing.
func (p *poolView) surplus(keeps func(*poolView) int) int {
	if p.Standby {
		return 0
	}
	return p.have - keeps(p)
}

// move orders an idle machine of a pool to another.
func (t *turn) move(from *poolView, to string) bool {
	for len(from.idle) > 0 && t.fleet.orders < mostOrders {
		m := from.idle[len(from.idle)-1]
		from.idle = from.idle[:len(from.idle)-1]
		if t.fleet.denied[m.Name+" "+to] {
			continue
		}
		from.have--
		t.tell(messenger.Decision{What: "move", Instance: m.Name, Pool: to, Reason: from.Name, Age: t.now.Sub(t.fleet.listedAt)})
		t.orderMachine(m, messenger.MachineOrder{Machine: m.Name, Pool: to})
		return true
	}
	return false
}

// release moves machines to standby that a pool has not needed for a while.
func (t *turn) release(pools []*poolView) {
	i := slices.IndexFunc(pools, func(p *poolView) bool { return p.Standby })
	for _, p := range pools {
		if p.Standby {
			continue
		}
		d := t.fleet.demands[p.Name]
		if p.have <= p.wants {
			d.surplusAt = time.Time{}
		} else if d.surplusAt.IsZero() {
			d.surplusAt = t.now
		}
		t.fleet = t.fleet.withDemand(p.Name, d)
		if i < 0 || d.surplusAt.IsZero() || t.now.Sub(d.surplusAt) < surplusSpan {
			continue
		}
		moved := true
		for p.have > p.wants && moved {
			moved = t.move(p, pools[i].Name)
		}
	}
}
