package tracker

import (
	"slices"
	"time"

	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// scanIntervalPerEndpoint, times the number of known endpoints, is the minimum time
// between two scans. It limits the time spent on scans in a large fleet.
const scanIntervalPerEndpoint = 250 * time.Microsecond

// endpointRetention is the time after the last announcement at which an endpoint
// is removed.
const endpointRetention = 10 * time.Minute

// transition collects the new state and the outgoing messages of one step.
type transition struct {
	messenger.Outbox
	state State
	now   time.Time
}

// mergeAnnouncement stores an announcement that an endpoint sent to this entry
// instance. Changes of more than the load are gossiped without waiting for the
// gossip interval.
func (t *transition) mergeAnnouncement(a messenger.Announcement) {
	old, known := t.state.endpoints.Get(a.Endpoint.Instance)
	if known && old.announcement.Endpoint.Incarnation > a.Endpoint.Incarnation {
		return // a delayed announcement of an earlier incarnation
	}
	e := endpointState{announcement: a, announcedAt: t.now, direct: true}
	e.loadChanged = old.loadChanged || a.InUse != old.announcement.InUse
	t.state = t.state.withEndpoint(e)
	if !known || needsImmediateGossip(old.announcement, a) || t.isSilent(old) {
		t.sendGossip(messenger.Gossip{Reports: []messenger.EndpointReport{{Announcement: a}}})
		t.updateAvailable()
	}
	t.sendLoad(a)
}

// needsImmediateGossip reports whether an announcement differs from the last one
// in more than its load. Such a change may add or remove an available endpoint or
// end a drain.
func needsImmediateGossip(old, current messenger.Announcement) bool {
	return old.Leaving != current.Leaving || old.Empty != current.Empty || old.Endpoint != current.Endpoint
}

// mergeGossip merges a gossip message of another entry instance. A full message
// always reports the demand: without any demands, it reports that there is none.
func (t *transition) mergeGossip(g messenger.Gossip) {
	changed := false
	for _, r := range g.Reports {
		changed = t.mergeReport(r) || changed
	}
	if changed {
		t.updateAvailable()
	}
	if g.Demands != nil || g.Full {
		t.Send(messenger.Admitter, messenger.PeerDemand{From: g.From, Demands: g.Demands})
	}
}

// mergeReport stores an announcement that another entry instance received,
// unless a newer one is known. It reports whether the available endpoints may
// have changed.
func (t *transition) mergeReport(r messenger.EndpointReport) bool {
	name := r.Announcement.Endpoint.Instance
	announcedAt := t.now.Add(-r.Age)
	old, known := t.state.endpoints.Get(name)
	oldIncarnation := old.announcement.Endpoint.Incarnation
	newIncarnation := r.Announcement.Endpoint.Incarnation
	if known && (newIncarnation < oldIncarnation || (newIncarnation == oldIncarnation && !announcedAt.After(old.announcedAt))) {
		return false
	}
	wasSilent := known && t.isSilent(old)
	// After a silence, an endpoint that appears by gossip is assumed to announce
	// itself to another entry instance now.
	direct := old.direct && t.now.Sub(old.announcedAt) < t.state.silenceTimeout()
	t.state = t.state.withEndpoint(endpointState{announcement: r.Announcement, announcedAt: announcedAt, direct: direct})
	t.sendLoad(r.Announcement)
	return !known || wasSilent || needsImmediateGossip(old.announcement, r.Announcement)
}

// sendLoad sends the load of an endpoint to the placer.
func (t *transition) sendLoad(a messenger.Announcement) {
	t.Send(messenger.Placer, messenger.EndpointLoad{Instance: a.Endpoint.Instance, InUse: a.InUse, Leaving: a.Leaving})
}

// isSilent reports whether an endpoint gets no new work because its last
// announcement is too old.
func (t *transition) isSilent(e endpointState) bool {
	return t.now.Sub(e.announcedAt) > t.state.silenceTimeout()
}

// updateAvailable determines the available endpoints again and sends them to the
// placer and the admitter if they have changed.
func (t *transition) updateAvailable() {
	var available []messenger.Endpoint
	for it := t.state.endpoints.Iterator(); !it.Done(); {
		_, e, _ := it.Next()
		endpoint, ok := t.availableEndpoint(e)
		if ok {
			available = append(available, endpoint)
		}
	}
	if slices.Equal(available, t.state.available) {
		return
	}
	t.state.available = available
	t.Send(messenger.Placer, messenger.AvailableEndpoints{Endpoints: available})
	t.Send(messenger.Admitter, messenger.AvailableEndpoints{Endpoints: available})
}

// availableEndpoint returns the endpoint with the pool and epoch of its instance,
// and whether it is available: its instance is registered as serving with the same
// incarnation, and the endpoint is neither leaving nor silent.
func (t *transition) availableEndpoint(e endpointState) (messenger.Endpoint, bool) {
	endpoint := e.announcement.Endpoint
	i, ok := t.state.declared.Instance(endpoint.Instance)
	if !ok || i.State != keeper.Serving || i.Incarnation != endpoint.Incarnation {
		return endpoint, false
	}
	if e.announcement.Leaving || t.isSilent(e) {
		return endpoint, false
	}
	endpoint.Pool = i.Pool
	endpoint.Epoch = i.Epoch
	return endpoint, true
}

// tick scans the endpoints if a scan is due. Then it gossips the full state if that
// is due, or else the loads if they are due.
func (t *transition) tick() {
	if t.now.Sub(t.state.scannedAt) >= scanIntervalPerEndpoint*time.Duration(t.state.endpoints.Len()) {
		t.state.scannedAt = t.now
		t.scan()
	}
	if t.now.Sub(t.state.fullGossipAt) >= t.state.cfg.FullGossipInterval {
		t.state.fullGossipAt = t.now
		t.gossipAll()
		return
	}
	if t.now.Sub(t.state.gossipAt) >= t.state.cfg.GossipInterval {
		t.state.gossipAt = t.now
		t.gossipLoads()
	}
}

// scan removes expired endpoints and makes silent ones unavailable. It sends the
// reports to the planner on the leader, and the announcement interval to the
// announcer.
func (t *transition) scan() {
	t.removeExpired()
	t.updateAvailable()
	if t.state.isLeader {
		t.sendReports()
	}
	t.Send(messenger.Announcer, messenger.AnnounceInterval{Interval: t.state.Interval()})
}

// removeExpired removes the endpoints without an announcement for
// endpointRetention.
func (t *transition) removeExpired() {
	for it := t.state.endpoints.Iterator(); !it.Done(); {
		name, e, _ := it.Next()
		if t.now.Sub(e.announcedAt) > endpointRetention {
			e.direct = false // withEndpoint subtracts it from directCount
			t.state = t.state.withEndpoint(e)
			t.state.endpoints = t.state.endpoints.Delete(name)
		}
	}
}

// sendReports sends a report on every known endpoint to the planner.
func (t *transition) sendReports() {
	reports := make([]messenger.EndpointReport, 0, t.state.endpoints.Len())
	for it := t.state.endpoints.Iterator(); !it.Done(); {
		_, e, _ := it.Next()
		reports = append(reports, messenger.EndpointReport{Announcement: e.announcement, Age: t.now.Sub(e.announcedAt)})
	}
	t.Send(messenger.Planner, messenger.EndpointReports{Reports: reports})
}

// gossipAll gossips the full state: all endpoints that announce themselves to this
// entry instance, and its demand.
func (t *transition) gossipAll() {
	var reports []messenger.EndpointReport
	for it := t.state.endpoints.Iterator(); !it.Done(); {
		_, e, _ := it.Next()
		if e.direct {
			reports = append(reports, messenger.EndpointReport{Announcement: e.announcement, Age: t.now.Sub(e.announcedAt)})
		}
	}
	t.sendGossip(messenger.Gossip{Reports: reports, Demands: t.state.demands, Full: true})
}

// gossipLoads gossips up to MaxGossipReports endpoints that announce themselves
// to this entry instance. If there are more, only those with a changed load are
// included, in turn, beginning after the last one of the previous message; otherwise
// all are, which also shows the other entry instances that the endpoints are alive.
func (t *transition) gossipLoads() {
	var reports []messenger.EndpointReport
	for _, e := range t.directInTurn() {
		if len(reports) >= t.state.cfg.MaxGossipReports {
			break
		}
		if !e.loadChanged && t.state.directCount > t.state.cfg.MaxGossipReports {
			continue
		}
		reports = append(reports, messenger.EndpointReport{Announcement: e.announcement, Age: t.now.Sub(e.announcedAt)})
		e.loadChanged = false
		t.state = t.state.withEndpoint(e)
		t.state.gossipedUpTo = e.announcement.Endpoint.Instance
	}
	if len(reports) > 0 {
		t.sendGossip(messenger.Gossip{Reports: reports})
	}
}

// directInTurn returns the endpoints that announce themselves to this entry instance by name, beginning with the first
// after gossipedUpTo.
func (t *transition) directInTurn() []endpointState {
	var after, upTo []endpointState
	for it := t.state.endpoints.Iterator(); !it.Done(); {
		name, e, _ := it.Next()
		switch {
		case !e.direct:
		case name > t.state.gossipedUpTo:
			after = append(after, e)
		default:
			upTo = append(upTo, e)
		}
	}
	return append(after, upTo...)
}

// gossipDemands gossips the demand. It does not limit the rate, since the admitter
// reports the demand only when it has changed or a periodic report is due.
func (t *transition) gossipDemands(urgent bool) {
	demands := t.state.demands
	if demands == nil {
		demands = []messenger.Demand{} // nil would mean that the gossip is not about demand
	}
	t.sendGossip(messenger.Gossip{Demands: demands, Urgent: urgent})
}

// sendGossip sends a gossip message to the other entry instances through the courier.
func (t *transition) sendGossip(g messenger.Gossip) {
	g.From = t.state.cfg.Name
	t.Send(messenger.Courier, g)
}
