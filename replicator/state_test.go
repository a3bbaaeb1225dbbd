package replicator

import (
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var seeds = flag.Int("seeds", 12, "number of seeds of each randomised test")

// TestFaults checks that a group recovers from each fault: afterwards no acknowledged command is
// lost, all nodes have the same state and each node with a disk is a voter.
func TestFaults(t *testing.T) {
	tests := map[string]struct {
		voters, learners int
		scenario         func(s *sim)
	}{
		"no faults": {voters: 3, learners: 3, scenario: func(*sim) {}},
		"leader crashes": {voters: 3, scenario: func(s *sim) {
			s.crash(s.leader())
			s.RunFor(2 * time.Second)
			s.propose(s.leader())
		}},
		"leader's disk stalls": {voters: 3, scenario: func(s *sim) {
			old := s.leader()
			s.nodes[old].diskStalled = true
			proposalID := s.propose(old)
			s.RunFor(time.Second)
			_, ok := s.acked[proposalID]
			if !ok || s.leader() != old {
				s.reportViolation("leader with a stalled disk lost its lease or did not commit with the other voters")
			}
		}},
		"leader is isolated and returns": {voters: 3, learners: 1, scenario: func(s *sim) {
			old := s.leader()
			s.isolate(old, true)
			s.propose(old) // cannot be committed
			s.RunFor(3 * time.Second)
			s.propose(s.leader())
			s.RunFor(time.Second)
			s.isolate(old, false)
		}},
		"voter loses its disk": {voters: 3, scenario: func(s *sim) {
			s.crash("n1")
			s.loseDisk("n1")
			s.RunFor(time.Second)
			s.restart("n1")
		}},
		"second voter loses its disk after the first is replaced": {voters: 3, scenario: func(s *sim) {
			s.crash("n1")
			s.loseDisk("n1")
			s.RunFor(2 * time.Second)
			s.restart("n1")
			s.RunFor(2 * time.Second)
			s.crash("n2")
			s.loseDisk("n2")
			s.RunFor(2 * time.Second)
			s.restart("n2")
		}},
		"second voter crashes before the first is replaced": {voters: 3, scenario: func(s *sim) {
			s.crash("n1")
			s.loseDisk("n1")
			s.crash("n2")
			s.restart("n1")
			s.RunFor(3 * time.Second)
		}},
		"frozen leader resumes": {voters: 3, scenario: func(s *sim) {
			old := s.leader()
			s.faults["freeze"]++
			s.nodes[old].frozen = true
			s.RunFor(4 * time.Second)
			s.nodes[old].frozen = false
			s.propose(old)
		}},
		"all nodes restart after hundreds of entries": {voters: 3, learners: 2, scenario: func(s *sim) {
			for range 500 {
				s.propose(s.names[s.rand.IntN(len(s.names))])
				s.RunFor(5 * time.Millisecond)
			}
			for _, name := range s.names {
				s.crash(name)
			}
			s.RunFor(time.Second)
		}},
		"leader resigns": {voters: 3, learners: 2, scenario: func(s *sim) {
			s.faults["resign"]++
			s.resign(s.leader())
			s.RunFor(50 * time.Millisecond) // shorter than any election timeout
			if s.leader() == "" {
				s.reportViolation("no leader 50 ms after the leader resigned")
			}
		}},
		"one-way partition of the leader": {voters: 3, scenario: func(s *sim) {
			s.faults["partition"]++
			old := s.leader()
			for _, other := range s.names {
				s.cutLinks[[2]string{other, old}] = true // its messages arrive, but it receives none
			}
			s.RunFor(3 * time.Second)
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(*seeds) {
				s := newSim(seed+1, tc.voters, tc.learners, nil)
				s.RunFor(3 * time.Second)
				for range 20 {
					s.propose(s.names[s.rand.IntN(len(s.names))])
					s.RunFor(10 * time.Millisecond)
				}
				tc.scenario(s)
				s.heal()
				s.checkConvergence()
				must.SliceEmpty(t, s.violations)
				must.Greater(t, 0, len(s.acked))
			}
		})
	}
}

// injectRandomFaults injects crashes, partitions, freezes, lost disks, resignations and message faults
// at random times, with proposals in between. The faults may overlap and repeat.
func injectRandomFaults(s *sim, steps int) {
	s.RunFor(2 * time.Second)
	s.messageFaultRate = 0.02
	for range steps {
		name := s.names[s.rand.IntN(len(s.names))]
		switch s.rand.IntN(14) {
		case 0:
			s.crash(name)
		case 1:
			s.isolate(name, true)
		case 2:
			s.isolate(name, false)
		case 3:
			s.faults["freeze"]++
			s.nodes[name].frozen = true
		case 4:
			s.nodes[name].frozen = false
		case 5:
			if s.canLoseDisk() {
				s.crash(name)
				s.loseDisk(name)
			}
		case 6, 7, 8:
			s.restart(name)
		case 9:
			s.faults["resign"]++
			s.resign(s.leader())
		default:
			s.propose(name)
		}
		s.RunFor(time.Duration(s.rand.IntN(300)) * time.Millisecond)
	}
	s.heal()
	s.checkConvergence()
}

// canLoseDisk reports whether a disk may be lost. Operators are told that a majority of the voters must
// be left, so before the loss there must be at least three voters, and all must have their disks and
// all committed entries.
func (s *sim) canLoseDisk() bool {
	leader := s.leader()
	if leader == "" || len(s.nodes[leader].state.Members()) < 3 {
		return false
	}
	for _, m := range s.nodes[leader].state.Members() {
		n := s.nodes[m.Name]
		if n.cfg.DiskID != m.DiskID {
			return false
		}
		p, ok := s.nodes[leader].state.peer(m.Name)
		if ok && p.matchIndex < s.nodes[leader].state.Commit() {
			return false // it lacks committed entries, so one of the other disks is needed for the majority
		}
	}
	return true
}

// TestFailover checks that after the loss of a leader the group has a leader again within
// the target of 2 s.
func TestFailover(t *testing.T) {
	const target = 2 * time.Second
	var worst time.Duration
	for seed := range uint64(*seeds) {
		s := newSim(seed+1, 3, 6, nil)
		s.RunFor(3 * time.Second)
		s.crash(s.leader())
		lostAt := s.Now()
		for s.leader() == "" && s.Now().Sub(lostAt) < 2*target {
			s.RunFor(5 * time.Millisecond)
		}
		worst = max(worst, s.Now().Sub(lostAt))
	}
	t.Logf("%d seeds, the longest time without a leader is %s", *seeds, worst)
	must.Less(t, target, worst)
}

// TestChaos checks the invariants of TestFaults after random faults that overlap, and that each of the
// kinds listed below was injected.
func TestChaos(t *testing.T) {
	faults := make(map[string]int)
	for seed := range uint64(*seeds) {
		s := newSim(seed+100, 3, 2, nil)
		injectRandomFaults(s, 120)
		must.SliceEmpty(t, s.violations)
		for kind, n := range s.faults {
			faults[kind] += n
		}
	}
	t.Logf("seeds 100 to %d, faults injected: %v", 99+*seeds, faults)
	for _, kind := range []string{"crash", "partition", "freeze", "disk lost", "messages lost", "messages duplicated", "messages delayed"} {
		must.Greater(t, 0, faults[kind], must.Sprintf("no fault of kind %q was injected", kind))
	}
}

// TestMechanismOff shows that leader stickiness and disk IDs are needed: with one of them
// off, at least one seed violates an invariant, and with both on, none does.
func TestMechanismOff(t *testing.T) {
	tests := map[string]struct {
		configure func(*simConfig)
		scenario  func(s *sim)
	}{
		"votes while a leader is heard violate the lease": {
			configure: func(cfg *simConfig) { cfg.DisableStickiness = true },
			scenario: func(s *sim) {
				s.RunFor(2 * time.Second)
				old := s.leader()
				other := s.names[0]
				if old == other {
					other = s.names[1]
				}
				// other no longer hears the leader but can still ask the third node for its vote.
				s.cutLinks[[2]string{old, other}] = true
				s.cutLinks[[2]string{other, old}] = true
				s.RunFor(4 * time.Second)
				s.heal()
				s.checkConvergence()
			},
		},
		"voter with an empty disk loses entries": {
			configure: func(cfg *simConfig) { cfg.IgnoreDiskID = true },
			scenario: func(s *sim) {
				s.RunFor(2 * time.Second)
				// n2 misses entries that n0 and n1 commit. Without n0 and the disk of n1, n1 and n2 are
				// a majority that lacks them.
				s.isolate("n2", true)
				s.RunFor(3 * time.Second)
				for range 5 {
					s.propose(s.leader())
					s.RunFor(50 * time.Millisecond)
				}
				s.crash("n1")
				s.loseDisk("n1")
				s.crash("n0")
				s.isolate("n2", false)
				s.restart("n1")
				s.RunFor(5 * time.Second)
				s.propose("n2")
				s.propose("n1")
				s.RunFor(time.Second)
				s.heal()
				s.checkConvergence()
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			broken := 0
			for seed := range uint64(max(*seeds, 12)) {
				s := newSim(seed+100, 3, 0, tc.configure)
				tc.scenario(s)
				if len(s.violations) > 0 {
					broken++
					t.Logf("as expected: %s", s.violations[0])
				}
				enabled := newSim(seed+100, 3, 0, nil)
				tc.scenario(enabled)
				must.SliceEmpty(t, enabled.violations)
			}
			must.Greater(t, 0, broken)
		})
	}
}
