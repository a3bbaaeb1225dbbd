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

// newAnnouncement returns an announcement of an endpoint with 8 slots.
func newAnnouncement(name string, incarnation uint64, leaving bool) messenger.Announcement {
	return messenger.Announcement{Leaving: leaving, Endpoint: messenger.Endpoint{Instance: name, Incarnation: incarnation, Slots: 8}}
}

// newView returns a view with the instances w0 and w1 of pool p; w1 is draining.
func newView() messenger.DeclarationsView {
	return messenger.DeclarationsView{State: keeper.FromSnapshot(keeper.Snapshot{Instances: []keeper.Instance{
		{Name: "w0", Incarnation: 2, State: keeper.Serving, Pool: "p", Epoch: 4},
		{Name: "w1", Incarnation: 2, State: keeper.Draining, Pool: "p", Epoch: 5},
	}})}
}

// event is a message and its time after start.
type event struct {
	after time.Duration
	body  any
}

// TestMembership checks which endpoints are available after announcements, gossip
// and silence.
func TestMembership(t *testing.T) {
	gossip := func(age time.Duration, a messenger.Announcement) messenger.Gossip {
		return messenger.Gossip{From: "b1", Reports: []messenger.EndpointReport{{Announcement: a, Age: age}}}
	}
	tests := map[string]struct {
		events []event
		want   []string // available endpoints
	}{
		"serving":                  {events: []event{{body: newAnnouncement("w0", 2, false)}}, want: []string{"w0"}},
		"draining":                 {events: []event{{body: newAnnouncement("w1", 2, false)}}},
		"unknown instance":         {events: []event{{body: newAnnouncement("w9", 2, false)}}},
		"unregistered incarnation": {events: []event{{body: newAnnouncement("w0", 3, false)}}},
		"leaving":                  {events: []event{{body: newAnnouncement("w0", 2, false)}, {after: time.Second, body: newAnnouncement("w0", 2, true)}}},
		"silent":                   {events: []event{{body: newAnnouncement("w0", 2, false)}, {after: 4 * time.Second, body: messenger.Tick{}}}},
		"delayed announcement of an earlier incarnation": {events: []event{{body: newAnnouncement("w0", 2, false)}, {after: time.Second, body: newAnnouncement("w0", 1, true)}}, want: []string{"w0"}},
		"learned through gossip":                         {events: []event{{body: gossip(time.Second, newAnnouncement("w0", 2, false))}}, want: []string{"w0"}},
		"outdated gossip": {
			events: []event{{after: 3 * time.Second, body: newAnnouncement("w0", 2, true)}, {after: 4 * time.Second, body: gossip(2*time.Second, newAnnouncement("w0", 2, false))}},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, _ := NewState(Config{Name: "a1"}).Step(start, newView())
			for _, e := range tc.events {
				s, _ = s.Step(start.Add(e.after), e.body)
			}
			var got []string
			for _, e := range s.available {
				got = append(got, e.Instance)
				must.Eq(t, uint64(4), e.Epoch)
			}
			must.Eq(t, tc.want, got)
		})
	}
}

// TestIntervalRespectsByteBudget guards against announcements of a large fleet
// that use more bandwidth than the announcement budget.
func TestIntervalRespectsByteBudget(t *testing.T) {
	tests := map[string]struct {
		endpoints int
		want      time.Duration
	}{
		"minimum interval": {endpoints: 8, want: time.Second},
		"large fleet":      {endpoints: 293, want: 293 * announcementBytes * time.Second / 10_000},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewState(Config{Name: "a1"})
			for n := range tc.endpoints {
				s, _ = s.Step(start, newAnnouncement(fmt.Sprintf("w%d", n), 1, false))
			}
			must.Eq(t, tc.want, s.Interval())
		})
	}
}
