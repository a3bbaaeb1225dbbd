package replicator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumwind/simulator"
)

// testMachine is the state machine of the tests: the number of commands and the last one.
type testMachine struct {
	count int
	last  uint64
}

type (
	simState       = State[uint64, testMachine, int]
	simMessage     = Message[uint64, testMachine, int]
	simConfig      = Config[uint64, testMachine, int]
	simStoredState = StoredState[uint64, testMachine]
	simEffects     = Effects[uint64, testMachine, int]
)

// simNode is a node with a fake disk.
type simNode struct {
	cfg         simConfig
	state       simState
	alive       bool
	frozen      bool
	disk        simStoredState // synced writes, which survive a crash
	diskStalled bool           // writes to the disk do not complete
	unsynced    []simEffects   // effects of steps whose writes are not synced yet
	runNumber   int            // number of starts
}

// sim runs a group with faults that depend only on a seed: messages that are delayed,
// lost, duplicated or reordered, network partitions, crashes that lose unsynced writes,
// lost disks and frozen nodes.
type sim struct {
	seed uint64
	rand *rand.Rand
	*simulator.Simulator
	nodes            map[string]*simNode
	names            []string
	cutLinks         map[[2]string]bool // by sender and receiver
	messageFaultRate float64            // probability of each of three faults of a message: loss, duplication and delay
	history          map[int]uint64     // commands applied, by position
	acked            map[uint64]int     // positions acknowledged to proposers, by proposal ID
	leaders          map[uint64]string  // by term
	lastProposal     uint64
	faults           map[string]int // faults injected, by kind
	messagesSent     int
	violations       []string
}

// newSim starts a group whose voters have disks and whose learners have none. configure may
// change the configuration of each node.
func newSim(seed uint64, voters, learners int, configure func(*simConfig)) *sim {
	s := &sim{
		Simulator: simulator.NewSimulator(time.Unix(1_000_000, 0)),
		seed:      seed,
		rand:      rand.New(rand.NewPCG(seed, 7)),
		nodes:     make(map[string]*simNode),
		cutLinks:  make(map[[2]string]bool),
		history:   make(map[int]uint64),
		acked:     make(map[uint64]int),
		leaders:   make(map[uint64]string),
		faults:    make(map[string]int),
	}
	var members []Member
	for i := range voters + learners {
		name := fmt.Sprintf("n%d", i)
		s.names = append(s.names, name)
		if i < voters {
			members = append(members, Member{Name: name, DiskID: name + "/0"})
		}
	}
	for i, name := range s.names {
		cfg := simConfig{Name: name, Durable: i < voters, DiskID: name + "/0", Seed: seed + uint64(i), CompactAfter: 40, TrailingEntries: 10}
		for k, other := range s.names {
			if other != name {
				cfg.Peers = append(cfg.Peers, Peer{Name: other, CanVote: k < voters, Learner: true})
			}
		}
		if configure != nil {
			configure(&cfg)
		}
		n := &simNode{cfg: cfg}
		if cfg.Durable {
			n.disk = Bootstrap[uint64](members, testMachine{})
		}
		s.nodes[name] = n
		s.start(n)
		s.Every(20*time.Millisecond, func() { s.tick(n) })
	}
	return s
}

// reportViolation records a violated invariant with the seed and the simulated time at which
// it was found. The run continues; the test fails at its end if there are any violations.
func (s *sim) reportViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("seed %d at %s: ", s.seed, s.Now().Format(time.TimeOnly))+fmt.Sprintf(format, args...))
}

// start starts a node with the state on its disk. A node without a disk starts empty and
// under a new disk ID. Each command that the node applies is checked against the
// command that other nodes applied at the same position.
func (s *sim) start(n *simNode) {
	n.alive = true
	n.unsynced = nil
	n.runNumber++
	if !n.cfg.Durable {
		n.cfg.DiskID = fmt.Sprintf("%s/run%d", n.cfg.Name, n.runNumber)
		n.disk = simStoredState{}
	}
	n.cfg.Apply = func(t testMachine, _ time.Time, c uint64) (testMachine, int) {
		t.count++
		t.last = c
		earlier, ok := s.history[t.count]
		if ok && earlier != c {
			s.reportViolation("%s applied %d at position %d, another node applied %d", n.cfg.Name, c, t.count, earlier)
		}
		s.history[t.count] = c
		return t, t.count
	}
	n.state = NewState(s.Now(), n.cfg, n.disk)
}

