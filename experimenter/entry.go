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
// simulated network.
type Entry struct {
	Name  string
	Zone  string
	Voter bool

	world          *World
	node           *assembler.Node
	alive          bool
	frozen         bool
	isolated       bool
	run            int
	disk           string
	declarations   assembler.DeclarationsStoredState // synced to disk
	claims         assembler.ClaimsStoredState
	pendingSyncs   []func() // in the order of their writes
	view           messenger.DeclarationsView
	nextID         uint64
	lastProposalID uint64
	calls          map[uint64]*Call
	specs          map[uint64]RequestSpec
	changes        map[uint64]*Change
	revision       uint64        // highest revision observed in this run
	clockSkew      time.Duration // of the machine's clock against simulated time
}

const (
	syncTime           = time.Millisecond       // minimum; a sync takes less than twice as long
	resendInterval     = 700 * time.Millisecond // of a command without a result
	proposeTimeout     = 60 * time.Second       // from the first send of a command to the last
	frozenPollInterval = 50 * time.Millisecond  // between attempts to deliver to a frozen instance
)

// bootstrap creates the disks of a new cluster.
func (e *Entry) bootstrap() {
	e.disk = recorder.InitialDiskID(e.Name)
	if !e.Voter {
		return
	}
	var members []replicator.Member
	for _, other := range e.world.entries {
		if other.Voter {
			members = append(members, replicator.Member{Name: other.Name, DiskID: recorder.InitialDiskID(other.Name)})
		}
	}
	e.declarations = replicator.Bootstrap[keeper.Command](members, e.world.cfg.AdjustState(keeper.NewState()))
	e.claims = replicator.Bootstrap[claimer.Command](members, e.world.cfg.AdjustClaims(claimer.NewClaims()))
}

func (e *Entry) resetDisks() {
	e.declarations = assembler.DeclarationsStoredState{}
	e.declarations.Snapshot.Machine = keeper.NewState()
	e.claims = assembler.ClaimsStoredState{}
	e.claims.Snapshot.Machine = e.world.cfg.AdjustClaims(claimer.NewClaims())
}

// RunName returns the name of the current run of the instance.
func (e *Entry) RunName() string { return fmt.Sprintf("%s-run%d", e.Name, e.run) }

// now returns the time by the instance's own clock. The skew never changes during a
// run, because a process reads the monotonic clock from its start.
func (e *Entry) now() time.Time { return e.world.Now().Add(e.clockSkew) }

// Alive reports whether the instance is running and not frozen.
func (e *Entry) Alive() bool { return e.alive && !e.frozen }

func (e *Entry) start() {
	e.alive = true
	e.run++
	e.pendingSyncs = nil
	e.calls = make(map[uint64]*Call)
	e.specs = make(map[uint64]RequestSpec)
	e.changes = make(map[uint64]*Change)
	e.view = messenger.DeclarationsView{State: keeper.NewState()}
	e.revision = 0
	if !e.Voter {
		e.disk = e.RunName()
		e.resetDisks()
	}
	seed := e.world.random.Uint64()
	firstID := uint64(e.run) << 40
	cfg := assembler.Config{
		Declarations:   assembler.DeclarationsConfig{Name: e.Name, DiskID: e.disk, Durable: e.Voter, Seed: seed, CompactAfter: 60, TrailingEntries: 20},
		Claims:         assembler.ClaimsConfig{Name: e.Name, DiskID: e.disk, Durable: e.Voter, ProposeOnly: !e.Voter, Seed: seed + 1, CompactAfter: 200, TrailingEntries: 50},
		LastProposalID: firstID,
		OnViolation:    func(err error) { e.world.reportViolation("%s: %v", e.Name, err) },
	}
	cfg.Admitter.Name = e.Name
	cfg.Placer.Zone = e.Zone
	cfg.Placer.Seed = seed + 2
	cfg.Claimer.Entry = e.RunName()
	cfg.Tracker.Name = e.Name
	for _, other := range e.world.entries {
		if other != e {
			cfg.Declarations.Peers = append(cfg.Declarations.Peers, replicator.Peer{Name: other.Name, CanVote: other.Voter, Learner: true})
			cfg.Claims.Peers = append(cfg.Claims.Peers, replicator.Peer{Name: other.Name, CanVote: other.Voter})
		}
	}
	e.world.cfg.AdjustNode(&cfg)
	e.lastProposalID = firstID + 1<<39
	e.node = assembler.NewNode(e.now(), cfg, e.declarations, e.claims)
}

func (e *Entry) tick() {
	if e.Alive() {
		e.route(e.node.Tick(e.now()))
	}
}

// step passes a message to the node. A frozen instance handles it after Thaw.
func (e *Entry) step(run int, to messenger.Stage, body any) {
	if !e.alive || e.run != run {
		return
	}
	if e.frozen {
		e.world.After(frozenPollInterval, func() { e.step(run, to, body) })
		return
	}
	e.route(e.node.Step(e.now(), messenger.Message{To: to, Body: body}))
}

