package replicator

import (
	"slices"
	"time"
)

// Tick is the event that time has passed.
type Tick struct{}

// Proposal is a request to apply a command.
type Proposal[C any] struct {
	ProposalID uint64
	Command    C
	Term       uint64 // if set, the proposal fails unless this node leads in that term, and is not forwarded
}

// Persisted is the event that the log of the node is synced up to Index.
type Persisted struct {
	Index uint64
	Term  uint64 // term of the entry at Index
}

// transition holds the state during one step and collects the effects of the step.
type transition[C, S, R any] struct {
	state             State[C, S, R]
	now               time.Time
	effects           Effects[C, S, R]
	termOrVoteChanged bool
	writeFrom         uint64 // index of the first entry to write; zero: none
	snapshotChanged   bool
}

// Tick handles whatever is due at now: heartbeats, elections and membership changes.
func (s State[C, S, R]) Tick(now time.Time) (State[C, S, R], Effects[C, S, R]) {
	return s.step(now, (*transition[C, S, R]).tick)
}

// Receive handles a message from another node.
func (s State[C, S, R]) Receive(now time.Time, m Message[C, S, R]) (State[C, S, R], Effects[C, S, R]) {
	return s.step(now, func(t *transition[C, S, R]) { t.handleMessage(m) })
}

// Propose handles proposals of this node: a leader appends them to its log, any other
// node forwards them.
func (s State[C, S, R]) Propose(now time.Time, proposals ...Proposal[C]) (State[C, S, R], Effects[C, S, R]) {
	return s.step(now, func(t *transition[C, S, R]) {
		for _, p := range proposals {
			t.propose(p)
		}
	})
}

// Resign prepares a planned stop, so that it leaves no time without a leader and takes no
// vote from the group. A leader starts a leadership transfer: it rejects further proposals and
// steps down once another voter has the whole log. A follower tells the leader that it is about
// to stop; with dynamic membership, the leader gives its vote to a learner that has caught up.
func (s State[C, S, R]) Resign(now time.Time) (State[C, S, R], Effects[C, S, R]) {
	return s.step(now, func(t *transition[C, S, R]) {
		t.state.stopping = true
		t.state.resigning = t.state.role == Leader && len(t.state.Members()) > 1
	})
}

// StepDown makes a leader a follower that starts no election for the given time unless it hears another leader. The other
// voters wait until its lease has expired.
func (s State[C, S, R]) StepDown(now time.Time, pause time.Duration) (State[C, S, R], Effects[C, S, R]) {
	return s.step(now, func(t *transition[C, S, R]) {
		if t.state.role != Leader {
			return
		}
		t.becomeFollower(t.state.term, "")
		t.state.electionAt = now.Add(pause)
	})
}

// Persisted handles the event that a write is synced. It ignores the event if the entry
// at p.Index has been replaced or compacted since.
func (s State[C, S, R]) Persisted(now time.Time, p Persisted) (State[C, S, R], Effects[C, S, R]) {
	return s.step(now, func(t *transition[C, S, R]) {
		term, ok := t.state.termAt(p.Index)
		if ok && term == p.Term {
			t.state.persisted = max(t.state.persisted, p.Index)
		}
	})
}

// step runs an action and then everything that can follow from a change of the state.
func (s State[C, S, R]) step(now time.Time, action func(*transition[C, S, R])) (State[C, S, R], Effects[C, S, R]) {
	t := &transition[C, S, R]{state: s, now: now}
	action(t)
	t.advanceCommit()
	t.apply()
	t.confirmAck()
	t.transferLeadership()
	t.compact()
	t.replicate()
	t.prepareWrite()
	return t.state, t.effects
}

// WakeAt returns the time at which the node needs its next tick.
func (s State[C, S, R]) WakeAt(now time.Time) time.Time {
	if s.applied < s.commit {
		return now // the last step stopped at MaxApplyPerStep; queued messages are handled before the next one
	}
	if s.role == Leader {
		interval := s.cfg.HeartbeatInterval / 2 // the lease may end between two heartbeats
		return now.Truncate(interval).Add(interval)
	}
	staleAt := s.leaderAckedAt.Add(s.cfg.FreshFor)
	if staleAt.After(now) && staleAt.Before(s.electionAt) {
		return staleAt // the caller checks IsFresh after each step, so it needs one when the copy becomes stale
	}
	return s.electionAt
}

