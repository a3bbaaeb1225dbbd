package replicator

import (
	"slices"
	"time"
)

// Tick tells a node that time has passed.
type Tick struct{}

// Proposal asks a node to have a command applied.
type Proposal[C any] struct {
	Ticket  uint64
	Command C
}

// Persisted tells a node that its log is synced up to an index.
type Persisted struct {
	Index uint64
	Term  uint64 // of that entry
}

// round gathers the effects of one step.
type round[C, S, R any] struct {
	state State[C, S, R]
	now   time.Time
	out   Effects[C, S, R]
	dirty bool   // term or vote changed
	from  uint64 // first entry to write
	snap  bool   // the snapshot changed
}

// Tick lets a node act on the time: heartbeats, elections, repairs.
func (s State[C, S, R]) Tick(now time.Time) (State[C, S, R], Effects[C, S, R]) {
	return s.step(now, (*round[C, S, R]).tick)
}

// Receive takes a message of another node.
func (s State[C, S, R]) Receive(now time.Time, m Message[C, S, R]) (State[C, S, R], Effects[C, S, R]) {
	return s.step(now, func(r *round[C, S, R]) { r.receive(m) })
}

// Propose takes proposals of this node.
func (s State[C, S, R]) Propose(now time.Time, proposals ...Proposal[C]) (State[C, S, R], Effects[C, S, R]) {
	return s.step(now, func(r *round[C, S, R]) {
		for _, p := range proposals {
			r.propose(p)
		}
	})
}

// Resign lets a leader take no more proposals, and give its lease up to a voter
// that has the whole log, so that a planned stop leaves no time without a leader.
func (s State[C, S, R]) Resign(now time.Time) (State[C, S, R], Effects[C, S, R]) {
	return s.step(now, func(r *round[C, S, R]) {
		r.state.resigning = r.state.role == Leader && len(r.state.Members()) > 1
	})
}

// Persisted takes the news that a write is synced.
func (s State[C, S, R]) Persisted(now time.Time, p Persisted) (State[C, S, R], Effects[C, S, R]) {
	return s.step(now, func(r *round[C, S, R]) {
		term, ok := r.state.termAt(p.Index)
		if ok && term == p.Term {
			r.state.persisted = max(r.state.persisted, p.Index)
		}
	})
}

func (s State[C, S, R]) step(now time.Time, act func(*round[C, S, R])) (State[C, S, R], Effects[C, S, R]) {
	r := &round[C, S, R]{state: s, now: now}
	act(r)
	r.advanceCommit()
	r.apply()
	r.handOver()
	r.compact()
	r.push()
	r.write()
	return r.state, r.out
}

// WakeAt is when a node wants its next tick.
func (s State[C, S, R]) WakeAt(now time.Time) time.Time {
	if s.applied < s.commit {
		return now // a step applied what it may; between two, messages are taken
	}
	if s.role == Leader {
		every := s.cfg.Heartbeat / 2 // its lease may end between two heartbeats
		return now.Truncate(every).Add(every)
	}
	staleAt := s.freshAt.Add(s.cfg.Fresh)
	if staleAt.After(now) && staleAt.Before(s.electAt) {
		return staleAt
	}
	return s.electAt
}

func (r *round[C, S, R]) tick() {
	s := &r.state
	if s.role == Leader {
		if !s.HoldsLease(r.now) && r.now.Sub(s.heardAt) > s.cfg.Election {
			r.follow(s.term, "") // check-quorum: a leader that nobody answers is none
			return
		}
		if s.HoldsLease(r.now) {
			s.heardAt = r.now
		}
		r.repairVoters()
		r.beat()
		return
	}
	if r.now.Before(s.electAt) {
		return
	}
	*s = s.withRetryTimer(r.now)
	s.leader = ""
	if s.cfg.Passive {
		return
	}
	if s.IsVoter() {
		r.preCampaign()
		return
	}
	r.fetch()
}

// fetch asks the voters in turn for their committed state, for a node that hears no leader.
func (r *round[C, S, R]) fetch() {
	for _, p := range r.state.cfg.Peers {
		if p.Voter {
			r.send(Message[C, S, R]{Kind: Fetch, To: p.Name, Commit: r.state.commit})
		}
	}
}

