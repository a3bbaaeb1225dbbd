// Package experimenter runs a whole cluster on simulated time, to test it under faults
// and to compare policies. Entry instances run their real stages, endpoints run the
// endpoint contract of package emulator, and the network and the disks are in-memory
// fakes. Tests inject faults and check invariants; trials apply load and measure
// goodput, waits and maintenance waves. Package surveyor measures on real time.
package experimenter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumwind/assembler"
	"laburnumwind/claimer"
	"laburnumwind/emulator"
	"laburnumwind/keeper"
	"laburnumwind/messenger"
	"laburnumwind/simulator"
)

// Config describes a simulated cluster.
type Config struct {
	Seed             uint64
	Zones            []string
	EntriesPerZone   int // the first entry instance of each zone is a voter
	Workers          []WorkerConfig
	ZoneLatency      time.Duration                       // one-way latency within a zone
	CrossZoneLatency time.Duration                       // one-way latency between zones
	Tick             time.Duration                       // interval between calls of Node.Tick
	Reboot           time.Duration                       // duration of a reboot for maintenance
	AdjustNode       func(*assembler.Config)             // selects a baseline policy or disables a mechanism of the stages
	AdjustClaims     func(claimer.Claims) claimer.Claims // disables a mechanism of the claims
	AdjustState      func(keeper.State) keeper.State     // disables a mechanism of the declarations
	AdjustContract   func(emulator.State) emulator.State // disables a mechanism of the endpoints
}

// WithDefaults returns the configuration with defaults in place of zero values.
func (cfg Config) WithDefaults() Config {
	if cfg.Zones == nil {
		cfg.Zones = []string{"a", "b", "c"}
	}
	if cfg.EntriesPerZone == 0 {
		cfg.EntriesPerZone = 2
	}
	if cfg.ZoneLatency == 0 {
		cfg.ZoneLatency = 200 * time.Microsecond
	}
	if cfg.CrossZoneLatency == 0 {
		cfg.CrossZoneLatency = time.Millisecond
	}
	if cfg.Tick == 0 {
		cfg.Tick = 50 * time.Millisecond
	}
	if cfg.Reboot == 0 {
		cfg.Reboot = 3 * time.Second
	}
	if cfg.AdjustNode == nil {
		cfg.AdjustNode = func(*assembler.Config) {}
	}
	if cfg.AdjustClaims == nil {
		cfg.AdjustClaims = func(g claimer.Claims) claimer.Claims { return g }
	}
	if cfg.AdjustState == nil {
		cfg.AdjustState = func(s keeper.State) keeper.State { return s }
	}
	if cfg.AdjustContract == nil {
		cfg.AdjustContract = func(s emulator.State) emulator.State { return s }
	}
	return cfg
}

// Cluster is a simulated cluster: entry instances, endpoints and the network between them.
type Cluster struct {
	*simulator.Simulator
	cfg              Config
	random           *rand.Rand
	entries          []*Entry
	workers          []*Worker
	partitions       map[[2]string]bool // {from, to}: messages from one zone to the other are dropped
	messageFaultRate float64            // see InjectMessageFaults
	Starts           []Start            // in order of time
	Calls            []*Call            // all requests of callers
	Changes          []*Change          // changes sent with Apply
	FaultCounts      map[string]int     // number of injected faults by kind
	Violations       []string           // violated invariants
}

// NewCluster returns a new cluster in which all entry instances and endpoints run. The
// declarations are empty.
func NewCluster(cfg Config) *Cluster {
	cfg = cfg.WithDefaults()
	cl := &Cluster{
		Simulator:   simulator.NewSimulator(time.Unix(1_800_000_000, 0)),
		cfg:         cfg,
		random:      rand.New(rand.NewPCG(cfg.Seed, 11)),
		partitions:  make(map[[2]string]bool),
		FaultCounts: make(map[string]int),
	}
	for n := range cfg.EntriesPerZone {
		for _, zone := range cfg.Zones {
			cl.entries = append(cl.entries, &Entry{cluster: cl, Name: fmt.Sprintf("%s%d", zone, n+1), Zone: zone, Voter: n == 0})
		}
	}
	for _, e := range cl.entries {
		e.bootstrap()
		e.start()
		cl.Every(cfg.Tick, e.tick)
	}
	for _, c := range cfg.Workers {
		worker := &Worker{cluster: cl, WorkerConfig: c}
		cl.workers = append(cl.workers, worker)
		worker.start()
		cl.After(cl.randomDuration(time.Second), worker.announce)
	}
	return cl
}

// randomDuration returns a uniformly distributed duration of at least zero and less than d.
func (cl *Cluster) randomDuration(d time.Duration) time.Duration {
	return time.Duration(cl.random.Int64N(int64(d)))
}

// Entry returns the entry instance with a name, or nil.
func (cl *Cluster) Entry(name string) *Entry {
	for _, e := range cl.entries {
		if e.Name == name {
			return e
		}
	}
	return nil
}

