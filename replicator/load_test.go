package replicator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestBusyLeaderSendsTogether bounds the messages of a leader that takes many
// entries: with one for each entry, those that overtook others were rejected, and
// each rejection sent all of it again.
func TestBusyLeaderSendsTogether(t *testing.T) {
	const entries, mostMessages = 2000, 800
	for seed := range uint64(*seeds) {
		s := newSim(seed+1, 3, 0, nil)
		s.RunFor(3 * time.Second)
		leader := s.leader()
		before := s.sent
		for range entries {
			s.propose(leader)
			s.RunFor(50 * time.Microsecond)
		}
		s.RunFor(time.Second)
		must.Eq(t, entries, len(s.acked))
		must.Less(t, mostMessages, s.sent-before)
		must.SliceEmpty(t, s.errs)
	}
}
