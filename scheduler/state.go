package scheduler

import (
	"slices"
	"time"

	"laburnumwind/indexer"
	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// run is a run of a task that is assigned to a worker, as the leader sees it.
type run struct {
	task      registrar.TaskName
	number    int
	room      registrar.Room
	lasting   bool
	late      bool // its job could not be in time any more when it was placed
	fills     bool
	load      int           // processors that it uses if there are, in thousandths
	target    time.Duration // bound on its tail latency, if it serves
	expected  time.Duration // run time that its queue usually takes
	committed bool          // the assignment is durable, so the worker may be told
	inherited bool          // an earlier leader assigned it
	permit    string

	out     bool // an order about it is under way
	sentAt  time.Time
	ackedAt time.Time // when the worker confirmed the start
	doubt   bool      // a start was sent and not answered: it may be carried out late

	stopping  bool
	stoppedAt time.Time // when the worker confirmed the stop
	ending    bool      // its end is proposed

	listed  bool // the worker has listed it
	percent int
	gauge   int // tail latency in milliseconds of a task that serves
	saved   string
	pace    *pacing // of a task that fills; never changed in place
}

// worker is a worker as the leader sees it.
type worker struct {
	registrar.Worker
	seq        int64
	heardAt    time.Time // last sign of life
	clock      int64     // its clock in milliseconds, read no later than clockAt
	clockAt    time.Time
	answeredAt time.Time // last answered hold
	listedAt   time.Time // when that hold was sent; zero: none under this term
	holding    bool
	heldAt     time.Time // when the last hold was given
	holdUntil  time.Time // a hold that is under way should be answered by then
	holdAt     time.Time // earliest next hold
	misses     int
	left       bool      // its machine went: it is gone for good
	acked      int64     // ends up to here are durable
	ackWaits   bool      // ends are proposed and not yet durable
	deadAt     time.Time // by then the lease of everything there has surely ended
	pauseUntil time.Time // no starts until then
	crampedAt  time.Time // since when its lasting tasks have nowhere to go before its machine's upkeep
	slowUntil  time.Time // set aside as slow until then
	failRate   float64   // moving average of failed ends
	pacedAt    time.Time // when its tasks that fill were last looked at

	runs    []run
	used    registrar.Room
	filling int // processors that its tasks that fill would use, in thousandths
	late    int // processors of jobs that cannot be in time any more, in thousandths
}

// find returns the place of a task's run.
func (w worker) find(task registrar.TaskName) int {
	return slices.IndexFunc(w.runs, func(r run) bool { return r.task == task })
}

// WithRun returns the worker with a run added or replaced.
func (w worker) WithRun(r run) worker {
	i := w.find(r.task)
	if i < 0 {
		w.runs = append(slices.Clip(w.runs), r)
		return w.withLoad(r, 1)
	}
	w.runs = slices.Clone(w.runs)
	w.runs[i] = r
	return w
}

// withLoad returns the worker with the load of a run added, or taken off by a sign of -1.
func (w worker) withLoad(r run, sign int) worker {
	w.used = w.used.Plus(registrar.Room{CPU: sign * r.room.CPU, Memory: sign * r.room.Memory, GPU: sign * r.room.GPU})
	if r.fills {
		w.filling += sign * r.load
	}
	if r.late {
		w.late += sign * r.load
	}
	return w
}

// WithRuns returns the worker with runs added that it does not have.
func (w worker) WithRuns(runs []run) worker {
	w.runs = slices.Concat(w.runs, runs)
	for _, r := range runs {
		w = w.withLoad(r, 1)
	}
	return w
}

// WithoutRun returns the worker without a run.
func (w worker) WithoutRun(task registrar.TaskName, number int) worker {
	i := w.find(task)
	if i < 0 || w.runs[i].number != number {
		return w
	}
	w = w.withLoad(w.runs[i], -1)
	w.runs = slices.Delete(slices.Clone(w.runs), i, i+1)
	return w
}

// deadline is the end of a lease that is renewed now, by the worker's clock; zero: its clock is not known.
func (w worker) deadline(now time.Time, lease time.Duration) int64 {
	if w.clockAt.IsZero() {
		return 0
	}
	return w.clock + now.Sub(w.clockAt).Milliseconds() + lease.Milliseconds()
}

// WithDeadline returns the worker once a lease was sent to it that ends at its own time d.
func (w worker) WithDeadline(d int64) worker {
	if d == 0 {
		return w
	}
	left := time.Duration(float64(d-w.clock)*clockSlack) * time.Millisecond
	at := w.clockAt.Add(left + leaseSlack)
	if at.After(w.deadAt) {
		w.deadAt = at
	}
	return w
}

// WithClock returns the worker after it told its clock.
func (w worker) WithClock(clock int64, at time.Time) worker {
	if clock > 0 {
		w.clock, w.clockAt = clock, at
	}
	return w
}

// takesStarts tells whether the worker may be given runs.
func (w worker) takesStarts(now time.Time) bool {
	overdue := w.holding && now.After(w.holdUntil)
	return !w.Draining && !w.listedAt.IsZero() && w.misses == 0 && !overdue && !now.Before(w.pauseUntil)
}

// waiting is what happens once a proposal is durable.
type waiting struct {
	call   uint64 // to be answered; zero: none
	starts []registrar.Start
	ends   []placedEnd
	worker string // whose ends up to acked are durable then
	acked  int64
	life   int64
	order  messenger.MachineOrder // to be sent; without a machine: none
}

// queued is a command that waits for the next proposal.
type queued struct {
	command registrar.Command
	waiting waiting
}

type placedEnd struct {
	registrar.End
	worker string
}

// State is the immutable value of a scheduler.
type State struct {
	cfg      Config
	view     registrar.State
	leads    bool
	leaseEnd time.Time
	term     uint64
	live     []string // other instances that can make calls

	workers  indexer.Map[string, worker]
	waits    indexer.Map[uint64, []waiting] // by the ticket of the proposal
	batch    []queued                       // to be proposed together
	batchAt  time.Time                      // of the last proposal
	ticket   uint64
	dirty    bool
	passAt   time.Time
	fleetAt  time.Time
	tickAt   time.Time
	toldAt   time.Time // of the last summary
	fleet    fleet
	lengths  map[string]length // of tasks, by queue
	consents consents          // of the advisor
}

// NewState returns a scheduler that does not lead. Tickets start behind the given one.
func NewState(cfg Config, ticket uint64) State {
	return State{
		cfg:     cfg,
		view:    registrar.NewState(),
		workers: indexer.NewMap[string, worker](),
		waits:   indexer.NewMap[uint64, []waiting](),
		ticket:  ticket,
	}
}

// WithWorker returns the state with a worker added or replaced.
func (s State) WithWorker(w worker) State {
	s.workers = s.workers.With(w.ID, w)
	return s
}

// serves tells whether this node may act for the group now.
func (s State) serves(now time.Time) bool { return s.leads && now.Before(s.leaseEnd) }

// passEvery is the least time between two placements: longer with more jobs to look at.
func (s State) passEvery() time.Duration {
	return min(passLeast+time.Duration(s.view.ActiveJobs())*passForJob, passMost)
}

// WakeAt is when the scheduler wants its next tick.
func (s State) WakeAt(now time.Time) time.Time {
	if !s.leads {
		return now.Add(time.Minute)
	}
	at := messenger.NextTick(now, tickEvery)
	if s.dirty && s.passAt.Add(s.passEvery()).Before(at) {
		at = s.passAt.Add(s.passEvery())
	}
	if len(s.batch) > 0 && s.batchAt.Add(batchEvery).Before(at) {
		at = s.batchAt.Add(batchEvery)
	}
	return at
}

// Step takes one message.
func (s State) Step(now time.Time, body any) (State, []messenger.Message) {
	t := &turn{State: s, now: now}
	switch m := body.(type) {
	case messenger.JobsView:
		t.takeView(m)
	case messenger.JobsProposed:
		t.takeProposed(m)
	case messenger.Call:
		t.takeCall(m)
	case messenger.HoldReply:
		t.takeHold(m)
	case messenger.OrderReply:
		t.takeOrder(m)
	case messenger.Advice:
		t.takeAdvice(m)
	case messenger.MachineList:
		t.takeMachines(m)
	case messenger.MachineReply:
		t.takeMachineReply(m)
	case messenger.Tick:
	}
	if t.leads {
		t.work()
	}
	return t.State, t.Messages
}

// turn is one step under way.
type turn struct {
	State
	messenger.Outbox
	now time.Time
}

// work does what is due.
func (t *turn) work() {
	if !t.serves(t.now) {
		return
	}
	if !t.now.Before(t.tickAt) {
		t.tickAt = messenger.NextTick(t.now, tickEvery)
		t.tendWorkers()
		if !t.now.Before(t.fleetAt) {
			t.fleetAt = messenger.NextTick(t.now, fleetEvery)
			t.tendFleet()
		}
		t.summarize()
		t.dirty = true
	}
	if t.dirty && !t.now.Before(t.passAt.Add(t.passEvery())) {
		t.dirty = false
		t.passAt = t.now
		t.place()
	}
	if len(t.batch) > 0 && !t.now.Before(t.batchAt.Add(batchEvery)) {
		t.flush()
	}
}

// flush proposes what has gathered: one entry of the log for many decisions.
func (t *turn) flush() {
	var c registrar.Command
	var waits []waiting
	for _, q := range t.batch {
		c.Batch = append(c.Batch, q.command)
		waits = append(waits, q.waiting)
	}
	t.batch, t.batchAt = nil, t.now
	t.ticket++
	t.waits = t.waits.With(t.ticket, waits)
	t.Send(messenger.Jobs, messenger.ProposeJobs{Ticket: t.ticket, Command: c})
}

func (t *turn) set(w worker) { t.State = t.WithWorker(w) }

// propose asks for a command to be made durable with the next proposal.
func (t *turn) propose(c registrar.Command, w waiting) {
	t.batch = append(slices.Clip(t.batch), queued{command: c, waiting: w})
}

func (t *turn) answer(call uint64, a messenger.JobAnswer) {
	if call != 0 {
		t.Send(messenger.Responder, messenger.CallAnswer{Ticket: call, Answer: a})
	}
}

func (t *turn) tell(d messenger.Decision) {
	d.Stage = messenger.Scheduler
	d.Term = t.term
	d.Config = t.view.Config().Version
	t.Send(messenger.Reporter, d)
}

// takeView takes what the jobs group holds.
func (t *turn) takeView(v messenger.JobsView) {
	t.view, t.leaseEnd, t.live = v.State, v.LeaseEnd, v.Live
	t.dirty = true
	if v.Leads == t.leads && v.Term == t.term {
		return
	}
	wasLeading := t.leads
	t.leads, t.term = v.Leads, v.Term
	if wasLeading {
		t.stepDown()
	}
	if t.leads {
		t.takeLead()
	}
}

// stepDown drops what only a leader knows. What was proposed may or may not become durable.
func (t *turn) stepDown() {
	for _, waits := range t.waits.All() {
		for _, w := range waits {
			t.answer(w.call, messenger.JobAnswer{Code: messenger.CallUncertain})
		}
	}
	for _, q := range t.batch {
		t.answer(q.waiting.call, messenger.JobAnswer{Code: messenger.CallNotReady, RetryAfter: retryAfter})
	}
	t.batch = nil
	t.waits = indexer.NewMap[uint64, []waiting]()
	t.workers = indexer.NewMap[string, worker]()
	t.fleet = fleet{}
	t.consents = consents{}
	t.tell(messenger.Decision{What: "steppedDown"})
}

// takeLead takes over the workers and runs that the register names. Nothing is
// started on a worker before it has listed its runs under the new fencing token.
func (t *turn) takeLead() {
	t.tell(messenger.Decision{What: "leads"})
	t.fleet = newFleet(t.now)
	t.workers = indexer.NewMap[string, worker]()
	deadAt := t.now.Add(time.Duration(float64(t.cfg.MaxLease)*clockSlack) + leaseSlack)
	t.view.EachWorker(func(w registrar.Worker) {
		t.set(worker{Worker: w, heardAt: t.now, deadAt: deadAt})
	})
	t.view.EachActive(func(j registrar.Job) {
		eachTask(j, func(name registrar.TaskName, task registrar.Task) {
			if task.Phase != registrar.Running {
				return
			}
			w, ok := t.workers.Get(task.Worker)
			if !ok {
				w = worker{Worker: registrar.Worker{ID: task.Worker, Life: task.Life}, deadAt: deadAt}
			}
			r := runOf(j, name, task.Run)
			r.committed, r.inherited = true, true
			if r.fills {
				r.pace = &pacing{percent: paceUnknown}
			}
			t.set(w.WithRun(r))
		})
	})
}

// eachTask calls visit with the tasks of the occurrences that have begun.
func eachTask(j registrar.Job, visit func(registrar.TaskName, registrar.Task)) {
	for _, o := range j.Live {
		for step, tasks := range o.Steps {
			for i, task := range tasks {
				visit(registrar.TaskName{Job: j.ID, K: o.K, Step: step, Index: i}, task)
			}
		}
	}
}

func runOf(j registrar.Job, name registrar.TaskName, number int) run {
	step := j.Steps[name.Step]
	r := run{task: name, number: number, room: step.Room(), lasting: step.Lasting, fills: step.Fills, load: step.CPU, target: step.Target}
	if r.fills {
		r.pace = &pacing{percent: paceFull}
	}
	return r
}

// takeProposed takes the outcome of a proposal.
func (t *turn) takeProposed(p messenger.JobsProposed) {
	waits, ok := t.waits.Get(p.Ticket)
	if !ok {
		return
	}
	t.waits = t.waits.Without(p.Ticket)
	t.dirty = true
	for i, w := range waits {
		if p.Failed { // this node does not lead: the next view says so
			t.answer(w.call, messenger.JobAnswer{Code: messenger.CallNotReady, RetryAfter: retryAfter})
			continue
		}
		t.takeDurable(w, p.Result.Batch[i])
	}
}

// takeDurable goes on with what waited for a command to be durable.
func (t *turn) takeDurable(w waiting, result registrar.Code) {
	code := messenger.CallDone
	if result == registrar.Unknown {
		code = messenger.CallNoJob
	}
	t.answer(w.call, messenger.JobAnswer{Code: code})
	for _, e := range w.ends {
		t.takeEnded(e)
	}
	if w.acked > 0 {
		t.takeAcked(w)
	}
	for _, start := range w.starts {
		t.takeAssigned(start)
	}
	if w.order.Machine != "" {
		w.order.Fence, w.order.NotAfter = t.term, t.leaseEnd
		t.Send(messenger.Provider, w.order)
	}
}