func (r *round[C, S, R]) receive(m Message[C, S, R]) {
	s := &r.state
	*s = s.withKnownPeer(m.From)
	if m.Term > s.term && r.adoptsTerm(m) {
		leader := ""
		if m.Kind == Append || m.Kind == Install {
			leader = m.From
		}
		r.follow(m.Term, leader)
	}
	switch m.Kind {
	case PreVote, Vote:
		r.answerVote(m)
	case PreVoteReply, VoteReply:
		r.countVote(m)
	case Append:
		r.takeAppend(m)
	case AppendReply:
		r.takeAppendReply(m)
	case Install:
		r.takeSnapshot(m)
	case Propose:
		r.takeProposal(m)
	case ProposeReply:
		r.learnLeader(m)
		r.out.Results = append(r.out.Results, Result[R]{Ticket: m.Ticket, Value: m.Result, Failed: m.Failed})
	case Fetch:
		r.answerFetch(m)
	case Elect:
		r.takeElect(m)
	}
}

// adoptsTerm tells whether a message of a higher term changes the own one.
// A pre-vote promises nothing, and a vote against a living leader is not heard.
func (r *round[C, S, R]) adoptsTerm(m Message[C, S, R]) bool {
	switch m.Kind {
	case PreVote, Propose, ProposeReply, Fetch:
		return false
	case PreVoteReply:
		return !m.Granted
	case Vote:
		return m.Resigned || !r.hearsLeader()
	case Install:
		return m.Leased
	}
	return true
}

func (r *round[C, S, R]) hearsLeader() bool {
	s := r.state
	if s.cfg.NoStickiness {
		return false
	}
	return r.now.Sub(s.heardAt) < s.cfg.Election
}

func (r *round[C, S, R]) follow(term uint64, leader string) {
	s := &r.state
	if term > s.term {
		s.term = term
		s.votedFor = ""
		r.dirty = true
	}
	s.role = Follower
	s.resigning = false
	s.leader = leader
	s.votes = nil
	*s = s.withElectionTimer(r.now)
}

func (r *round[C, S, R]) propose(p Proposal[C]) {
	s := &r.state
	if s.role == Leader && !s.resigning {
		r.append(Entry[C]{Kind: CommandOf, Command: p.Command, Origin: s.cfg.Name, Ticket: p.Ticket})
		return
	}
	to := s.leader
	if s.cfg.Passive && to == "" {
		to = r.anyVoter()
	}
	if to == "" || to == s.cfg.Name {
		r.out.Results = append(r.out.Results, Result[R]{Ticket: p.Ticket, Failed: true})
		return
	}
	r.send(Message[C, S, R]{Kind: Propose, To: to, Ticket: p.Ticket, Command: p.Command})
}

