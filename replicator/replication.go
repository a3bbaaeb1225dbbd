package replicator

import "time"

// learnerHeartbeatFactor multiplies the heartbeat interval for a learner that is up to
// date. A learner grants no lease, so it needs heartbeats only to know that its copy is fresh.
const learnerHeartbeatFactor = 5

// minLearnerInterval is the minimum time after the last message to a learner of a group
// with dynamic membership before replicate sends it new entries. It saves CPU time on the
// leader, which used up its CPU share with 340 workers. Heartbeats, which may carry
// entries, do not wait for it.
const minLearnerInterval = 200 * time.Millisecond

// sendHeartbeats sends an append to every node to which nothing was sent since the last
// multiple of its heartbeat interval on the clock. All groups of an instance send at these
// times, so that their messages to a peer can be batched. A learner whose commit index is
// behind gets heartbeats at the interval of a voter; otherwise, after the loss of a
// message, it would not commit the last entries until the end of its longer interval.
func (t *transition[C, S, R]) sendHeartbeats() {
	s := t.state
	for _, p := range s.peers {
		interval := s.cfg.HeartbeatInterval
		if !s.isMember(p.name, p.diskID) && p.commitIndex >= s.commit {
			interval *= learnerHeartbeatFactor
		}
		if t.replicatesTo(p.name) && p.lastSentAt.Before(t.now.Truncate(interval)) {
			t.sendAppend(p.name, true)
		}
	}
}

// replicate sends new entries and the new commit index at once to each node that has
// answered the previous message. Entries that arrive in the meantime are batched: with
// one message per entry, a busy leader and its followers would spend nearly all their
// time on these messages. Learners of a group with dynamic membership get entries at
// most once per minLearnerInterval, unless they should become voters.
func (t *transition[C, S, R]) replicate() {
	s := t.state
	if s.role != Leader {
		return
	}
	for _, p := range s.peers {
		behind := p.nextIndex <= s.lastIndex() || p.commitIndex < s.commit
		awaitingReply := p.lastSentAt.After(p.ackedAt) && t.now.Sub(p.lastSentAt) < s.cfg.HeartbeatInterval/2 // after half an interval without a reply, the message counts as lost
		throttled := s.cfg.DynamicMembership && !s.isMember(p.name, p.diskID) && !t.shouldPromote(p) && t.now.Sub(p.lastSentAt) < minLearnerInterval
		if behind && !awaitingReply && !throttled && t.replicatesTo(p.name) {
			t.sendAppend(p.name, false)
		}
	}
}

func (t *transition[C, S, R]) replicatesTo(name string) bool {
	for _, p := range t.state.cfg.Peers {
		if p.Name == name {
			return p.CanVote || p.Learner
		}
	}
	return false
}

// sendAppend sends a node the entries that it lacks, or a snapshot if they are no longer
// in the log. heartbeat is set if the message is due only because time has passed.
func (t *transition[C, S, R]) sendAppend(name string, heartbeat bool) {
	s := &t.state
	p, ok := s.peer(name)
	if !ok {
		return
	}
	p.lastSentAt = t.now
	var learners []string
	if s.cfg.DynamicMembership && s.isMember(p.name, p.diskID) && p.toldLearnersAt.Before(t.now.Truncate(learnersInterval)) {
		learners, p.toldLearnersAt = t.answeringLearners(), t.now
	}
	m := Message[C, S, R]{To: name, Learners: learners, Commit: s.commit, LeaseHeld: s.HoldsLease(t.now), EchoedSentAt: p.peerSentAt}
	if p.nextIndex <= s.baseIndex {
		snapshot := s.snapshot
		m.Kind = InstallSnapshot
		m.LeaseHeld = true // marks a snapshot from the leader of this term
		m.Snapshot = &snapshot
		p.nextIndex = snapshot.Index + 1
	} else {
		m.Kind = Append
		m.Index = p.nextIndex - 1
		m.LogTerm, _ = s.termAt(m.Index)
		m.Entries = s.entriesFrom(p.nextIndex, s.cfg.MaxBatchSize)
		m.HeartbeatOnly = heartbeat && len(m.Entries) == 0
		p.nextIndex += uint64(len(m.Entries))
	}
	*s = s.withProgress(p)
	t.send(m)
}

func (t *transition[C, S, R]) handleAppend(m Message[C, S, R]) {
	s := &t.state
	if m.Term < s.term {
		t.replyAppend(m, false, 0)
		return
	}
	t.observeLeader(m)
	if m.LeaseHeld && m.EchoedSentAt.After(s.leaderAckedAt) && s.ackPendingAt.IsZero() {
		s.ackPendingAt, s.ackPendingTo = m.EchoedSentAt, m.Commit
	}
	term, ok := s.termAt(m.Index)
	if m.Index < s.baseIndex {
		t.replyAppend(m, true, s.commit) // the entry at m.Index is compacted and so committed; the leader resends any entries after s.commit
		return
	}
	if !ok || term != m.LogTerm {
		t.replyAppend(m, false, t.conflictHint(m.Index))
		return
	}
	t.mergeEntries(m.Entries)
	match := m.Index + uint64(len(m.Entries))
	s.commit = max(s.commit, min(m.Commit, match))
	t.replyAppend(m, true, match)
}