// Leader returns the entry instance that leads the declarations group and holds the
// lease, or nil if none does.
func (cl *Cluster) Leader() *Entry {
	for _, e := range cl.entries {
		if e.running && !e.frozen && e.view.IsLeader {
			return e
		}
	}
	return nil
}

// reportViolation records a violated invariant with the seed and the simulated time.
func (cl *Cluster) reportViolation(format string, args ...any) {
	cl.Violations = append(cl.Violations, fmt.Sprintf("seed %d at %s: ", cl.cfg.Seed, cl.Now().UTC().Format("04:05.000"))+fmt.Sprintf(format, args...))
}

func (cl *Cluster) countFault(kind string) { cl.FaultCounts[kind]++ }

// networkDelay returns the latency of one message between two zones: the configured
// latency and up to a quarter of it as jitter.
func (cl *Cluster) networkDelay(from, to string) time.Duration {
	d := cl.cfg.CrossZoneLatency
	if from == to {
		d = cl.cfg.ZoneLatency
	}
	return d + cl.randomDuration(d/4+1)
}

func (cl *Cluster) isPartitioned(from, to string) bool {
	return cl.partitions[[2]string{from, to}]
}

// Partition drops the messages from one zone to another, or lets them through again.
func (cl *Cluster) Partition(from, to string, on bool) {
	if on {
		cl.countFault("zone partitioned")
	}
	cl.partitions[[2]string{from, to}] = on
}

// PartitionZone partitions a zone from all others in both directions, or ends the partition.
func (cl *Cluster) PartitionZone(zone string, on bool) {
	for _, other := range cl.cfg.Zones {
		if other != zone {
			cl.Partition(zone, other, on)
			cl.Partition(other, zone, on)
		}
	}
}

// InjectMessageFaults sets the probabilities that a message between entry instances is lost,
// duplicated or delayed, each to rate. It returns the cluster itself.
func (cl *Cluster) InjectMessageFaults(rate float64) *Cluster {
	cl.messageFaultRate = rate
	return cl
}

// Heal ends partitions, message loss, isolation and freezes, and resets Worker.Fail. It
// restarts every entry instance and endpoint that is not running, including endpoints
// that are rebooting, and every endpoint that has left. Clock skews and the loss of disks
// remain.
func (cl *Cluster) Heal() {
	clear(cl.partitions)
	cl.messageFaultRate = 0
	for _, e := range cl.entries {
		e.isolated = false
		e.Thaw()
		e.Restart()
	}
	for _, worker := range cl.workers {
		worker.Fail = false
		worker.Restart()
	}
}

// Change is a command that an operator sent, and its result. It is not Done while its
// result is unknown.
type Change struct {
	ID                   string // the same for all sends of one change
	ReplacesDeclarations bool   // an Apply command
	Expected             uint64 // revision that the change expects
	Entry                string // entry instance to which it was sent
	SentAt               time.Time
	Done                 bool
	DoneAt               time.Time
	Result               keeper.Result
}

// Apply sends a change of the declarations to an entry instance. revision is the current
// revision that the change expects. A change with the ID of an earlier change is a repeat
// of it.
func (cl *Cluster) Apply(e *Entry, d keeper.Declarations, revision uint64, id string) *Change {
	c := &Change{ID: id, ReplacesDeclarations: true, Expected: revision, Entry: e.Name, SentAt: cl.Now()}
	if !e.Alive() {
		return c // the connection is refused, so the change is not recorded
	}
	cl.Changes = append(cl.Changes, c)
	e.propose(keeper.Command{Kind: keeper.Apply, Proposer: "operator", ChangeID: id, Revision: revision, Declarations: d}, c)
	return c
}

// Propose sends a command other than Apply to an entry instance, without recording it in
// Changes.
func (cl *Cluster) Propose(e *Entry, c keeper.Command) *Change {
	change := &Change{ID: c.ChangeID, Entry: e.Name, SentAt: cl.Now()}
	e.propose(c, change)
	return change
}

// Start is one start of an attempt at an endpoint.
type Start struct {
	At         time.Time
	Worker     string
	Attempt    string
	EntryRun   string // RunName of the entry instance
	Request    uint64
	Service    string
	Customer   string
	Key        string
	AtMostOnce bool
	Epoch      uint64 // epoch of the endpoint for which the attempt was placed
	Pool       string // pool for which the attempt was placed
}

// Call is a caller's request and its answer.
type Call struct {
	RequestSpec
	Entry        string // entry instance to which it was sent
	EntryRun     string // RunName of the entry instance
	ID           uint64 // unique within an entry instance
	SentAt       time.Time
	Answered     bool
	AnsweredAt   time.Time
	Answer       messenger.Answer
	Disconnected bool // the caller canceled, or its entry instance crashed
}

// RequestSpec describes a request of a caller and how an endpoint executes it.
type RequestSpec struct {
	Service     string
	Customer    string
	Key         string // idempotency key, or empty
	Body        string
	Urgency     int
	Timeout     time.Duration // from submission to deadline; Submit replaces zero by 10 s
	RunTime     time.Duration // on an endpoint
	Idempotent  bool
	AlwaysFails bool // fails on every endpoint
}
