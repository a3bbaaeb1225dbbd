package replicator

import "time"

// Config configures one node of a replication group.
type Config[C, S, R any] struct {
	Name              string
	DiskID            string // ID of the disk or, on a node without a disk, of this run of the node
	Durable           bool   // the node has a disk, so it can be a voter
	ProposeOnly       bool   // the node only proposes: it neither votes nor replicates the log
	Peers             []Peer // the other nodes
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration  // minimum election timeout: the shortest time without a leader before an election
	MaxClockDrift     time.Duration  // maximum drift between two clocks during one ElectionTimeout; subtracted from the lease
	FreshFor          time.Duration  // how long a follower's copy counts as fresh after a leader with a lease last heard from the follower
	CompactAfter      uint64         // minimum number of entries between two snapshots
	SnapshotCost      func(S) uint64 // returns the number of entries that cost as much as a snapshot of the machine; used instead of CompactAfter if it is larger. nil: CompactAfter always applies
	TrailingEntries   uint64         // number of entries kept before a snapshot, so that followers slightly behind need no snapshot
	MaxBatchSize      int            // maximum number of entries in one message
	MaxApplyPerStep   int            // maximum number of entries applied in one step, so that a long log does not delay heartbeats; zero: no limit
	Seed              uint64         // seed of the random timers
	// Apply applies a command that the leader appended at now. Its result must depend on its
	// arguments alone, so that all nodes reach the same state.
	Apply func(s S, now time.Time, c C) (S, R)

	DynamicMembership bool          // unknown nodes that send a message become learners and, if voters are needed, voters
	TargetVoters      int           // target number of voters in a group with dynamic membership
	UnresponsiveAfter time.Duration // with dynamic membership, the time without a reply after which a caught-up learner replaces a voter

	// The switches below are for tests, which show that the mechanism they disable is needed.
	DisableStickiness bool // grant votes even within ElectionTimeout after a message from a leader
	IgnoreDiskID      bool // identify voters by name alone, so that a node that lost its disk still votes
}

// Peer is another node of the group.
type Peer struct {
	Name    string
	CanVote bool // can become a voter
	Learner bool // receives the log as a learner even if it cannot become a voter
}

// WithDefaults returns the configuration with defaults for the times, the compaction
// limits and the batch size that are zero. More frequent heartbeats, such as every 100 ms,
// use too much CPU time on an idle instance. With these times a failover stays within its
// target of 2 s.
func (cfg Config[C, S, R]) WithDefaults() Config[C, S, R] {
	if cfg.HeartbeatInterval == 0 {
		cfg.HeartbeatInterval = 200 * time.Millisecond
	}
	if cfg.ElectionTimeout == 0 {
		cfg.ElectionTimeout = 600 * time.Millisecond
	}
	if cfg.MaxClockDrift == 0 {
		cfg.MaxClockDrift = 60 * time.Millisecond
	}
	if cfg.FreshFor == 0 {
		cfg.FreshFor = 3 * time.Second
	}
	if cfg.CompactAfter == 0 {
		cfg.CompactAfter = 4096
	}
	if cfg.TrailingEntries == 0 {
		cfg.TrailingEntries = 512
	}
	if cfg.UnresponsiveAfter == 0 {
		cfg.UnresponsiveAfter = 1500 * time.Millisecond
	}
	if cfg.MaxBatchSize == 0 {
		cfg.MaxBatchSize = 256
	}
	return cfg
}
