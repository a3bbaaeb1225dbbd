package planner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

var start = time.Unix(100_000, 0)

// newFleetView returns a view in which pool p has two instances and a declared
// size of three, and pool q has two instances and a declared size of one. The
// instances of each pool are in two racks.
func newFleetView(change func(*keeper.Snapshot)) messenger.DeclarationsView {
	snapshot := keeper.Snapshot{
		Revision: 1,
		Declarations: keeper.Declarations{
			Pools:     []keeper.Pool{{Name: "p", Size: 3}, {Name: "q", Size: 1}},
			Services:  []keeper.Service{{Name: "v", Pool: "p", Share: 1}},
			Customers: []keeper.Customer{{Name: "c", Token: "t", Weight: 1, Services: []string{"v"}, Budget: keeper.Budget{MaxDown: 2, Window: time.Hour}}},
		},
		Instances: []keeper.Instance{
			{Name: "a", Incarnation: 1, Rack: "r0", State: keeper.Serving, Pool: "p", Epoch: 1, Since: start},
			{Name: "b", Incarnation: 1, Rack: "r1", State: keeper.Serving, Pool: "p", Epoch: 1, Since: start},
			{Name: "c", Incarnation: 1, Rack: "r0", State: keeper.Serving, Pool: "q", Epoch: 1, Since: start},
			{Name: "d", Incarnation: 1, Rack: "r2", State: keeper.Serving, Pool: "q", Epoch: 1, Since: start},
		},
	}
	if change != nil {
		change(&snapshot)
	}
	return messenger.DeclarationsView{State: keeper.FromSnapshot(snapshot), IsLeader: true}
}

// reportsFrom returns fresh announcements of the named instances.
func reportsFrom(incarnation, epoch uint64, empty bool, names ...string) messenger.EndpointReports {
	var out messenger.EndpointReports
	for _, name := range names {
		out.Reports = append(out.Reports, messenger.EndpointReport{Announcement: messenger.Announcement{
			Empty: empty, Endpoint: messenger.Endpoint{Instance: name, Incarnation: incarnation, Epoch: epoch},
		}})
	}
	return out
}

// TestPlan checks the proposals of two planning rounds. The first is more than
// LostAfter after the node became the leader, since no instance is marked lost
// before that. The second is more than MoveDelay after the first.
func TestPlan(t *testing.T) {
	all := reportsFrom(1, 1, false, "a", "b", "c", "d")
	tests := map[string]struct {
		change   func(*keeper.Snapshot)
		reports  messenger.EndpointReports
		follower bool // this node is not the leader
		want     map[string]keeper.Kind
		target   string
	}{
		"follower proposes nothing": {reports: reportsFrom(1, 1, false), follower: true, want: map[string]keeper.Kind{}},
		"instance without announcements is marked lost": {
			reports: reportsFrom(1, 1, false, "a", "b", "c"),
			want:    map[string]keeper.Kind{"d": keeper.MarkLost},
		},
		"unknown instance is registered": {
			change:  func(s *keeper.Snapshot) { s.Declarations.Pools[0].Size = 2 },
			reports: reportsFrom(1, 1, false, "a", "b", "c", "d", "e"),
			want:    map[string]keeper.Kind{"e": keeper.Register},
		},
		"lost instance returns": {
			change:  func(s *keeper.Snapshot) { s.Instances[0].State, s.Declarations.Pools[0].Size = keeper.Lost, 2 },
			reports: all,
			want:    map[string]keeper.Kind{"a": keeper.Return},
		},
		"drained instance advances": {
			change:  func(s *keeper.Snapshot) { s.Instances[0].State, s.Declarations.Pools[0].Size = keeper.Draining, 2 },
			reports: reportsFrom(1, 1, true, "a", "b", "c", "d"),
			want:    map[string]keeper.Kind{"a": keeper.Advance},
		},
		"instance that was empty in an old epoch does not advance": {
			change: func(s *keeper.Snapshot) {
				s.Instances[0].State, s.Instances[0].Epoch = keeper.Draining, 2
				s.Declarations.Pools[0].Size = 2
			},
			reports: reportsFrom(1, 1, true, "a", "b", "c", "d"),
			want:    map[string]keeper.Kind{},
		},
		"overdue maintenance is reported as failed": {
			change: func(s *keeper.Snapshot) {
				s.Instances[0].State = keeper.Maintenance
				s.Instances[0].Since = start.Add(-time.Hour)
				s.Declarations.Pools[0].Size = 2
			},
			reports: all,
			want:    map[string]keeper.Kind{"a": keeper.FailMaintenance},
		},
		"instance in the rack with the fewest members of the target pool moves": {
			reports: all,
			want:    map[string]keeper.Kind{"d": keeper.Drain}, target: "p",
		},
		"wave drains one instance of each pool at a time": {
			change: func(s *keeper.Snapshot) {
				s.Wave = keeper.Wave{ID: 1, State: keeper.WaveRunning, Total: 4}
				for i := range s.Instances {
					s.Instances[i].Wave = 1
				}
			},
			reports: all,
			want:    map[string]keeper.Kind{"a": keeper.Drain, "c": keeper.Drain},
		},
		"wave goes on with another rack while the budget refuses the first instances": {
			change: func(s *keeper.Snapshot) {
				s.Wave = keeper.Wave{ID: 1, State: keeper.WaveRunning, Total: 8}
				s.Declarations.Pools = []keeper.Pool{{Name: "p", Size: 9}}
				s.Declarations.Services = append(s.Declarations.Services, keeper.Service{Name: "x", Pool: "p", Share: 0})
				s.Instances = nil
				for i, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
					rack := "r0"
					if i >= 5 {
						rack = "r1"
					}
					s.Instances = append(s.Instances, keeper.Instance{Name: name, Incarnation: 1, Rack: rack, State: keeper.Serving, Pool: "p", Epoch: 1, Since: start, Wave: 1})
				}
				s.Instances[5].State, s.Instances[5].Wave = keeper.Maintenance, 0
				s.Declarations.Customers[0].Budget = keeper.Budget{MaxDown: 6, Window: time.Hour}
			},
			reports: reportsFrom(1, 1, false, "a", "b", "c", "d", "e", "f", "g", "h", "i"),
			want:    map[string]keeper.Kind{"a": keeper.Drain},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			view := newFleetView(tc.change)
			view.IsLeader = !tc.follower
			s, _ := NewState(Config{}, 0).Step(start, view)
			got := make(map[string]keeper.Kind)
			for _, after := range []time.Duration{11 * time.Second, 15 * time.Second} { // a deficit must persist for MoveDelay before an instance moves
				now := start.Add(after)
				s, _ = s.Step(now, tc.reports)
				var out []messenger.Message
				s, out = s.Step(now, messenger.Tick{})
				for _, m := range out {
					p, ok := m.Body.(messenger.ProposeDeclarations)
					if ok {
						got[p.Command.Instance.Name] = p.Command.Kind
						must.Eq(t, tc.target, p.Command.Target)
					}
				}
			}
			must.Eq(t, tc.want, got)
		})
	}
}