// conflictHint returns the index after which a leader should retry a mismatched append.
func (t *transition[C, S, R]) conflictHint(index uint64) uint64 {
	s := t.state
	if index > s.lastIndex() {
		return s.lastIndex()
	}
	return max(s.commit, min(index-1, s.lastIndex()))
}

// observeLeader records an append or a snapshot of the leader of the current term and
// restarts the election timeout.
func (t *transition[C, S, R]) observeLeader(m Message[C, S, R]) {
	s := &t.state
	if s.role != Follower {
		t.becomeFollower(m.Term, m.From)
	}
	s.leader = m.From
	s.leaderHeardAt = t.now
	*s = s.withElectionTimer(t.now)
}

// mergeEntries appends the entries that the log lacks. At a conflict it truncates the log.
func (t *transition[C, S, R]) mergeEntries(entries []Entry[C]) {
	s := &t.state
	for _, e := range entries {
		term, ok := s.termAt(e.Index)
		if e.Index <= s.baseIndex || (ok && term == e.Term) {
			continue
		}
		if ok {
			*s = s.withoutEntriesFrom(e.Index)
		}
		*s = s.withEntry(e)
		t.markForWrite(e.Index)
	}
}

// replyAppend answers an append or a snapshot. index is the last matching index or, if
// matched is false, the index after which the leader should retry.
func (t *transition[C, S, R]) replyAppend(m Message[C, S, R], matched bool, index uint64) {
	t.sendAfterSync(Message[C, S, R]{Kind: AppendReply, To: m.From, Granted: matched, Index: index, EchoedSentAt: m.SentAt, Commit: t.state.commit, Stopping: t.state.stopping})
}

func (t *transition[C, S, R]) handleAppendReply(m Message[C, S, R]) {
	s := &t.state
	p, ok := s.peer(m.From)
	if s.role != Leader || m.Term != s.term || !ok {
		return
	}
	if p.diskID != m.DiskID { // the node restarted with a new disk ID, so its entries are gone
		p = progress{name: m.From, diskID: m.DiskID, nextIndex: p.nextIndex, lastSentAt: p.lastSentAt}
	}
	p.peerSentAt = m.SentAt
	p.commitIndex = max(p.commitIndex, m.Commit)
	p.stopping = m.Stopping
	if m.EchoedSentAt.After(p.ackedAt) {
		p.ackedAt = m.EchoedSentAt
	}
	if m.Granted {
		p.matchIndex = max(p.matchIndex, m.Index)
		p.nextIndex = max(p.nextIndex, p.matchIndex+1)
		*s = s.withProgress(p)
		return
	}
	if !m.EchoedSentAt.Before(p.backtrackedAt) { // an older reply answers a message sent before nextIndex was moved back
		p.nextIndex = min(p.nextIndex, max(m.Index, p.matchIndex)+1)
		p.backtrackedAt = t.now
	}
	*s = s.withProgress(p)
}

// handleSnapshot handles a snapshot from the leader, for which LeaseHeld is set, or the
// reply to a FetchSnapshot.
func (t *transition[C, S, R]) handleSnapshot(m Message[C, S, R]) {
	s := &t.state
	if m.LeaseHeld {
		if m.Term < s.term {
			t.replyAppend(m, false, 0)
			return
		}
		t.observeLeader(m)
	} else if s.leader != "" {
		return // reply to a fetch that is no longer needed
	}
	if m.Snapshot.Index > s.commit {
		t.installSnapshot(*m.Snapshot)
	}
	if m.LeaseHeld {
		t.replyAppend(m, true, s.commit)
	}
}

func (t *transition[C, S, R]) installSnapshot(snapshot Snapshot[S]) {
	s := &t.state
	term, ok := s.termAt(snapshot.Index)
	if ok && term == snapshot.Term {
		s.commit = snapshot.Index // the log is kept: it has this entry, and later entries may have been acknowledged
		return
	}
	s.snapshot = snapshot
	s.machine = snapshot.Machine
	defer func() { *s = s.withMembersAsPeers() }()
	s.baseIndex = snapshot.Index
	s.baseTerm = snapshot.Term
	s.entries = s.entries.Slice(0, 0)
	s.memberships = []membership{{index: snapshot.Index, members: snapshot.Members}}
	s.commit = snapshot.Index
	s.applied = snapshot.Index
	s.persisted = snapshot.Index
	t.snapshotChanged = true
}

// handleFetch sends a snapshot of the applied state to a node that hears no leader, if
// this node is a voter and is ahead of it. A voter that hears no leader answers too, so
// a partition without the leader can still get the state that its voters have applied.
func (t *transition[C, S, R]) handleFetch(m Message[C, S, R]) {
	s := t.state
	if !s.IsVoter() || s.applied <= m.Commit {
		return
	}
	term, _ := s.termAt(s.applied)
	snapshot := Snapshot[S]{Index: s.applied, Term: term, Members: s.membersAt(s.applied), Machine: s.machine}
	t.send(Message[C, S, R]{Kind: InstallSnapshot, To: m.From, Snapshot: &snapshot})
}
