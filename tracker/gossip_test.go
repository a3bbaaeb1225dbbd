package tracker

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/messenger"
)

// TestGossipReachesAll checks that the loads of all endpoints are gossiped in turn, although the loads of all of them
// change all the time and one message has room for a part of them.
func TestGossipReachesAll(t *testing.T) {
	tests := map[string]struct{ endpoints, room, rounds int }{
		"room for all":       {endpoints: 3, room: 4, rounds: 1},
		"room for a third":   {endpoints: 9, room: 3, rounds: 3},
		"room for one":       {endpoints: 5, room: 1, rounds: 5},
		"room for most once": {endpoints: 5, room: 4, rounds: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewState(Config{Name: "a1", MaxGossipReports: tc.room, GossipInterval: time.Second, FullGossipInterval: time.Hour})
			s, _ = s.Step(start, newView())
			s, _ = s.Step(start, messenger.Tick{}) // the first full gossip
			seen := make(map[string]bool)
			for round := range tc.rounds {
				now := start.Add(time.Duration(round+1) * 2 * time.Second)
				for i := range tc.endpoints {
					a := newAnnouncement(fmt.Sprintf("w%d", i), 2, false)
					a.InUse = round + 1
					s, _ = s.Step(now.Add(-time.Millisecond), a)
				}
				var out []messenger.Message
				s, out = s.Step(now, messenger.Tick{})
				for _, m := range out {
					g, ok := m.Body.(messenger.Gossip)
					if !ok {
						continue
					}
					must.LessEq(t, tc.room, len(g.Reports))
					for _, r := range g.Reports {
						seen[r.Announcement.Endpoint.Instance] = true
					}
				}
			}
			must.EqOp(t, tc.endpoints, len(seen))
		})
	}
}
