package planner

import (
	"cmp"
	"slices"

	"laburnumwind/keeper"
)

// triesOfPool is how many instances of a pool are tried at one look. They come
// sorted by how little their drain leaves at risk, so the rest would fare no better.
const triesOfPool = 3

// proposeWave drains the next instances of a running wave, pool by pool, as
// many as the budgets allow. Racks that are partly down already go first: what
// is left of them is the smallest further loss.
func (t *turn) proposeWave() {
	s := t.state.view.State
	if s.Wave().State != keeper.WaveRunning {
		return
	}
	if t.state.cfg.OneByOne && t.anyDown() {
		return
	}
	for _, pool := range t.waitingPools() {
		best := t.candidates(pool)
		for _, i := range best[:min(len(best), triesOfPool)] {
			if s.DrainRefusal(t.now, i) != "" {
				continue
			}
			if t.propose(keeper.Command{Kind: keeper.Drain, Instance: i}) {
				break // the next look sees this one as down
			}
		}
		if t.state.cfg.OneByOne && len(t.Messages) > 0 {
			return
		}
	}
}

func (t *turn) anyDown() bool {
	for _, i := range t.instances {
		if i.IsDown() || t.pendingAt(i.Name) {
			return true
		}
	}
	return false
}

// waitingPools are the pools with instances that wait for the wave.
func (t *turn) waitingPools() []string {
	id := t.state.view.State.Wave().ID
	var pools []string
	for name, members := range t.pools {
		waits := slices.ContainsFunc(members, func(i keeper.Instance) bool { return i.Wave == id && i.Place == keeper.Serving })
		if waits {
			pools = append(pools, name)
		}
	}
	slices.Sort(pools)
	return pools
}

// candidates are the instances of a pool that wait for the wave, best first.
// There is none while a proposal for the pool is on its way.
func (t *turn) candidates(pool string) []keeper.Instance {
	s := t.state.view.State
	down := make(map[string]int)
	up := make(map[string]int)
	var waiting []keeper.Instance
	for _, i := range t.pools[pool] {
		if t.pendingAt(i.Name) && i.Place == keeper.Serving {
			return nil
		}
		if i.IsDown() {
			down[i.Rack]++
			continue
		}
		up[i.Rack]++
		if i.Wave == s.Wave().ID {
			waiting = append(waiting, i)
		}
	}
	slices.SortStableFunc(waiting, func(a, b keeper.Instance) int {
		return cmp.Or(
			cmp.Compare(down[b.Rack], down[a.Rack]),
			cmp.Compare(up[b.Rack], up[a.Rack]), // thins out the largest correlated loss
			cmp.Compare(a.Rack, b.Rack),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return waiting
}
