package admitter

import (
	"time"

	"github.com/benbjohnson/immutable"

	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// remoteDemandTTL is the time after which the demand of an entry instance that
// sends no reports is dropped.
const remoteDemandTTL = 3 * time.Second

// reportInterval is the interval at which an unchanged demand is reported again.
const reportInterval = time.Second

// A rise in the number of slots in use is reported without waiting for the next
// tick, since a flood of requests can fill a pool within 30 ms. minRiseInterval is
// the minimum time between such a report and the report before it. minReportedRise
// is the minimum rise since the last report, in slots.
const (
	minRiseInterval = 20 * time.Millisecond
	minReportedRise = 2
)

// State is the immutable state of an admitter.
type State struct {
	cfg           Config
	services      *immutable.SortedMap[string, service]
	pools         *immutable.SortedMap[string, pool]
	remotes       *immutable.SortedMap[string, remoteDemand] // by entry instance
	queueKeys     *immutable.Map[uint64, queueKey]           // queue of each waiting request, by request ID
	declared      keeper.State                               // supplies the customers' weights
	admittedCount uint64                                     // number of requests admitted so far
	reported      []messenger.Demand                         // last demand reported to the tracker
	reportedAt    time.Time
	idle          bool // no demand at any entry instance at the last tick; cleared by any message except a peer's report of no demand
}

// pool holds the capacity and the usage of one pool.
type pool struct {
	name      string
	capacity  int     // slots of the available endpoints
	lendable  bool    // idle slots may be lent to services of other pools
	inUse     int     // slots that requests of this entry instance use
	idleSlots float64 // slots that the pool's own services do not need
}

// queueKey identifies a queue.
type queueKey struct {
	service  string
	customer string
}

// NewState returns an admitter without services, pools and requests.
func NewState(cfg Config) State {
	return State{
		cfg:       cfg.WithDefaults(),
		services:  immutable.NewSortedMap[string, service](nil),
		pools:     immutable.NewSortedMap[string, pool](nil),
		remotes:   immutable.NewSortedMap[string, remoteDemand](nil),
		queueKeys: immutable.NewMap[uint64, queueKey](nil),
		declared:  keeper.NewState(),
	}
}

// Step handles one message and returns the new state and the messages to send.
func (s State) Step(now time.Time, body any) (State, []messenger.Message) {
	t := &transition{state: s, now: now}
	t.state.idle = false
	switch m := body.(type) {
	case messenger.RequestArrived:
		t.arrive(m)
	case messenger.CallerDisconnected:
		t.cancel(m)
	case messenger.ReleaseSlot:
		t.release(m)
	case messenger.DeclarationsView:
		t.state = t.state.withView(m.State).recomputeLimits()
		t.admitAll()
	case messenger.AvailableEndpoints:
		t.state = t.state.withEndpoints(m).recomputeLimits()
		t.admitAll()
	case messenger.PeerDemand:
		t.state.remotes = t.state.remotes.Set(m.From, remoteDemand{instance: m.From, receivedAt: now, demands: m.Demands})
		t.state.idle = s.idle && len(m.Demands) == 0
	case messenger.Tick:
		t.tick()
	}
	return t.state, t.Messages
}

// WakeAt returns the time of the next tick. Ticks are less frequent while there
// is no demand.
func (s State) WakeAt(now time.Time) time.Time {
	every := s.cfg.Tick
	if s.idle {
		every = reportInterval
	}
	return messenger.NextTick(now, every)
}

// isIdle reports whether there is no demand at any entry instance and there has
// been none recently.
func (s State) isIdle() bool {
	for _, v := range s.serviceList() {
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

// withView updates services and pools from the declarations. Services and pools
// that are no longer declared stay.
func (s State) withView(view keeper.State) State {
	s.declared = view
	for _, d := range view.Declarations().Services {
		v, ok := s.services.Get(d.Name)
		if !ok {
			v = newService(d.Name)
		}
		v.homePool = d.Pool
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

// withEndpoints sets the capacity of each pool to the slots of its endpoints.
func (s State) withEndpoints(available messenger.AvailableEndpoints) State {
	capacity := make(map[string]int)
	for _, e := range available.Endpoints {
		capacity[e.Pool] += e.Slots
	}
	for _, p := range s.poolList() {
		p.capacity = capacity[p.name]
		s.pools = s.pools.Set(p.name, p)
	}
	return s
}

func (s State) serviceList() []service { return values(s.services) }

func (s State) poolList() []pool { return values(s.pools) }

func (s State) remoteList() []remoteDemand { return values(s.remotes) }

// values returns the values of a map in the order of their keys.
func values[V any](m *immutable.SortedMap[string, V]) []V {
	out := make([]V, 0, m.Len())
	for it := m.Iterator(); !it.Done(); {
		_, v, _ := it.Next()
		out = append(out, v)
	}
	return out
}

// withoutExpiredRemotes drops the reports older than remoteDemandTTL.
func (s State) withoutExpiredRemotes(now time.Time) State {
	for _, r := range s.remoteList() {
		if now.Sub(r.receivedAt) > remoteDemandTTL {
			s.remotes = s.remotes.Delete(r.instance)
		}
	}
	return s
}

// Demands returns the demand of this entry instance by service and pool, as it
// is reported to the other entry instances.
func (s State) Demands() []messenger.Demand {
	var out []messenger.Demand
	for _, v := range s.serviceList() {
		if v.waiting > 0 {
			out = append(out, messenger.Demand{Service: v.name, Pool: v.homePool, Waiting: v.waiting})
		}
		for _, u := range v.usages {
			if u.inUse > 0 {
				out = append(out, messenger.Demand{Service: v.name, Pool: u.pool, InUse: u.inUse})
			}
		}
	}
	return out
}
