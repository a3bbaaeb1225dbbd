// Package tracker keeps the membership of endpoints, from their announcements
// and from gossip with other entry instances. From the members it derives the
// available endpoints, which may get work.
package tracker

import (
	"time"

	"github.com/benbjohnson/immutable"

	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// Config configures a tracker.
type Config struct {
	Name               string        // name of this entry instance
	MinInterval        time.Duration // minimum time between two announcements of an endpoint
	SilentIntervals    float64       // number of missed announcement intervals after which an endpoint gets no new work
	AnnouncementBudget int           // bytes per second that announcements to this entry instance may use, replies included
	GossipInterval     time.Duration // minimum time between two gossip messages with loads
	MaxGossipReports   int           // maximum number of reports in a gossip message with loads
	FullGossipInterval time.Duration // minimum time between two gossip messages with the full state
}

// tickInterval is the time between two ticks.
const tickInterval = 200 * time.Millisecond

// announcementBytes is the size of one announcement and its reply on the wire, in
// bytes.
const announcementBytes = 700

// WithDefaults returns the configuration with defaults for all fields that are zero.
func (cfg Config) WithDefaults() Config {
	if cfg.MinInterval == 0 {
		cfg.MinInterval = time.Second
	}
	if cfg.SilentIntervals == 0 {
		cfg.SilentIntervals = 3.5
	}
	if cfg.AnnouncementBudget == 0 {
		cfg.AnnouncementBudget = 10_000
	}
	if cfg.GossipInterval == 0 {
		cfg.GossipInterval = time.Second
	}
	if cfg.MaxGossipReports == 0 {
		cfg.MaxGossipReports = 100
	}
	if cfg.FullGossipInterval == 0 {
		cfg.FullGossipInterval = 30 * time.Second
	}
	return cfg
}

// endpointState is the last announcement of an endpoint, received directly or
// through another entry instance.
type endpointState struct {
	announcement messenger.Announcement
	announcedAt  time.Time // when an entry instance received the announcement; estimated from its age if it came by gossip
	direct       bool      // the endpoint announces itself to this entry instance
	loadChanged  bool      // the load has changed since it was last gossiped
}

// State is the immutable state of a tracker.
type State struct {
	cfg          Config
	endpoints    *immutable.SortedMap[string, endpointState] // by instance name
	declared     keeper.State                                // supplies the state, incarnation, pool and epoch of each instance
	directCount  int                                         // number of endpoints that announce themselves to this entry instance
	demands      []messenger.Demand                          // last demand reported by the admitter
	isLeader     bool                                        // this node leads the declarations log, so its planner needs the reports
	scannedAt    time.Time                                   // time of the last scan
	gossipedUpTo string                                      // name of the last endpoint in the last gossip message with loads
	gossipAt     time.Time                                   // time of the last gossip message with loads
	fullGossipAt time.Time                                   // time of the last gossip message with the full state
	available    []messenger.Endpoint                        // last sent to the placer and the admitter
}

// NewState returns a tracker without endpoints.
func NewState(cfg Config) State {
	return State{
		cfg:       cfg.WithDefaults(),
		endpoints: immutable.NewSortedMap[string, endpointState](nil),
		declared:  keeper.NewState(),
	}
}

// Interval returns the time between two announcements of an endpoint. It grows
// with the number of endpoints that announce themselves to this entry instance, so
// that all of them together stay within the announcement budget.
func (s State) Interval() time.Duration {
	needed := time.Duration(s.directCount*announcementBytes) * time.Second / time.Duration(s.cfg.AnnouncementBudget)
	return max(s.cfg.MinInterval, needed)
}

// Step handles one message and returns the new state and the messages to send.
func (s State) Step(now time.Time, body any) (State, []messenger.Message) {
	t := &transition{state: s, now: now}
	switch m := body.(type) {
	case messenger.Announcement:
		t.mergeAnnouncement(m)
	case messenger.Gossip:
		t.mergeGossip(m)
	case messenger.DeclarationsView:
		t.state.declared = m.State
		t.state.isLeader = m.IsLeader
		t.updateAvailable()
	case messenger.LocalDemand:
		t.state.demands = m.Demands
		t.gossipDemands(m.Urgent)
	case messenger.Tick:
		t.tick()
	}
	return t.state, t.Messages
}

// WakeAt returns the time of the next tick.
func (s State) WakeAt(now time.Time) time.Time {
	return messenger.NextTick(now, tickInterval)
}

// withEndpoint stores the state of an endpoint and updates directCount.
func (s State) withEndpoint(e endpointState) State {
	name := e.announcement.Endpoint.Instance
	old, ok := s.endpoints.Get(name)
	if ok && old.direct {
		s.directCount--
	}
	if e.direct {
		s.directCount++
	}
	s.endpoints = s.endpoints.Set(name, e)
	return s
}

// silenceTimeout returns the time without an announcement after which an
// endpoint counts as silent.
func (s State) silenceTimeout() time.Duration {
	return time.Duration(s.cfg.SilentIntervals * float64(s.Interval()))
}
