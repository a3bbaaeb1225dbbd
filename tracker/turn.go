package tracker

import (
	"slices"
	"time"

	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// lookPerEndpoint bounds the time spent on looks in a large fleet.
const lookPerEndpoint = 250 * time.Microsecond

// forgetAfter is how long a silent endpoint is remembered.
const forgetAfter = 10 * time.Minute

type turn struct {
	messenger.Outbox
	state State
	now   time.Time
}

// announce takes an endpoint's own word.
func (t *turn) announce(a messenger.Announcement) {
	old, known := t.state.endpoints.Get(a.Endpoint.Instance)
	if known && old.announcement.Endpoint.Incarnation > a.Endpoint.Incarnation {
		return // a late word of a former life
	}
	e := seen{announcement: a, heardAt: t.now, direct: true}
	e.dirty = old.dirty || a.InUse != old.announcement.InUse
	t.state = t.state.withSeen(e)
	if !known || changed(old.announcement, a) || t.isSilent(old) {
		t.tell(messenger.Gossip{Reports: []messenger.Report{{Announcement: a}}})
		t.rebuild()
	}
	t.tellLoad(a)
}

// changed tells whether others must hear of it at once.
func changed(old, fresh messenger.Announcement) bool {
	return old.Leaving != fresh.Leaving || old.Empty != fresh.Empty || old.Endpoint != fresh.Endpoint
}

// gossip takes the word of another entry instance.
func (t *turn) gossip(g messenger.Gossip) {
	rebuild := false
	for _, r := range g.Reports {
		rebuild = t.report(r) || rebuild
	}
	if rebuild {
		t.rebuild()
	}
	if g.Demands != nil || g.Whole {
		t.Send(messenger.Admitter, messenger.Peers{From: g.From, Demands: g.Demands})
	}
}

func (t *turn) report(r messenger.Report) bool {
	name := r.Announcement.Endpoint.Instance
	at := t.now.Add(-r.Age)
	old, known := t.state.endpoints.Get(name)
	before := old.announcement.Endpoint.Incarnation
	fresh := r.Announcement.Endpoint.Incarnation
	if known && (fresh < before || (fresh == before && !at.After(old.heardAt))) {
		return false
	}
	wasSilent := known && t.isSilent(old)
	direct := old.direct && t.now.Sub(old.heardAt) < t.state.silentAfter()
	t.state = t.state.withSeen(seen{announcement: r.Announcement, heardAt: at, direct: direct})
	t.tellLoad(r.Announcement)
	return !known || wasSilent || changed(old.announcement, r.Announcement)
}

func (t *turn) tellLoad(a messenger.Announcement) {
	t.Send(messenger.Placer, messenger.Load{Instance: a.Endpoint.Instance, InUse: a.InUse, Leaving: a.Leaving})
}

func (t *turn) isSilent(e seen) bool {
	return t.now.Sub(e.heardAt) > t.state.silentAfter()
}

// rebuild makes the roster anew and tells it if it changed.
func (t *turn) rebuild() {
	var roster []messenger.Endpoint
	for it := t.state.endpoints.Iterator(); !it.Done(); {
		_, e, _ := it.Next()
		endpoint, ok := t.usable(e)
		if ok {
			roster = append(roster, endpoint)
		}
	}
	if slices.Equal(roster, t.state.roster) {
		return
	}
	t.state.roster = roster
	t.Send(messenger.Placer, messenger.Roster{Endpoints: roster})
	t.Send(messenger.Admitter, messenger.Roster{Endpoints: roster})
}

// usable returns the endpoint under its present pool and epoch if it may get work.
func (t *turn) usable(e seen) (messenger.Endpoint, bool) {
	endpoint := e.announcement.Endpoint
	i, ok := t.state.view.Instance(endpoint.Instance)
	if !ok || i.Place != keeper.Serving || i.Incarnation != endpoint.Incarnation {
		return endpoint, false
	}
	if e.announcement.Leaving || t.isSilent(e) {
		return endpoint, false
	}
	endpoint.Pool = i.Pool
	endpoint.Epoch = i.Epoch
	return endpoint, true
}

func (t *turn) tick() {
	if t.now.Sub(t.state.lookedAt) >= lookPerEndpoint*time.Duration(t.state.endpoints.Len()) {
		t.state.lookedAt = t.now
		t.look()
	}
	if t.now.Sub(t.state.wholeAt) >= t.state.cfg.WholeEvery {
		t.state.wholeAt = t.now
		t.tellWhole()
		return
	}
	if t.now.Sub(t.state.gossipAt) >= t.state.cfg.GossipEvery {
		t.state.gossipAt = t.now
		t.tellDirty()
	}
}

// look finds what fell silent.
func (t *turn) look() {
	t.forget()
	t.rebuild()
	if t.state.leads {
		t.tellPlanner()
	}
	t.Send(messenger.Announcer, messenger.Interval{Every: t.state.Interval()})
}

func (t *turn) forget() {
	for it := t.state.endpoints.Iterator(); !it.Done(); {
		name, e, _ := it.Next()
		if t.now.Sub(e.heardAt) > forgetAfter {
			e.direct = false
			t.state = t.state.withSeen(e)
			t.state.endpoints = t.state.endpoints.Delete(name)
		}
	}
}

func (t *turn) tellPlanner() {
	reports := make([]messenger.Report, 0, t.state.endpoints.Len())
	for it := t.state.endpoints.Iterator(); !it.Done(); {
		_, e, _ := it.Next()
		reports = append(reports, messenger.Report{Announcement: e.announcement, Age: t.now.Sub(e.heardAt)})
	}
	t.Send(messenger.Planner, messenger.Heard{Reports: reports})
}

// tellWhole tells the others all endpoints that announce themselves here.
func (t *turn) tellWhole() {
	var reports []messenger.Report
	for it := t.state.endpoints.Iterator(); !it.Done(); {
		_, e, _ := it.Next()
		if e.direct {
			reports = append(reports, messenger.Report{Announcement: e.announcement, Age: t.now.Sub(e.heardAt)})
		}
	}
	t.tell(messenger.Gossip{Reports: reports, Demands: t.state.demands, Whole: true})
}

// tellDirty tells the others the loads that changed, and that the rest is alive, within the budget.
func (t *turn) tellDirty() {
	var reports []messenger.Report
	for it := t.state.endpoints.Iterator(); !it.Done(); {
		_, e, _ := it.Next()
		if !e.direct || len(reports) >= t.state.cfg.GossipBudget {
			continue
		}
		if !e.dirty && t.state.direct > t.state.cfg.GossipBudget {
			continue
		}
		reports = append(reports, messenger.Report{Announcement: e.announcement, Age: t.now.Sub(e.heardAt)})
		e.dirty = false
		t.state = t.state.withSeen(e)
	}
	if len(reports) > 0 {
		t.tell(messenger.Gossip{Reports: reports})
	}
}

// tellDemands tells the others the demand; it comes here only when it changed or is due again.
func (t *turn) tellDemands(urgent bool) {
	demands := t.state.demands
	if demands == nil {
		demands = []messenger.Demand{}
	}
	t.tell(messenger.Gossip{Demands: demands, Urgent: urgent})
}

func (t *turn) tell(g messenger.Gossip) {
	g.From = t.state.cfg.Name
	t.Send(messenger.Courier, g)
}
