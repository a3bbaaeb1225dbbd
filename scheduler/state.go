package scheduler

import (
	"time"

	"laburnumwind/indexer"
	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// run is the leader's view of one run, an attempt to execute a task, that is assigned to a worker.
type run struct {
	task            registrar.TaskID
	number          int
	incarnation     int64 // of the worker that it was assigned to
	resources       registrar.Resources
	longRunning     bool          // runs until it is stopped
	late            bool          // its job could no longer meet its objective when the run was placed
	bestEffort      bool          // uses only CPU time that other tasks leave idle
	cpuDemand       int           // in thousandths of a core; a best-effort task may get less
	latencyTarget   time.Duration // upper bound on the tail latency; zero unless the task serves requests
	expectedRunTime time.Duration // as estimated when the run was placed
	committed       bool          // the assignment is committed to the log, so it may be sent to the worker
	inherited       bool          // assigned by an earlier leader
	adviceTicket    string        // ticket of the advisor for a start on this worker; empty if the queue needs none

	orderPending     bool      // a start or stop order is in flight
	orderSentAt      time.Time // when the last order was sent
	startConfirmedAt time.Time // when the worker confirmed the start; zero: not yet
	startUncertain   bool      // a start order was not answered, so the worker may still execute it

	stopping        bool
	stopConfirmedAt time.Time // when the worker confirmed the stop; zero: not yet
	endProposed     bool      // the end of the run is proposed and not yet committed

	reported        bool    // the worker has reported the run at least once
	progressPercent int     // reported progress; a long-running task is ready at 100
	tailLatencyMs   int     // reported tail latency in milliseconds, if the task serves requests
	checkpoint      string  // last known checkpoint; empty: none
	pace            *pacing // pace of a best-effort task, else nil; replaced on change, never modified in place
}

// worker is the leader's view of a worker.
type worker struct {
	registrar.Worker
	heartbeatSeq           int64     // sequence number of the last heartbeat in this incarnation
	lastSeenAt             time.Time // time of the last heartbeat or answered hold
	clock                  int64     // the worker's clock in milliseconds, read no later than clockReadAt
	clockReadAt            time.Time // zero: the clock is unknown
	holdAnsweredAt         time.Time // when the last hold was answered
	reportRequestedAt      time.Time // when the last answered hold was sent; zero: none was answered in this term, or the worker departed
	holdPending            bool
	holdSentAt             time.Time // when the last hold was sent
	holdDueAt              time.Time // when a hold in flight should be answered at the latest
	nextHoldAt             time.Time // earliest time of the next hold
	failedCalls            int       // number of failed or unanswered holds and orders since the last answered hold
	departureNoticedAt     time.Time // when the notice arrived that it shuts down, which may be that of an earlier incarnation; zero: none did, or a report has refuted it
	departed               bool      // it has shut down, or a machine list shows that it left its machine: it gets no more holds
	ackedEnd               int64     // all run ends that it reported up to this sequence number are committed
	endsPending            bool      // ends are proposed but not yet committed
	leaseExpiresBy         time.Time // every lease that a leader sent to the worker has expired by then
	noStartsUntil          time.Time // earliest time of the next start on the worker
	relocationBlockedSince time.Time // when its long-running tasks first found no relocation target before a maintenance; zero: never
	slowUntil              time.Time // ejected as a slow outlier until then
	failRate               float64   // exponential moving average of failed runs, 0 to 1
	paceAdjustedAt         time.Time // when adjustPace last reviewed the pace of its best-effort tasks

	runs          indexer.List[run]
	used          registrar.Resources
	bestEffortCPU int // CPU demand of its best-effort tasks, in thousandths of a core
	lateCPU       int // CPU demand of its late runs, in thousandths of a core
}

// find returns the index of a task's run in w.runs, or -1.
func (w worker) find(task registrar.TaskID) int {
	return w.runs.Index(func(r run) bool { return r.task == task })
}

// WithRun returns the worker with r added. A run of the same task is replaced; it must have the same
// resources and demands, since the totals stay as they are.
func (w worker) WithRun(r run) worker {
	i := w.find(r.task)
	if i < 0 {
		w.runs = w.runs.Append(r)
		return w.withUsage(r, 1)
	}
	w.runs = w.runs.With(i, r)
	return w
}

// withUsage returns the worker with the resources of r added to its totals if sign is 1,
// or subtracted from them if sign is -1.
func (w worker) withUsage(r run, sign int) worker {
	w.used = w.used.Add(registrar.Resources{CPU: sign * r.resources.CPU, Memory: sign * r.resources.Memory, GPU: sign * r.resources.GPU})
	if r.bestEffort {
		w.bestEffortCPU += sign * r.cpuDemand
	}
	if r.late {
		w.lateCPU += sign * r.cpuDemand
	}
	return w
}

// WithRuns returns the worker with runs added. None of their tasks may have a run on the worker already.
func (w worker) WithRuns(runs []run) worker {
	w.runs = w.runs.Append(runs...)
	for _, r := range runs {
		w = w.withUsage(r, 1)
	}
	return w
}

// WithoutRun returns the worker without the run of a task that has the given number.
// A run of the task with another number stays.
func (w worker) WithoutRun(task registrar.TaskID, number int) worker {
	i := w.find(task)
	if i < 0 || w.runs.At(i).number != number {
		return w
	}
	w = w.withUsage(w.runs.At(i), -1)
	w.runs = w.runs.Without(i)
	return w
}

// leaseDeadline returns the end of a lease that is renewed now, in milliseconds of
// the worker's clock, or zero if that clock is unknown.
func (w worker) leaseDeadline(now time.Time, lease time.Duration) int64 {
	if w.clockReadAt.IsZero() {
		return 0
	}
	return w.clock + now.Sub(w.clockReadAt).Milliseconds() + lease.Milliseconds()
}

// WithLeaseDeadline returns the worker with leaseExpiresBy extended for a lease that was
// sent to it. The lease ends at deadline, in milliseconds of the worker's clock; zero means
// that no lease was sent. Its remaining time is counted from clockReadAt. The clock was read
// no later, so the lease cannot outlast leaseExpiresBy.
func (w worker) WithLeaseDeadline(deadline int64) worker {
	if deadline == 0 {
		return w
	}
	remaining := time.Duration(float64(deadline-w.clock)*clockDriftFactor) * time.Millisecond
	at := w.clockReadAt.Add(remaining + leaseMargin)
	if at.After(w.leaseExpiresBy) {
		w.leaseExpiresBy = at
	}
	return w
}

// WithClock returns the worker with a new reading of its clock in milliseconds; zero is ignored.
func (w worker) WithClock(clock int64, at time.Time) worker {
	if clock > 0 {
		w.clock, w.clockReadAt = clock, at
	}
	return w
}

// acceptsStarts reports whether runs may be placed on the worker. The worker must not be
// draining or paused by noStartsUntil, it must have reported its runs in this term and since a
// notice of its departure, no call to it may have failed since its last report, and the hold in
// flight may not be overdue.
func (w worker) acceptsStarts(now time.Time) bool {
	overdue := w.holdPending && now.After(w.holdDueAt)
	return !w.Draining && !w.needsReport() && w.failedCalls == 0 && !overdue && !now.Before(w.noStartsUntil)
}

// needsReport reports whether the leader knows the runs of the worker only from before its term or from before a
// notice of the worker's departure.
func (w worker) needsReport() bool {
	return w.reportRequestedAt.IsZero() || w.reportRequestedAt.Before(w.departureNoticedAt)
}

// continuation holds what the leader does once a proposed command is committed.
type continuation struct {
	callID            uint64            // call to answer; zero: none
	starts            []registrar.Start // start orders to send
	ends              []workerEnd       // runs to remove
	worker            string            // worker to which the ends up to ackedEnd are then acknowledged
	ackedEnd          int64
	workerIncarnation int64                  // incarnation of that worker when its ends were proposed
	order             messenger.MachineOrder // order to send to the provider; none if order.Machine is empty
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
	lastBatchAt      time.Time
	lastProposalID   uint64    // ID of the last proposal
	dirty            bool      // something changed since the last placement pass
	lastPassAt       time.Time // when the last placement pass ran
	nextFleetCheckAt time.Time // when reconcileFleet is next due
	nextTickAt       time.Time // when periodic work is next due
	lastSummaryAt    time.Time
	fleet            fleet
	runTimes         map[string]runTimeStats // by queue
	queues           queueIndex
	advice           adviceCache // answers of the advisor
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

// Step handles one message and returns the next state and the messages to send.
func (s State) Step(now time.Time, body any) (State, []messenger.Message) {
	t := s.begin(now)
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
	case messenger.Tick:
	}
	if t.leads {
		t.runDueWork()
	}
	return t.end(), t.Messages
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
	t.Send(messenger.Jobs, messenger.ProposeJobs{ProposalID: t.lastProposalID, Command: c})
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
	t.committed, t.leaseEnd, t.delegates = v.State, v.LeaseEnd, v.Delegates
	t.dirty = true
	if v.IsLeader == t.leads && v.Term == t.term {
		return
	}
	wasLeading := t.leads
	t.leads, t.term = v.IsLeader, v.Term
	if wasLeading {
		t.stepDown()
	}
	if t.leads {
		t.becomeLeader()
	}
}

// stepDown discards the leader's volatile state. Commands already proposed may still
// be committed, so their callers are told that the outcome is uncertain. The commands of
// the batch were not proposed, so their callers may retry.
func (t *transition) stepDown() {
	for _, continuations := range t.continuations.All() {
		for _, onCommit := range continuations {
			t.answerCall(onCommit.callID, messenger.JobAnswer{Status: messenger.CallUncertain})
		}
	}
	for _, q := range t.batch.All() {
		t.answerCall(q.onCommit.callID, messenger.JobAnswer{Status: messenger.CallNotReady, RetryAfter: retryAfter})
	}
	t.batch = indexer.List[queuedCommand]{}
	t.continuations = indexer.NewMap[uint64, []continuation]()
	t.workers.Reset()
	t.fleet = fleet{}
	t.advice = adviceCache{}
	t.logDecision(messenger.Decision{Event: "steppedDown"})
}

// becomeLeader rebuilds the workers and their runs from the committed state. Nothing is
// started on a worker before it has reported its runs under the new fencing token. An earlier
// leader may have renewed leases until now, so each worker is assumed to hold a lease of MaxLease.
func (t *transition) becomeLeader() {
	t.logDecision(messenger.Decision{Event: "leads"})
	t.fleet = newFleet(t.now)
	t.workers.Reset()
	leaseExpiresBy := t.now.Add(time.Duration(float64(t.cfg.MaxLease)*clockDriftFactor) + leaseMargin)
	t.committed.EachWorker(func(w registrar.Worker) {
		t.setWorker(worker{Worker: w, lastSeenAt: t.now, leaseExpiresBy: leaseExpiresBy})
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
			r.incarnation, r.committed, r.inherited = task.Incarnation, true, true
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

// newRun returns the run of a task with the given number and the requirements of the task's step.
func newRun(j registrar.Job, id registrar.TaskID, number int) run {
	step := j.Steps[id.Step]
	r := run{task: id, number: number, resources: step.Request(), longRunning: step.LongRunning, bestEffort: step.BestEffort, cpuDemand: step.CPU, latencyTarget: step.LatencyTarget}
	if r.bestEffort {
		r.pace = &pacing{percent: paceFull}
	}
	return r
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
		if p.Failed { // not proposed: this node lost its leadership, which the next view confirms
			t.answerCall(onCommit.callID, messenger.JobAnswer{Status: messenger.CallNotReady, RetryAfter: retryAfter})
			continue
		}
		t.handleCommitted(onCommit, p.Result.Batch[i])
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
	for _, e := range onCommit.ends {
		t.handleEndCommitted(e)
	}
	if onCommit.ackedEnd > 0 {
		t.acknowledgeEnds(onCommit)
	}
	for _, start := range onCommit.starts {
		t.handleAssigned(start)
	}
	if onCommit.order.Machine != "" {
		onCommit.order.Fence, onCommit.order.NotAfter = t.term, t.leaseEnd
		t.Send(messenger.Provider, onCommit.order)
	}
}
