package replicator

import "slices"

// startPreVote asks the voters whether they would grant a vote. It does not raise the
// term, so a node that returns after a network partition does not depose a live leader.
func (t *transition[C, S, R]) startPreVote() {
	s := &t.state
	s.role = PreCandidate
	s.votes = []string{s.cfg.Name}
	t.requestVotes(Message[C, S, R]{Kind: PreVote, Term: s.term + 1})
	t.checkVoteQuorum()
}

// transferLeadership makes a resigning leader step down once another voter has the
// whole log, and asks that voter to start an election. A voter that lacks entries could
// lose the election, which would leave the group without a leader. A voter that is about to
// stop is asked only if there is no other, and not by a leader that was elected while it is
// about to stop itself. Only the leader of a term can hold a lease in it, so after it has
// stepped down voters need not wait for the lease to expire.
func (t *transition[C, S, R]) transferLeadership() {
	s := t.state
	if s.role != Leader || !s.stopping {
		return
	}
	successor := ""
	for _, p := range s.peers {
		eligible := s.isMember(p.name, p.diskID) && p.matchIndex == s.lastIndex() && t.now.Sub(p.ackedAt) < s.cfg.ElectionTimeout
		if eligible && (!p.stopping || (successor == "" && s.resigning)) {
			successor = p.name
		}
	}
	if successor == "" {
		return
	}
	learners := t.answeringLearners()
	t.becomeFollower(s.term, "")
	t.send(Message[C, S, R]{Kind: TimeoutNow, To: successor, Learners: learners})
}

// handleTimeoutNow starts an election at once if the leader of the current term asks for it.
func (t *transition[C, S, R]) handleTimeoutNow(m Message[C, S, R]) {
	s := t.state
	if s.role != Follower || m.Term != s.term || m.From != s.leader || !s.IsVoter() {
		return
	}
	t.startElection(true)
}

// startElection makes the node a candidate of the next term. leaderTransfer is set if the
// leader of the current term asked for the election.
func (t *transition[C, S, R]) startElection(leaderTransfer bool) {
	s := &t.state
	s.role = Candidate
	s.term++
	s.votedFor = s.cfg.Name
	s.votes = []string{s.cfg.Name}
	t.termOrVoteChanged = true
	*s = s.withRetryTimer(t.now)
	t.requestVotes(Message[C, S, R]{Kind: Vote, Term: s.term, LeaderTransfer: leaderTransfer})
	if s.quorum() == 1 {
		t.becomeLeader()
	}
}

func (t *transition[C, S, R]) requestVotes(m Message[C, S, R]) {
	s := t.state
	m.Index, m.LogTerm = s.lastIndex(), s.lastTerm()
	for _, member := range s.Members() {
		if member.Name == s.cfg.Name {
			continue
		}
		m.To = member.Name
		t.sendAfterSync(m) // a candidate's vote for itself must be synced before it asks another node for a vote
	}
}

// handleVoteRequest answers a vote or pre-vote request. A voter grants it only if the log
// of the candidate is up to date and either no message from a leader arrived within
// ElectionTimeout or the leader asked for the election. It grants one vote per term, but
// any number of pre-votes.
func (t *transition[C, S, R]) handleVoteRequest(m Message[C, S, R]) {
	s := &t.state
	upToDate := m.LogTerm > s.lastTerm() || (m.LogTerm == s.lastTerm() && m.Index >= s.lastIndex())
	grant := upToDate && s.IsVoter() && m.Term >= s.term && (m.LeaderTransfer || !t.heardLeaderRecently())
	if m.Kind == PreVote {
		grant = grant && m.Term > s.term
		reply := Message[C, S, R]{Kind: PreVoteReply, To: m.From, Granted: grant, Term: s.term}
		if grant {
			reply.Term = m.Term
		}
		t.sendAfterSync(reply)
		return
	}
	grant = grant && m.Term == s.term && (s.votedFor == "" || s.votedFor == m.From)
	if grant {
		s.votedFor = m.From
		t.termOrVoteChanged = true
		*s = s.withElectionTimer(t.now)
	}
	t.sendAfterSync(Message[C, S, R]{Kind: VoteReply, To: m.From, Granted: grant})
}