func (t *transition[C, S, R]) tick() {
	s := &t.state
	if s.role == Leader {
		if !s.HoldsLease(t.now) && t.now.Sub(s.leaderHeardAt) > s.cfg.ElectionTimeout {
			t.becomeFollower(s.term, "") // check quorum: a leader without replies from a majority steps down
			return
		}
		if s.HoldsLease(t.now) {
			s.leaderHeardAt = t.now
		}
		t.reconcileVoters()
		t.sendHeartbeats()
		return
	}
	if t.now.Before(s.electionAt) {
		return
	}
	*s = s.withRetryTimer(t.now)
	s.leader = ""
	if s.cfg.ProposeOnly {
		return
	}
	if s.IsVoter() {
		t.startPreVote()
		return
	}
	t.fetchSnapshot()
}

// fetchSnapshot asks all voters for a snapshot of their applied state. A node that is
// not a voter does so while it hears no leader.
func (t *transition[C, S, R]) fetchSnapshot() {
	for _, p := range t.state.cfg.Peers {
		if p.CanVote {
			t.send(Message[C, S, R]{Kind: FetchSnapshot, To: p.Name, Commit: t.state.commit})
		}
	}
}

func (t *transition[C, S, R]) handleMessage(m Message[C, S, R]) {
	s := &t.state
	*s = s.withDiscoveredPeer(m.From)
	for _, name := range m.Learners {
		*s = s.withDiscoveredPeer(name)
	}
	if m.Term > s.term && t.adoptsTerm(m) {
		leader := ""
		if m.Kind == Append || m.Kind == InstallSnapshot {
			leader = m.From
		}
		t.becomeFollower(m.Term, leader)
	}
	switch m.Kind {
	case PreVote, Vote:
		t.handleVoteRequest(m)
	case PreVoteReply, VoteReply:
		t.handleVoteReply(m)
	case Append:
		t.handleAppend(m)
	case AppendReply:
		t.handleAppendReply(m)
	case InstallSnapshot:
		t.handleSnapshot(m)
	case Propose:
		t.handleProposal(m)
	case ProposeReply:
		t.recordLeader(m)
		t.effects.Results = append(t.effects.Results, Result[R]{ProposalID: m.ProposalID, Value: m.Result, Failed: m.Failed})
	case FetchSnapshot:
		t.handleFetch(m)
	case TimeoutNow:
		t.handleTimeoutNow(m)
	}
}

// adoptsTerm reports whether a message of a higher term changes the term of this node.
// A pre-vote and its grant carry a term that no node has started yet. A vote request does
// not change the term within ElectionTimeout after a message from a leader, unless that
// leader asked for the election. A snapshot changes it only if the leader of the term sent
// the snapshot.
func (t *transition[C, S, R]) adoptsTerm(m Message[C, S, R]) bool {
	switch m.Kind {
	case PreVote, Propose, ProposeReply, FetchSnapshot:
		return false
	case PreVoteReply:
		return !m.Granted
	case Vote:
		return m.LeaderTransfer || !t.heardLeaderRecently()
	case InstallSnapshot:
		return m.LeaseHeld
	}
	return true
}

// heardLeaderRecently reports whether a message from a leader arrived, or the node started,
// within ElectionTimeout. The node grants no votes during that time, and the leader lease
// depends on this.
func (t *transition[C, S, R]) heardLeaderRecently() bool {
	s := t.state
	if s.cfg.DisableStickiness {
		return false
	}
	return t.now.Sub(s.leaderHeardAt) < s.cfg.ElectionTimeout
}

func (t *transition[C, S, R]) becomeFollower(term uint64, leader string) {
	s := &t.state
	if term > s.term {
		s.term = term
		s.votedFor = ""
		t.termOrVoteChanged = true
	}
	s.role = Follower
	s.resigning = false
	s.leader = leader
	s.votes = nil
	*s = s.withElectionTimer(t.now)
}

