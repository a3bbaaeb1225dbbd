package scheduler

import (
	"time"

	"laburnumwind/authorizer"
	"laburnumwind/indexer"
	"laburnumwind/messenger"
	"laburnumwind/recoverer"
	"laburnumwind/registrar"
)

// continuation holds what the leader does once a proposed command is committed.
type continuation struct {
	answeringWorker   string            // worker whose recorded silence ends; empty: none
	callID            uint64            // call to answer; zero: none
	starts            []registrar.Start // start orders to send
	ends              []workerEnd       // runs to remove
	lateEnds          []registrar.End   // successes of runs that had been ended before: see stopSuperseded
	worker            string            // worker to which the ends up to ackedEnd are then acknowledged
	ackedEnd          int64
	stop              workerStop             // stop order to send; none if stop.Run is zero
	begunJob          string                 // job whose first start is recorded
	workerIncarnation int64                  // incarnation of that worker when its ends were proposed
	order             messenger.MachineOrder // order to send to the provider; none if order.Machine is empty
	submitted         string                 // ID of the job that is submitted
	settlesEarlier    bool                   // all earlier proposals are decided: see stepDown
}

// queuedCommand is a command that is batched for the next proposal.
type queuedCommand struct {
	command  registrar.Command
	onCommit continuation
}

// workerEnd is the end of a run, with the ID of the worker that the run was assigned to.
type workerEnd struct {
	registrar.End
	worker string
}

// workerStop is the stop of a run, with the ID of the worker that the run is assigned to.
type workerStop struct {
	registrar.Stop
	worker string
}

// State is the immutable state of a scheduler.
type State struct {
	cfg       Config
	committed registrar.State // last committed state of the jobs group
	leads     bool
	leaseEnd  time.Time // end of the leader lease
	term      uint64    // leader term; the fencing token of all orders
	delegates []string  // other instances that can make calls to workers for the leader

	workers          indexer.Map[string, worker]
	continuations    indexer.Map[uint64, []continuation] // by ID of the proposal
	batch            indexer.List[queuedCommand]         // commands for the next proposal
	begunJobs        indexer.Map[string, bool]           // jobs whose first start is proposed as a record and not yet committed
	lastBatchAt      time.Time
	lastProposalID   uint64    // ID of the last proposal
	dirty            bool      // something changed since the last placement pass
	lastPassAt       time.Time // when the last placement pass ran
	nextFleetCheckAt time.Time // when reconcileFleet is next due
	nextTickAt       time.Time // when periodic work is next due
	nextProgressAt   time.Time // when the next sign of progress is due
	lastSummaryAt    time.Time

	nextSilenceCheckAt time.Time              // when recordSilences is next due
	silencesSeen       map[string]seenSilence // by worker; kept also while this node does not lead, replaced on change
	fleet              fleet
	runTimes           map[string]runTimeStats // by queue
	queues             queueIndex
	loads              map[string]poolLoad // by pool, as of the last placement pass; nil: unknown
	refusing           map[string]bool     // queues whose last submission was beyond its limit for load
	advice             adviceCache         // answers of the advisor
	access             authorizer.Rules    // of the last configuration under which a call was decided
	withheldVersion    int64               // version of the committed configuration that lacks the teams of its document; zero: none
	shares             teamShares
	weights            map[string]float64            // of the teams, as of the last placement pass
	rackWaits          map[registrar.TaskID]rackWait // steps with tasks that wait for a place in a rack, by the ID of the step's first task
}

// NewState returns the state of a scheduler that does not lead. Its proposal IDs count up from
// lastProposalID; they must differ from those of earlier schedulers on this node, whose results may
// still arrive.
func NewState(cfg Config, lastProposalID uint64) State {
	return State{
		cfg:            cfg,
		committed:      registrar.NewState(),
		workers:        indexer.NewMap[string, worker](),
		continuations:  indexer.NewMap[uint64, []continuation](),
		begunJobs:      indexer.NewMap[string, bool](),
		lastProposalID: lastProposalID,
	}
}

// holdsLeaderLease reports whether this node leads and its leader lease is valid at now.
func (s State) holdsLeaderLease(now time.Time) bool { return s.leads && now.Before(s.leaseEnd) }

