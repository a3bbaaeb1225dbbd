package assembler

import (
	"fmt"
	"time"

	"laburnumwind/claimer"
	"laburnumwind/keeper"
	"laburnumwind/messenger"
	"laburnumwind/recoverer"
	"laburnumwind/replicator"
)

// The declarations group and the claims group use separate logs, so that many claims never delay a
// declaration.
type (
	// DeclarationsState is the state of a node of the declarations group.
	DeclarationsState = replicator.State[keeper.Command, keeper.State, keeper.Result]
	// DeclarationsConfig configures a node of the declarations group.
	DeclarationsConfig = replicator.Config[keeper.Command, keeper.State, keeper.Result]
	// DeclarationsMessage is a message between nodes of the declarations group.
	DeclarationsMessage = replicator.Message[keeper.Command, keeper.State, keeper.Result]
	// DeclarationsWrite is a write to the disk of a voter of the declarations group.
	DeclarationsWrite = Write[keeper.Command, keeper.State, keeper.Result]
	// DeclarationsStoredState is the state that a voter of the declarations group reads from its disk at startup.
	DeclarationsStoredState = replicator.StoredState[keeper.Command, keeper.State]

	// ClaimsState is the state of a node of the claims group.
	ClaimsState = replicator.State[claimer.Command, claimer.Claims, claimer.Result]
	// ClaimsConfig configures a node of the claims group.
	ClaimsConfig = replicator.Config[claimer.Command, claimer.Claims, claimer.Result]
	// ClaimsMessage is a message between nodes of the claims group.
	ClaimsMessage = replicator.Message[claimer.Command, claimer.Claims, claimer.Result]
	// ClaimsWrite is a write to the disk of a voter of the claims group.
	ClaimsWrite = Write[claimer.Command, claimer.Claims, claimer.Result]
	// ClaimsStoredState is the state that a voter of the claims group reads from its disk at startup.
	ClaimsStoredState = replicator.StoredState[claimer.Command, claimer.Claims]
)

// Write is a write to disk by the recorder and the messages that depend on it. The recorder sends AfterSync once
// this write, which may be nil, and all earlier writes are synced.
type Write[C, S, R any] struct {
	Write     *replicator.Write[C, S]
	AfterSync []replicator.Message[C, S, R]
}

// group runs a node of a replicated group as a stage. Its function fields convert between stage messages and
// the types of that group, and report violated invariants.
type group[C, S, R any] struct {
	state         replicator.State[C, S, R]
	proposal      func(body any) (replicator.Proposal[C], bool) // converts the body of a propose message; false for other messages
	resultMessage func(replicator.Result[R]) messenger.Message  // converts the result of a proposal for its proposer
	// viewMessages returns the new view of the state for the stages that use it, or nothing if it has not changed.
	viewMessages    func(now time.Time, s replicator.State[C, S, R]) []messenger.Message
	reportViolation func(violation error) // called after each step; nil if all invariants hold
}

func (g *group[C, S, R]) stage(name messenger.Stage) Stage {
	return Stage{
		Name:   name,
		Step:   g.step,
		WakeAt: func(now time.Time) time.Time { return g.state.WakeAt(now) },
	}
}

// step processes one message and returns the messages to send.
func (g *group[C, S, R]) step(now time.Time, body any) []messenger.Message {
	before := g.state
	var effects replicator.Effects[C, S, R]
	p, ok := g.proposal(body)
	if ok {
		g.state, effects = g.state.Propose(now, p)
	}
	switch m := body.(type) {
	case replicator.Message[C, S, R]:
		g.state, effects = g.state.Receive(now, m)
	case replicator.Persisted:
		g.state, effects = g.state.Persisted(now, m)
	case messenger.Resign:
		g.state, effects = g.state.Resign(now)
	case messenger.Tick:
		g.state, effects = g.state.Tick(now)
	}
	g.reportViolation(checkGroup(before, g.state))
	return g.messages(now, effects)
}

// messages converts the effects of a step: the write for the recorder, messages to peers, changed views of
// the state and results of proposals.
func (g *group[C, S, R]) messages(now time.Time, e replicator.Effects[C, S, R]) []messenger.Message {
	var out []messenger.Message
	if e.Write != nil || len(e.AfterSync) > 0 {
		out = append(out, messenger.Message{To: messenger.Recorder, Body: Write[C, S, R]{Write: e.Write, AfterSync: e.AfterSync}})
	}
	for _, m := range e.Immediate {
		out = append(out, messenger.Message{To: messenger.Courier, Body: m})
	}
	out = append(out, g.viewMessages(now, g.state)...)
	for _, r := range e.Results {
		out = append(out, g.resultMessage(r))
	}
	return out
}

// applyOrSkip returns an apply function for which a command that panics changes nothing and has the result failed. The
// same entry panics on every replica, also after a restart, so that ending the process would end all of them again and
// again.
func applyOrSkip[C, S, R any](apply func(S, time.Time, C) (S, R), failed R, report func(error)) func(S, time.Time, C) (S, R) {
	return func(s S, at time.Time, c C) (S, R) {
		next, result := s, failed
		err := recoverer.Do(func() { next, result = apply(s, at, c) })
		if err != nil {
			report(fmt.Errorf("apply command: %w", err))
			return s, failed
		}
		return next, result
	}
}
