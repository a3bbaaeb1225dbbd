package replicator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumwind/simulator"
)

// tally is the state machine of the tests: the commands in order.
type tally struct {
	count int
	last  uint64
}

type (
	simState   = State[uint64, tally, int]
	simMessage = Message[uint64, tally, int]
	simConfig  = Config[uint64, tally, int]
	simDisk    = Disk[uint64, tally]
	simEffects = Effects[uint64, tally, int]
)

// simNode is a node with its fake disk.
type simNode struct {
	cfg     simConfig
	state   simState
	alive   bool
	frozen  bool
	synced  simDisk      // what survives a crash
	stalled bool         // its disk takes no writes
	pending []simEffects // writes not synced yet, with the messages behind them
	run     int
}

// sim drives a group by a seed: messages that are late, lost, doubled or
// reordered, cuts, crashes that lose unsynced writes, lost disks and freezes.
type sim struct {
	seed uint64
	rand *rand.Rand
	*simulator.Simulator
	nodes   map[string]*simNode
	names   []string
	cut     map[[2]string]bool
	loss    float64
	applied map[int]uint64 // command by its place in the history
	acked   map[uint64]int // place that a proposer was told
	leaders map[uint64]string
	next    uint64
	faults  map[string]int
	sent    int // messages
	errs    []string
}

func newSim(seed uint64, voters, learners int, change func(*simConfig)) *sim {
	s := &sim{
		Simulator: simulator.NewSimulator(time.Unix(1_000_000, 0)),
		seed:      seed,
		rand:      rand.New(rand.NewPCG(seed, 7)),
		nodes:     make(map[string]*simNode),
		cut:       make(map[[2]string]bool),
		applied:   make(map[int]uint64),
		acked:     make(map[uint64]int),
		leaders:   make(map[uint64]string),
		faults:    make(map[string]int),
	}
	var members []Member
	for i := range voters + learners {
		name := fmt.Sprintf("n%d", i)
		s.names = append(s.names, name)
		if i < voters {
			members = append(members, Member{Name: name, Disk: name + "/0"})
		}
	}
	for i, name := range s.names {
		cfg := simConfig{Name: name, Durable: i < voters, Disk: name + "/0", Seed: seed + uint64(i), CompactAfter: 40, KeepEntries: 10}
		for k, other := range s.names {
			if other != name {
				cfg.Peers = append(cfg.Peers, Peer{Name: other, Voter: k < voters, Hears: true})
			}
		}
		if change != nil {
			change(&cfg)
		}
		n := &simNode{cfg: cfg}
		if cfg.Durable {
			n.synced = Bootstrap[uint64](members, tally{})
		}
		s.nodes[name] = n
		s.start(n)
		s.Every(20*time.Millisecond, func() { s.tick(n) })
	}
	return s
}

func (s *sim) fail(format string, args ...any) {
	s.errs = append(s.errs, fmt.Sprintf("seed %d at %s: ", s.seed, s.Now().Format(time.TimeOnly))+fmt.Sprintf(format, args...))
}

func (s *sim) start(n *simNode) {
	n.alive = true
	n.pending = nil
	n.run++
	if !n.cfg.Durable {
		n.cfg.Disk = fmt.Sprintf("%s/run%d", n.cfg.Name, n.run)
		n.synced = simDisk{}
	}
	n.cfg.Apply = func(t tally, _ time.Time, c uint64) (tally, int) {
		t.count++
		t.last = c
		known, ok := s.applied[t.count]
		if ok && known != c {
			s.fail("%s applied %d at place %d, another node applied %d", n.cfg.Name, c, t.count, known)
		}
		s.applied[t.count] = c
		return t, t.count
	}
	n.state = NewState(s.Now(), n.cfg, n.synced)
}

func (s *sim) tick(n *simNode) {
	if n.alive && !n.frozen {
		next, out := n.state.Tick(s.Now())
		s.took(n, next, out)
	}
}

// took takes the effects of a step over to the fakes.
func (s *sim) took(n *simNode, next simState, out simEffects) {
	if next.Commit() < n.state.Commit() && next.Term() >= n.state.Term() {
		s.fail("%s went back from commit %d to %d", n.cfg.Name, n.state.Commit(), next.Commit())
	}
	n.state = next
	if next.Role() == Leader {
		other, ok := s.leaders[next.Term()]
		if ok && other != n.cfg.Name {
			s.fail("%s and %s lead term %d", other, n.cfg.Name, next.Term())
		}
		s.leaders[next.Term()] = n.cfg.Name
	}
	s.checkLeases()
	for _, m := range out.Now {
		s.deliver(m)
	}
	for _, r := range out.Results {
		if !r.Failed {
			s.acked[r.Ticket] = r.Value
		}
	}
	if !n.cfg.Durable {
		return
	}
	n.pending = append(n.pending, out)
	run := n.run
	s.After(time.Duration(s.rand.IntN(4_000))*time.Microsecond, func() {
		if n.alive && n.run == run && !n.stalled && len(n.pending) > 0 {
			s.sync(n)
		}
	})
}

