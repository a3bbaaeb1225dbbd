package tracker

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

var start = time.Unix(1000, 0)

func word(name string, incarnation uint64, leaving bool) messenger.Announcement {
	return messenger.Announcement{Leaving: leaving, Endpoint: messenger.Endpoint{Instance: name, Incarnation: incarnation, Slots: 8}}
}

// view has instances w0 and w1 of pool p, w1 draining.
func view() messenger.View {
	return messenger.View{State: keeper.FromImage(keeper.Image{Instances: []keeper.Instance{
		{Name: "w0", Incarnation: 2, Place: keeper.Serving, Pool: "p", Epoch: 4},
		{Name: "w1", Incarnation: 2, Place: keeper.Draining, Pool: "p", Epoch: 5},
	}})}
}

type step struct {
	after time.Duration
	body  any
}

func TestRoster(t *testing.T) {
	gossip := func(age time.Duration, a messenger.Announcement) messenger.Gossip {
		return messenger.Gossip{From: "b1", Reports: []messenger.Report{{Announcement: a, Age: age}}}
	}
	tests := map[string]struct {
		steps []step
		want  []string
	}{
		"serving":               {steps: []step{{body: word("w0", 2, false)}}, want: []string{"w0"}},
		"draining":              {steps: []step{{body: word("w1", 2, false)}}},
		"not declared":          {steps: []step{{body: word("w9", 2, false)}}},
		"another incarnation":   {steps: []step{{body: word("w0", 3, false)}}},
		"leaving":               {steps: []step{{body: word("w0", 2, false)}, {after: time.Second, body: word("w0", 2, true)}}},
		"silent":                {steps: []step{{body: word("w0", 2, false)}, {after: 4 * time.Second, body: messenger.Tick{}}}},
		"a late word of before": {steps: []step{{body: word("w0", 2, false)}, {after: time.Second, body: word("w0", 1, true)}}, want: []string{"w0"}},
		"heard through another": {steps: []step{{body: gossip(time.Second, word("w0", 2, false))}}, want: []string{"w0"}},
		"old news through another": {
			steps: []step{{after: 3 * time.Second, body: word("w0", 2, true)}, {after: 4 * time.Second, body: gossip(2*time.Second, word("w0", 2, false))}},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, _ := NewState(Config{Name: "a1"}).Step(start, view())
			for _, step := range tc.steps {
				s, _ = s.Step(start.Add(step.after), step.body)
			}
			var got []string
			for _, e := range s.roster {
				got = append(got, e.Instance)
				must.Eq(t, uint64(4), e.Epoch)
			}
			must.Eq(t, tc.want, got)
		})
	}
}

func TestIntervalKeepsWithinBytes(t *testing.T) {
	tests := map[string]struct {
		endpoints int
		want      time.Duration
	}{
		"today":     {endpoints: 8, want: time.Second},
		"full size": {endpoints: 293, want: 293 * announcementBytes * time.Second / 10_000},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewState(Config{Name: "a1"})
			for n := range tc.endpoints {
				s, _ = s.Step(start, word(fmt.Sprintf("w%d", n), 1, false))
			}
			must.Eq(t, tc.want, s.Interval())
		})
	}
}
