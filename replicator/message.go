// Package replicator is a replicated log: consensus among voters, with learners that follow.
// It is pure. Messages, writes and the present time come and go as values.
package replicator

import "time"

// Member is a voter: a node together with the identity of its disk.
// A node that lost its disk comes back under another identity and is no longer this member.
type Member struct {
	Name string
	Disk string
}

// EntryKind tells what an entry holds.
type EntryKind int

// The kinds of entry.
const (
	Noop       EntryKind = iota // opens the term of a leader
	CommandOf                   // a command of the state machine
	Membership                  // the voters from here on
)

// Entry is one place of the log.
type Entry[C any] struct {
	Index   uint64
	Term    uint64
	At      time.Time // the leader's time when it took the entry
	Kind    EntryKind
	Command C
	Members []Member // of Membership
	Origin  string   // the node that proposed the command
	Ticket  uint64   // the proposer's number for it
}

// Snapshot is the state machine after an entry, with the voters at that entry.
type Snapshot[S any] struct {
	Index   uint64
	Term    uint64
	Members []Member
	Machine S
}

// Kind tells what a message between nodes is.
type Kind int

// The kinds of message.
const (
	PreVote Kind = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	Install // a snapshot; answered by AppendReply
	Propose
	ProposeReply
	Fetch // a node without a leader asks a voter for its committed state
	Elect // a leader that resigned asks a voter to call an election at once
)

// Message goes between the nodes of a group.
type Message[C, S, R any] struct {
	Kind     Kind
	From     string
	Disk     string // the sender's disk identity
	To       string
	Term     uint64
	Index    uint64 // Append: the entry before Entries; AppendReply: what matches; votes: the last entry
	LogTerm  uint64 // the term of Index
	Commit   uint64
	Entries  []Entry[C]
	Snapshot *Snapshot[S]
	Granted  bool      // of a vote, or that an append matched
	Leased   bool      // Append: the leader holds its lease
	SentAt   time.Time // by the sender's clock
	Echo     time.Time // the last SentAt that the sender got from the receiver
	Ticket   uint64    // of Propose and ProposeReply
	Command  C
	Result   R
	Failed   bool // of ProposeReply: there is no leader here, nothing was proposed
	Passed   bool // of Propose: it was passed on by a node that does not lead
	Resigned bool // of Vote: the leader of the term before asked for it, and holds its lease no longer
	Beat     bool // of Append: it tells nothing new, so it can wait a little for others to the same node
}

// Write is what must be on disk before the messages behind it may go.
type Write[C, S any] struct {
	Term     uint64
	VotedFor string
	From     uint64 // entries from this index on are replaced by Entries; zero: none
	Entries  []Entry[C]
	Snapshot *Snapshot[S] // with it the log is rewritten as Entries
}

// Result is the outcome of a proposal of this node.
type Result[R any] struct {
	Ticket uint64
	Value  R
	Failed bool // there was no leader: nothing was proposed
}

// Effects is what a step asks the node to do.
type Effects[C, S, R any] struct {
	Write   *Write[C, S]
	Now     []Message[C, S, R] // may go at once
	Synced  []Message[C, S, R] // may go only after this and all earlier writes are synced
	Results []Result[R]
	Applied int // entries applied by this step
}
