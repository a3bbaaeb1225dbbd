package planner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

var start = time.Unix(100_000, 0)

// fleet has two instances of pool p in two racks and two of pool q, which wants one.
func fleet(change func(*keeper.Image)) messenger.View {
	img := keeper.Image{
		Revision: 1,
		Declarations: keeper.Declarations{
			Pools:     []keeper.Pool{{Name: "p", Size: 3}, {Name: "q", Size: 1}},
			Services:  []keeper.Service{{Name: "v", Pool: "p", Share: 1}},
			Customers: []keeper.Customer{{Name: "c", Token: "t", Weight: 1, Services: []string{"v"}, Budget: keeper.Budget{MaxDown: 2, Window: time.Hour}}},
		},
		Instances: []keeper.Instance{
			{Name: "a", Incarnation: 1, Rack: "r0", Place: keeper.Serving, Pool: "p", Epoch: 1, Since: start},
			{Name: "b", Incarnation: 1, Rack: "r1", Place: keeper.Serving, Pool: "p", Epoch: 1, Since: start},
			{Name: "c", Incarnation: 1, Rack: "r0", Place: keeper.Serving, Pool: "q", Epoch: 1, Since: start},
			{Name: "d", Incarnation: 1, Rack: "r2", Place: keeper.Serving, Pool: "q", Epoch: 1, Since: start},
		},
	}
	if change != nil {
		change(&img)
	}
	return messenger.View{State: keeper.FromImage(img), Leads: true}
}

func heard(incarnation, epoch uint64, empty bool, names ...string) messenger.Heard {
	var out messenger.Heard
	for _, name := range names {
		out.Reports = append(out.Reports, messenger.Report{Announcement: messenger.Announcement{
			Empty: empty, Endpoint: messenger.Endpoint{Instance: name, Incarnation: incarnation, Epoch: epoch},
		}})
	}
	return out
}

func TestPlan(t *testing.T) {
	all := heard(1, 1, false, "a", "b", "c", "d")
	tests := map[string]struct {
		change func(*keeper.Image)
		heard  messenger.Heard
		follow bool // this node does not lead
		want   map[string]keeper.Kind
		target string
	}{
		"a follower plans nothing": {heard: heard(1, 1, false), follow: true, want: map[string]keeper.Kind{}},
		"silent ones are lost": {
			heard: heard(1, 1, false, "a", "b", "c"),
			want:  map[string]keeper.Kind{"d": keeper.MarkLost},
		},
		"a new one is registered": {
			change: func(img *keeper.Image) { img.Declarations.Pools[0].Size = 2 },
			heard:  heard(1, 1, false, "a", "b", "c", "d", "e"),
			want:   map[string]keeper.Kind{"e": keeper.Register},
		},
		"a lost one returns": {
			change: func(img *keeper.Image) { img.Instances[0].Place, img.Declarations.Pools[0].Size = keeper.Lost, 2 },
			heard:  all,
			want:   map[string]keeper.Kind{"a": keeper.Return},
		},
		"a drained one moves on": {
			change: func(img *keeper.Image) { img.Instances[0].Place, img.Declarations.Pools[0].Size = keeper.Draining, 2 },
			heard:  heard(1, 1, true, "a", "b", "c", "d"),
			want:   map[string]keeper.Kind{"a": keeper.Advance},
		},
		"one that is empty under an old epoch waits": {
			change: func(img *keeper.Image) {
				img.Instances[0].Place, img.Instances[0].Epoch = keeper.Draining, 2
				img.Declarations.Pools[0].Size = 2
			},
			heard: heard(1, 1, true, "a", "b", "c", "d"),
			want:  map[string]keeper.Kind{},
		},
		"a reboot that takes too long": {
			change: func(img *keeper.Image) {
				img.Instances[0].Place = keeper.Maintenance
				img.Instances[0].Since = start.Add(-time.Hour)
				img.Declarations.Pools[0].Size = 2
			},
			heard: all,
			want:  map[string]keeper.Kind{"a": keeper.FailWave},
		},
		"a surplus moves, the one that spreads the pool best": {
			heard: all,
			want:  map[string]keeper.Kind{"d": keeper.Drain}, target: "p",
		},
		"a wave drains one of each pool at a time": {
			change: func(img *keeper.Image) {
				img.Wave = keeper.Wave{ID: 1, State: keeper.WaveRunning, Total: 4}
				for i := range img.Instances {
					img.Instances[i].Wave = 1
				}
			},
			heard: all,
			want:  map[string]keeper.Kind{"a": keeper.Drain, "c": keeper.Drain},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			view := fleet(tc.change)
			view.Leads = !tc.follow
			s, _ := NewState(Config{}, 0).Step(start, view)
			got := make(map[string]keeper.Kind)
			for _, after := range []time.Duration{11 * time.Second, 15 * time.Second} { // a lack must last
				now := start.Add(after)
				s, _ = s.Step(now, tc.heard)
				var out []messenger.Message
				s, out = s.Step(now, messenger.Tick{})
				for _, m := range out {
					p, ok := m.Body.(messenger.Propose)
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
