package keeper

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Apply is the state after one command and what the command came to.
// The time is the one that the log stamped on the command.
func (s State) Apply(now time.Time, c Command) (State, Result) {
	now = later(now, s.now)
	s.now = now
	if c.ChangeID == "" || s.forgetful {
		return s.apply(now, c)
	}
	s = s.forgetChanges(now)
	change := c.Proposer + "\x00" + c.ChangeID
	digest := commandDigest(c)
	first, ok := s.changes.Get(change)
	if ok && first.Digest != digest {
		return s, s.refuse(Invalid, "the change ID was used before for another change")
	}
	if ok {
		return s, first.Result
	}
	next, r := s.apply(now, c)
	next.changes = next.changes.Set(change, Remembered{Change: change, At: now, Digest: digest, Result: r})
	return next, r
}

func (s State) apply(now time.Time, c Command) (State, Result) {
	switch c.Kind {
	case Apply:
		return s.applyDeclarations(now, c)
	case Register:
		return s.register(now, c)
	case StartWave:
		return s.startWave(now, c)
	case StopWave:
		return s.stopWave(now, c)
	}
	i, ok := s.instances.Get(c.Instance.Name)
	if !ok {
		return s, s.refuse(NotFound, fmt.Sprintf("no instance %q", c.Instance.Name))
	}
	if i.Epoch != c.Instance.Epoch {
		r := s.refuse(Conflict, fmt.Sprintf("instance %q has epoch %d", i.Name, i.Epoch))
		r.Epoch = i.Epoch
		return s, r
	}
	switch c.Kind {
	case Drain:
		return s.drain(now, i, c.Target)
	case Advance:
		return s.advance(now, i)
	case MarkLost:
		return s.markLost(now, i)
	case Return:
		return s.returnLost(now, i)
	case Quarantine:
		return s.move(now, i.WithTarget(""), Quarantined)
	case Release:
		return s.release(now, i)
	case FailWave:
		return s.failWave(now, i)
	}
	return s, s.refuse(Invalid, fmt.Sprintf("unknown kind of command %d", c.Kind))
}

func (s State) applyDeclarations(now time.Time, c Command) (State, Result) {
	if c.Revision != s.revision && !s.anyRevision {
		return s, s.refuse(Conflict, fmt.Sprintf("expected revision %d, the present one is %d", c.Revision, s.revision))
	}
	err := s.Validate(c.Declarations)
	if err != nil {
		return s, s.refuse(Invalid, err.Error())
	}
	s = s.closeAccounts(now)
	s = s.WithDeclarations(c.Declarations)
	s = s.placeSpares(now)
	return s, s.accept(Instance{})
}

// closeAccounts charges what is down until now, before the budgets change.
func (s State) closeAccounts(now time.Time) State {
	for _, i := range s.Instances() {
		if !i.IsDown() {
			continue
		}
		s = s.charge(now, i)
		i.Since = now
		s = s.WithInstance(i)
	}
	return s
}

// placeSpares gives the instances without a pool to the pools that want more.
func (s State) placeSpares(now time.Time) State {
	for _, i := range s.Instances() {
		if i.Place != Spare {
			continue
		}
		pool := s.wantingPool(i)
		if pool == "" {
			continue
		}
		s = s.WithInstance(i.WithPool(pool).WithPlace(now, Serving))
	}
	return s
}

// wantingPool is the pool that an instance should serve, of those that lack
// instances; the spare pool if none does. It is one with the fewest instances in
// the same rack, since the reserve for the loss of a rack is as large as what
// one rack holds; among those it is the one that lacks the largest part.
func (s State) wantingPool(i Instance) string {
	size, inRack := s.countMembers(i.Rack)
	best, bestLack, bestRack := "", 0.0, 0
	spare := ""
	for _, p := range s.declarations.Pools {
		if p.Spare {
			spare = p.Name
		}
		lack := float64(p.Size-size[p.Name]) / float64(max(p.Size, 1))
		if lack <= 0 {
			continue
		}
		rack := inRack[p.Name]
		if best == "" || rack < bestRack || (rack == bestRack && lack > bestLack) {
			best, bestLack, bestRack = p.Name, lack, rack
		}
	}
	if best == "" {
		return spare
	}
	return best
}

// countMembers counts the instances of each pool, and those in one rack. What is
// on its way to a pool counts there.
func (s State) countMembers(rack string) (size, inRack map[string]int) {
	size = make(map[string]int)
	inRack = make(map[string]int)
	for it := s.instances.Iterator(); !it.Done(); {
		_, i, _ := it.Next()
		size[i.Belongs()]++
		if i.Rack == rack {
			inRack[i.Belongs()]++
		}
	}
	return size, inRack
}

// Belongs is the pool that the instance is in, or that it is moving to.
func (i Instance) Belongs() string {
	if i.Target != "" {
		return i.Target
	}
	return i.Pool
}

func (s State) register(now time.Time, c Command) (State, Result) {
	fresh := c.Instance
	if fresh.Name == "" {
		return s, s.refuse(Invalid, "an instance needs a name")
	}
	known, ok := s.instances.Get(fresh.Name)
	if !ok {
		return s.registerNew(now, fresh)
	}
	if fresh.Incarnation == known.Incarnation {
		return s, s.accept(known)
	}
	if fresh.Incarnation < known.Incarnation {
		return s, s.refuse(Conflict, fmt.Sprintf("instance %q has incarnation %d", known.Name, known.Incarnation))
	}
	return s.registerAgain(now, known, fresh)
}

