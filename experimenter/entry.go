package experimenter

import (
	"fmt"
	"time"

	"laburnumwind/assembler"
	"laburnumwind/claimer"
	"laburnumwind/courier"
	"laburnumwind/keeper"
	"laburnumwind/messenger"
	"laburnumwind/recorder"
	"laburnumwind/replicator"
)

// Entry is a simulated entry instance: the real node with in-memory disks and a
// simulated network. Only voters keep their disks across restarts.
type Entry struct {
	Name  string
	Zone  string
	Voter bool

	cluster        *Cluster
	node           *assembler.Node
	running        bool // the process exists; it may be frozen
	frozen         bool
	isolated       bool
	run            int // number of starts
	diskID         string
	declarations   assembler.DeclarationsStoredState // synced to disk, as are the claims
	claims         assembler.ClaimsStoredState
	pendingSyncs   []func() // in the order of their writes
	view           messenger.DeclarationsView
	lastRequestID  uint64
	lastProposalID uint64
	calls          map[uint64]*Call       // unanswered requests of this run, by request ID
	specs          map[uint64]RequestSpec // all requests of this run, by request ID
	changes        map[uint64]*Change     // by proposal ID; a change that is sent again has several
	revision       uint64                 // highest revision observed in this run
	clockSkew      time.Duration          // of the machine's clock against simulated time
}

const (
	minSyncDuration    = time.Millisecond       // the maximum is twice as long
	resendInterval     = 700 * time.Millisecond // between two sends of a command without a result
	proposeTimeout     = 60 * time.Second       // from the first send of a command to the last
	frozenPollInterval = 50 * time.Millisecond  // between attempts to deliver to a frozen instance
)

// bootstrap initializes the disk of a voter of a new cluster.
func (e *Entry) bootstrap() {
	e.diskID = recorder.InitialDiskID(e.Name)
	if !e.Voter {
		return
	}
	var members []replicator.Member
	for _, other := range e.cluster.entries {
		if other.Voter {
			members = append(members, replicator.Member{Name: other.Name, DiskID: recorder.InitialDiskID(other.Name)})
		}
	}
	e.declarations = replicator.Bootstrap[keeper.Command](members, e.cluster.cfg.AdjustState(keeper.NewState()))
	e.claims = replicator.Bootstrap[claimer.Command](members, e.cluster.cfg.AdjustClaims(claimer.NewClaims()))
}

// resetDisks empties the stored state of both groups.
func (e *Entry) resetDisks() {
	e.declarations = assembler.DeclarationsStoredState{}
	e.declarations.Snapshot.Machine = keeper.NewState()
	e.claims = assembler.ClaimsStoredState{}
	e.claims.Snapshot.Machine = e.cluster.cfg.AdjustClaims(claimer.NewClaims())
}

// RunName returns a name that is unique to the current run of the instance.
func (e *Entry) RunName() string { return fmt.Sprintf("%s-run%d", e.Name, e.run) }

// now returns the time by the instance's own clock. The skew never changes during a
// run, because a process reads the wall clock only at its start and then adds the
// monotonic time since.
func (e *Entry) now() time.Time { return e.cluster.Now().Add(e.clockSkew) }

// Alive reports whether the instance is running and not frozen.
func (e *Entry) Alive() bool { return e.running && !e.frozen }

// start starts a new run with the state on the disk. An instance that is not a voter
// starts with an empty disk.
func (e *Entry) start() {
	e.running = true
	e.run++
	e.pendingSyncs = nil
	e.calls = make(map[uint64]*Call)
	e.specs = make(map[uint64]RequestSpec)
	e.changes = make(map[uint64]*Change)
	e.view = messenger.DeclarationsView{State: keeper.NewState()}
	e.revision = 0
	if !e.Voter {
		e.diskID = e.RunName()
		e.resetDisks()
	}
	seed := e.cluster.random.Uint64()
	firstID := uint64(e.run) << 40 // above all proposal IDs of earlier runs
	// The groups compact their logs far more often than by default, so that short runs cover snapshots too.
	cfg := assembler.Config{
		Declarations:   assembler.DeclarationsConfig{Name: e.Name, DiskID: e.diskID, Durable: e.Voter, Seed: seed, CompactAfter: 60, TrailingEntries: 20},
		Claims:         assembler.ClaimsConfig{Name: e.Name, DiskID: e.diskID, Durable: e.Voter, ProposeOnly: !e.Voter, Seed: seed + 1, CompactAfter: 200, TrailingEntries: 50},
		LastProposalID: firstID,
		OnViolation:    func(err error) { e.cluster.reportViolation("%s: %v", e.Name, err) },
	}
	cfg.Admitter.Name = e.Name
	cfg.Placer.Zone = e.Zone
	cfg.Placer.Seed = seed + 2
	cfg.Claimer.Entry = e.RunName()
	cfg.Tracker.Name = e.Name
	for _, other := range e.cluster.entries {
		if other != e {
			cfg.Declarations.Peers = append(cfg.Declarations.Peers, replicator.Peer{Name: other.Name, CanVote: other.Voter, Learner: true})
			cfg.Claims.Peers = append(cfg.Claims.Peers, replicator.Peer{Name: other.Name, CanVote: other.Voter})
		}
	}
	e.cluster.cfg.AdjustNode(&cfg)
	e.lastProposalID = firstID + 1<<39 // operators' proposal IDs start above those that the node assigns
	e.node = assembler.NewNode(e.now(), cfg, e.declarations, e.claims)
}

