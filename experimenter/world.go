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
	EntriesPerZone   int // the first of each zone is a voter
	Workers          []WorkerConfig
	ZoneLatency      time.Duration                       // one-way latency within a zone
	CrossZoneLatency time.Duration                       // one-way latency between zones
	Tick             time.Duration                       // interval between ticks of a node
	Reboot           time.Duration                       // duration of a reboot for maintenance
	AdjustNode       func(*assembler.Config)             // selects a baseline or disables a mechanism of the stages
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

// World is a simulated cluster: entry instances, endpoints and the network between them.
type World struct {
	*simulator.Simulator
	cfg        Config
	random     *rand.Rand
	entries    []*Entry
	workers    []*Worker
	partitions map[[2]string]bool // zones from which and to which messages are dropped
	lossRate   float64
	Starts     []Start
	Calls      []*Call
	Changes    []*Change
	Faults     map[string]int // number of injected faults by kind
	Violations []string       // violated invariants
}

// NewWorld returns a new cluster. All instances and endpoints run; the declarations are
// empty.
func NewWorld(cfg Config) *World {
	cfg = cfg.WithDefaults()
	w := &World{
		Simulator:  simulator.NewSimulator(time.Unix(1_800_000_000, 0)),
		cfg:        cfg,
		random:     rand.New(rand.NewPCG(cfg.Seed, 11)),
		partitions: make(map[[2]string]bool),
		Faults:     make(map[string]int),
	}
	for n := range cfg.EntriesPerZone {
		for _, zone := range cfg.Zones {
			w.entries = append(w.entries, &Entry{world: w, Name: fmt.Sprintf("%s%d", zone, n+1), Zone: zone, Voter: n == 0})
		}
	}
	for _, e := range w.entries {
		e.bootstrap()
		e.start()
		w.Every(cfg.Tick, e.tick)
	}
	for _, c := range cfg.Workers {
		worker := &Worker{world: w, WorkerConfig: c}
		w.workers = append(w.workers, worker)
		worker.start()
		w.After(w.randomDuration(time.Second), worker.announce)
	}
	return w
}

func (w *World) randomDuration(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d)))
}

// Entry returns the entry instance with a name, or nil.
func (w *World) Entry(name string) *Entry {
	for _, e := range w.entries {
		if e.Name == name {
			return e
		}
	}
	return nil
}

// Leader returns the entry instance that leads the declarations group and holds the
// lease, or nil.
func (w *World) Leader() *Entry {
	for _, e := range w.entries {
		if e.alive && !e.frozen && e.view.IsLeader {
			return e
		}
	}
	return nil
}

func (w *World) reportViolation(format string, args ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf("seed %d at %s: ", w.cfg.Seed, w.Now().UTC().Format("04:05.000"))+fmt.Sprintf(format, args...))
}

func (w *World) countFault(kind string) { w.Faults[kind]++ }

// networkDelay draws the latency of one message between two zones.
func (w *World) networkDelay(from, to string) time.Duration {
	d := w.cfg.CrossZoneLatency
	if from == to {
		d = w.cfg.ZoneLatency
	}
	return d + w.randomDuration(d/4+1)
}

func (w *World) isPartitioned(from, to string) bool {
	return w.partitions[[2]string{from, to}]
}

// Partition drops the messages from one zone to another, or lets them through again.
func (w *World) Partition(from, to string, on bool) {
	if on {
		w.countFault("zone cut")
	}
	w.partitions[[2]string{from, to}] = on
}

// PartitionZone partitions a zone from all others in both directions, or ends the partition.
func (w *World) PartitionZone(zone string, on bool) {
	for _, other := range w.cfg.Zones {
		if other != zone {
			w.Partition(zone, other, on)
			w.Partition(other, zone, on)
		}
	}
}

// WithLoss sets the probabilities that a message between entry instances is lost,
// duplicated or delayed, each to rate. It changes the world and returns it.
func (w *World) WithLoss(rate float64) *World {
	w.lossRate = rate
	return w
}

// Heal ends all faults.
func (w *World) Heal() {
	clear(w.partitions)
	w.lossRate = 0
	for _, e := range w.entries {
		e.isolated = false
		e.Thaw()
		e.Restart()
	}
	for _, worker := range w.workers {
		worker.Fail = false
		worker.Restart()
	}
}

// Change is a command that an operator sent, and its result.
type Change struct {
	ID                   string
	ReplacesDeclarations bool   // an Apply command
	Expected             uint64 // revision that the change expects
	Entry                string
	SentAt               time.Time
	Done                 bool
	DoneAt               time.Time
	Result               keeper.Result
}

// Apply proposes new declarations at an entry instance.
func (w *World) Apply(e *Entry, d keeper.Declarations, revision uint64, id string) *Change {
	c := &Change{ID: id, ReplacesDeclarations: true, Expected: revision, Entry: e.Name, SentAt: w.Now()}
	if !e.Alive() {
		return c // the connection is refused, so the change is not recorded
	}
	w.Changes = append(w.Changes, c)
	e.propose(keeper.Command{Kind: keeper.Apply, Proposer: "operator", ChangeID: id, Revision: revision, Declarations: d}, c)
	return c
}

// Propose sends any other command to an entry instance. It is not recorded in Changes.
func (w *World) Propose(e *Entry, c keeper.Command) *Change {
	change := &Change{ID: c.ChangeID, Entry: e.Name, SentAt: w.Now()}
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
	Epoch      uint64
	Pool       string // pool for which the attempt was placed
}

// Call is a caller's request and its answer.
type Call struct {
	RequestSpec
	Entry        string
	EntryRun     string // RunName of the entry instance
	ID           uint64
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
	Key         string
	Body        string
	Urgency     int
	Timeout     time.Duration
	RunTime     time.Duration // on an endpoint
	Idempotent  bool
	AlwaysFails bool // fails on every endpoint
}