// passInterval returns the minimum time between two placement passes. It grows with
// the number of active jobs, since each pass visits them all.
func (s State) passInterval() time.Duration {
	return min(minPassInterval+time.Duration(s.committed.ActiveJobs())*passIntervalPerJob, maxPassInterval)
}

// WakeAt returns when the scheduler next has work to do without a message: its periodic checks, or
// an earlier placement pass or proposal. It returns a time far ahead for a scheduler that does not lead.
func (s State) WakeAt(now time.Time) time.Time {
	if !s.leads {
		return now.Add(time.Minute)
	}
	at := messenger.NextTick(now, tickInterval)
	if s.dirty && s.lastPassAt.Add(s.passInterval()).Before(at) {
		at = s.lastPassAt.Add(s.passInterval())
	}
	if s.batch.Len() > 0 && s.lastBatchAt.Add(batchInterval).Before(at) {
		at = s.lastBatchAt.Add(batchInterval)
	}
	return at
}

// Step handles one message and returns the next state and the messages to send. If the work that is due after the
// message panics, the message still counts, for example a renewed leader lease. The work stays due: the next tick panics
// too, and shows that the stage has failed.
func (s State) Step(now time.Time, body any) (State, []messenger.Message) {
	if call, id, ok := explainCall(body); ok {
		return s, s.explain(now, id, call)
	}
	t := s.begin(now)
	_, isTick := body.(messenger.Tick)
	if isTick {
		t.runDueWork()
		return t.end(), t.Messages
	}
	err := recoverer.Do(func() {
		t.handle(body)
		t.runDueWork()
	})
	if err != nil {
		t = s.begin(now)
		t.handle(body)
		t.logDecision(messenger.Decision{Event: "dueWorkPanicked", Reason: err.Error()})
	}
	return t.end(), t.Messages
}

// handle handles one message other than a tick.
func (t *transition) handle(body any) {
	switch m := body.(type) {
	case messenger.JobsView:
		t.handleView(m)
	case messenger.JobsProposalResult:
		t.handleProposed(m)
	case messenger.Call:
		t.handleCall(m)
	case messenger.HoldReply:
		t.handleHoldReply(m)
	case messenger.OrderReply:
		t.handleOrderReply(m)
	case messenger.AdviceReply:
		t.handleAdvice(m)
	case messenger.MachineList:
		t.handleMachineList(m)
	case messenger.MachineReply:
		t.handleMachineReply(m)
	}
}

// transition is the mutable context of one step: the state so far and the messages to send.
type transition struct {
	State
	messenger.Outbox
	workers *indexer.Draft[string, worker] // hides the workers of State, which are those before the step
	now     time.Time
}

// begin returns the context of a step that starts with the state s.
func (s State) begin(now time.Time) *transition {
	return &transition{State: s, workers: indexer.NewDraft(s.workers), now: now}
}

// end returns the state after the step.
func (t *transition) end() State {
	t.State.workers = t.workers.Map()
	return t.State
}

// runDueWork runs the periodic checks, the placement pass and the proposal that are due.
func (t *transition) runDueWork() {
	if !t.holdsLeaderLease(t.now) {
		return
	}
	if !t.now.Before(t.nextProgressAt) {
		t.nextProgressAt = messenger.NextTick(t.now, progressInterval)
		t.Send(messenger.Jobs, messenger.Progress{})
	}
	if !t.now.Before(t.nextTickAt) {
		t.nextTickAt = messenger.NextTick(t.now, tickInterval)
		t.checkWorkers()
		if !t.now.Before(t.nextFleetCheckAt) {
			t.nextFleetCheckAt = messenger.NextTick(t.now, fleetInterval)
			t.reconcileFleet()
		}
		t.logSummary()
		t.dirty = true // jobs become due, and pauses and tickets expire, without a message
	}
	if t.dirty && !t.now.Before(t.lastPassAt.Add(t.passInterval())) {
		t.dirty = false
		t.lastPassAt = t.now
		t.place()
	}
	if t.batch.Len() > 0 && !t.now.Before(t.lastBatchAt.Add(batchInterval)) {
		t.flush()
	}
}

