package keeper

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Apply returns the state after one command, and the result of the command.
// now is the timestamp of the log entry, set by the clock of the leader that
// appended it. A timestamp before that of an earlier command is raised to it, since
// the clocks of two leaders may differ. A command with a repeated change ID gets
// the result of the first one and changes nothing.
func (s State) Apply(now time.Time, c Command) (State, Result) {
	now = later(now, s.now)
	s.now = now
	if c.ChangeID == "" || s.noDeduplication {
		return s.apply(now, c)
	}
	s = s.expireChanges(now)
	changeKey := c.Proposer + "\x00" + c.ChangeID
	digest := commandDigest(c)
	recorded, ok := s.changes.Get(changeKey)
	if ok && recorded.Digest != digest {
		return s, s.refuse(Invalid, "the change ID was used before for another change")
	}
	if ok {
		return s, recorded.Result
	}
	next, r := s.apply(now, c)
	next.changes = next.changes.Set(changeKey, ChangeResult{Change: changeKey, At: now, Digest: digest, Result: r})
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
		return s.quarantine(now, i)
	case Release:
		return s.release(now, i)
	case FailMaintenance:
		return s.failMaintenance(now, i)
	}
	return s, s.refuse(Invalid, fmt.Sprintf("unknown kind of command %d", c.Kind))
}

func (s State) applyDeclarations(now time.Time, c Command) (State, Result) {
	if c.Revision != s.revision && !s.noRevisionCheck {
		return s, s.refuse(Conflict, fmt.Sprintf("expected revision %d, the present one is %d", c.Revision, s.revision))
	}
	err := s.Validate(c.Declarations)
	if err != nil {
		return s, s.refuse(Invalid, err.Error())
	}
	s = s.chargeOpenDowntime(now)
	s = s.WithDeclarations(c.Declarations)
	s = s.assignSpares(now)
	return s, s.accept(Instance{})
}

