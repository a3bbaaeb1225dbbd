package replicator

import "time"

// Config configures one node of a replication group.
type Config[C, S, R any] struct {
	Name         string
	Disk         string // identity of the disk; of a node without a disk, identity of this run
	Durable      bool   // the node has a disk, so it can be a voter
	Passive      bool   // the node only proposes: it neither votes nor replicates the log
	Peers        []Peer // the other nodes
	Heartbeat    time.Duration
	Election     time.Duration  // minimum election timeout: the shortest time without a leader before an election
	Drift        time.Duration  // maximum drift between two clocks during one Election; subtracted from the lease
	FreshFor     time.Duration  // how long a follower treats its copy as fresh
	CompactAfter uint64         // minimum number of entries between two snapshots
	Weight       func(S) uint64 // number of entries that cost as much as a snapshot of the machine; raises CompactAfter to at least that. nil: CompactAfter alone applies
	KeepEntries  uint64         // number of entries kept before a snapshot, so that followers slightly behind need no snapshot
	MaxBatchSize int            // maximum number of entries in one message
	MaxApply     int            // maximum number of entries applied in one step, so that a long log does not delay heartbeats; zero: no limit
	Seed         uint64
	Apply        func(s S, now time.Time, c C) (S, R)

	Elastic           bool          // unknown nodes that send a message become learners and, if voters are needed, voters
	Voters            int           // target number of voters in an elastic group
	UnresponsiveAfter time.Duration // in an elastic group, the time without a reply after which a caught-up learner replaces a voter

	// The switches below are for tests, which show that the mechanism they disable is needed.
	DisableStickiness bool // grant votes even while a leader is heard
	ForgetIdentity    bool // let a node with an empty disk vote under its old name
}

// Peer is another node of the group.
type Peer struct {
	Name  string
	Voter bool // can become a voter
	Hears bool // receives the log as a learner even if it cannot become a voter
}

// WithDefaults returns the configuration with defaults for the fields that are zero.
func (cfg Config[C, S, R]) WithDefaults() Config[C, S, R] {
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = 200 * time.Millisecond
	}
	if cfg.Election == 0 {
		cfg.Election = 600 * time.Millisecond
	}
	if cfg.Drift == 0 {
		cfg.Drift = 60 * time.Millisecond
	}
	if cfg.FreshFor == 0 {
		cfg.FreshFor = 3 * time.Second
	}
	if cfg.CompactAfter == 0 {
		cfg.CompactAfter = 4096
	}
	if cfg.KeepEntries == 0 {
		cfg.KeepEntries = 512
	}
	if cfg.UnresponsiveAfter == 0 {
		cfg.UnresponsiveAfter = 4 * time.Second
	}
	if cfg.MaxBatchSize == 0 {
		cfg.MaxBatchSize = 256
	}
	return cfg
}
