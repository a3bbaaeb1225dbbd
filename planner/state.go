// Package planner proposes where instances go: it registers them, notices losses,
// takes waves through the fleet and moves instances between pools.
// The declarations log decides; what a budget forbids it refuses.
package planner

import (
	"time"

	"github.com/benbjohnson/immutable"

	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// lookPerEndpoint bounds the time spent on looks in a large fleet.
const lookPerEndpoint = 250 * time.Microsecond

// idleTick is the time between two ticks of a planner that does not plan.
const idleTick = time.Second

// Config holds the times of a planner.
type Config struct {
	LostAfter    time.Duration // silence after which an instance is lost
	RebootLimit  time.Duration // longest maintenance before it counts as failed
	ProposalWait time.Duration // before a proposal is tried again
	Every        time.Duration // time between two looks
	MoveAfter    time.Duration // how long a pool must lack instances before one moves to it
	OneByOne     bool          // baseline: one instance at a time in the whole fleet
}

// WithDefaults fills in what is zero.
func (cfg Config) WithDefaults() Config {
	if cfg.LostAfter == 0 {
		cfg.LostAfter = 10 * time.Second
	}
	if cfg.RebootLimit == 0 {
		cfg.RebootLimit = 15 * time.Minute
	}
	if cfg.ProposalWait == 0 {
		cfg.ProposalWait = 2 * time.Second
	}
	if cfg.Every == 0 {
		cfg.Every = 250 * time.Millisecond
	}
	if cfg.MoveAfter == 0 {
		cfg.MoveAfter = 2 * time.Second
	}
	return cfg
}

// State is the immutable value of a planner.
type State struct {
	cfg      Config
	view     messenger.View
	leadsAt  time.Time // since when this node leads
	reports  []messenger.Report
	heardAt  time.Time
	lookedAt time.Time
	ticket   uint64
	proposed *immutable.SortedMap[string, time.Time] // instances with a proposal on its way
	lacking  *immutable.SortedMap[string, time.Time] // pools that lack instances, since when
}

// NewState returns a planner. Tickets start at a number that no earlier run used.
func NewState(cfg Config, ticket uint64) State {
	return State{
		cfg:      cfg.WithDefaults(),
		view:     messenger.View{State: keeper.NewState()},
		ticket:   ticket,
		proposed: immutable.NewSortedMap[string, time.Time](nil),
		lacking:  immutable.NewSortedMap[string, time.Time](nil),
	}
}

// Step takes one message.
func (s State) Step(now time.Time, body any) (State, []messenger.Message) {
	t := &turn{state: s, now: now}
	switch m := body.(type) {
	case messenger.View:
		t.view(m)
	case messenger.Heard:
		t.state.reports = m.Reports
		t.state.heardAt = now
	case messenger.Proposed:
	case messenger.Tick:
		if now.Sub(s.lookedAt) >= max(t.state.cfg.Every, lookPerEndpoint*time.Duration(len(s.reports))) {
			t.state.lookedAt = now
			t.plan()
		}
	}
	return t.state, t.Messages
}

// WakeAt is when the planner wants its next tick: seldom on a node that does not lead.
func (s State) WakeAt(now time.Time) time.Time {
	every := s.cfg.Every
	if !s.view.Leads {
		every = idleTick
	}
	return messenger.NextTick(now, every)
}

type turn struct {
	messenger.Outbox
	state     State
	now       time.Time
	instances []keeper.Instance            // all, read once for a look
	pools     map[string][]keeper.Instance // by the pool that they are charged to
}

func (t *turn) view(v messenger.View) {
	if v.Leads && !t.state.view.Leads {
		t.state.leadsAt = t.now
		t.state.proposed = immutable.NewSortedMap[string, time.Time](nil)
	}
	t.state.view = v
}

func (t *turn) plan() {
	if !t.state.view.Leads || t.state.view.State.Revision() == 0 {
		return
	}
	t.instances = t.state.view.State.Instances()
	t.pools = make(map[string][]keeper.Instance)
	for _, i := range t.instances {
		t.pools[i.Pool] = append(t.pools[i.Pool], i)
	}
	t.followReports()
	t.failReboots()
	t.proposeWave()
	t.proposeMoves()
}

// propose asks the log for a change of one instance, unless one is on its way.
func (t *turn) propose(c keeper.Command) bool {
	at, ok := t.state.proposed.Get(c.Instance.Name)
	if ok && t.now.Sub(at) < t.state.cfg.ProposalWait {
		return false
	}
	t.state.proposed = t.state.proposed.Set(c.Instance.Name, t.now)
	t.state.ticket++
	t.Send(messenger.Declarations, messenger.Propose{Ticket: t.state.ticket, Command: c})
	t.Send(messenger.Reporter, messenger.Decision{
		Stage:    messenger.Planner,
		What:     "proposed " + c.Kind.String(),
		Instance: c.Instance.Name,
		Pool:     c.Target,
	})
	return true
}
