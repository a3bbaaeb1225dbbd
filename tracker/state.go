// Package tracker knows which endpoints are there, from their own word and from other entry instances.
package tracker

import (
	"time"

	"github.com/benbjohnson/immutable"

	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// Config describes a tracker.
type Config struct {
	Name          string
	LeastInterval time.Duration // shortest time between two announcements of an endpoint
	Silent        float64       // intervals after which a silent endpoint gets no new work
	Budget        int           // bytes a second for announcements at this instance
	GossipEvery   time.Duration // time between two reports of loads to other instances
	GossipBudget  int           // reports in one gossip
	WholeEvery    time.Duration // time between two reports of everything
}

// lookTick is the time between two ticks.
const lookTick = 200 * time.Millisecond

// announcementBytes is what one announcement and its reply cost on the wire.
const announcementBytes = 700

// WithDefaults fills in what is zero.
func (cfg Config) WithDefaults() Config {
	if cfg.LeastInterval == 0 {
		cfg.LeastInterval = time.Second
	}
	if cfg.Silent == 0 {
		cfg.Silent = 3.5
	}
	if cfg.Budget == 0 {
		cfg.Budget = 10_000
	}
	if cfg.GossipEvery == 0 {
		cfg.GossipEvery = time.Second
	}
	if cfg.GossipBudget == 0 {
		cfg.GossipBudget = 100
	}
	if cfg.WholeEvery == 0 {
		cfg.WholeEvery = 30 * time.Second
	}
	return cfg
}

// seen is an endpoint and when it was last heard, directly or through another instance.
type seen struct {
	announcement messenger.Announcement
	heardAt      time.Time
	direct       bool
	dirty        bool // its load changed since it was last told to others
}

// State is the immutable value of a tracker.
type State struct {
	cfg       Config
	endpoints *immutable.SortedMap[string, seen]
	view      keeper.State
	direct    int // endpoints that announce themselves here
	demands   []messenger.Demand
	leads     bool // this node plans, so its planner wants to hear
	lookedAt  time.Time
	gossipAt  time.Time
	wholeAt   time.Time
	roster    []messenger.Endpoint
}

// NewState returns a tracker that knows no endpoint.
func NewState(cfg Config) State {
	return State{
		cfg:       cfg.WithDefaults(),
		endpoints: immutable.NewSortedMap[string, seen](nil),
		view:      keeper.NewState(),
	}
}

// Interval is how often an endpoint should announce itself, so that all of
// them together stay within the bytes that announcements may cost.
func (s State) Interval() time.Duration {
	needed := time.Duration(s.direct*announcementBytes) * time.Second / time.Duration(s.cfg.Budget)
	return max(s.cfg.LeastInterval, needed)
}

// Step takes one message.
func (s State) Step(now time.Time, body any) (State, []messenger.Message) {
	t := &turn{state: s, now: now}
	switch m := body.(type) {
	case messenger.Announcement:
		t.announce(m)
	case messenger.Gossip:
		t.gossip(m)
	case messenger.View:
		t.state.view = m.State
		t.state.leads = m.Leads
		t.rebuild()
	case messenger.LocalDemand:
		t.state.demands = m.Demands
		t.tellDemands(m.Urgent)
	case messenger.Tick:
		t.tick()
	}
	return t.state, t.Messages
}

// WakeAt is when the tracker wants its next tick.
func (s State) WakeAt(now time.Time) time.Time {
	return messenger.NextTick(now, lookTick)
}

func (s State) withSeen(e seen) State {
	name := e.announcement.Endpoint.Instance
	old, ok := s.endpoints.Get(name)
	if ok && old.direct {
		s.direct--
	}
	if e.direct {
		s.direct++
	}
	s.endpoints = s.endpoints.Set(name, e)
	return s
}

// silentAfter is the age at which an endpoint counts as silent.
func (s State) silentAfter() time.Duration {
	return time.Duration(s.cfg.Silent * float64(s.Interval()))
}