// chargeOpenDowntime charges the downtime of every instance that is down, up to
// now. It runs before a change of the declarations, so that earlier downtime is
// charged to the budgets that were valid then.
func (s State) chargeOpenDowntime(now time.Time) State {
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

// assignSpares assigns the instances without a pool to the pools that choosePool
// returns for them.
func (s State) assignSpares(now time.Time) State {
	for _, i := range s.Instances() {
		if i.State != Spare {
			continue
		}
		pool := s.choosePool(i)
		if pool == "" {
			continue
		}
		s = s.WithInstance(i.WithPool(pool).WithState(now, Serving))
	}
	return s
}

// choosePool returns the name of the pool that an instance should join. Among
// the pools below their size it prefers the one with the fewest instances in
// the same rack: the reserve for a rack failure equals the largest number of
// instances of the pool in one rack, and a larger reserve leaves less of the
// budget for planned maintenance. Ties go to the pool that lacks the largest
// fraction of its size. If no pool is below its size, choosePool returns the
// spare pool, or "" if there is none.
func (s State) choosePool(i Instance) string {
	size, inRack := s.countMembers(i.Rack)
	best, bestShortfall, bestSameRack := "", 0.0, 0
	spare := ""
	for _, p := range s.declarations.Pools {
		if p.Spare {
			spare = p.Name
		}
		shortfall := float64(p.Size-size[p.Name]) / float64(max(p.Size, 1))
		if shortfall <= 0 {
			continue
		}
		sameRack := inRack[p.Name]
		if best == "" || sameRack < bestSameRack || (sameRack == bestSameRack && shortfall > bestShortfall) {
			best, bestShortfall, bestSameRack = p.Name, shortfall, sameRack
		}
	}
	if best == "" {
		return spare
	}
	return best
}

// countMembers counts the instances of each pool, in total and in one rack. An
// instance that is moving counts in its target pool.
func (s State) countMembers(rack string) (size, inRack map[string]int) {
	size = make(map[string]int)
	inRack = make(map[string]int)
	for it := s.instances.Iterator(); !it.Done(); {
		_, i, _ := it.Next()
		size[i.EventualPool()]++
		if i.Rack == rack {
			inRack[i.EventualPool()]++
		}
	}
	return size, inRack
}

// EventualPool returns the pool that the instance is moving to, or its current pool
// if it is not moving.
func (i Instance) EventualPool() string {
	if i.Target != "" {
		return i.Target
	}
	return i.Pool
}

func (s State) register(now time.Time, c Command) (State, Result) {
	announced := c.Instance
	if announced.Name == "" {
		return s, s.refuse(Invalid, "an instance needs a name")
	}
	existing, ok := s.instances.Get(announced.Name)
	if !ok {
		return s.registerNew(now, announced)
	}
	if announced.Incarnation == existing.Incarnation {
		return s, s.accept(existing)
	}
	if announced.Incarnation < existing.Incarnation {
		return s, s.refuse(Conflict, fmt.Sprintf("instance %q has incarnation %d", existing.Name, existing.Incarnation))
	}
	return s.registerRestart(now, existing, announced)
}

func (s State) registerNew(now time.Time, announced Instance) (State, Result) {
	i := Instance{
		Name:        announced.Name,
		Incarnation: announced.Incarnation,
		Zone:        announced.Zone,
		Rack:        announced.Rack,
		Slots:       announced.Slots,
	}
	pool := s.choosePool(i)
	if pool == "" {
		i = i.WithState(now, Spare)
	} else {
		i = i.WithPool(pool).WithState(now, Serving)
	}
	s = s.WithInstance(i)
	return s, s.accept(i)
}

// registerRestart registers a new incarnation of a known instance. The restart
// ended all work of the old incarnation, so a drain in progress is complete.
func (s State) registerRestart(now time.Time, existing, announced Instance) (State, Result) {
	i := existing.WithIncarnation(announced.Incarnation)
	i.Zone, i.Rack, i.Slots = announced.Zone, announced.Rack, announced.Slots
	if existing.State == Quarantined || existing.State == Spare {
		return s.changeInstanceState(now, i, existing.State)
	}
	if existing.Target != "" {
		return s.moveToPool(now, i, existing.Target)
	}
	if existing.State == Draining || existing.State == Maintenance {
		s, i = s.completeMaintenance(now, i)
	}
	return s.changeInstanceState(now, i, Serving)
}

// completeMaintenance updates the average duration of a maintenance, and counts
// the instance as done if its wave is the current one. The duration is the time
// since the last change of state or charge of downtime. It leaves out the drain
// before the maintenance, unless the instance restarts while it drains: then the
// duration is that of the drain.
func (s State) completeMaintenance(now time.Time, i Instance) (State, Instance) {
	s.meanMaintenance = exponentialMean(s.meanMaintenance, now.Sub(i.Since))
	if i.Wave == 0 || i.Wave != s.wave.ID {
		return s, i.WithWave(0)
	}
	s.wave.Done++
	return s.finishWaveIfDone(now), i.WithWave(0)
}

func (s State) drain(now time.Time, i Instance, target string) (State, Result) {
	if i.State != Serving {
		return s, s.refuse(Conflict, fmt.Sprintf("instance %q is %s", i.Name, i.State))
	}
	_, ok := s.pools.Get(target)
	if target != "" && (!ok || target == i.Pool) {
		return s, s.refuse(Invalid, fmt.Sprintf("cannot move to pool %q", target))
	}
	reason := s.DrainRefusal(now, i)
	if reason != "" {
		return s, s.refuse(BudgetExceeded, reason)
	}
	return s.changeInstanceState(now, i.WithTarget(target), Draining)
}

// advance moves a drained instance to its target pool, or to maintenance if it has
// no target.
func (s State) advance(now time.Time, i Instance) (State, Result) {
	if i.State != Draining {
		return s, s.refuse(Conflict, fmt.Sprintf("instance %q is %s", i.Name, i.State))
	}
	if i.Target == "" {
		return s.changeInstanceState(now, i, Maintenance)
	}
	return s.moveToPool(now, i, i.Target)
}

// markLost takes an instance out of service that has stopped announcing itself. If
// it was draining to move to another pool, the move is canceled.
func (s State) markLost(now time.Time, i Instance) (State, Result) {
	if i.State != Serving && i.State != Draining {
		return s, s.refuse(Conflict, fmt.Sprintf("instance %q is %s", i.Name, i.State))
	}
	return s.changeInstanceState(now, i.WithTarget(""), Lost)
}

func (s State) returnLost(now time.Time, i Instance) (State, Result) {
	if i.State != Lost {
		return s, s.refuse(Conflict, fmt.Sprintf("instance %q is %s", i.Name, i.State))
	}
	return s.changeInstanceState(now, i, Serving)
}

// release ends the quarantine of an instance, which serves its pool again or
// becomes spare if it has none.
func (s State) release(now time.Time, i Instance) (State, Result) {
	if i.State != Quarantined {
		return s, s.refuse(Conflict, fmt.Sprintf("instance %q is %s", i.Name, i.State))
	}
	if i.Pool == "" {
		return s.changeInstanceState(now, i, Spare)
	}
	return s.changeInstanceState(now, i, Serving)
}

// changeInstanceState changes the state of an instance that stays in its pool, and
// charges its downtime since the last change or charge. An instance that would
// serve a pool that no longer exists becomes spare.
func (s State) changeInstanceState(now time.Time, i Instance, state InstanceState) (State, Result) {
	before, ok := s.instances.Get(i.Name)
	if ok && before.IsDown() {
		s = s.charge(now, before)
	}
	_, exists := s.pools.Get(i.Pool)
	if state == Serving && !exists {
		i, state = i.WithPool(""), Spare
	}
	i = i.WithState(now, state)
	s = s.WithInstance(i)
	return s, s.accept(i)
}

// moveToPool moves an instance to its target pool. If the pool no longer exists,
// the instance becomes spare.
func (s State) moveToPool(now time.Time, i Instance, pool string) (State, Result) {
	before, _ := s.instances.Get(i.Name)
	s = s.charge(now, before)
	i = i.WithPool(pool)
	_, exists := s.pools.Get(pool)
	if !exists {
		i = i.WithPool("").WithState(now, Spare)
	} else {
		i = i.WithState(now, Serving)
	}
	s = s.WithInstance(i)
	return s, s.accept(i)
}

// accept returns the result of an accepted command. i is the instance that the
// command is about, or the zero Instance if it is about none.
func (s State) accept(i Instance) Result {
	return Result{Code: Accepted, Revision: s.revision, Epoch: i.Epoch}
}

func (s State) refuse(code Code, reason string) Result {
	return Result{Code: code, Revision: s.revision, Reason: reason}
}

// expireChanges removes the results that are past ChangeRetention.
func (s State) expireChanges(now time.Time) State {
	for it := s.changes.Iterator(); !it.Done(); {
		key, c, _ := it.Next()
		if now.Sub(c.At) > ChangeRetention {
			s.changes = s.changes.Delete(key)
		}
	}
	return s
}

// commandDigest returns a hash of the command, used to detect a change ID that
// is reused for another change. Keeping the hash is cheaper than keeping the whole
// command.
func commandDigest(c Command) string {
	text := fmt.Sprintf("%d %v %d %s %s %d %d %d", c.Kind, c.Declarations, c.Revision, c.Instance.Name, c.Target, c.Instance.Epoch, c.MaxFailed, c.Wave)
	return fmt.Sprintf("%016x", xxhash.Sum64String(text))
}

// exponentialMean returns the exponential moving average after one more sample,
// which has a weight of 1/sampleDivisor. The first sample is the average.
func exponentialMean(mean, sample time.Duration) time.Duration {
	const sampleDivisor = 8
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)/sampleDivisor
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
