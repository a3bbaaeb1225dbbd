package admitter

import (
	"time"

	"github.com/benbjohnson/immutable"

	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// remoteRetention is how long the demand of a silent instance counts.
const remoteRetention = 3 * time.Second

// tellEvery is how often an unchanged demand is told again.
const tellEvery = time.Second

// riseEvery is the least time between two reports of a demand that rises, and
// leastRise how many slots more than told it is.
const (
	riseEvery = 20 * time.Millisecond
	leastRise = 2
)

// State is the immutable value of an admitter.
type State struct {
	cfg      Config
	services *immutable.SortedMap[string, service]
	pools    *immutable.SortedMap[string, pool]
	remotes  *immutable.SortedMap[string, remoteDemand]
	waiting  *immutable.Map[uint64, place] // where a request waits
	weights  keeper.State                  // for the customers' weights
	picks    uint64
	told     []messenger.Demand // to the tracker
	toldAt   time.Time
	quiet    bool // since the last tick there was no demand here or elsewhere
}

// pool is what the admitter knows of a pool.
type pool struct {
	name     string
	capacity int // slots of the endpoints that are up
	lendable bool
	inUse    int     // slots that this instance uses
	left     float64 // slots that its own services do not need
}

type place struct {
	service  string
	customer string
}

// NewState returns an empty admitter.
func NewState(cfg Config) State {
	return State{
		cfg:      cfg.WithDefaults(),
		services: immutable.NewSortedMap[string, service](nil),
		pools:    immutable.NewSortedMap[string, pool](nil),
		remotes:  immutable.NewSortedMap[string, remoteDemand](nil),
		waiting:  immutable.NewMap[uint64, place](nil),
		weights:  keeper.NewState(),
	}
}

// Step takes one message.
func (s State) Step(now time.Time, body any) (State, []messenger.Message) {
	t := &turn{state: s, now: now}
	t.state.quiet = false
	switch m := body.(type) {
	case messenger.Arrive:
		t.arrive(m)
	case messenger.Cancel:
		t.cancel(m)
	case messenger.Release:
		t.release(m)
	case messenger.View:
		t.state = t.state.withView(m.State).recompute()
		t.pumpAll()
	case messenger.Roster:
		t.state = t.state.withRoster(m).recompute()
		t.pumpAll()
	case messenger.Peers:
		t.state.remotes = t.state.remotes.Set(m.From, remoteDemand{from: m.From, at: now, demands: m.Demands})
		t.state.quiet = s.quiet && len(m.Demands) == 0
	case messenger.Tick:
		t.tick()
	}
	return t.state, t.Messages
}

// WakeAt is when the admitter wants its next tick: seldom while there is no demand.
func (s State) WakeAt(now time.Time) time.Time {
	every := s.cfg.Tick
	if s.quiet {
		every = tellEvery
	}
	return messenger.NextTick(now, every)
}

// isQuiet tells whether there is no demand here or elsewhere, nor was any lately.
func (s State) isQuiet() bool {
	for _, v := range s.all() {
		if v.meanDemand > 0 || v.queues.Len() > 0 || s.homeDemand(v) > 0 {
			return false
		}
	}
	return len(s.Demands()) == 0
}

func (s State) withService(v service) State {
	s.services = s.services.Set(v.name, v)
	return s
}

func (s State) withView(view keeper.State) State {
	s.weights = view
	for _, d := range view.Declarations().Services {
		v, ok := s.services.Get(d.Name)
		if !ok {
			v = newService(d.Name)
		}
		v.home = d.Pool
		v.share = max(d.Share, 1)
		v.maxRun = d.MaxRun
		s = s.withService(v)
	}
	for _, d := range view.Declarations().Pools {
		p, _ := s.pools.Get(d.Name)
		p.name = d.Name
		p.lendable = d.Lendable
		s.pools = s.pools.Set(d.Name, p)
	}
	return s
}

func (s State) withRoster(roster messenger.Roster) State {
	capacity := make(map[string]int)
	for _, e := range roster.Endpoints {
		capacity[e.Pool] += e.Slots
	}
	for _, p := range s.poolList() {
		p.capacity = capacity[p.name]
		s.pools = s.pools.Set(p.name, p)
	}
	return s
}

func (s State) all() []service { return values(s.services) }

func (s State) poolList() []pool { return values(s.pools) }

func (s State) remote() []remoteDemand { return values(s.remotes) }

// values are the values of a map by the order of its keys.
func values[V any](m *immutable.SortedMap[string, V]) []V {
	out := make([]V, 0, m.Len())
	for it := m.Iterator(); !it.Done(); {
		_, v, _ := it.Next()
		out = append(out, v)
	}
	return out
}

func (s State) withoutSilent(now time.Time) State {
	for _, r := range s.remote() {
		if now.Sub(r.at) > remoteRetention {
			s.remotes = s.remotes.Delete(r.from)
		}
	}
	return s
}

// Demands is what this instance asks for, for the other instances.
func (s State) Demands() []messenger.Demand {
	var out []messenger.Demand
	for _, v := range s.all() {
		if v.waiting > 0 {
			out = append(out, messenger.Demand{Service: v.name, Pool: v.home, Waiting: v.waiting})
		}
		for _, u := range v.uses {
			if u.inUse > 0 {
				out = append(out, messenger.Demand{Service: v.name, Pool: u.pool, InUse: u.inUse})
			}
		}
	}
	return out
}