func (t *transition[C, S, R]) handleVoteReply(m Message[C, S, R]) {
	s := &t.state
	expected := (s.role == PreCandidate && m.Kind == PreVoteReply && m.Term == s.term+1) ||
		(s.role == Candidate && m.Kind == VoteReply && m.Term == s.term)
	if !expected || !m.Granted || !s.isMember(m.From, m.DiskID) || slices.Contains(s.votes, m.From) {
		return
	}
	s.votes = append(slices.Clone(s.votes), m.From)
	t.checkVoteQuorum()
}

func (t *transition[C, S, R]) checkVoteQuorum() {
	s := t.state
	if len(s.votes) < s.quorum() {
		return
	}
	switch s.role {
	case PreCandidate:
		t.startElection(false)
	case Candidate:
		t.becomeLeader()
	}
}

// becomeLeader appends a no-op entry, because a leader can commit entries of earlier terms
// only together with one of its own term.
func (t *transition[C, S, R]) becomeLeader() {
	s := &t.state
	s.role = Leader
	s.leader = s.cfg.Name
	s.leaderHeardAt = t.now
	s.leaderSince = t.now
	s.peers = slices.Clone(s.peers)
	for i := range s.peers {
		s.peers[i] = progress{name: s.peers[i].name, nextIndex: s.lastIndex() + 1}
	}
	s.termStart, s.previousTerm = s.lastIndex()+1, s.lastTerm()
	t.appendEntry(Entry[C]{Kind: NoopEntry})
}

// reconcileVoters changes the membership by one voter if needed. A voter that lost
// its disk is removed once it has caught up under its new disk ID, and then
// added under that ID. Each change must be committed before the next, and an entry
// of the leader's own term before the first.
func (t *transition[C, S, R]) reconcileVoters() {
	s := t.state
	changePending := s.memberships[len(s.memberships)-1].index > s.commit
	if changePending || s.commit < s.termStart || !s.HoldsLease(t.now) {
		return
	}
	surplus, ok := t.surplusVoter()
	if ok {
		t.appendEntry(Entry[C]{Kind: MembershipEntry, Members: without(s.Members(), surplus)})
		return
	}
	for _, p := range s.cfg.Peers {
		peerProgress, _ := s.peer(p.Name)
		if !p.CanVote || peerProgress.diskID == "" || s.isMember(p.Name, peerProgress.diskID) {
			continue
		}
		if !t.isCaughtUp(peerProgress) {
			continue
		}
		if s.cfg.DynamicMembership && !t.shouldPromote(peerProgress) {
			continue
		}
		t.appendEntry(Entry[C]{Kind: MembershipEntry, Members: t.nextMembers(peerProgress)})
		return
	}
}

// isCaughtUp reports whether a node has answered within ElectionTimeout and has every
// committed entry or, with dynamic membership, all but maxPromotionLag of them.
func (t *transition[C, S, R]) isCaughtUp(p progress) bool {
	maxLag := uint64(0)
	if t.state.cfg.DynamicMembership {
		maxLag = maxPromotionLag
	}
	return p.matchIndex > 0 && p.matchIndex+maxLag >= t.state.commit && t.now.Sub(p.ackedAt) < t.state.cfg.ElectionTimeout
}

// nextMembers returns the voters after the next change on the way to making a node a
// voter. If the node is a voter under an old disk ID, the change removes that voter.
// Otherwise, if the membership is dynamic and the group has its target number of voters,
// the change removes an unresponsive voter. Otherwise it adds the node. A voter that is about
// to stop is removed only after that, since it still counts towards the majority.
func (t *transition[C, S, R]) nextMembers(p progress) []Member {
	members := slices.Clone(t.state.Members())
	others := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Name == p.name })
	if len(others) < len(members) {
		return others
	}
	_, stopping := t.stoppingVoter()
	if t.state.cfg.DynamicMembership && len(members) >= t.state.cfg.TargetVoters && !stopping {
		unresponsive, _ := t.unresponsiveVoter()
		return without(members, unresponsive)
	}
	return append(members, Member{Name: p.name, DiskID: p.diskID})
}

// without returns the members without one of them.
func without(members []Member, m Member) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(other Member) bool { return other == m })
}