func (s State) registerNew(now time.Time, fresh Instance) (State, Result) {
	i := Instance{
		Name:        fresh.Name,
		Incarnation: fresh.Incarnation,
		Zone:        fresh.Zone,
		Rack:        fresh.Rack,
		Slots:       fresh.Slots,
	}
	pool := s.wantingPool(i)
	if pool == "" {
		i = i.WithPlace(now, Spare)
	} else {
		i = i.WithPool(pool).WithPlace(now, Serving)
	}
	s = s.WithInstance(i)
	return s, s.accept(i)
}

// registerAgain takes an instance back after a restart. It has no work of its
// former life, so a drain that it was in is complete.
func (s State) registerAgain(now time.Time, known, fresh Instance) (State, Result) {
	i := known.WithIncarnation(fresh.Incarnation)
	i.Zone, i.Rack, i.Slots = fresh.Zone, fresh.Rack, fresh.Slots
	if known.Place == Quarantined || known.Place == Spare {
		return s.move(now, i, known.Place)
	}
	if known.Target != "" {
		return s.moveTo(now, i, known.Target)
	}
	if known.Place == Draining || known.Place == Maintenance {
		s, i = s.maintainedOnce(now, i)
	}
	return s.move(now, i, Serving)
}

func (s State) maintainedOnce(now time.Time, i Instance) (State, Instance) {
	s.maintained = learnMean(s.maintained, now.Sub(i.Since))
	if i.Wave == 0 || i.Wave != s.wave.ID {
		return s, i.WithWave(0)
	}
	s.wave.Done++
	return s.endWave(now), i.WithWave(0)
}

func (s State) drain(now time.Time, i Instance, target string) (State, Result) {
	if i.Place != Serving {
		return s, s.refuse(Conflict, fmt.Sprintf("instance %q is %s", i.Name, i.Place))
	}
	_, ok := s.pools.Get(target)
	if target != "" && (!ok || target == i.Pool) {
		return s, s.refuse(Invalid, fmt.Sprintf("cannot move to pool %q", target))
	}
	reason := s.DrainRefusal(now, i)
	if reason != "" {
		return s, s.refuse(BudgetExceeded, reason)
	}
	return s.move(now, i.WithTarget(target), Draining)
}

func (s State) advance(now time.Time, i Instance) (State, Result) {
	if i.Place != Draining {
		return s, s.refuse(Conflict, fmt.Sprintf("instance %q is %s", i.Name, i.Place))
	}
	if i.Target == "" {
		return s.move(now, i, Maintenance)
	}
	return s.moveTo(now, i, i.Target)
}

func (s State) markLost(now time.Time, i Instance) (State, Result) {
	if i.Place != Serving && i.Place != Draining {
		return s, s.refuse(Conflict, fmt.Sprintf("instance %q is %s", i.Name, i.Place))
	}
	return s.move(now, i.WithTarget(""), Lost)
}

func (s State) returnLost(now time.Time, i Instance) (State, Result) {
	if i.Place != Lost {
		return s, s.refuse(Conflict, fmt.Sprintf("instance %q is %s", i.Name, i.Place))
	}
	return s.move(now, i, Serving)
}

func (s State) release(now time.Time, i Instance) (State, Result) {
	if i.Place != Quarantined {
		return s, s.refuse(Conflict, fmt.Sprintf("instance %q is %s", i.Name, i.Place))
	}
	if i.Pool == "" {
		return s.move(now, i, Spare)
	}
	return s.move(now, i, Serving)
}

// move changes the place within the pool that the instance is charged to.
func (s State) move(now time.Time, i Instance, place Place) (State, Result) {
	before, ok := s.instances.Get(i.Name)
	if ok && before.IsDown() {
		s = s.charge(now, before)
	}
	_, exists := s.pools.Get(i.Pool)
	if place == Serving && !exists {
		i, place = i.WithPool(""), Spare
	}
	i = i.WithPlace(now, place)
	s = s.WithInstance(i)
	return s, s.accept(i)
}

func (s State) moveTo(now time.Time, i Instance, pool string) (State, Result) {
	before, _ := s.instances.Get(i.Name)
	s = s.charge(now, before)
	i = i.WithPool(pool)
	_, exists := s.pools.Get(pool)
	if !exists {
		i = i.WithPool("").WithPlace(now, Spare)
	} else {
		i = i.WithPlace(now, Serving)
	}
	s = s.WithInstance(i)
	return s, s.accept(i)
}

func (s State) accept(i Instance) Result {
	return Result{Code: Accepted, Revision: s.revision, Epoch: i.Epoch}
}

func (s State) refuse(code Code, reason string) Result {
	return Result{Code: code, Revision: s.revision, Reason: reason}
}

func (s State) forgetChanges(now time.Time) State {
	for it := s.changes.Iterator(); !it.Done(); {
		name, c, _ := it.Next()
		if now.Sub(c.At) > ChangeRetention {
			s.changes = s.changes.Delete(name)
		}
	}
	return s
}

// commandDigest tells two changes under one change ID apart.
func commandDigest(c Command) string {
	text := fmt.Sprintf("%d %v %d %s %s %d %d %d", c.Kind, c.Declarations, c.Revision, c.Instance.Name, c.Target, c.Instance.Epoch, c.MaxFailed, c.Wave)
	return fmt.Sprintf("%016x", xxhash.Sum64String(text))
}

func learnMean(mean, sample time.Duration) time.Duration {
	const weight = 8
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)/weight
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
