package replicator

import (
	"slices"
	"time"
)

// maxPromotionLag is the maximum number of committed entries that a learner of a
// group with dynamic membership may lack when it becomes a voter. It is above zero
// because a busy log keeps growing: learners that get entries only every
// minLearnerInterval never had all of them, so a lost voter was not replaced, and a
// later partition left the group without a leader for 6 s. The missing entries fit in one
// message.
const maxPromotionLag = 128

// withDiscoveredPeer adds an unknown node to the peers of a group with dynamic membership.
// The node starts as a learner and can become a voter.
func (s State[C, S, R]) withDiscoveredPeer(name string) State[C, S, R] {
	if !s.cfg.DynamicMembership || name == "" || name == s.cfg.Name {
		return s
	}
	_, known := s.peer(name)
	if known {
		return s
	}
	s.cfg.Peers = append(slices.Clone(s.cfg.Peers), Peer{Name: name, CanVote: true, Learner: true})
	s.peers = append(slices.Clone(s.peers), progress{name: name, nextIndex: s.lastIndex() + 1})
	return s
}

// learnersInterval is the time after which the leader names the learners to a voter again.
const learnersInterval = time.Second

// answeringLearners returns the learners that have answered the leader within FreshFor. Voters need to know them: a
// voter that restarted and became the leader would otherwise find no learner to replace another voter.
func (t *transition[C, S, R]) answeringLearners() []string {
	s := t.state
	var names []string
	for _, p := range s.peers {
		if !s.isMember(p.name, p.diskID) && t.now.Sub(p.ackedAt) < s.cfg.FreshFor {
			names = append(names, p.name)
		}
	}
	return names
}

// withMembersAsPeers adds the voters of the latest membership to the peers of a group with
// dynamic membership, since its configuration need not list them.
func (s State[C, S, R]) withMembersAsPeers() State[C, S, R] {
	for _, m := range s.memberships[len(s.memberships)-1].members {
		s = s.withDiscoveredPeer(m.Name)
	}
	return s
}

// shouldPromote reports whether a learner that has caught up should become a voter
// of a group with dynamic membership: because it is a known voter with a new disk,
// because the group has too few voters, or because it replaces one that is unresponsive or
// about to stop.
func (t *transition[C, S, R]) shouldPromote(p progress) bool {
	s := t.state
	_, unresponsive := t.unresponsiveVoter()
	_, stopping := t.stoppingVoter()
	rejoining := slices.ContainsFunc(s.Members(), func(m Member) bool { return m.Name == p.name })
	if rejoining || len(s.Members()) < s.cfg.TargetVoters || unresponsive {
		return rejoining || !p.stopping
	}
	return stopping && !p.stopping && len(s.Members()) == s.cfg.TargetVoters && t.answeringVoters()+1 > (len(s.Members())+1)/2
}

// stoppingVoter returns a voter other than the leader that is about to stop or has stopped since.
func (t *transition[C, S, R]) stoppingVoter() (Member, bool) {
	s := t.state
	for _, m := range s.Members() {
		p, ok := s.peer(m.Name)
		if ok && m.Name != s.cfg.Name && p.diskID == m.DiskID && p.stopping {
			return m, true
		}
	}
	return Member{}, false
}

// answeringVoters returns the number of voters that have answered within ElectionTimeout, with the leader.
func (t *transition[C, S, R]) answeringVoters() int {
	s := t.state
	n := 0
	for _, m := range s.Members() {
		p, ok := s.peer(m.Name)
		if m.Name == s.cfg.Name || (ok && t.isAnswering(m, p)) {
			n++
		}
	}
	return n
}

func (t *transition[C, S, R]) isAnswering(m Member, p progress) bool {
	return p.diskID == m.DiskID && t.now.Sub(p.ackedAt) < t.state.cfg.ElectionTimeout
}

// surplusVoter returns the voter to remove from a group with dynamic membership that has more voters than its
// target: one that is about to stop or unresponsive. It returns one only if a majority of the others answers.
func (t *transition[C, S, R]) surplusVoter() (Member, bool) {
	s := t.state
	if !s.cfg.DynamicMembership || len(s.Members()) <= s.cfg.TargetVoters {
		return Member{}, false
	}
	surplus, ok := t.stoppingVoter()
	if !ok {
		surplus, ok = t.unresponsiveVoter()
	}
	if !ok {
		return Member{}, false
	}
	answering := t.answeringVoters()
	p, _ := s.peer(surplus.Name)
	if t.isAnswering(surplus, p) {
		answering--
	}
	return surplus, answering > (len(s.Members())-1)/2
}

// unresponsiveVoter returns a voter that has not answered for UnresponsiveAfter. It
// returns one only if the responsive voters are a majority of the group without it.
func (t *transition[C, S, R]) unresponsiveVoter() (Member, bool) {
	s := t.state
	var unresponsive []Member
	for _, m := range s.Members() {
		if m.Name == s.cfg.Name {
			continue
		}
		p, _ := s.peer(m.Name)
		lastAckAt := s.leaderSince
		if p.diskID == m.DiskID && p.ackedAt.After(lastAckAt) {
			lastAckAt = p.ackedAt
		}
		if t.now.Sub(lastAckAt) > s.cfg.UnresponsiveAfter {
			unresponsive = append(unresponsive, m)
		}
	}
	if len(unresponsive) == 0 || len(s.Members())-len(unresponsive) <= (len(s.Members())-1)/2 {
		return Member{}, false
	}
	return unresponsive[0], true
}
