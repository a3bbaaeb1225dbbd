package planner

import (
	"slices"

	"laburnumwind/keeper"
)

// proposeMoves proposes to move one instance to a pool that has had a deficit for
// MoveDelay, preferably from the pool with the largest surplus. A pool has a
// deficit if it has fewer instances than its declared size. Its present demand
// does not matter, since idle slots are lent for short-term demand. The spare pool
// never has a deficit, since it takes only instances that no other pool needs.
// There is one move at a time, and none during a wave.
func (t *transition) proposeMoves() {
	s := t.state.view.State
	if s.Wave().State == keeper.WaveRunning || t.anyMoving() {
		return
	}
	counts := t.memberCounts()
	for _, p := range s.Declarations().Pools {
		if p.Spare || counts[p.Name] >= p.Size {
			t.state.deficitSince = t.state.deficitSince.Delete(p.Name)
			continue
		}
		since, ok := t.state.deficitSince.Get(p.Name)
		if !ok {
			t.state.deficitSince = t.state.deficitSince.Set(p.Name, t.now)
			continue
		}
		if t.now.Sub(since) >= t.state.cfg.MoveDelay && t.proposeMoveTo(p, counts) {
			return
		}
	}
}

// anyMoving reports whether an instance is moving between pools, or a serving
// instance has a recent proposal, which may be a move.
func (t *transition) anyMoving() bool {
	for _, i := range t.instances {
		if i.Target != "" || (t.hasRecentProposal(i.Name) && i.State == keeper.Serving) {
			return true
		}
	}
	return false
}

// memberCounts returns the number of instances of each pool, with moving
// instances counted in their target pool and quarantined ones left out.
func (t *transition) memberCounts() map[string]int {
	counts := make(map[string]int)
	for _, i := range t.instances {
		if i.State != keeper.Quarantined {
			counts[i.EventualPool()]++
		}
	}
	return counts
}

// proposeMoveTo proposes to drain an instance of a donor and move it to the pool.
// The instance must have announced itself within LostAfter, and the disruption
// budgets must allow its drain. proposeMoveTo reports whether it has made a
// proposal.
func (t *transition) proposeMoveTo(p keeper.Pool, counts map[string]int) bool {
	for _, donor := range t.donors(counts) {
		for _, i := range t.moveCandidates(donor, p.Name) {
			if t.state.view.State.DrainRefusal(t.now, i) != "" || !t.hasRecentAnnouncement(i, t.state.cfg.LostAfter) {
				continue
			}
			return t.propose(keeper.Command{Kind: keeper.Drain, Instance: i, Target: p.Name})
		}
	}
	return false
}

// donors returns the pools with more instances than their declared size, the
// largest surplus first.
func (t *transition) donors(counts map[string]int) []string {
	surplus := make(map[string]int)
	var donors []string
	for _, p := range t.state.view.State.Declarations().Pools {
		excess := counts[p.Name] - p.Size
		if excess > 0 {
			surplus[p.Name] = excess
			donors = append(donors, p.Name)
		}
	}
	slices.SortStableFunc(donors, func(a, b string) int { return surplus[b] - surplus[a] })
	return donors
}

// moveCandidates returns the serving instances of a donor. Instances in racks
// that hold the fewest members of the target pool come first: the fewer members
// share a rack, the smaller is the reserve that the disruption budgets keep for
// the failure of a rack.
func (t *transition) moveCandidates(donor, pool string) []keeper.Instance {
	rackMembers := make(map[string]int)
	for _, i := range t.byPool[pool] {
		rackMembers[i.Rack]++
	}
	var candidates []keeper.Instance
	for _, i := range t.byPool[donor] {
		if i.State == keeper.Serving {
			candidates = append(candidates, i)
		}
	}
	slices.SortStableFunc(candidates, func(a, b keeper.Instance) int { return rackMembers[a.Rack] - rackMembers[b.Rack] })
	return candidates
}
