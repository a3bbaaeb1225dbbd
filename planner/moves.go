package planner

import (
	"slices"

	"laburnumwind/keeper"
)

// proposeMoves moves an instance from the pool with the largest surplus to one
// that has lacked instances for a while. A pool lacks what it declares, not
// what its demand of the moment asks: that is lent slot by slot instead.
func (t *turn) proposeMoves() {
	s := t.state.view.State
	if s.Wave().State == keeper.WaveRunning || t.moving() {
		return
	}
	counts := t.counts()
	for _, p := range s.Declarations().Pools {
		if p.Spare || counts[p.Name] >= p.Size {
			t.state.lacking = t.state.lacking.Delete(p.Name)
			continue
		}
		since, ok := t.state.lacking.Get(p.Name)
		if !ok {
			t.state.lacking = t.state.lacking.Set(p.Name, t.now)
			continue
		}
		if t.now.Sub(since) >= t.state.cfg.MoveAfter && t.moveTo(p, counts) {
			return
		}
	}
}

func (t *turn) moving() bool {
	for _, i := range t.instances {
		if i.Target != "" || (t.pendingAt(i.Name) && i.Place == keeper.Serving) {
			return true
		}
	}
	return false
}

// counts is how many instances each pool has or will have.
func (t *turn) counts() map[string]int {
	n := make(map[string]int)
	for _, i := range t.instances {
		if i.Place != keeper.Quarantined {
			n[i.Belongs()]++
		}
	}
	return n
}

func (t *turn) moveTo(p keeper.Pool, counts map[string]int) bool {
	for _, donor := range t.donors(counts) {
		for _, i := range t.spread(donor, p.Name) {
			if t.state.view.State.DrainRefusal(t.now, i) != "" || !t.isHealthy(i, t.state.cfg.LostAfter) {
				continue
			}
			return t.propose(keeper.Command{Kind: keeper.Drain, Instance: i, Target: p.Name})
		}
	}
	return false
}

// donors are the pools with more instances than they declare, the largest surplus first.
func (t *turn) donors(counts map[string]int) []string {
	surplus := make(map[string]int)
	var names []string
	for _, p := range t.state.view.State.Declarations().Pools {
		n := counts[p.Name] - p.Size
		if n > 0 {
			surplus[p.Name] = n
			names = append(names, p.Name)
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return surplus[b] - surplus[a] })
	return names
}

// spread sorts the instances of a donor so that those come first whose rack
// holds the fewest of the pool that they go to: that keeps its reserve small.
func (t *turn) spread(donor, pool string) []keeper.Instance {
	racks := make(map[string]int)
	for _, i := range t.pools[pool] {
		racks[i.Rack]++
	}
	var out []keeper.Instance
	for _, i := range t.pools[donor] {
		if i.Place == keeper.Serving {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b keeper.Instance) int { return racks[a.Rack] - racks[b.Rack] })
	return out
}
