// Package planner proposes changes of the fleet: it registers instances, marks
// them lost, drains them for maintenance waves and moves them between pools. The
// declarations log decides on each proposal and refuses those that would exceed a
// disruption budget.
package planner

import (
	"time"

	"github.com/benbjohnson/immutable"

	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// planIntervalPerEndpoint is the minimum planning interval per reported
// endpoint. It limits the time spent on planning in a large fleet.
const planIntervalPerEndpoint = 250 * time.Microsecond

// followerTick is the tick interval of a planner that is not the leader. It is
// long because only the leader plans.
const followerTick = time.Second

// Config configures a planner.
type Config struct {
	LostAfter          time.Duration // time without an announcement after which an instance is lost
	MaintenanceTimeout time.Duration // time after which a maintenance that has not ended counts as failed
	ProposalTimeout    time.Duration // time after which another proposal for the same instance may be made
	PlanInterval       time.Duration // minimum time between two planning rounds
	MoveDelay          time.Duration // time for which a pool must have a deficit before an instance moves to it
	DrainOneAtATime    bool          // for experiments, as a baseline: drains one instance at a time in the whole fleet
}

// WithDefaults returns the configuration with defaults for all times that are zero.
func (cfg Config) WithDefaults() Config {
	if cfg.LostAfter == 0 {
		cfg.LostAfter = 10 * time.Second
	}
	if cfg.MaintenanceTimeout == 0 {
		cfg.MaintenanceTimeout = 15 * time.Minute
	}
	if cfg.ProposalTimeout == 0 {
		cfg.ProposalTimeout = 2 * time.Second
	}
	if cfg.PlanInterval == 0 {
		cfg.PlanInterval = 250 * time.Millisecond
	}
	if cfg.MoveDelay == 0 {
		cfg.MoveDelay = 2 * time.Second
	}
	return cfg
}

// State is the immutable state of a planner.
type State struct {
	cfg            Config
	view           messenger.DeclarationsView
	leaderSince    time.Time                  // when this node became the leader
	reports        []messenger.EndpointReport // last announcement of each endpoint, from the tracker
	reportsAt      time.Time                  // when reports was received
	plannedAt      time.Time                  // time of the last planning round
	lastProposalID uint64
	proposedAt     *immutable.SortedMap[string, time.Time] // time of the last proposal, by instance
	deficitSince   *immutable.SortedMap[string, time.Time] // start of the deficit, by pool
}

// NewState returns a planner whose proposal IDs count up from lastProposalID. Package operator
// receives the results of the planner's proposals together with those of its own and matches
// them by ID. The IDs must therefore differ from those that package operator uses, and from
// those of earlier runs of the node, whose results may still arrive.
func NewState(cfg Config, lastProposalID uint64) State {
	return State{
		cfg:            cfg.WithDefaults(),
		view:           messenger.DeclarationsView{State: keeper.NewState()},
		lastProposalID: lastProposalID,
		proposedAt:     immutable.NewSortedMap[string, time.Time](nil),
		deficitSince:   immutable.NewSortedMap[string, time.Time](nil),
	}
}

// Step handles one message and returns the new state and the messages to send.
func (s State) Step(now time.Time, body any) (State, []messenger.Message) {
	t := &transition{state: s, now: now}
	switch m := body.(type) {
	case messenger.DeclarationsView:
		t.updateView(m)
	case messenger.EndpointReports:
		t.state.reports = m.Reports
		t.state.reportsAt = now
	case messenger.DeclarationsProposalResult:
		// An accepted change appears in the next view. A refused one is proposed
		// again after ProposalTimeout if it is still needed.
	case messenger.Tick:
		if now.Sub(s.plannedAt) >= max(t.state.cfg.PlanInterval, planIntervalPerEndpoint*time.Duration(len(s.reports))) {
			t.state.plannedAt = now
			t.plan()
		}
	}
	return t.state, t.Messages
}

// WakeAt returns the time of the next tick. Ticks are less frequent on a node
// that is not the leader.
func (s State) WakeAt(now time.Time) time.Time {
	every := s.cfg.PlanInterval
	if !s.view.IsLeader {
		every = followerTick
	}
	return messenger.NextTick(now, every)
}

// transition collects the new state and the outgoing messages of one step.
type transition struct {
	messenger.Outbox
	state     State
	now       time.Time
	instances []keeper.Instance            // all instances, read once per planning round
	byPool    map[string][]keeper.Instance // instances by the pool whose budget they count against
}

// updateView stores the declarations. When this node becomes the leader, it
// forgets its earlier proposals, so that they do not delay new ones.
func (t *transition) updateView(v messenger.DeclarationsView) {
	if v.IsLeader && !t.state.view.IsLeader {
		t.state.leaderSince = t.now
		t.state.proposedAt = immutable.NewSortedMap[string, time.Time](nil)
	}
	t.state.view = v
}

// plan runs one planning round. It does nothing on a node that is not the leader,
// and before the first declarations.
func (t *transition) plan() {
	if !t.state.view.IsLeader || t.state.view.State.Revision() == 0 {
		return
	}
	t.instances = t.state.view.State.Instances()
	t.byPool = make(map[string][]keeper.Instance)
	for _, i := range t.instances {
		t.byPool[i.Pool] = append(t.byPool[i.Pool], i)
	}
	t.reconcile()
	t.failOverdueMaintenance()
	t.proposeWave()
	t.proposeMoves()
}

// propose sends a command for one instance to the declarations log, unless the
// last proposal for the instance was sent less than ProposalTimeout ago. It
// reports whether the command was sent.
func (t *transition) propose(c keeper.Command) bool {
	at, ok := t.state.proposedAt.Get(c.Instance.Name)
	if ok && t.now.Sub(at) < t.state.cfg.ProposalTimeout {
		return false
	}
	t.state.proposedAt = t.state.proposedAt.Set(c.Instance.Name, t.now)
	t.state.lastProposalID++
	t.Send(messenger.Declarations, messenger.ProposeDeclarations{ProposalID: t.state.lastProposalID, Command: c})
	t.Send(messenger.Reporter, messenger.Decision{
		Stage:    messenger.Planner,
		Event:    "proposed " + c.Kind.String(),
		Instance: c.Instance.Name,
		Pool:     c.Target,
	})
	return true
}