func (s *sim) tick(n *simNode) {
	if n.alive && !n.frozen {
		next, out := n.state.Tick(s.Now())
		s.applyStep(n, next, out)
	}
}

// applyStep checks the new state of a node and carries out the effects of the step.
func (s *sim) applyStep(n *simNode, next simState, out simEffects) {
	if next.Commit() < n.state.Commit() && next.Term() >= n.state.Term() {
		s.reportViolation("%s moved its commit index back from %d to %d", n.cfg.Name, n.state.Commit(), next.Commit())
	}
	n.state = next
	if next.Role() == Leader {
		other, ok := s.leaders[next.Term()]
		if ok && other != n.cfg.Name {
			s.reportViolation("%s and %s both lead term %d", other, n.cfg.Name, next.Term())
		}
		s.leaders[next.Term()] = n.cfg.Name
	}
	s.checkLeases()
	for _, m := range out.Immediate {
		s.deliver(m)
	}
	for _, r := range out.Results {
		if !r.Failed {
			s.acked[r.ProposalID] = r.Value
		}
	}
	if !n.cfg.Durable {
		return
	}
	n.unsynced = append(n.unsynced, out)
	runNumber := n.runNumber
	s.After(time.Duration(s.rand.IntN(4_000))*time.Microsecond, func() {
		if n.alive && n.runNumber == runNumber && !n.diskStalled && len(n.unsynced) > 0 {
			s.syncWrites(n)
		}
	})
}

// checkLeases checks that no two live nodes hold a lease at the same time.
func (s *sim) checkLeases() {
	var holders []string
	for _, name := range s.names {
		n := s.nodes[name]
		if n.alive && n.state.HoldsLease(s.Now()) {
			holders = append(holders, name)
		}
	}
	if len(holders) > 1 {
		s.reportViolation("%v hold a lease at the same time", holders)
	}
}

// syncWrites makes a random number of the oldest writes durable and sends the messages that waited for them.
func (s *sim) syncWrites(n *simNode) {
	k := 1 + s.rand.IntN(len(n.unsynced))
	batch := n.unsynced[:k]
	n.unsynced = n.unsynced[k:]
	var last *Entry[uint64]
	for _, out := range batch {
		if out.Write != nil {
			n.disk = n.disk.WithWrite(*out.Write)
			if len(out.Write.Entries) > 0 {
				last = &out.Write.Entries[len(out.Write.Entries)-1]
			}
		}
		for _, m := range out.AfterSync {
			s.deliver(m)
		}
	}
	if last == nil {
		return
	}
	next, out := n.state.Persisted(s.Now(), Persisted{Index: last.Index, Term: last.Term})
	s.applyStep(n, next, out)
}

// deliver sends a message over the simulated network, which may block, lose, duplicate or
// delay it. A message to a node that is down is lost. One to a frozen node is delivered
// 100 ms later and lost if the node is still frozen then.
func (s *sim) deliver(m simMessage) {
	s.messagesSent++
	if s.cutLinks[[2]string{m.From, m.To}] {
		s.faults["messages blocked"]++
		return
	}
	if s.rand.Float64() < s.messageFaultRate {
		s.faults["messages lost"]++
		return
	}
	copies := 1
	if s.rand.Float64() < s.messageFaultRate {
		s.faults["messages duplicated"]++
		copies = 2
	}
	for range copies {
		delay := time.Millisecond + time.Duration(s.rand.IntN(2_000))*time.Microsecond
		if s.rand.Float64() < s.messageFaultRate {
			s.faults["messages delayed"]++
			delay += time.Duration(s.rand.IntN(3_000)) * time.Millisecond
		}
		s.After(delay, func() {
			n := s.nodes[m.To]
			if !n.alive {
				return
			}
			if n.frozen {
				s.After(100*time.Millisecond, func() { s.receive(n, m) })
				return
			}
			s.receive(n, m)
		})
	}
}