func (s *sim) checkLeases() {
	var holders []string
	for _, name := range s.names {
		n := s.nodes[name]
		if n.alive && n.state.HoldsLease(s.Now()) {
			holders = append(holders, name)
		}
	}
	if len(holders) > 1 {
		s.fail("%v hold a lease at once", holders)
	}
}

// sync makes the oldest writes durable and lets go what waited for them.
func (s *sim) sync(n *simNode) {
	k := 1 + s.rand.IntN(len(n.pending))
	batch := n.pending[:k]
	n.pending = n.pending[k:]
	var last *Entry[uint64]
	for _, out := range batch {
		if out.Write != nil {
			n.synced = n.synced.WithWrite(*out.Write)
			if len(out.Write.Entries) > 0 {
				last = &out.Write.Entries[len(out.Write.Entries)-1]
			}
		}
		for _, m := range out.Synced {
			s.deliver(m)
		}
	}
	if last == nil {
		return
	}
	next, out := n.state.Persisted(s.Now(), Persisted{Index: last.Index, Term: last.Term})
	s.took(n, next, out)
}

func (s *sim) deliver(m simMessage) {
	s.sent++
	if s.cut[[2]string{m.From, m.To}] {
		s.faults["messages cut"]++
		return
	}
	if s.rand.Float64() < s.loss {
		s.faults["messages lost"]++
		return
	}
	copies := 1
	if s.rand.Float64() < s.loss {
		s.faults["messages doubled"]++
		copies = 2
	}
	for range copies {
		delay := time.Millisecond + time.Duration(s.rand.IntN(2_000))*time.Microsecond
		if s.rand.Float64() < s.loss {
			s.faults["messages late"]++
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
	s.took(n, next, out)
}

func (s *sim) propose(name string) uint64 {
	n := s.nodes[name]
	if !n.alive || n.frozen {
		return 0
	}
	s.next++
	next, out := n.state.Propose(s.Now(), Proposal[uint64]{Ticket: s.next, Command: s.next})
	s.took(n, next, out)
	return s.next
}

func (s *sim) resign(name string) {
	n, ok := s.nodes[name]
	if ok && n.alive && !n.frozen {
		next, out := n.state.Resign(s.Now())
		s.took(n, next, out)
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

// loseDisk lets a node that is down come back with an empty folder and a new identity.
func (s *sim) loseDisk(name string) {
	n := s.nodes[name]
	if !n.cfg.Durable || n.alive {
		return
	}
	s.faults["disk lost"]++
	n.synced = simDisk{}
	if n.cfg.ForgetIdentity {
		n.synced.Snapshot.Members = s.nodes[s.names[0]].state.Members()
		return
	}
	n.cfg.Disk = fmt.Sprintf("%s/%d", name, n.run)
}

func (s *sim) isolate(name string, on bool) {
	s.faults["cut"]++
	for _, other := range s.names {
		s.cut[[2]string{name, other}] = on
		s.cut[[2]string{other, name}] = on
	}
}

func (s *sim) leader() string {
	for _, name := range s.names {
		n := s.nodes[name]
		if n.alive && !n.frozen && n.state.HoldsLease(s.Now()) {
			return name
		}
	}
	return ""
}

// heal ends all faults and lets the group settle.
func (s *sim) heal() {
	s.loss = 0
	clear(s.cut)
	for _, name := range s.names {
		s.nodes[name].frozen = false
		s.restart(name)
	}
	s.RunFor(20 * time.Second)
}

// checkEnd checks that nothing acknowledged was lost and that all nodes agree.
func (s *sim) checkEnd() {
	for ticket, place := range s.acked {
		if s.applied[place] != ticket {
			s.fail("proposal %d was acknowledged at place %d, where %d is", ticket, place, s.applied[place])
		}
	}
	leader := s.leader()
	if leader == "" {
		s.fail("no leader after healing")
		return
	}
	want := s.nodes[leader].state.Machine()
	for _, name := range s.names {
		got := s.nodes[name].state.Machine()
		if got != want {
			s.fail("%s holds %+v, the leader %s %+v", name, got, leader, want)
		}
		if s.nodes[name].cfg.Durable && !s.nodes[name].state.IsVoter() {
			s.fail("%s is not a voter again", name)
		}
	}
}
