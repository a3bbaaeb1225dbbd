package assembler

import (
	"time"

	"laburnumwind/claimer"
	"laburnumwind/keeper"
	"laburnumwind/messenger"
	"laburnumwind/replicator"
)

// The two replicated groups: separate logs, so that many claims never delay a declaration.
type (
	// DeclarationsState is a node of the declarations group.
	DeclarationsState = replicator.State[keeper.Command, keeper.State, keeper.Result]
	// DeclarationsConfig describes a node of the declarations group.
	DeclarationsConfig = replicator.Config[keeper.Command, keeper.State, keeper.Result]
	// DeclarationsMessage goes between the nodes of the declarations group.
	DeclarationsMessage = replicator.Message[keeper.Command, keeper.State, keeper.Result]
	// DeclarationsWrite is for the disk of a voter of the declarations group.
	DeclarationsWrite = Write[keeper.Command, keeper.State, keeper.Result]
	// DeclarationsDisk is what a voter of the declarations group finds on its disk.
	DeclarationsDisk = replicator.Disk[keeper.Command, keeper.State]

	// ClaimsState is a node of the claims group.
	ClaimsState = replicator.State[claimer.Command, claimer.Register, claimer.Result]
	// ClaimsConfig describes a node of the claims group.
	ClaimsConfig = replicator.Config[claimer.Command, claimer.Register, claimer.Result]
	// ClaimsMessage goes between the nodes of the claims group.
	ClaimsMessage = replicator.Message[claimer.Command, claimer.Register, claimer.Result]
	// ClaimsWrite is for the disk of a voter of the claims group.
	ClaimsWrite = Write[claimer.Command, claimer.Register, claimer.Result]
	// ClaimsDisk is what a voter of the claims group finds on its disk.
	ClaimsDisk = replicator.Disk[claimer.Command, claimer.Register]
)

// Write is for the recorder: what must be synced, and the messages that may go only then.
type Write[C, S, R any] struct {
	Write  *replicator.Write[C, S]
	Synced []replicator.Message[C, S, R]
}

// group is a replicated group as a stage. Its functions are what differs between the groups.
type group[C, S, R any] struct {
	state    replicator.State[C, S, R]
	proposal func(body any) (replicator.Proposal[C], bool) // the stage's own message for one
	result   func(replicator.Result[R]) messenger.Message
	views    func(now time.Time, s replicator.State[C, S, R]) []messenger.Message
	report   func(broken error)
}

func (g *group[C, S, R]) stage(name messenger.Stage) Stage {
	return Stage{
		Name:   name,
		Step:   g.take,
		WakeAt: func(now time.Time) time.Time { return g.state.WakeAt(now) },
	}
}

// take runs one step and turns its effects into messages.
func (g *group[C, S, R]) take(now time.Time, body any) []messenger.Message {
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
	g.report(checkGroup(before, g.state))
	return g.out(now, effects)
}

func (g *group[C, S, R]) out(now time.Time, e replicator.Effects[C, S, R]) []messenger.Message {
	var out []messenger.Message
	if e.Write != nil || len(e.Synced) > 0 {
		out = append(out, messenger.Message{To: messenger.Recorder, Body: Write[C, S, R]{Write: e.Write, Synced: e.Synced}})
	}
	for _, m := range e.Now {
		out = append(out, messenger.Message{To: messenger.Courier, Body: m})
	}
	out = append(out, g.views(now, g.state)...)
	for _, r := range e.Results {
		out = append(out, g.result(r))
	}
	return out
}
