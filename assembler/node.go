// Package assembler assembles the stages of a node.
// A Node does no I/O and starts no goroutines: its input is messages and the current time, its output messages.
package assembler

import (
	"time"

	"laburnumwind/admitter"
	"laburnumwind/answerer"
	"laburnumwind/claimer"
	"laburnumwind/keeper"
	"laburnumwind/messenger"
	"laburnumwind/placer"
	"laburnumwind/planner"
	"laburnumwind/replicator"
	"laburnumwind/tracker"
)

// Config configures a Node.
type Config struct {
	Admitter       admitter.Config
	Placer         placer.Config
	Claimer        claimer.Config
	Answerer       answerer.Config
	Tracker        tracker.Config
	Planner        planner.Config
	Declarations   DeclarationsConfig
	Claims         ClaimsConfig
	LastProposalID uint64                // the first proposal gets the next ID; IDs of earlier runs of this node must not recur, because the results of those proposals may still arrive
	OnViolation    func(violation error) // called when an invariant does not hold
}

// Stage is one stage of a node.
type Stage struct {
	Name messenger.Stage
	Step func(now time.Time, body any) []messenger.Message

	// WakeAt returns when the next tick of the stage is due in its current state. It is nil for a stage
	// without timers.
	WakeAt func(now time.Time) time.Time
}

// Node holds the stages of a node with their state, and the times of their next ticks. Step and Tick run
// the stages one after another, for simulations; Stages returns the stages for a runner.
type Node struct {
	stages map[messenger.Stage]Stage
	order  []messenger.Stage
	due    map[messenger.Stage]time.Time // time of the next tick of each stage
}

// NewNode returns a node that starts with the state read from its disks.
func NewNode(now time.Time, cfg Config, declarations DeclarationsStoredState, claims ClaimsStoredState) *Node {
	n := &Node{stages: make(map[messenger.Stage]Stage), due: make(map[messenger.Stage]time.Time)}
	n.add(stageOf(messenger.Admitter, admitter.NewState(cfg.Admitter), admitter.State.Step, admitter.State.WakeAt))
	n.add(stageOf(messenger.Placer, placer.NewState(cfg.Placer), placer.State.Step, placer.State.WakeAt))
	n.add(stageOf(messenger.Claimer, claimer.NewState(cfg.Claimer, cfg.LastProposalID), claimer.State.Step, claimer.State.WakeAt))
	n.add(stageOf(messenger.Answerer, answerer.NewState(cfg.Answerer), answerer.State.Step, nil))
	n.add(stageOf(messenger.Tracker, tracker.NewState(cfg.Tracker), tracker.State.Step, tracker.State.WakeAt))
	n.add(stageOf(messenger.Planner, planner.NewState(cfg.Planner, cfg.LastProposalID), planner.State.Step, planner.State.WakeAt))
	n.add(declarationsStage(now, cfg, declarations))
	n.add(claimsStage(now, cfg, claims))
	return n
}

func (n *Node) add(s Stage) {
	n.stages[s.Name] = s
	n.order = append(n.order, s.Name)
}

// stageOf wraps the pure step function of a stage and keeps the state of the stage between steps.
func stageOf[S any](
	name messenger.Stage,
	state S,
	step func(S, time.Time, any) (S, []messenger.Message),
	wakeAt func(S, time.Time) time.Time,
) Stage {
	s := Stage{Name: name}
	s.Step = func(now time.Time, body any) []messenger.Message {
		var out []messenger.Message
		state, out = step(state, now, body)
		return out
	}
	if wakeAt != nil {
		s.WakeAt = func(now time.Time) time.Time { return wakeAt(state, now) }
	}
	return s
}

// Stages returns the stages in a fixed order, for a runner that runs each on a goroutine of its own.
func (n *Node) Stages() []Stage {
	out := make([]Stage, 0, len(n.order))
	for _, name := range n.order {
		out = append(out, n.stages[name])
	}
	return out
}

// Step delivers a message to its stage, and the messages that follow from it to theirs, until only messages
// to stages that perform I/O remain. It returns those.
func (n *Node) Step(now time.Time, m messenger.Message) []messenger.Message {
	var ioMessages []messenger.Message
	queue := []messenger.Message{m}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		stage, ok := n.stages[next.To]
		if !ok {
			ioMessages = append(ioMessages, next)
			continue
		}
		queue = append(queue, stage.Step(now, next.Body)...)
		n.advance(now, stage)
	}
	return ioMessages
}

// advance makes the next tick of a stage due earlier if its new state requires that.
func (n *Node) advance(now time.Time, stage Stage) {
	if stage.WakeAt == nil {
		return
	}
	at := stage.WakeAt(now)
	if at.Before(n.due[stage.Name]) {
		n.due[stage.Name] = at
	}
}

