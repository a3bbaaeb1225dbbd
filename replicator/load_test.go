package replicator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestBusyLeaderBatchesEntries bounds the number of messages of a leader that appends
// many entries. With one message per entry, followers rejected those that arrived out
// of order, and each rejection made the leader send all entries again.
func TestBusyLeaderBatchesEntries(t *testing.T) {
	const entries, maxMessages = 2000, 800
	for seed := range uint64(*seeds) {
		s := newSim(seed+1, 3, 0, nil)
		s.RunFor(3 * time.Second)
		leader := s.leader()
		before := s.messagesSent
		for range entries {
			s.propose(leader)
			s.RunFor(50 * time.Microsecond)
		}
		s.RunFor(time.Second)
		must.Eq(t, entries, len(s.acked))
		must.Less(t, maxMessages, s.messagesSent-before)
		must.SliceEmpty(t, s.violations)
	}
}
