package replicator

import (
	"iter"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

// Role is the role of a node in its group.
type Role int

// Roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// progress is the replication progress of one other node, as its leader knows it.
type progress struct {
	name           string
	diskID         string
	matchIndex     uint64    // last index known to be on the node
	commitIndex    uint64    // last index that the node is known to have committed
	nextIndex      uint64    // index of the next entry to send
	ackedAt        time.Time // leader's send time of the latest message that the node answered
	peerSentAt     time.Time // node's send time of its latest reply
	lastSentAt     time.Time // when the leader last sent an append or a snapshot to the node
	backtrackedAt  time.Time // when a rejected append last moved nextIndex back
	toldLearnersAt time.Time // when the leader last named the learners to the node
	stopping       bool      // its latest reply said that it is about to stop
}

// State is the immutable state of a node in its group.
type State[C, S, R any] struct {
	cfg         Config[C, S, R]
	term        uint64
	votedFor    string
	entries     *immutable.List[Entry[C]]
	baseIndex   uint64 // index before the first entry
	baseTerm    uint64
	snapshot    Snapshot[S]
	memberships []membership // memberships in the log, oldest first; the first one is that of the snapshot
	persisted   uint64       // index up to which the log is synced to disk; on a node without a disk, its last index
	commit      uint64
	applied     uint64
	machine     S

	role          Role
	leader        string
	leaderHeardAt time.Time // when the leader's latest message arrived, at first when the node started; on the leader, its last tick with a lease
	electionAt    time.Time // when the election timeout expires
	leaderAckedAt time.Time // own send time of the latest message that a leader with a lease is known to have received; the copy counts as fresh for FreshFor after that
	ackPendingAt  time.Time // as leaderAckedAt, for a message whose commit index the node has not applied yet; zero: none
	ackPendingTo  uint64    // that commit index
	votes         []string  // nodes that granted their vote in this election or pre-vote
	peers         []progress
	stopping      bool      // the node is about to stop and hands over its vote; with dynamic membership, the leader then replaces it
	resigning     bool      // the leader takes no proposals and waits for a voter that has the whole log
	leaderSince   time.Time // when the node became leader
	termStart     uint64    // index of the first entry of the leader's term
	previousTerm  uint64    // on the leader: term of the last entry before termStart
	drawCount     uint64    // number of timers and voters chosen so far; with Seed it determines the next choice, so that runs are reproducible
}

// membership is the set of voters from the entry at index on.
type membership struct {
	index   uint64
	members []Member
}

// StoredState is the state that a node loads from its disk when it starts.
type StoredState[C, S any] struct {
	Term     uint64
	VotedFor string
	Snapshot Snapshot[S]
	Entries  []Entry[C]
}

// WithWrite returns the stored state after one more write.
func (d StoredState[C, S]) WithWrite(w Write[C, S]) StoredState[C, S] {
	d.Term, d.VotedFor = w.Term, w.VotedFor
	if w.Snapshot != nil {
		d.Snapshot = *w.Snapshot
		d.Entries = slices.Clone(w.Entries)
		return d
	}
	if w.ReplaceFrom == 0 {
		return d
	}
	kept := d.Entries
	for len(kept) > 0 && kept[len(kept)-1].Index >= w.ReplaceFrom {
		kept = kept[:len(kept)-1]
	}
	d.Entries = append(slices.Clip(kept), w.Entries...)
	return d
}

// Replay returns the stored state after the writes of a log, in order. The entries of the
// result are a copy. Replay copies the entries once, whereas WithWrite copies them for
// each write, which took 1 to 2 s for a log of 3000 writes.
func (d StoredState[C, S]) Replay(writes iter.Seq[Write[C, S]]) StoredState[C, S] {
	entries := slices.Clone(d.Entries)
	for w := range writes {
		d.Term, d.VotedFor = w.Term, w.VotedFor
		if w.Snapshot != nil {
			d.Snapshot, entries = *w.Snapshot, entries[:0]
		}
		if w.ReplaceFrom == 0 {
			continue
		}
		for len(entries) > 0 && entries[len(entries)-1].Index >= w.ReplaceFrom {
			entries = entries[:len(entries)-1]
		}
		entries = append(entries, w.Entries...)
	}
	d.Entries = entries
	return d
}

// NewState returns a node that starts at now with the state loaded from its disk.
func NewState[C, S, R any](now time.Time, cfg Config[C, S, R], stored StoredState[C, S]) State[C, S, R] {
	cfg = cfg.WithDefaults()
	s := State[C, S, R]{
		cfg:           cfg,
		term:          stored.Term,
		votedFor:      stored.VotedFor,
		entries:       immutable.NewList[Entry[C]](),
		snapshot:      stored.Snapshot,
		baseIndex:     stored.Snapshot.Index,
		baseTerm:      stored.Snapshot.Term,
		memberships:   []membership{{index: stored.Snapshot.Index, members: stored.Snapshot.Members}},
		commit:        stored.Snapshot.Index,
		applied:       stored.Snapshot.Index,
		machine:       stored.Snapshot.Machine,
		leaderHeardAt: now, // a lease that the node granted before a restart may still run
	}
	for _, e := range stored.Entries {
		if e.Index <= s.baseIndex {
			continue
		}
		s = s.withEntry(e)
	}
	s.persisted = s.lastIndex()
	s.peers = make([]progress, 0, len(cfg.Peers))
	for _, p := range cfg.Peers {
		s.peers = append(s.peers, progress{name: p.Name})
	}
	s = s.withMembersAsPeers()
	return s.withElectionTimer(now)
}

// Bootstrap returns the stored state of a voter of a new group.
func Bootstrap[C, S any](members []Member, machine S) StoredState[C, S] {
	return StoredState[C, S]{
		Term:     1,
		Snapshot: Snapshot[S]{Index: 1, Term: 1, Members: members, Machine: machine},
	}
}

// Machine returns the state machine after the last applied entry.
func (s State[C, S, R]) Machine() S { return s.machine }

// Applied returns the index of the last applied entry.
func (s State[C, S, R]) Applied() uint64 { return s.applied }

// Commit returns the index of the last entry known to be committed.
func (s State[C, S, R]) Commit() uint64 { return s.commit }

// Term returns the current term.
func (s State[C, S, R]) Term() uint64 { return s.term }

// Role returns the role of the node.
func (s State[C, S, R]) Role() Role { return s.role }

// LeaderName returns the name of the leader, or an empty string if it is not known.
func (s State[C, S, R]) LeaderName() string { return s.leader }

// Members returns the voters.
func (s State[C, S, R]) Members() []Member { return s.memberships[len(s.memberships)-1].members }

// IsVoter reports whether the node is a voter.
func (s State[C, S, R]) IsVoter() bool { return s.isMember(s.cfg.Name, s.cfg.DiskID) }

// HoldsLease reports whether the node leads and no other node can lead at now.
func (s State[C, S, R]) HoldsLease(now time.Time) bool {
	if s.role != Leader {
		return false
	}
	return now.Before(s.leaseEnd(now))
}

// CanServe reports whether the node can answer requests for the group: it holds
// the lease and has applied every entry committed before its term.
func (s State[C, S, R]) CanServe(now time.Time) bool {
	return s.applied >= s.termStart && s.HoldsLease(now)
}

// PreviousTerm returns, on the leader, the term of the last entry before those of its own term. Every leader between
// that term and its own has served nothing: one that serves has committed an entry.
func (s State[C, S, R]) PreviousTerm() uint64 { return s.previousTerm }

// LivePeers returns the names of the other nodes that answered this leader within maxAge.
// It returns none on a node that does not lead.
func (s State[C, S, R]) LivePeers(now time.Time, maxAge time.Duration) []string {
	var out []string
	for _, p := range s.peers {
		if s.role == Leader && now.Sub(p.ackedAt) < maxAge {
			out = append(out, p.name)
		}
	}
	return out
}

// LeaseEnd returns the time at which the leader lease ends unless it is renewed, or
// the zero time on a node that does not lead.
func (s State[C, S, R]) LeaseEnd(now time.Time) time.Time {
	if s.role != Leader {
		return time.Time{}
	}
	return s.leaseEnd(now)
}

// IsFresh reports whether the copy of the node counts as fresh. A leader must hold its
// lease. Any other node must have sent, within FreshFor, a message that a leader with a
// lease is known to have received, and must have applied every entry that the leader had
// committed by then.
func (s State[C, S, R]) IsFresh(now time.Time) bool {
	if s.role == Leader {
		return s.HoldsLease(now)
	}
	return !s.leaderAckedAt.IsZero() && now.Sub(s.leaderAckedAt) < s.cfg.FreshFor
}

func (s State[C, S, R]) lastIndex() uint64 {
	return s.baseIndex + uint64(s.entries.Len())
}

func (s State[C, S, R]) termAt(index uint64) (uint64, bool) {
	if index == s.baseIndex {
		return s.baseTerm, true
	}
	if index < s.baseIndex || index > s.lastIndex() {
		return 0, false
	}
	return s.entries.Get(int(index - s.baseIndex - 1)).Term, true
}

func (s State[C, S, R]) lastTerm() uint64 {
	t, _ := s.termAt(s.lastIndex())
	return t
}

// entriesFrom returns at most n entries of the log, the first one at index.
func (s State[C, S, R]) entriesFrom(index uint64, n int) []Entry[C] {
	if index <= s.baseIndex || index > s.lastIndex() {
		return nil
	}
	n = min(n, int(s.lastIndex()-index)+1)
	out := make([]Entry[C], 0, n)
	for k := range n {
		out = append(out, s.entries.Get(int(index-s.baseIndex-1)+k))
	}
	return out
}

// withEntry appends an entry. A membership applies from when it is appended, not from
// when it is committed. On a node without a disk, the entry counts as persisted at once.
func (s State[C, S, R]) withEntry(e Entry[C]) State[C, S, R] {
	s.entries = s.entries.Append(e)
	if e.Kind == MembershipEntry {
		s.memberships = append(slices.Clone(s.memberships), membership{index: e.Index, members: e.Members})
		s = s.withMembersAsPeers()
	}
	if !s.cfg.Durable {
		s.persisted = e.Index
	}
	return s
}

// withoutEntriesFrom truncates the log from index on. The removed entries were never committed.
func (s State[C, S, R]) withoutEntriesFrom(index uint64) State[C, S, R] {
	s.entries = s.entries.Slice(0, int(index-s.baseIndex-1))
	s.memberships = slices.DeleteFunc(slices.Clone(s.memberships), func(m membership) bool {
		return m.index >= index
	})
	s.persisted = min(s.persisted, index-1)
	return s
}

func (s State[C, S, R]) withElectionTimer(now time.Time) State[C, S, R] {
	if !s.IsVoter() {
		return s.withTimer(now, s.cfg.FreshFor, s.cfg.ElectionTimeout) // a node that is not a voter holds no election when the timer expires; it only fetches a snapshot
	}
	return s.withTimer(now, s.cfg.ElectionTimeout, s.cfg.ElectionTimeout)
}

// withRetryTimer sets the time of the next attempt in case an election fails. The delay is
// shorter than the election timeout: it need not wait for leases to end, because voters
// that granted a lease refuse their votes until then. With the whole election timeout,
// some groups had no leader 2 s after they lost one.
func (s State[C, S, R]) withRetryTimer(now time.Time) State[C, S, R] {
	return s.withTimer(now, s.cfg.ElectionTimeout/8, s.cfg.ElectionTimeout/2)
}

// withTimer sets electionAt to a random time from minDelay to minDelay+jitter after now,
// so that two voters rarely start an election at the same time.
func (s State[C, S, R]) withTimer(now time.Time, minDelay, jitter time.Duration) State[C, S, R] {
	s.drawCount++
	rng := rand.New(rand.NewPCG(s.cfg.Seed, s.drawCount))
	s.electionAt = now.Add(minDelay + time.Duration(rng.Int64N(int64(jitter))))
	return s
}

func (s State[C, S, R]) withProgress(p progress) State[C, S, R] {
	s.peers = slices.Clone(s.peers)
	for i := range s.peers {
		if s.peers[i].name == p.name {
			s.peers[i] = p
		}
	}
	return s
}

func (s State[C, S, R]) peer(name string) (progress, bool) {
	for _, p := range s.peers {
		if p.name == name {
			return p, true
		}
	}
	return progress{}, false
}

func (s State[C, S, R]) isMember(name, diskID string) bool {
	for _, m := range s.Members() {
		if m.Name == name && (m.DiskID == diskID || s.cfg.IgnoreDiskID) {
			return true
		}
	}
	return false
}

func (s State[C, S, R]) quorum() int {
	return len(s.Members())/2 + 1
}

// leaseEnd returns the time until which a majority of the voters honours the leader lease.
// A voter refuses its vote for ElectionTimeout after it received a message of the leader,
// so the leader counts from when it sent the latest message that the voter answered.
// MaxClockDrift allows for a voter whose clock runs faster.
func (s State[C, S, R]) leaseEnd(now time.Time) time.Time {
	acks := make([]time.Time, 0, len(s.Members()))
	for _, m := range s.Members() {
		if m.Name == s.cfg.Name {
			acks = append(acks, now)
			continue
		}
		p, ok := s.peer(m.Name)
		if ok && p.diskID == m.DiskID {
			acks = append(acks, p.ackedAt)
		}
	}
	if len(acks) < s.quorum() {
		return time.Time{}
	}
	slices.SortFunc(acks, func(a, b time.Time) int { return b.Compare(a) })
	return acks[s.quorum()-1].Add(s.cfg.ElectionTimeout - s.cfg.MaxClockDrift)
}