// tick calls Tick of the node, unless the instance has crashed or is frozen.
func (e *Entry) tick() {
	if e.Alive() {
		e.route(e.node.Tick(e.now()))
	}
}

// step passes a message to the node. A frozen instance handles it after Thaw. A message
// to a run that has ended is dropped.
func (e *Entry) step(run int, to messenger.Stage, body any) {
	if !e.running || e.run != run {
		return
	}
	if e.frozen {
		e.cluster.After(frozenPollInterval, func() { e.step(run, to, body) })
		return
	}
	e.route(e.node.Step(e.now(), messenger.Message{To: to, Body: body}))
}

// route delivers the messages of the node to the network, the disk, callers and operators.
func (e *Entry) route(messages []messenger.Message) {
	for _, m := range messages {
		switch body := m.Body.(type) {
		case messenger.SendAttempt:
			e.cluster.sendAttempt(e, body.Request)
		case messenger.RevokeAttempt:
			e.cluster.revoke(e, body)
		case assembler.DeclarationsMessage:
			e.send(body.To, messenger.Declarations, body)
		case assembler.ClaimsMessage:
			e.send(body.To, messenger.Claims, body)
		case messenger.Gossip:
			e.gossip(body)
		case assembler.DeclarationsWrite:
			e.queueSync(func() { e.declarations = applyWrite(e, messenger.Declarations, e.declarations, body) })
		case assembler.ClaimsWrite:
			e.queueSync(func() { e.claims = applyWrite(e, messenger.Claims, e.claims, body) })
		case messenger.DeclarationsView:
			e.observeView(body)
		case messenger.Reply:
			e.deliverReply(body)
		case messenger.DeclarationsProposalResult:
			e.handleProposalResult(body)
		}
	}
}

// gossip sends gossip to all other entry instances. It delays gossip that is not urgent by
// BatchDelay, by which the courier delays such messages to batch them.
func (e *Entry) gossip(body messenger.Gossip) {
	run := e.run
	delay := courier.BatchDelay
	if body.Urgent {
		delay = 0
	}
	e.cluster.After(delay, func() {
		for _, other := range e.cluster.entries {
			if other != e && e.Alive() && e.run == run {
				e.send(other.Name, messenger.Tracker, body)
			}
		}
	})
}

// observeView records the latest view of the declarations. Its revision must not decrease
// within a run.
func (e *Entry) observeView(v messenger.DeclarationsView) {
	if v.State.Revision() < e.revision {
		e.cluster.reportViolation("%s: the revision of the declarations decreased from %d to %d", e.Name, e.revision, v.State.Revision())
	}
	e.revision = v.State.Revision()
	e.view = v
}

// send sends a message to another entry instance over the simulated network, which may
// lose, duplicate or delay it.
func (e *Entry) send(to string, stage messenger.Stage, body any) {
	other := e.cluster.Entry(to)
	cl := e.cluster
	if e.isolated || other.isolated || cl.isPartitioned(e.Zone, other.Zone) {
		return
	}
	copies := 1
	switch {
	case cl.messageFaultRate == 0:
	case cl.random.Float64() < cl.messageFaultRate:
		cl.countFault("message lost")
		return
	case cl.random.Float64() < cl.messageFaultRate:
		cl.countFault("message duplicated")
		copies = 2
	}
	for range copies {
		delay := cl.networkDelay(e.Zone, other.Zone)
		if cl.random.Float64() < cl.messageFaultRate {
			cl.countFault("message delayed")
			delay += cl.randomDuration(2 * time.Second)
		}
		cl.After(delay, func() { other.step(other.run, stage, body) })
	}
}

