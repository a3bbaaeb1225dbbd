package assembler

import (
	"fmt"
	"time"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
	"laburnumwind/replicator"
	"laburnumwind/scheduler"
)

// The jobs group replicates jobs, configuration, workers and maintenance waves.
type (
	// JobsState is the state of a node of the jobs group.
	JobsState = replicator.State[registrar.Command, registrar.State, registrar.Result]
	// JobsConfig configures a node of the jobs group.
	JobsConfig = replicator.Config[registrar.Command, registrar.State, registrar.Result]
	// JobsMessage is a message between nodes of the jobs group.
	JobsMessage = replicator.Message[registrar.Command, registrar.State, registrar.Result]
	// JobsWrite is a write to the disk of a voter of the jobs group.
	JobsWrite = Write[registrar.Command, registrar.State, registrar.Result]
	// JobsStoredState is the state that a voter of the jobs group reads from its disk at startup.
	JobsStoredState = replicator.StoredState[registrar.Command, registrar.State]
)

// delegateTimeout is the time after a node's last response to the leader at which the leader stops delegating
// calls to it. It is twice the interval of the slowest heartbeats, which are those to learners.
const delegateTimeout = time.Second

// JobsNodeConfig configures a node of the jobs group with its scheduler.
type JobsNodeConfig struct {
	Jobs           JobsConfig
	Scheduler      scheduler.Config
	LastProposalID uint64                // the first proposal gets the next ID; IDs of earlier runs of this node must not recur, because the results of those proposals may still arrive
	OnViolation    func(violation error) // called when an invariant does not hold
}

// NewJobsNode returns a node with two stages: a node of the jobs group, which starts with the state read from
// disk, and a scheduler.
func NewJobsNode(now time.Time, cfg JobsNodeConfig, stored JobsStoredState) *Node {
	n := &Node{stages: make(map[messenger.Stage]Stage), due: make(map[messenger.Stage]time.Time)}
	n.add(jobsStage(now, cfg, stored))
	n.add(stageOf(messenger.Scheduler, scheduler.NewState(cfg.Scheduler, cfg.LastProposalID), scheduler.State.Step, scheduler.State.WakeAt))
	return n
}

// jobsStage returns the stage that runs the node of the jobs group.
func jobsStage(now time.Time, cfg JobsNodeConfig, stored JobsStoredState) Stage {
	cfg.Jobs.Apply = applyEach(applyOrSkip(registrar.State.Apply, registrar.Result{Code: registrar.Invalid}, cfg.OnViolation))
	cfg.Jobs.SnapshotCost = registrar.State.SnapshotCost
	g := &group[registrar.Command, registrar.State, registrar.Result]{
		state: replicator.NewState(now, cfg.Jobs, stored),
		proposal: func(body any) (replicator.Proposal[registrar.Command], bool) {
			p, ok := body.(messenger.ProposeJobs)
			return replicator.Proposal[registrar.Command]{ProposalID: p.ProposalID, Command: p.Command, Term: p.Term}, ok
		},
		resultMessage: func(r replicator.Result[registrar.Result]) messenger.Message {
			body := messenger.JobsProposalResult{ProposalID: r.ProposalID, Result: r.Value, Failed: r.Failed}
			return messenger.Message{To: messenger.Scheduler, Body: body}
		},
		reportViolation: func(err error) {
			if err != nil {
				cfg.OnViolation(err)
			}
		},
	}
	last := messenger.JobsView{}
	lastApplied := uint64(0)
	g.viewMessages = func(now time.Time, s JobsState) []messenger.Message {
		view := messenger.JobsView{State: s.Machine(), IsLeader: s.CanServe(now), LeaseEnd: s.LeaseEnd(now), Term: s.Term(), PreviousTerm: s.PreviousTerm(), Leader: s.LeaderName()}
		if last.IsLeader && s.Role() == replicator.Leader && view.Term == last.Term {
			view.IsLeader = true // an expired lease does not end the leadership: the scheduler checks LeaseEnd itself
		}
		unchanged := s.Applied() == lastApplied && view.IsLeader == last.IsLeader && view.LeaseEnd.Equal(last.LeaseEnd) && view.Term == last.Term && view.Leader == last.Leader
		if unchanged {
			return nil
		}
		for _, m := range s.Members() {
			view.Members = append(view.Members, m.Name)
		}
		view.Delegates = s.LivePeers(now, delegateTimeout)
		last, lastApplied = view, s.Applied()
		return broadcast(view, messenger.Scheduler, messenger.Responder)
	}
	watch := progressWatch{}
	stage := g.stage(messenger.Jobs)
	stage.Step = func(now time.Time, body any) []messenger.Message {
		switch body.(type) {
		case messenger.Progress:
			watch = watch.WithProgress()
			return nil
		case messenger.Tick:
			var isIdle bool
			watch, isIdle = watch.WithCheck(now, last.IsLeader && len(last.Members) > 1)
			if isIdle { // the lease is not passed on but expires: the scheduler may still act under it
				var effects replicator.Effects[registrar.Command, registrar.State, registrar.Result]
				d := messenger.Decision{Stage: messenger.Jobs, Event: "leadershipGivenUp", Term: last.Term, Config: last.State.Config().Version, Reason: fmt.Sprintf("the scheduler has handled no message for %v", maxIdleTime)}
				g.state, effects = g.state.StepDown(now, stepDownPause)
				return append(g.messages(now, effects), messenger.Message{To: messenger.Reporter, Body: d})
			}
		}
		return g.step(now, body)
	}
	return stage
}

// applyEach applies the commands of a batch one by one, so that one that is skipped does not take the others with it.
func applyEach(apply func(registrar.State, time.Time, registrar.Command) (registrar.State, registrar.Result)) func(registrar.State, time.Time, registrar.Command) (registrar.State, registrar.Result) {
	return func(s registrar.State, at time.Time, c registrar.Command) (registrar.State, registrar.Result) {
		batch := c.Batch
		c.Batch = nil
		var codes []registrar.Code
		for _, part := range batch {
			var r registrar.Result
			s, r = apply(s, at, part)
			codes = append(codes, r.Code)
		}
		s, result := apply(s, at, c)
		result.Batch = codes
		return s, result
	}
}
