package replicator

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var depth = flag.Int("depth", 3, "number of events in each sequence of TestVoterSequences")

// change is one event in a sequence. Each change leaves the group within its tolerance of one lost node.
type change struct {
	joins, replaces int // nodes that it adds, and nodes that it removes for good in favour of one that was added
	apply           func(s *sim)
}

// changes are the events by name. A node that vanishes counts as lost until the group has noticed it; a planned stop
// does not, once its successor has caught up.
var changes = map[string]change{
	"join": {joins: 1, apply: func(s *sim) {
		s.join(fmt.Sprintf("n%d", len(s.names)))
		s.RunFor(catchup + 500*time.Millisecond)
	}},
	"stop the leader":   {replaces: 1, apply: func(s *sim) { s.terminate(s.leader()); s.RunFor(200 * time.Millisecond) }},
	"stop a follower":   {replaces: 1, apply: func(s *sim) { s.terminate(s.follower(0)); s.RunFor(200 * time.Millisecond) }},
	"remove the leader": {replaces: 1, apply: func(s *sim) { s.crash(s.leader()); s.RunFor(3200 * time.Millisecond) }},
	"remove a follower": {replaces: 1, apply: func(s *sim) { s.crash(s.follower(1)); s.RunFor(3200 * time.Millisecond) }},
	"restart the leader": {apply: func(s *sim) {
		name := s.leader()
		s.crash(name)
		s.RunFor(time.Second)
		s.restart(name)
		s.RunFor(catchup)
	}},
	"restart a follower": {apply: func(s *sim) {
		name := s.follower(0)
		s.crash(name)
		s.RunFor(time.Second)
		s.restart(name)
		s.RunFor(catchup)
	}},
}

// TestVoterSequences applies all sequences of changes up to a depth, and checks after each that the group has a leader
// and commits.
func TestVoterSequences(t *testing.T) {
	sequences := [][]string{nil}
	tried := 0
	for range *depth {
		var longer [][]string
		for _, sequence := range sequences {
			for name := range changes {
				next := append(append([]string(nil), sequence...), name)
				if successorsLeft(next) >= 0 {
					longer = append(longer, next)
				}
			}
		}
		sequences = longer
		for _, sequence := range sequences {
			tried++
			must.SliceEmpty(t, runSequence(sequence), must.Sprintf("sequence %q", sequence))
		}
	}
	t.Logf("%d sequences of up to %d changes", tried, *depth)
}

// successorsLeft returns the number of nodes that joined and have not taken the place of another one.
func successorsLeft(sequence []string) int {
	n := 0
	for _, name := range sequence {
		n += changes[name].joins - changes[name].replaces
	}
	return n
}

// runSequence returns the violations of a sequence of changes.
func runSequence(sequence []string) []string {
	s := newElasticSim(1)
	for i, name := range sequence {
		if s.leader() == "" {
			s.RunFor(2 * time.Second) // the time within which a group has a leader again, see TestFailover
		}
		if s.leader() == "" {
			s.reportViolation("no leader before change %d", i)
			return s.violations
		}
		changes[name].apply(s)
	}
	s.RunFor(2 * time.Second)
	s.checkCommits(len(sequence))
	return s.violations
}
