// Package replicator implements a replicated log with leader election, quorum
// commit, leader leases, snapshots and membership changes. Voters form the quorum;
// learners receive the log but do not vote.
//
// The package does no I/O and reads no clock: messages, writes and the present time
// are passed in and out as values.
package replicator

import "time"

// Member is a voter, identified by its node name and its disk ID.
// A node that lost its disk restarts with a new disk ID and is no longer this member.
type Member struct {
	Name   string
	DiskID string
}

// EntryKind is the kind of a log entry.
type EntryKind int

// Kinds of log entry.
const (
	NoopEntry       EntryKind = iota // first entry of a leader's term
	CommandEntry                     // command for the state machine
	MembershipEntry                  // voters from this entry on
)

// Entry is one entry of the log.
type Entry[C any] struct {
	Index      uint64
	Term       uint64
	At         time.Time // leader's clock when it appended the entry
	Kind       EntryKind
	Command    C
	Members    []Member // set for MembershipEntry
	Origin     string   // node that proposed the command
	ProposalID uint64   // proposer's number for the command, returned with the result
}

// Snapshot is the state machine after the entry at Index, with the voters at that entry.
type Snapshot[S any] struct {
	Index   uint64
	Term    uint64
	Members []Member
	Machine S
}

// Kind is the kind of a message between nodes.
type Kind int

// Kinds of message.
const (
	PreVote Kind = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	InstallSnapshot // sends a snapshot; answered by AppendReply
	Propose
	ProposeReply
	FetchSnapshot // sent by a node that is not a voter and hears no leader: asks a voter for a snapshot of its applied state
	TimeoutNow    // sent by a leader that resigned: asks a voter to start an election at once
)

// Message is a message between two nodes of a group.
type Message[C, S, R any] struct {
	Kind           Kind
	From           string
	DiskID         string // disk ID of the sender
	To             string
	Term           uint64
	Index          uint64 // Append: index of the entry before Entries; AppendReply: last matching index or, if Granted is false, index after which to retry; PreVote and Vote: last index of the log
	LogTerm        uint64 // term of the entry at Index
	Commit         uint64 // commit index of the sender
	Entries        []Entry[C]
	Snapshot       *Snapshot[S]
	Granted        bool      // replies: the vote is granted, or the append matched
	LeaseHeld      bool      // Append: the leader holds its lease; InstallSnapshot: sent by the leader of the term, not in reply to FetchSnapshot
	SentAt         time.Time // sender's clock
	EchoedSentAt   time.Time // AppendReply: SentAt of the message that it answers; Append and InstallSnapshot: SentAt of the last AppendReply from the receiver
	ProposalID     uint64    // Propose and ProposeReply: proposer's number for the command
	Command        C
	Result         R
	Failed         bool     // ProposeReply: nothing was proposed, since the node does not lead and cannot forward the proposal, or is a leader that resigns
	Forwarded      bool     // Propose: already forwarded once, by a node that is not the leader
	LeaderTransfer bool     // Vote: requested by the leader of the previous term, which gave up its lease
	Learners       []string // Append to a voter and TimeoutNow, with dynamic membership: learners that answer the leader; set only now and then
	Stopping       bool     // AppendReply: the sender is about to stop, so another node should get its vote
	HeartbeatOnly  bool     // Append: heartbeat without entries, which the sender may delay briefly to batch it with other messages to the node
}

// Write is a change that must be synced to disk before the messages in Effects.AfterSync are sent.
type Write[C, S any] struct {
	Term        uint64
	VotedFor    string
	ReplaceFrom uint64 // entries from this index on are replaced by Entries; zero: no entries change
	Entries     []Entry[C]
	Snapshot    *Snapshot[S] // if set, Entries replace the whole log
}

// Result is the outcome of a proposal made by this node.
type Result[R any] struct {
	ProposalID uint64
	Value      R
	Failed     bool // nothing was proposed, since no leader accepted the proposal
}

// Effects is what the node must do after a step.
type Effects[C, S, R any] struct {
	Write     *Write[C, S]
	Immediate []Message[C, S, R] // can be sent at once
	AfterSync []Message[C, S, R] // sent only once this write and all earlier ones are synced
	Results   []Result[R]
	Applied   int // number of entries applied by this step
}