// anyVoter draws a voter that may know the leader.
func (r *round[C, S, R]) anyVoter() string {
	var names []string
	for _, p := range r.state.cfg.Peers {
		if p.Voter {
			names = append(names, p.Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	r.state.draws++
	return names[r.state.draws%uint64(len(names))]
}

// learnLeader keeps who answered, on a node that hears no leader.
func (r *round[C, S, R]) learnLeader(m Message[C, S, R]) {
	if !r.state.cfg.Passive {
		return
	}
	r.state.leader = ""
	if !m.Failed {
		r.state.leader = m.From
	}
}

func (r *round[C, S, R]) takeProposal(m Message[C, S, R]) {
	s := r.state
	if s.role != Leader && s.leader != "" && !m.Passed {
		m.To, m.Passed = s.leader, true
		r.out.Now = append(r.out.Now, m) // under the proposer's name: the leader answers it
		return
	}
	if s.role != Leader || s.resigning {
		r.send(Message[C, S, R]{Kind: ProposeReply, To: m.From, Ticket: m.Ticket, Failed: true})
		return
	}
	r.append(Entry[C]{Kind: CommandOf, Command: m.Command, Origin: m.From, Ticket: m.Ticket})
}

// append adds an entry to the leader's log.
func (r *round[C, S, R]) append(e Entry[C]) {
	s := &r.state
	e.Index = s.lastIndex() + 1
	e.Term = s.term
	e.At = r.now
	*s = s.withEntry(e)
	r.wrote(e.Index)
}

func (r *round[C, S, R]) wrote(index uint64) {
	if r.from == 0 || index < r.from {
		r.from = index
	}
}

// advanceCommit commits what a majority of the voters holds in the leader's own term.
func (r *round[C, S, R]) advanceCommit() {
	s := &r.state
	if s.role != Leader {
		return
	}
	matches := make([]uint64, 0, len(s.Members()))
	for _, m := range s.Members() {
		if m.Name == s.cfg.Name {
			matches = append(matches, s.persisted)
			continue
		}
		p, ok := s.peer(m.Name)
		if ok && p.disk == m.Disk {
			matches = append(matches, p.match)
		}
	}
	if len(matches) < s.quorum() {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-s.quorum()]
	term, ok := s.termAt(index)
	if index > s.commit && ok && term == s.term {
		s.commit = index
	}
}

// apply applies what is committed: a majority has synced it, though this node may not have.
func (r *round[C, S, R]) apply() {
	s := &r.state
	for n := 0; s.applied < s.commit && (s.cfg.MaxApply == 0 || n < s.cfg.MaxApply); n++ {
		e := s.entries.Get(int(s.applied - s.base))
		s.applied++
		r.out.Applied++
		if e.Kind != CommandOf {
			continue
		}
		var result R
		s.machine, result = s.cfg.Apply(s.machine, e.At, e.Command)
		r.deliver(e, result)
	}
}

func (r *round[C, S, R]) deliver(e Entry[C], result R) {
	s := r.state
	if e.Origin == s.cfg.Name {
		r.out.Results = append(r.out.Results, Result[R]{Ticket: e.Ticket, Value: result})
		return
	}
	if s.role == Leader {
		r.send(Message[C, S, R]{Kind: ProposeReply, To: e.Origin, Ticket: e.Ticket, Result: result})
	}
}

// compact takes a snapshot once enough entries lie behind the last.
func (r *round[C, S, R]) compact() {
	s := &r.state
	if s.applied-s.snapshot.Index < s.compactAfter() {
		return
	}
	term, _ := s.termAt(s.applied)
	s.snapshot = Snapshot[S]{Index: s.applied, Term: term, Members: s.membersAt(s.applied), Machine: s.machine}
	if s.applied-s.base > s.cfg.KeepEntries {
		base := s.applied - s.cfg.KeepEntries
		s.baseTerm, _ = s.termAt(base)
		s.entries = s.entries.Slice(int(base-s.base), s.entries.Len())
		s.base = base
	}
	s.configs = slices.DeleteFunc(slices.Clone(s.configs), func(c config) bool { return c.index <= s.applied })
	s.configs = slices.Insert(s.configs, 0, config{index: s.applied, members: s.snapshot.Members})
	r.snap = true
}

// compactAfter grows with the machine, so that snapshots cost each entry the same.
func (s State[C, S, R]) compactAfter() uint64 {
	if s.cfg.Weight == nil {
		return s.cfg.CompactAfter
	}
	return max(s.cfg.CompactAfter, s.cfg.Weight(s.machine))
}

func (s State[C, S, R]) membersAt(index uint64) []Member {
	var members []Member
	for _, c := range s.configs {
		if c.index <= index {
			members = c.members
		}
	}
	return members
}

// write tells the disk what changed. A node without a disk writes nothing.
func (r *round[C, S, R]) write() {
	s := r.state
	if !s.cfg.Durable {
		r.out.Now = append(r.out.Now, r.out.Synced...)
		r.out.Synced = nil
		return
	}
	if !r.dirty && r.from == 0 && !r.snap {
		return
	}
	w := &Write[C, S]{Term: s.term, VotedFor: s.votedFor, From: r.from}
	if r.from != 0 {
		w.Entries = s.entriesFrom(r.from, int(s.lastIndex()))
	}
	if r.snap {
		snapshot := s.snapshot
		w.Snapshot = &snapshot
		w.From = s.base + 1
		w.Entries = s.entriesFrom(s.base+1, s.entries.Len())
	}
	r.out.Write = w
}

func (r *round[C, S, R]) stamp(m Message[C, S, R]) Message[C, S, R] {
	s := r.state
	m.From = s.cfg.Name
	m.Disk = s.cfg.Disk
	m.SentAt = r.now
	if m.Term == 0 {
		m.Term = s.term
	}
	return m
}

func (r *round[C, S, R]) send(m Message[C, S, R]) {
	r.out.Now = append(r.out.Now, r.stamp(m))
}

func (r *round[C, S, R]) sendSynced(m Message[C, S, R]) {
	r.out.Synced = append(r.out.Synced, r.stamp(m))
}
