package replicator

import (
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var seeds = flag.Int("seeds", 12, "number of seeds of each randomised run")

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		voters, learners int
		act              func(s *sim)
	}{
		"no fault": {voters: 3, learners: 3, act: func(*sim) {}},
		"the leader dies": {voters: 3, act: func(s *sim) {
			s.crash(s.leader())
			s.RunFor(2 * time.Second)
			s.propose(s.leader())
		}},
		"the leader's disk stalls": {voters: 3, act: func(s *sim) {
			old := s.leader()
			s.nodes[old].stalled = true
			ticket := s.propose(old)
			s.RunFor(time.Second)
			_, ok := s.acked[ticket]
			if !ok || s.leader() != old {
				s.fail("a leader whose disk stalls does not go on with the others")
			}
		}},
		"the leader is cut off and comes back": {voters: 3, learners: 1, act: func(s *sim) {
			old := s.leader()
			s.isolate(old, true)
			s.propose(old) // cannot be committed
			s.RunFor(3 * time.Second)
			s.propose(s.leader())
			s.RunFor(time.Second)
			s.isolate(old, false)
		}},
		"a voter loses its disk": {voters: 3, act: func(s *sim) {
			s.crash("n1")
			s.loseDisk("n1")
			s.RunFor(time.Second)
			s.restart("n1")
		}},
		"a second loss right after a repair": {voters: 3, act: func(s *sim) {
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
		"a second loss during a repair": {voters: 3, act: func(s *sim) {
			s.crash("n1")
			s.loseDisk("n1")
			s.crash("n2")
			s.restart("n1")
			s.RunFor(3 * time.Second)
		}},
		"a frozen leader wakes": {voters: 3, act: func(s *sim) {
			old := s.leader()
			s.faults["freeze"]++
			s.nodes[old].frozen = true
			s.RunFor(4 * time.Second)
			s.nodes[old].frozen = false
			s.propose(old)
		}},
		"all restart after hundreds of entries": {voters: 3, learners: 2, act: func(s *sim) {
			for range 500 {
				s.propose(s.names[s.rand.IntN(len(s.names))])
				s.RunFor(5 * time.Millisecond)
			}
			for _, name := range s.names {
				s.crash(name)
			}
			s.RunFor(time.Second)
		}},
		"the leader resigns": {voters: 3, learners: 2, act: func(s *sim) {
			s.faults["resign"]++
			s.resign(s.leader())
			s.RunFor(50 * time.Millisecond) // no time-out lets another one lead so soon
			if s.leader() == "" {
				s.fail("nobody leads 50 ms after the leader resigned")
			}
		}},
		"one way cut of a voter": {voters: 3, act: func(s *sim) {
			s.faults["cut"]++
			old := s.leader()
			for _, other := range s.names {
				s.cut[[2]string{other, old}] = true // it is heard and hears nothing
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
				tc.act(s)
				s.heal()
				s.checkEnd()
				must.SliceEmpty(t, s.errs)
				must.Greater(t, 0, len(s.acked))
			}
		})
	}
}

// chaos lets faults of all kinds come at any moment, together or twice.
func chaos(s *sim, steps int) {
	s.RunFor(2 * time.Second)
	s.loss = 0.02
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
			if s.allVote() {
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
	s.checkEnd()
}

// allVote tells whether a disk may be lost: a majority must be left, as the operators are told.
func (s *sim) allVote() bool {
	leader := s.leader()
	if leader == "" || len(s.nodes[leader].state.Members()) < 3 {
		return false
	}
	for _, m := range s.nodes[leader].state.Members() {
		n := s.nodes[m.Name]
		if n.cfg.Disk != m.Disk {
			return false
		}
		p, ok := s.nodes[leader].state.peer(m.Name)
		if ok && p.match < s.nodes[leader].state.Commit() {
			return false // it holds less than what is committed, so another disk counts
		}
	}
	return true
}

// TestFailover holds the time without a leader after a loss to the target of 2 s.
func TestFailover(t *testing.T) {
	const target = 2 * time.Second
	var worst time.Duration
	for seed := range uint64(*seeds) {
		s := newSim(seed+1, 3, 6, nil)
		s.RunFor(3 * time.Second)
		s.crash(s.leader())
		lost := s.Now()
		for s.leader() == "" && s.Now().Sub(lost) < 2*target {
			s.RunFor(5 * time.Millisecond)
		}
		worst = max(worst, s.Now().Sub(lost))
	}
	t.Logf("%d seeds, the longest time without a leader is %s", *seeds, worst)
	must.Less(t, target, worst)
}

func TestChaos(t *testing.T) {
	faults := make(map[string]int)
	for seed := range uint64(*seeds) {
		s := newSim(seed+100, 3, 2, nil)
		chaos(s, 120)
		must.SliceEmpty(t, s.errs)
		for kind, n := range s.faults {
			faults[kind] += n
		}
	}
	t.Logf("seeds 100 to %d, faults injected: %v", 99+*seeds, faults)
	for _, kind := range []string{"crash", "cut", "freeze", "disk lost", "messages lost", "messages doubled", "messages late"} {
		must.Greater(t, 0, faults[kind], must.Sprintf("no %s was injected", kind))
	}
}

// TestMechanismOff shows that each mechanism is needed: without it a seed breaks the group.
func TestMechanismOff(t *testing.T) {
	tests := map[string]struct {
		change func(*simConfig)
		act    func(s *sim)
	}{
		"votes while a leader is heard break the lease": {
			change: func(cfg *simConfig) { cfg.NoStickiness = true },
			act: func(s *sim) {
				s.RunFor(2 * time.Second)
				old := s.leader()
				other := s.names[0]
				if old == other {
					other = s.names[1]
				}
				s.cut[[2]string{old, other}] = true
				s.cut[[2]string{other, old}] = true
				s.RunFor(4 * time.Second)
				s.heal()
				s.checkEnd()
			},
		},
		"an empty disk that votes loses entries": {
			change: func(cfg *simConfig) { cfg.ForgetIdentity = true },
			act: func(s *sim) {
				s.RunFor(2 * time.Second)
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
				s.checkEnd()
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			broken := 0
			for seed := range uint64(max(*seeds, 12)) {
				s := newSim(seed+100, 3, 0, tc.change)
				tc.act(s)
				if len(s.errs) > 0 {
					broken++
					t.Logf("as expected: %s", s.errs[0])
				}
				on := newSim(seed+100, 3, 0, nil)
				tc.act(on)
				must.SliceEmpty(t, on.errs)
			}
			must.Greater(t, 0, broken)
		})
	}
}