// flush proposes the batched commands as one log entry.
func (t *transition) flush() {
	var c registrar.Command
	var continuations []continuation
	for _, q := range t.batch.All() {
		c.Batch = append(c.Batch, q.command)
		continuations = append(continuations, q.onCommit)
	}
	t.batch, t.lastBatchAt = indexer.List[queuedCommand]{}, t.now
	t.lastProposalID++
	t.continuations = t.continuations.With(t.lastProposalID, continuations)
	t.Send(messenger.Jobs, messenger.ProposeJobs{ProposalID: t.lastProposalID, Term: t.term, Command: c})
}

func (t *transition) setWorker(w worker) { t.workers.Set(w.ID, w) }

// propose adds a command to the next proposal. onCommit runs once the command is committed.
func (t *transition) propose(c registrar.Command, onCommit continuation) {
	t.batch = t.batch.Append(queuedCommand{command: c, onCommit: onCommit})
}

// answerCall answers the call with the given ID. Zero means that no caller waits.
func (t *transition) answerCall(callID uint64, a messenger.JobAnswer) {
	if callID != 0 {
		t.Send(messenger.Responder, messenger.CallAnswer{CallID: callID, Answer: a})
	}
}

// logDecision logs a decision, with the term and the version of the configuration that it was made under.
func (t *transition) logDecision(d messenger.Decision) {
	d.Stage = messenger.Scheduler
	d.Term = t.term
	d.Config = t.committed.Config().Version
	t.Send(messenger.Reporter, d)
}

// handleView stores the committed state of the jobs group, and starts or ends this node's leadership.
func (t *transition) handleView(v messenger.JobsView) {
	t.noteSilences(v.State)
	t.committed, t.leaseEnd, t.delegates = v.State, v.LeaseEnd, v.Delegates
	t.dirty = true
	if v.IsLeader == t.leads && v.Term == t.term {
		return
	}
	wasLeading, lastTerm := t.leads, t.term
	t.leads, t.term = v.IsLeader, v.Term
	if wasLeading {
		t.stepDown(lastTerm)
	}
	if t.leads {
		t.becomeLeader(v.PreviousTerm)
	}
}

// stepDown discards the leader's volatile state. The commands of the batch were not proposed, so their
// callers may retry. A command already proposed may still be committed, or the jobs stage may have
// received it too late and reject it. Its result tells, so its caller waits for that, but no longer than
// until a last proposal with the ended term is rejected: the jobs stage handles proposals in order.
func (t *transition) stepDown(endedTerm uint64) {
	for _, q := range t.batch.All() {
		t.answerCall(q.onCommit.callID, messenger.JobAnswer{Status: messenger.CallNotReady, RetryAfter: retryAfter})
	}
	t.batch = indexer.List[queuedCommand]{}
	undecided := indexer.NewMap[uint64, []continuation]()
	for id, continuations := range t.continuations.All() {
		calls := make([]continuation, len(continuations))
		for i, onCommit := range continuations {
			calls[i] = continuation{callID: onCommit.callID, settlesEarlier: onCommit.settlesEarlier}
		}
		undecided = undecided.With(id, calls)
	}
	if undecided.Len() > 0 {
		t.lastProposalID++
		undecided = undecided.With(t.lastProposalID, []continuation{{settlesEarlier: true}})
		t.Send(messenger.Jobs, messenger.ProposeJobs{ProposalID: t.lastProposalID, Term: endedTerm})
	}
	t.continuations = undecided
	t.begunJobs = indexer.NewMap[string, bool]()
	t.workers.Reset()
	t.fleet = fleet{}
	t.loads, t.refusing = nil, nil
	t.rackWaits = nil
	t.advice = adviceCache{}
	t.shares = teamShares{}
	t.logDecision(messenger.Decision{Event: "steppedDown"})
}

