package replicator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	stopLimit = 2 * time.Second // maximum time that a stopping node waits until its vote is handed over
	catchup   = 4 * time.Second // time after which a new node counts as caught up
)

// newElasticSim starts a group with dynamic membership and three voters, which is also the target.
func newElasticSim(seed uint64) *sim {
	s := newSim(seed, 3, 0, func(cfg *simConfig) { cfg.DynamicMembership, cfg.TargetVoters = true, 3 })
	s.RunFor(3 * time.Second)
	return s
}

// join starts a node with an empty disk that knows the addresses of the others.
func (s *sim) join(name string) {
	cfg := s.nodes["n0"].cfg
	cfg.Name, cfg.DiskID, cfg.Seed, cfg.Peers = name, name+"/0", s.seed+uint64(len(s.names)), nil
	for _, other := range s.names {
		cfg.Peers = append(cfg.Peers, Peer{Name: other, CanVote: true, Learner: true})
	}
	n := &simNode{cfg: cfg}
	s.names = append(s.names, name)
	s.nodes[name] = n
	s.start(n)
	s.Every(20*time.Millisecond, func() { s.tick(n) })
}

// terminate stops a node as on SIGTERM: it resigns, and ends once it is no longer a voter or after stopLimit.
func (s *sim) terminate(name string) {
	s.resign(name)
	n, deadline := s.nodes[name], s.Now().Add(stopLimit)
	var check func()
	check = func() {
		isVoter := slices.ContainsFunc(n.state.Members(), func(m Member) bool { return m.Name == name })
		if (isVoter || n.state.Role() == Leader) && s.Now().Before(deadline) {
			s.After(10*time.Millisecond, check)
			return
		}
		s.crash(name)
	}
	check()
}

// follower returns the k-th voter that does not lead.
func (s *sim) follower(k int) string {
	leader := s.leader()
	for _, m := range s.nodes[leader].state.Members() {
		if m.Name == leader {
			continue
		}
		if k == 0 {
			return m.Name
		}
		k--
	}
	return ""
}

// TestReplaceVoters guards against a group that keeps the vote of a node that has stopped as planned: two nodes that
// were replaced within seconds left it without a majority for good.
func TestReplaceVoters(t *testing.T) {
	tests := map[string]struct {
		learners int
		scenario func(s *sim)
	}{
		"one after the other": {learners: 2, scenario: func(s *sim) {
			first, second := s.follower(0), s.follower(1)
			s.terminate(first)
			s.RunFor(3200 * time.Millisecond)
			s.terminate(second)
		}},
		"two at once": {learners: 2, scenario: func(s *sim) {
			first, second := s.follower(0), s.follower(1)
			s.terminate(first)
			s.terminate(second)
		}},
		"the leader and then its successor": {learners: 2, scenario: func(s *sim) {
			s.terminate(s.leader())
			s.RunFor(3200 * time.Millisecond)
			s.terminate(s.leader())
		}},
		"the leader and a follower at once": {learners: 2, scenario: func(s *sim) {
			first, second := s.leader(), s.follower(0)
			s.terminate(second)
			s.terminate(first)
		}},
		"all voters within seconds": {learners: 3, scenario: func(s *sim) {
			for _, name := range []string{"n0", "n1", "n2"} {
				s.terminate(name)
				s.RunFor(1200 * time.Millisecond)
			}
		}},
		"a replaced voter, then the crash of another": {learners: 1, scenario: func(s *sim) {
			s.terminate(s.follower(0))
			s.RunFor(time.Second)
			s.crash(s.follower(0))
		}},
		"two gone without notice, seconds apart": {learners: 2, scenario: func(s *sim) {
			first, second := s.follower(0), s.follower(1)
			s.crash(first)
			s.RunFor(3200 * time.Millisecond)
			s.crash(second)
		}},
		"the leader and then its successor gone without notice": {learners: 2, scenario: func(s *sim) {
			s.crash(s.leader())
			s.RunFor(3200 * time.Millisecond)
			s.crash(s.leader())
		}},
		"without a learner the voter stays": {scenario: func(s *sim) {
			name := s.follower(0)
			s.terminate(name)
			s.RunFor(3 * time.Second)
			s.restart(name)
			s.RunFor(time.Second)
			s.crash(s.follower(1))
		}},
		"a learner that stops too is no successor": {learners: 1, scenario: func(s *sim) {
			name := s.follower(0)
			s.resign("n3")
			s.RunFor(300 * time.Millisecond)
			s.resign(name)
			s.RunFor(time.Second)
			s.crash("n3")
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(*seeds) {
				s := newElasticSim(seed + 1)
				for k := range tt.learners {
					s.join(fmt.Sprintf("n%d", 3+k))
				}
				s.RunFor(catchup + 500*time.Millisecond)
				must.Len(t, 3, s.nodes[s.leader()].state.Members())
				tt.scenario(s)
				s.RunFor(catchup)
				leader := s.leader()
				must.NotEq(t, "", leader, must.Sprintf("seed %d: no leader", seed+1))
				proposalID := s.propose(leader)
				s.RunFor(time.Second)
				_, committed := s.acked[proposalID]
				must.True(t, committed, must.Sprintf("seed %d: a proposal is not committed", seed+1))
				must.LessEq(t, 4, len(s.nodes[leader].state.Members()))
				must.SliceEmpty(t, s.violations)
			}
		})
	}
}

// TestReplaceVotersChaos replaces, terminates and crashes nodes at random, never more at once than a group of three
// tolerates, and checks after each round that the group commits.
func TestReplaceVotersChaos(t *testing.T) {
	tests := map[string]struct{ messageFaultRate float64 }{
		"reliable network": {},
		"lossy network":    {messageFaultRate: 0.02},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(*seeds) {
				s := newElasticSim(seed + 500)
				s.messageFaultRate = tt.messageFaultRate
				live := slices.Clone(s.names)
				for round := range 8 {
					live = s.replaceOrCrash(live)
					s.RunFor(catchup)
					s.checkCommits(round)
				}
				must.SliceEmpty(t, s.violations)
			}
		})
	}
}

// replaceOrCrash replaces one or two nodes by new ones that have had time to catch up, or crashes one for a while. It
// returns the nodes that are left.
func (s *sim) replaceOrCrash(live []string) []string {
	s.rand.Shuffle(len(live), func(i, k int) { live[i], live[k] = live[k], live[i] })
	n := s.rand.IntN(3)
	if n == 0 {
		s.crash(live[0])
		s.RunFor(time.Duration(s.rand.IntN(3000)) * time.Millisecond)
		s.restart(live[0])
		return live
	}
	for range n {
		name := fmt.Sprintf("n%d", len(s.names))
		s.join(name)
		live = append(live, name)
	}
	s.RunFor(catchup + 500*time.Millisecond)
	for range n {
		s.terminate(live[0])
		live = live[1:]
		s.RunFor(time.Duration(s.rand.IntN(2000)) * time.Millisecond)
	}
	return live
}

// checkCommits reports a violation if the group does not commit a proposal.
func (s *sim) checkCommits(round int) {
	leader := s.leader()
	if leader == "" {
		s.reportViolation("round %d: no leader", round)
		return
	}
	proposalID := s.propose(leader)
	s.RunFor(2 * time.Second)
	_, committed := s.acked[proposalID]
	if !committed && s.leader() == leader {
		s.reportViolation("round %d: a proposal is not committed", round)
	}
}
