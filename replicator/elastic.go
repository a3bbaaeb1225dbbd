package replicator

import "slices"

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
// because the group has too few voters, or because it replaces an unresponsive one.
func (t *transition[C, S, R]) shouldPromote(p progress) bool {
	s := t.state
	_, unresponsive := t.unresponsiveVoter()
	rejoining := slices.ContainsFunc(s.Members(), func(m Member) bool { return m.Name == p.name })
	return rejoining || len(s.Members()) < s.cfg.TargetVoters || unresponsive
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