// route handles the messages that the node sends to its surroundings: network,
// disk and callers.
func (e *Entry) route(messages []messenger.Message) {
	for _, m := range messages {
		switch body := m.Body.(type) {
		case messenger.SendAttempt:
			e.world.sendAttempt(e, body.Request)
		case messenger.RevokeAttempt:
			e.world.revoke(e, body)
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
			e.handleProposed(body)
		}
	}
}

// gossip sends gossip to all other entry instances, after the same delay as the
// courier waits to batch it.
func (e *Entry) gossip(body messenger.Gossip) {
	run := e.run
	delay := courier.BatchDelay
	if body.Urgent {
		delay = 0
	}
	e.world.After(delay, func() {
		for _, other := range e.world.entries {
			if other != e && e.Alive() && e.run == run {
				e.send(other.Name, messenger.Tracker, body)
			}
		}
	})
}

func (e *Entry) observeView(v messenger.DeclarationsView) {
	if v.State.Revision() < e.revision {
		e.world.reportViolation("%s went back from revision %d to %d", e.Name, e.revision, v.State.Revision())
	}
	e.revision = v.State.Revision()
	e.view = v
}

func (e *Entry) send(to string, stage messenger.Stage, body any) {
	other := e.world.Entry(to)
	w := e.world
	if e.isolated || other.isolated || w.isPartitioned(e.Zone, other.Zone) {
		return
	}
	copies := 1
	switch {
	case w.lossRate == 0:
	case w.random.Float64() < w.lossRate:
		w.countFault("message lost")
		return
	case w.random.Float64() < w.lossRate:
		w.countFault("message doubled")
		copies = 2
	}
	for range copies {
		delay := w.networkDelay(e.Zone, other.Zone)
		if w.random.Float64() < w.lossRate {
			w.countFault("message late")
			delay += w.randomDuration(2 * time.Second)
		}
		w.After(delay, func() { other.step(other.run, stage, body) })
	}
}

// queueSync schedules a sync. Writes are synced in order.
func (e *Entry) queueSync(sync func()) {
	e.pendingSyncs = append(e.pendingSyncs, sync)
	run := e.run
	e.world.After(syncTime+e.world.randomDuration(syncTime), func() { e.syncNext(run) })
}

func (e *Entry) syncNext(run int) {
	if !e.alive || e.run != run || len(e.pendingSyncs) == 0 {
		return
	}
	if e.frozen {
		e.world.After(frozenPollInterval, func() { e.syncNext(run) })
		return
	}
	next := e.pendingSyncs[0]
	e.pendingSyncs = e.pendingSyncs[1:]
	next()
}

// applyWrite returns the stored state of a group after a write and sends the messages that
// had to wait for its sync.
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
		e.world.After(0, func() { e.step(run, stage, replicator.Persisted{Index: last.Index, Term: last.Term}) })
	}
	return stored.WithWrite(*w.Write)
}

// propose sends a command again every resendInterval until its result is known or
// proposeTimeout has passed.
func (e *Entry) propose(c keeper.Command, change *Change) {
	if change.Done || !e.alive || e.world.Now().Sub(change.SentAt) > proposeTimeout {
		return
	}
	e.lastProposalID++
	proposalID := e.lastProposalID
	e.changes[proposalID] = change
	e.step(e.run, messenger.Declarations, messenger.ProposeDeclarations{ProposalID: proposalID, Command: c})
	e.world.After(resendInterval, func() { e.propose(c, change) })
}

func (e *Entry) handleProposed(p messenger.DeclarationsProposalResult) {
	change, ok := e.changes[p.ProposalID]
	if !ok || p.Failed || change.Done {
		return
	}
	change.Done = true
	change.DoneAt = e.world.Now()
	change.Result = p.Result
}

// Crash kills the instance. Writes that were not synced are lost.
func (e *Entry) Crash() {
	if !e.alive {
		return
	}
	e.world.countFault("entry killed")
	e.alive = false
	e.frozen = false
	for _, c := range e.calls {
		c.Disconnected = true
	}
}

// Restart starts a killed instance again.
func (e *Entry) Restart() {
	if !e.alive {
		e.start()
	}
}

// SetClockSkew sets the clock skew of the machine of a killed instance.
func (e *Entry) SetClockSkew(by time.Duration) {
	if e.alive {
		return
	}
	e.world.countFault("clock jumped")
	e.clockSkew = by
}

// LoseDisk gives a killed voter an empty disk with a new identity.
func (e *Entry) LoseDisk() {
	if e.alive || !e.Voter {
		return
	}
	e.world.countFault("disk lost")
	e.disk = fmt.Sprintf("%s/disk%d", e.Name, e.run)
	e.resetDisks()
}

// Freeze suspends the process of the instance, as SIGSTOP does.
func (e *Entry) Freeze() {
	if e.Alive() {
		e.world.countFault("entry frozen")
		e.frozen = true
	}
}

// Thaw resumes a frozen instance.
func (e *Entry) Thaw() { e.frozen = false }

// Isolate drops all messages between the instance and the other entry instances.
func (e *Entry) Isolate(on bool) {
	if on {
		e.world.countFault("entry isolated")
	}
	e.isolated = on
}
