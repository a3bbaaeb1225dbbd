package planner

import (
	"time"

	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// followReports brings the places in line with what the endpoints say.
func (t *turn) followReports() {
	heard := make(map[string]bool, len(t.state.reports))
	for _, r := range t.state.reports {
		age := r.Age + t.now.Sub(t.state.heardAt)
		if age > t.state.cfg.LostAfter {
			continue
		}
		heard[r.Announcement.Endpoint.Instance] = true
		t.followReport(r.Announcement)
	}
	if t.now.Sub(t.state.leadsAt) < t.state.cfg.LostAfter {
		return // a new leader has not heard everybody yet
	}
	for _, i := range t.instances {
		silent := !heard[i.Name] && t.now.Sub(i.Since) > t.state.cfg.LostAfter
		if silent && (i.Place == keeper.Serving || i.Place == keeper.Draining) {
			t.propose(keeper.Command{Kind: keeper.MarkLost, Instance: i})
		}
	}
}

func (t *turn) followReport(a messenger.Announcement) {
	e := a.Endpoint
	i, ok := t.state.view.State.Instance(e.Instance)
	if !ok || e.Incarnation > i.Incarnation {
		if a.Leaving {
			return
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
		return
	}
	switch {
	case i.Place == keeper.Lost && !a.Leaving:
		t.propose(keeper.Command{Kind: keeper.Return, Instance: i})
	case i.Place == keeper.Draining && a.Empty && e.Epoch == i.Epoch:
		t.propose(keeper.Command{Kind: keeper.Advance, Instance: i})
	}
}

// failReboots reports instances that do not come back from their maintenance.
func (t *turn) failReboots() {
	for _, i := range t.instances {
		late := t.now.Sub(i.Since) > t.state.cfg.RebootLimit
		if i.Place == keeper.Maintenance && late {
			t.propose(keeper.Command{Kind: keeper.FailWave, Instance: i})
		}
	}
}

// pendingAt tells whether an instance has a proposal on its way.
func (t *turn) pendingAt(name string) bool {
	at, ok := t.state.proposed.Get(name)
	return ok && t.now.Sub(at) < t.state.cfg.ProposalWait
}

// isHealthy tells whether a lately heard endpoint stands behind the instance.
func (t *turn) isHealthy(i keeper.Instance, bound time.Duration) bool {
	for _, r := range t.state.reports {
		if r.Announcement.Endpoint.Instance == i.Name {
			return r.Age+t.now.Sub(t.state.heardAt) < bound
		}
	}
	return false
}