// propose appends a proposal of this node to the log or forwards it to the leader. It adds
// a failed result if it can do neither.
func (t *transition[C, S, R]) propose(p Proposal[C]) {
	s := &t.state
	if p.Term != 0 && (s.role != Leader || s.term != p.Term) {
		t.effects.Results = append(t.effects.Results, Result[R]{ProposalID: p.ProposalID, Failed: true})
		return
	}
	if s.role == Leader && !s.resigning {
		t.appendEntry(Entry[C]{Kind: CommandEntry, Command: p.Command, Origin: s.cfg.Name, ProposalID: p.ProposalID})
		return
	}
	to := s.leader
	if s.cfg.ProposeOnly && to == "" {
		to = t.pickVoter()
	}
	if to == "" || to == s.cfg.Name {
		t.effects.Results = append(t.effects.Results, Result[R]{ProposalID: p.ProposalID, Failed: true})
		return
	}
	t.send(Message[C, S, R]{Kind: Propose, To: to, ProposalID: p.ProposalID, Command: p.Command})
}

// pickVoter returns one of the peers that can be voters, selected by drawCount, since any of
// them may know the leader.
func (t *transition[C, S, R]) pickVoter() string {
	var names []string
	for _, p := range t.state.cfg.Peers {
		if p.CanVote {
			names = append(names, p.Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	t.state.drawCount++
	return names[t.state.drawCount%uint64(len(names))]
}

// recordLeader records the node that answered a proposal as the leader, or that no leader
// is known if the proposal failed. Only a node with ProposeOnly needs this, since it gets
// no appends.
func (t *transition[C, S, R]) recordLeader(m Message[C, S, R]) {
	if !t.state.cfg.ProposeOnly {
		return
	}
	t.state.leader = ""
	if !m.Failed {
		t.state.leader = m.From
	}
}

func (t *transition[C, S, R]) handleProposal(m Message[C, S, R]) {
	s := t.state
	if s.role != Leader && s.leader != "" && !m.Forwarded {
		m.To, m.Forwarded = s.leader, true
		t.effects.Immediate = append(t.effects.Immediate, m) // From stays the proposer, so that the leader answers it directly
		return
	}
	if s.role != Leader || s.resigning {
		t.send(Message[C, S, R]{Kind: ProposeReply, To: m.From, ProposalID: m.ProposalID, Failed: true})
		return
	}
	t.appendEntry(Entry[C]{Kind: CommandEntry, Command: m.Command, Origin: m.From, ProposalID: m.ProposalID})
}

// appendEntry appends an entry to the leader's log.
func (t *transition[C, S, R]) appendEntry(e Entry[C]) {
	s := &t.state
	e.Index = s.lastIndex() + 1
	e.Term = s.term
	e.At = t.now
	*s = s.withEntry(e)
	t.markForWrite(e.Index)
}

// markForWrite includes the entries from index on in the write of this step.
func (t *transition[C, S, R]) markForWrite(index uint64) {
	if t.writeFrom == 0 || index < t.writeFrom {
		t.writeFrom = index
	}
}

// advanceCommit advances the commit index to the last entry that a majority of the
// voters has, if it is of the leader's own term.
func (t *transition[C, S, R]) advanceCommit() {
	s := &t.state
	if s.role != Leader {
		return
	}
	matchIndexes := make([]uint64, 0, len(s.Members()))
	for _, m := range s.Members() {
		if m.Name == s.cfg.Name {
			matchIndexes = append(matchIndexes, s.persisted)
			continue
		}
		p, ok := s.peer(m.Name)
		if ok && p.diskID == m.DiskID {
			matchIndexes = append(matchIndexes, p.matchIndex)
		}
	}
	if len(matchIndexes) < s.quorum() {
		return
	}
	slices.Sort(matchIndexes)
	index := matchIndexes[len(matchIndexes)-s.quorum()]
	term, ok := s.termAt(index)
	if index > s.commit && ok && term == s.term {
		s.commit = index
	}
}

// apply applies committed entries. A majority has synced them, though this node may not
// have: a leader whose own disk stalls continues to serve.
func (t *transition[C, S, R]) apply() {
	s := &t.state
	for n := 0; s.applied < s.commit && (s.cfg.MaxApplyPerStep == 0 || n < s.cfg.MaxApplyPerStep); n++ {
		e := s.entries.Get(int(s.applied - s.baseIndex))
		s.applied++
		t.effects.Applied++
		if e.Kind != CommandEntry {
			continue
		}
		var result R
		s.machine, result = s.cfg.Apply(s.machine, e.At, e.Command)
		t.deliverResult(e, result)
	}
}

// confirmAck makes an acknowledged message count for the freshness of the copy, once
// the copy holds what the leader had committed by then.
func (t *transition[C, S, R]) confirmAck() {
	s := &t.state
	if s.ackPendingAt.IsZero() || s.applied < s.ackPendingTo {
		return
	}
	s.leaderAckedAt, s.ackPendingAt = s.ackPendingAt, time.Time{}
}

// deliverResult returns the result of a command to its proposer: to this node if it made
// the proposal, otherwise in a message from the leader.
func (t *transition[C, S, R]) deliverResult(e Entry[C], result R) {
	s := t.state
	if e.Origin == s.cfg.Name {
		t.effects.Results = append(t.effects.Results, Result[R]{ProposalID: e.ProposalID, Value: result})
		return
	}
	if s.role == Leader {
		t.send(Message[C, S, R]{Kind: ProposeReply, To: e.Origin, ProposalID: e.ProposalID, Result: result})
	}
}

// compact takes a snapshot once enough entries are applied after the last one, and drops
// old entries from the log.
func (t *transition[C, S, R]) compact() {
	s := &t.state
	if s.applied-s.snapshot.Index < s.compactAfter() {
		return
	}
	term, _ := s.termAt(s.applied)
	s.snapshot = Snapshot[S]{Index: s.applied, Term: term, Members: s.membersAt(s.applied), Machine: s.machine}
	if s.applied-s.baseIndex > s.cfg.TrailingEntries {
		newBase := s.applied - s.cfg.TrailingEntries
		s.baseTerm, _ = s.termAt(newBase)
		s.entries = s.entries.Slice(int(newBase-s.baseIndex), s.entries.Len())
		s.baseIndex = newBase
	}
	s.memberships = slices.DeleteFunc(slices.Clone(s.memberships), func(m membership) bool { return m.index <= s.applied })
	s.memberships = slices.Insert(s.memberships, 0, membership{index: s.applied, members: s.snapshot.Members})
	t.snapshotChanged = true
}

// compactAfter returns the number of entries between two snapshots. It grows with the
// state machine, so that the cost of snapshots per entry stays constant.
func (s State[C, S, R]) compactAfter() uint64 {
	if s.cfg.SnapshotCost == nil {
		return s.cfg.CompactAfter
	}
	return max(s.cfg.CompactAfter, s.cfg.SnapshotCost(s.machine))
}

func (s State[C, S, R]) membersAt(index uint64) []Member {
	var members []Member
	for _, m := range s.memberships {
		if m.index <= index {
			members = m.members
		}
	}
	return members
}

// prepareWrite adds the write of this step to the effects. A node without a disk writes
// nothing, so its messages are sent at once.
func (t *transition[C, S, R]) prepareWrite() {
	s := t.state
	if !s.cfg.Durable {
		t.effects.Immediate = append(t.effects.Immediate, t.effects.AfterSync...)
		t.effects.AfterSync = nil
		return
	}
	if !t.termOrVoteChanged && t.writeFrom == 0 && !t.snapshotChanged {
		return
	}
	w := &Write[C, S]{Term: s.term, VotedFor: s.votedFor, ReplaceFrom: t.writeFrom}
	if t.writeFrom != 0 {
		w.Entries = s.entriesFrom(t.writeFrom, int(s.lastIndex()))
	}
	if t.snapshotChanged {
		snapshot := s.snapshot
		w.Snapshot = &snapshot
		w.ReplaceFrom = s.baseIndex + 1
		w.Entries = s.entriesFrom(s.baseIndex+1, s.entries.Len())
	}
	t.effects.Write = w
}

// stamp sets the sender, the send time and, unless the message has one, the term.
func (t *transition[C, S, R]) stamp(m Message[C, S, R]) Message[C, S, R] {
	s := t.state
	m.From = s.cfg.Name
	m.DiskID = s.cfg.DiskID
	m.SentAt = t.now
	if m.Term == 0 {
		m.Term = s.term
	}
	return m
}

// send sends a message that need not wait until the writes of this step are synced.
func (t *transition[C, S, R]) send(m Message[C, S, R]) {
	t.effects.Immediate = append(t.effects.Immediate, t.stamp(m))
}

// sendAfterSync sends a message once the writes up to and including this step are synced.
func (t *transition[C, S, R]) sendAfterSync(m Message[C, S, R]) {
	t.effects.AfterSync = append(t.effects.AfterSync, t.stamp(m))
}
