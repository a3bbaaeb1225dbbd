package planner

import (
	"time"

	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// reconcile proposes the changes that bring the recorded state of the instances
// in line with the endpoints' announcements. It proposes to mark an instance as
// lost if its endpoint has not announced itself for LostAfter.
func (t *transition) reconcile() {
	recent := make(map[string]bool, len(t.state.reports))
	for _, r := range t.state.reports {
		age := r.Age + t.now.Sub(t.state.reportsAt)
		if age > t.state.cfg.LostAfter {
			continue
		}
		recent[r.Announcement.Endpoint.Instance] = true
		t.reconcileReport(r.Announcement)
	}
	if t.now.Sub(t.state.leaderSince) < t.state.cfg.LostAfter {
		return // a new leader may not have heard from every endpoint yet
	}
	for _, i := range t.instances {
		silent := !recent[i.Name] && t.now.Sub(i.Since) > t.state.cfg.LostAfter
		if silent && (i.State == keeper.Serving || i.State == keeper.Draining) {
			t.propose(keeper.Command{Kind: keeper.MarkLost, Instance: i})
		}
	}
}

// reconcileReport proposes the change that follows from one announcement:
// registration of a new incarnation, return of a lost instance, or the end of a
// drain. A drain starts a new epoch. It cannot end before the endpoint announces
// this epoch, because an endpoint in an earlier one may still accept attempts.
func (t *transition) reconcileReport(a messenger.Announcement) {
	e := a.Endpoint
	i, ok := t.state.view.State.Instance(e.Instance)
	if !ok || e.Incarnation > i.Incarnation {
		if a.Leaving {
			return // a leaving endpoint gets no work and is not registered
		}
		t.propose(keeper.Command{Kind: keeper.Register, Instance: keeper.Instance{
			Name:        e.Instance,
			Incarnation: e.Incarnation,
			Zone:        e.Zone,
			Rack:        e.Rack,
			Slots:       e.Slots,
		}})
		return
	}
	if e.Incarnation != i.Incarnation {
		return // an announcement of an earlier incarnation
	}
	switch {
	case i.State == keeper.Lost && !a.Leaving:
		t.propose(keeper.Command{Kind: keeper.Return, Instance: i})
	case i.State == keeper.Draining && a.Empty && e.Epoch == i.Epoch:
		t.propose(keeper.Command{Kind: keeper.Advance, Instance: i})
	}
}

// failOverdueMaintenance proposes to record a failed maintenance for each instance
// that has not returned from maintenance within MaintenanceTimeout.
func (t *transition) failOverdueMaintenance() {
	for _, i := range t.instances {
		overdue := t.now.Sub(i.Since) > t.state.cfg.MaintenanceTimeout
		if i.State == keeper.Maintenance && overdue {
			t.propose(keeper.Command{Kind: keeper.FailMaintenance, Instance: i})
		}
	}
}

// hasRecentProposal reports whether the last proposal for the instance was sent
// less than ProposalTimeout ago, whether or not its result has arrived.
func (t *transition) hasRecentProposal(name string) bool {
	at, ok := t.state.proposedAt.Get(name)
	return ok && t.now.Sub(at) < t.state.cfg.ProposalTimeout
}

// hasRecentAnnouncement reports whether the last announcement of the instance is
// younger than maxAge.
func (t *transition) hasRecentAnnouncement(i keeper.Instance, maxAge time.Duration) bool {
	for _, r := range t.state.reports {
		if r.Announcement.Endpoint.Instance == i.Name {
			return r.Age+t.now.Sub(t.state.reportsAt) < maxAge
		}
	}
	return false
}
