package planner

import (
	"cmp"
	"slices"

	"laburnumwind/keeper"
)

// proposeWave proposes to drain the next instances of a running wave, at most
// one per pool and round, as far as the disruption budgets allow. It prefers racks
// in which instances are already down, because the failure of such a rack takes
// down the fewest further instances.
func (t *transition) proposeWave() {
	s := t.state.view.State
	if s.Wave().State != keeper.WaveRunning {
		return
	}
	if t.state.cfg.DrainOneAtATime && t.anyDown() {
		return
	}
	for _, pool := range t.pendingPools() {
		candidates := t.waveCandidates(pool)
		for _, i := range firstOfEachRack(candidates) {
			if s.DrainRefusal(t.now, i) != "" {
				continue
			}
			if t.propose(keeper.Command{Kind: keeper.Drain, Instance: i}) {
				break // further drains in the pool wait until the view shows this one
			}
		}
		if t.state.cfg.DrainOneAtATime && len(t.Messages) > 0 {
			return
		}
	}
}

// firstOfEachRack returns the first instance of each rack, in their order. The budgets refuse the other instances of
// a rack for the same reason as its first.
func firstOfEachRack(candidates []keeper.Instance) []keeper.Instance {
	seen := make(map[string]bool)
	var out []keeper.Instance
	for _, i := range candidates {
		if !seen[i.Rack] {
			seen[i.Rack] = true
			out = append(out, i)
		}
	}
	return out
}

// anyDown reports whether an instance is down or has a recent proposal.
func (t *transition) anyDown() bool {
	for _, i := range t.instances {
		if i.IsDown() || t.hasRecentProposal(i.Name) {
			return true
		}
	}
	return false
}

// pendingPools returns the names of the pools with serving instances that the
// wave has not drained yet, sorted.
func (t *transition) pendingPools() []string {
	id := t.state.view.State.Wave().ID
	var pools []string
	for name, members := range t.byPool {
		pending := slices.ContainsFunc(members, func(i keeper.Instance) bool { return i.Wave == id && i.State == keeper.Serving })
		if pending {
			pools = append(pools, name)
		}
	}
	slices.Sort(pools)
	return pools
}

// waveCandidates returns the instances of a pool that the wave has not drained
// yet, in the order in which they should be drained. It returns none while a
// serving instance of the pool has a recent proposal, because the proposal may
// take the instance down and the view does not show this yet.
func (t *transition) waveCandidates(pool string) []keeper.Instance {
	s := t.state.view.State
	down := make(map[string]int)
	up := make(map[string]int)
	var candidates []keeper.Instance
	for _, i := range t.byPool[pool] {
		if t.hasRecentProposal(i.Name) && i.State == keeper.Serving {
			return nil
		}
		if i.IsDown() {
			down[i.Rack]++
			continue
		}
		up[i.Rack]++
		if i.Wave == s.Wave().ID {
			candidates = append(candidates, i)
		}
	}
	slices.SortStableFunc(candidates, func(a, b keeper.Instance) int {
		return cmp.Or(
			cmp.Compare(down[b.Rack], down[a.Rack]),
			cmp.Compare(up[b.Rack], up[a.Rack]), // shrinks the rack whose failure would take down the most instances
			cmp.Compare(a.Rack, b.Rack),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return candidates
}