func (s *sim) receive(n *simNode, m simMessage) {
	if !n.alive || n.frozen {
		return
	}
	next, out := n.state.Receive(s.Now(), m)
	s.applyStep(n, next, out)
}

// propose proposes a command at a node and returns the proposal ID, which is also the
// command. It returns zero if the node is down or frozen.
func (s *sim) propose(name string) uint64 {
	n := s.nodes[name]
	if !n.alive || n.frozen {
		return 0
	}
	s.lastProposal++
	next, out := n.state.Propose(s.Now(), Proposal[uint64]{ProposalID: s.lastProposal, Command: s.lastProposal})
	s.applyStep(n, next, out)
	return s.lastProposal
}

func (s *sim) resign(name string) {
	n, ok := s.nodes[name]
	if ok && n.alive && !n.frozen {
		next, out := n.state.Resign(s.Now())
		s.applyStep(n, next, out)
	}
}

func (s *sim) crash(name string) {
	s.faults["crash"]++
	s.nodes[name].alive = false
}

func (s *sim) restart(name string) {
	n := s.nodes[name]
	if !n.alive {
		s.start(n)
	}
}

// loseDisk empties the disk of a node that is down, so that it restarts with a new disk ID.
// With IgnoreDiskID the node keeps its disk ID and knows the voters.
func (s *sim) loseDisk(name string) {
	n := s.nodes[name]
	if !n.cfg.Durable || n.alive {
		return
	}
	s.faults["disk lost"]++
	n.disk = simStoredState{}
	if n.cfg.IgnoreDiskID {
		n.disk.Snapshot.Members = s.nodes[s.names[0]].state.Members()
		return
	}
	n.cfg.DiskID = fmt.Sprintf("%s/%d", name, n.runNumber)
}

// isolate cuts all links of a node in both directions or, if isolated is false, restores
// them. Both are counted as a partition fault.
func (s *sim) isolate(name string, isolated bool) {
	s.faults["partition"]++
	for _, other := range s.names {
		s.cutLinks[[2]string{name, other}] = isolated
		s.cutLinks[[2]string{other, name}] = isolated
	}
}

// leader returns the name of the node that holds the lease, or an empty string if no running
// node does.
func (s *sim) leader() string {
	for _, name := range s.names {
		n := s.nodes[name]
		if n.alive && !n.frozen && n.state.HoldsLease(s.Now()) {
			return name
		}
	}
	return ""
}

// heal ends message faults, partitions and freezes, restarts the nodes that are down and gives the
// group time to recover. A stalled disk stays stalled.
func (s *sim) heal() {
	s.messageFaultRate = 0
	clear(s.cutLinks)
	for _, name := range s.names {
		s.nodes[name].frozen = false
		s.restart(name)
	}
	s.RunFor(20 * time.Second)
}

// checkConvergence checks that no acknowledged command was lost, that all nodes have the
// same state and that each durable node is a voter.
func (s *sim) checkConvergence() {
	for proposalID, position := range s.acked {
		if s.history[position] != proposalID {
			s.reportViolation("proposal %d was acknowledged at position %d, which holds %d", proposalID, position, s.history[position])
		}
	}
	leader := s.leader()
	if leader == "" {
		s.reportViolation("no leader after healing")
		return
	}
	want := s.nodes[leader].state.Machine()
	for _, name := range s.names {
		got := s.nodes[name].state.Machine()
		if got != want {
			s.reportViolation("%s holds %+v, the leader %s holds %+v", name, got, leader, want)
		}
		if s.nodes[name].cfg.Durable && !s.nodes[name].state.IsVoter() {
			s.reportViolation("%s did not become a voter again", name)
		}
	}
}