// becomeLeader rebuilds the workers and their runs from the committed state. Nothing is
// started on a worker before it has reported its runs under the new fencing token. An earlier
// leader may have renewed leases until now, so each worker is assumed to hold a lease of MaxLease,
// unless its silence is recorded: see inheritSilence.
func (t *transition) becomeLeader(previousTerm uint64) {
	t.logDecision(messenger.Decision{Event: "leads"})
	t.propose(registrar.Command{Takeover: &registrar.Takeover{Term: t.term, PreviousTerm: previousTerm}}, continuation{})
	t.decodeOlderConfig()
	t.fleet = newFleet(t.now)
	t.workers.Reset()
	leaseExpiresBy := t.now.Add(time.Duration(float64(t.cfg.MaxLease)*clockDriftFactor) + leaseMargin)
	t.committed.EachWorker(func(w registrar.Worker) {
		t.setWorker(t.inheritSilence(worker{Worker: w, lastSeenAt: t.now, leaseExpiresBy: leaseExpiresBy}, previousTerm))
	})
	t.committed.EachActive(func(j registrar.Job) {
		eachTask(j, func(id registrar.TaskID, task registrar.Task) {
			if task.Phase != registrar.Running {
				return
			}
			w, ok := t.workers.Get(task.Worker)
			if !ok {
				w = worker{Worker: registrar.Worker{ID: task.Worker, Incarnation: task.Incarnation}, leaseExpiresBy: leaseExpiresBy}
			}
			r := newRun(j, id, task.Run)
			r.incarnation, r.committed, r.inherited, r.stopping = task.Incarnation, true, true, task.Stopping
			if r.bestEffort {
				r.pace = &pacing{percent: paceUnknown}
			}
			t.setWorker(w.WithRun(r))
		})
	})
}

// eachTask calls visit for every task of a job's active occurrences, in every phase.
func eachTask(j registrar.Job, visit func(registrar.TaskID, registrar.Task)) {
	for _, o := range j.ActiveOccurrences {
		for step, tasks := range o.Steps {
			for i, task := range tasks {
				visit(registrar.TaskID{Job: j.ID, Occurrence: o.Number, Step: step, Index: i}, task)
			}
		}
	}
}

// handleProposed runs the continuations of a proposal once its outcome is known.
func (t *transition) handleProposed(p messenger.JobsProposalResult) {
	continuations, ok := t.continuations.Get(p.ProposalID)
	if !ok {
		return
	}
	t.continuations = t.continuations.Without(p.ProposalID)
	t.dirty = true
	for i, onCommit := range continuations {
		if onCommit.begunJob != "" {
			t.begunJobs = t.begunJobs.Without(onCommit.begunJob)
		}
		if onCommit.settlesEarlier {
			t.answerUndecided(p.ProposalID)
			continue
		}
		if p.Failed { // not proposed: this node lost its leadership, which the next view confirms
			t.answerCall(onCommit.callID, messenger.JobAnswer{Status: messenger.CallNotReady, RetryAfter: retryAfter})
			t.handleSilenceEnd(onCommit.answeringWorker, false)
			continue
		}
		t.handleCommitted(onCommit, p.Result.Batch[i])
	}
}

// answerUndecided answers the calls of the proposals up to an ID: their commands may yet be committed.
func (t *transition) answerUndecided(lastID uint64) {
	for id, continuations := range t.continuations.All() {
		if id > lastID {
			continue
		}
		for _, onCommit := range continuations {
			t.answerCall(onCommit.callID, messenger.JobAnswer{Status: messenger.CallUncertain})
		}
		t.continuations = t.continuations.Without(id)
	}
}

// handleCommitted runs the continuation of a committed command: it answers the call,
// removes ended runs, acknowledges ends and sends orders.
func (t *transition) handleCommitted(onCommit continuation, result registrar.Code) {
	code := messenger.CallDone
	switch result {
	case registrar.UnknownJob:
		code = messenger.CallJobNotFound
	case registrar.Invalid:
		code = messenger.CallInvalid
	}
	t.answerCall(onCommit.callID, messenger.JobAnswer{Status: code})
	t.handleSilenceEnd(onCommit.answeringWorker, result == registrar.OK)
	for _, e := range onCommit.ends {
		t.handleEndCommitted(e)
	}
	for _, e := range onCommit.lateEnds {
		t.stopSuperseded(e)
	}
	if onCommit.ackedEnd > 0 {
		t.acknowledgeEnds(onCommit)
	}
	for _, start := range onCommit.starts {
		t.handleAssigned(start)
	}
	if onCommit.stop.Run > 0 {
		t.handleStopCommitted(onCommit.stop)
	}
	if onCommit.order.Machine != "" {
		onCommit.order.Fence, onCommit.order.NotAfter = t.term, t.leaseEnd
		t.Send(messenger.Provider, onCommit.order)
	}
}