// Tick sends a tick to each stage whose tick is due and returns the resulting messages to stages that perform I/O.
func (n *Node) Tick(now time.Time) []messenger.Message {
	var ioMessages []messenger.Message
	for _, name := range n.order {
		stage := n.stages[name]
		if stage.WakeAt == nil || now.Before(n.due[name]) {
			continue
		}
		ioMessages = append(ioMessages, n.Step(now, messenger.Message{To: name, Body: messenger.Tick{}})...)
		n.due[name] = stage.WakeAt(now)
	}
	return ioMessages
}

// declarationsStage returns the stage that runs the node of the declarations group. Each applied command is
// followed by a check of the invariants of the declarations.
func declarationsStage(now time.Time, cfg Config, stored DeclarationsStoredState) Stage {
	cfg.Declarations.Apply = applyOrSkip(func(s keeper.State, at time.Time, c keeper.Command) (keeper.State, keeper.Result) {
		next, r := s.Apply(at, c)
		cfg.reportViolation(next.Check())
		cfg.reportViolation(keeper.CheckTransition(s, next))
		return next, r
	}, keeper.Result{Code: keeper.Invalid, Reason: "the command cannot be applied"}, cfg.reportViolation)
	last := messenger.DeclarationsView{}
	lastApplied := uint64(0)
	g := &group[keeper.Command, keeper.State, keeper.Result]{
		state: replicator.NewState(now, cfg.Declarations, stored),
		proposal: func(body any) (replicator.Proposal[keeper.Command], bool) {
			p, ok := body.(messenger.ProposeDeclarations)
			return replicator.Proposal[keeper.Command]{ProposalID: p.ProposalID, Command: p.Command}, ok
		},
		resultMessage: func(r replicator.Result[keeper.Result]) messenger.Message {
			body := messenger.DeclarationsProposalResult{ProposalID: r.ProposalID, Result: r.Value, Failed: r.Failed}
			return messenger.Message{To: messenger.Operator, Body: body}
		},
		reportViolation: cfg.reportViolation,
	}
	g.viewMessages = func(now time.Time, s DeclarationsState) []messenger.Message {
		view := messenger.DeclarationsView{State: s.Machine(), IsLeader: s.HoldsLease(now), IsFresh: s.IsFresh(now), IsVoter: s.IsVoter(), Leader: s.LeaderName()}
		unchanged := s.Applied() == lastApplied && view.IsLeader == last.IsLeader && view.IsFresh == last.IsFresh && view.IsVoter == last.IsVoter && view.Leader == last.Leader
		if unchanged {
			return nil
		}
		last, lastApplied = view, s.Applied()
		return broadcast(view, messenger.Admitter, messenger.Tracker, messenger.Planner, messenger.Receiver, messenger.Operator, messenger.Announcer)
	}
	return g.stage(messenger.Declarations)
}

// claimsStage returns the stage that runs the node of the claims group. While this node is the leader, the stage
// sends each change of the claims to the claimer, because the leader's claimer revokes overdue attempts.
func claimsStage(now time.Time, cfg Config, stored ClaimsStoredState) Stage {
	if cfg.Claims.Apply == nil {
		cfg.Claims.Apply = claimer.Claims.Apply
	}
	cfg.Claims.Apply = applyOrSkip(cfg.Claims.Apply, claimer.Result{Code: claimer.OutcomeUnknown}, cfg.reportViolation)
	if cfg.Claims.SnapshotCost == nil {
		cfg.Claims.SnapshotCost = func(c claimer.Claims) uint64 { return uint64(c.Len()) }
	}
	lastApplied := uint64(0)
	wasLeader := false
	g := &group[claimer.Command, claimer.Claims, claimer.Result]{
		state: replicator.NewState(now, cfg.Claims, stored),
		proposal: func(body any) (replicator.Proposal[claimer.Command], bool) {
			p, ok := body.(claimer.ProposeClaim)
			return replicator.Proposal[claimer.Command]{ProposalID: p.ProposalID, Command: p.Command}, ok
		},
		resultMessage: func(r replicator.Result[claimer.Result]) messenger.Message {
			body := claimer.ClaimProposalResult{ProposalID: r.ProposalID, Result: r.Value, Failed: r.Failed}
			return messenger.Message{To: messenger.Claimer, Body: body}
		},
		reportViolation: cfg.reportViolation,
	}
	g.viewMessages = func(now time.Time, s ClaimsState) []messenger.Message {
		isLeader := s.HoldsLease(now)
		if isLeader == wasLeader && (!isLeader || s.Applied() == lastApplied) {
			return nil
		}
		wasLeader, lastApplied = isLeader, s.Applied()
		return broadcast(claimer.ClaimsView{Claims: s.Machine(), IsLeader: isLeader}, messenger.Claimer)
	}
	return g.stage(messenger.Claims)
}

// broadcast returns a message with the same body to each of the stages.
func broadcast(body any, stages ...messenger.Stage) []messenger.Message {
	out := make([]messenger.Message, 0, len(stages))
	for _, to := range stages {
		out = append(out, messenger.Message{To: to, Body: body})
	}
	return out
}

// reportViolation passes err to OnViolation unless it is nil.
func (cfg Config) reportViolation(err error) {
	if err != nil {
		cfg.OnViolation(err)
	}
}
