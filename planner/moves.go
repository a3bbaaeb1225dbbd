package planner

import (
	"slices"

	"laburnumwind/keeper"
)

// proposeMoves moves one instance from the pool with the largest surplus to a
// pool that has had a deficit for MoveDelay. The deficit is measured against the
// declared size and not the present demand, since short-term demand is met by
// lending single slots. There is one move at a time, and none during a wave.
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

// anyMoving reports whether an instance is moving between pools, or a proposal
// for a serving instance, which may be a move, is in flight.
func (t *transition) anyMoving() bool {
	for _, i := range t.instances {
		if i.Target != "" || (t.hasPendingProposal(i.Name) && i.State == keeper.Serving) {
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
// The instance must be alive and the disruption budgets must allow its drain.
// proposeMoveTo reports whether it has made a proposal.
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
// that hold the fewest members of the target pool come first: spreading a pool
// over racks keeps the reserve for the loss of a rack small.
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