// queueSync schedules the sync of a write. Writes are synced in order.
func (e *Entry) queueSync(sync func()) {
	e.pendingSyncs = append(e.pendingSyncs, sync)
	run := e.run
	e.cluster.After(minSyncDuration+e.cluster.randomDuration(minSyncDuration), func() { e.syncNext(run) })
}

// syncNext completes the oldest pending sync. A crash loses the pending syncs of its run.
func (e *Entry) syncNext(run int) {
	if !e.running || e.run != run || len(e.pendingSyncs) == 0 {
		return
	}
	if e.frozen {
		e.cluster.After(frozenPollInterval, func() { e.syncNext(run) })
		return
	}
	next := e.pendingSyncs[0]
	e.pendingSyncs = e.pendingSyncs[1:]
	next()
}

// applyWrite returns the stored state of a group after a write. It sends the messages that
// had to wait for the sync of the write, and reports the persisted entries to the node.
func applyWrite[C, S, R any](e *Entry, stage messenger.Stage, stored replicator.StoredState[C, S], w assembler.Write[C, S, R]) replicator.StoredState[C, S] {
	for _, m := range w.AfterSync {
		e.send(m.To, stage, m)
	}
	if w.Write == nil {
		return stored
	}
	n := len(w.Write.Entries)
	if n > 0 {
		last := w.Write.Entries[n-1]
		run := e.run
		e.cluster.After(0, func() { e.step(run, stage, replicator.Persisted{Index: last.Index, Term: last.Term}) })
	}
	return stored.WithWrite(*w.Write)
}

// propose sends a command, and sends it again every resendInterval until its result is
// known or proposeTimeout has passed. Each send has a proposal ID of its own.
func (e *Entry) propose(c keeper.Command, change *Change) {
	if change.Done || !e.running || e.cluster.Now().Sub(change.SentAt) > proposeTimeout {
		return
	}
	e.lastProposalID++
	proposalID := e.lastProposalID
	e.changes[proposalID] = change
	e.step(e.run, messenger.Declarations, messenger.ProposeDeclarations{ProposalID: proposalID, Command: c})
	e.cluster.After(resendInterval, func() { e.propose(c, change) })
}

// handleProposalResult records the first result of a change. A failed proposal is sent
// again by propose.
func (e *Entry) handleProposalResult(p messenger.DeclarationsProposalResult) {
	change, ok := e.changes[p.ProposalID]
	if !ok || p.Failed || change.Done {
		return
	}
	change.Done = true
	change.DoneAt = e.cluster.Now()
	change.Result = p.Result
}

// Crash kills the instance. Writes that were not synced are lost, and callers are
// disconnected.
func (e *Entry) Crash() {
	if !e.running {
		return
	}
	e.cluster.countFault("entry crashed")
	e.running = false
	e.frozen = false
	for _, c := range e.calls {
		c.Disconnected = c.Disconnected || !c.Answered
	}
}

// Restart starts a crashed instance again.
func (e *Entry) Restart() {
	if !e.running {
		e.start()
	}
}

// SkewClock sets the clock skew of the machine of a crashed instance. It has no effect
// on a running instance.
func (e *Entry) SkewClock(by time.Duration) {
	if e.running {
		return
	}
	e.cluster.countFault("clock skewed")
	e.clockSkew = by
}

// LoseDisk gives a crashed voter an empty disk with a new disk ID. It has no effect on a
// running instance or one that is not a voter.
func (e *Entry) LoseDisk() {
	if e.running || !e.Voter {
		return
	}
	e.cluster.countFault("disk lost")
	e.diskID = fmt.Sprintf("%s/disk%d", e.Name, e.run)
	e.resetDisks()
}

// Freeze suspends the process of the instance, as SIGSTOP does.
func (e *Entry) Freeze() {
	if e.Alive() {
		e.cluster.countFault("entry frozen")
		e.frozen = true
	}
}

// Thaw resumes a frozen instance, as SIGCONT does.
func (e *Entry) Thaw() { e.frozen = false }

// Isolate drops all messages between the instance and the other entry instances, or lets
// them through again. Endpoints and callers still reach the instance.
func (e *Entry) Isolate(on bool) {
	if on {
		e.cluster.countFault("entry isolated")
	}
	e.isolated = on
}
