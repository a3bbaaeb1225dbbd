package registrar

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"laburnumwind/indexer"
)

// Retention is the time for which an ended job can be queried. Platforms query jobs for up
// to 120 s after the end.
const Retention = 150 * time.Second

// departureRetention is the time for which the departure of a worker is remembered. A partition between regions can
// hold up a heartbeat for an hour.
const departureRetention = time.Hour

// pruneInterval is the number of accepted jobs after which ended jobs past their retention are
// removed. The removal visits all ended jobs, so it does not run for every job.
const pruneInterval = 64

// State is the immutable state that the log of the jobs group produces.
type State struct {
	config     Config
	active     indexer.Map[uint64, Job] // by Seq, the order of acceptance
	ended      *immutable.Map[string, Job]
	seqs       *immutable.Map[string, uint64] // Seq of each active job by ID
	workers    *immutable.SortedMap[string, Worker]
	waves      *immutable.SortedMap[int64, Wave]
	lastOrders *immutable.Map[string, LastOrder] // by machine
	departures *immutable.Map[string, Departure] // by worker
	running    *immutable.Map[string, Resources] // by team; see Running
	silences   *immutable.Map[string, Silence]   // by worker
	nextSeq    uint64

	silencesKeptBy uint64 // term of the last leader that committed a Takeover; zero: none did
}

// NewState returns an empty state.
func NewState() State {
	return State{
		active:     indexer.NewMap[uint64, Job](),
		ended:      immutable.NewMap[string, Job](nil),
		seqs:       immutable.NewMap[string, uint64](nil),
		workers:    immutable.NewSortedMap[string, Worker](nil),
		waves:      immutable.NewSortedMap[int64, Wave](nil),
		lastOrders: immutable.NewMap[string, LastOrder](nil),
		departures: immutable.NewMap[string, Departure](nil),
		running:    immutable.NewMap[string, Resources](nil),
		silences:   immutable.NewMap[string, Silence](nil),
		nextSeq:    1,
	}
}

// Config returns the current configuration. Its version is zero if there is none yet.
func (s State) Config() Config { return s.config }

// Job returns the job with the given ID. It returns false if the job is unknown or its
// retention has expired.
func (s State) Job(id string) (Job, bool) {
	seq, ok := s.seqs.Get(id)
	if ok {
		return s.active.Get(seq)
	}
	return s.ended.Get(id)
}

// EachActive calls visit in the order of acceptance with every active job and every
// canceled or failed job that still has runs.
func (s State) EachActive(visit func(Job)) {
	for _, j := range s.active.All() {
		visit(j)
	}
}

// ActiveJobs returns the number of jobs that EachActive visits.
func (s State) ActiveJobs() int { return s.active.Len() }

// Worker returns the worker with the given ID, or false if there is none.
func (s State) Worker(id string) (Worker, bool) { return s.workers.Get(id) }

// HasDeparted reports whether a worker announced the end of an incarnation, or of a later one.
func (s State) HasDeparted(worker string, incarnation int64) bool {
	d, ok := s.departures.Get(worker)
	return ok && incarnation <= d.Incarnation
}

// EachWorker calls visit with every worker in the order of IDs.
func (s State) EachWorker(visit func(Worker)) {
	for it := s.workers.Iterator(); !it.Done(); {
		_, w, _ := it.Next()
		visit(w)
	}
}

// Wave returns the wave with the given ID, or false if there is none.
func (s State) Wave(id int64) (Wave, bool) { return s.waves.Get(id) }

// EachWave calls visit with every wave in the order of IDs.
func (s State) EachWave(visit func(Wave)) {
	for it := s.waves.Iterator(); !it.Done(); {
		_, w, _ := it.Next()
		visit(w)
	}
}

// LastOrder returns the last order to the provider for a machine, or the zero value if there was none. A new leader
// counts an order of an earlier one as under way until it has expired or its effect is known.
func (s State) LastOrder(machine string) LastOrder {
	order, _ := s.lastOrders.Get(machine)
	return order
}

// MaintenanceUnderWay reports whether a maintenance of a machine was ordered of which it is not known that it began.
func (s State) MaintenanceUnderWay(machine string) bool {
	for it := s.waves.Iterator(); !it.Done(); {
		_, w, _ := it.Next()
		if !w.IsComplete() && slices.Contains(w.Started, machine) && !slices.Contains(w.Done, machine) {
			return true
		}
	}
	return false
}

// Pending returns the number of active jobs of a queue that are due and of which no worker has started a task.
func (s State) Pending(queue string, now time.Time) int {
	n := 0
	s.EachActive(func(j Job) {
		if j.Queue == queue && j.Outcome == Active && !j.Begun && !j.DueAt(0).After(now) {
			n++
		}
	})
	return n
}

// Apply returns the state after a command, and the result of the command. at is the timestamp
// of the log entry.
func (s State) Apply(at time.Time, c Command) (State, Result) {
	result := Result{Code: OK}
	for _, part := range c.Batch {
		var r Result
		s, r = s.Apply(at, part)
		result.Batch = append(result.Batch, r.Code)
	}
	if c.Takeover != nil {
		s = s.withTakeover(*c.Takeover)
	}
	if c.Config != nil && c.Config.Supersedes(s.config) {
		s.config = *c.Config
	}
	if c.Submit != nil {
		s, result = s.withSubmit(at, *c.Submit)
	}
	if c.Cancel != "" {
		s, result = s.withCancel(at, c.Cancel)
	}
	copies := make(taskCopies)
	for _, start := range c.Starts {
		s = s.withStart(at, start, copies)
	}
	for _, stop := range c.Stops {
		s = s.withStop(stop, copies)
	}
	for _, id := range c.Begun {
		s = s.withBegun(id)
	}
	for _, end := range c.Ends {
		s = s.withEnd(at, end, copies)
	}
	for _, w := range c.Workers {
		s = s.withWorker(w)
	}
	for _, id := range c.RemovedWorkers {
		s.workers = s.workers.Delete(id)
		s = s.withoutSilence(id)
	}
	for _, d := range c.Departures {
		s = s.withDeparture(at, d).withoutSilence(d.Worker)
	}
	for _, r := range c.Silences {
		s = s.withSilence(r)
	}
	if c.Wave != nil {
		s = s.withWave(at, *c.Wave)
	}
	for _, u := range c.Maintenance {
		s = s.withMaintenance(u)
	}
	for _, m := range c.OrderedMachines {
		s.lastOrders = s.lastOrders.Set(m, LastOrder{MachineOrder: MachineOrder{Machine: m}, At: at})
	}
	if c.MachineOrder != nil {
		s.lastOrders = s.lastOrders.Set(c.MachineOrder.Machine, LastOrder{MachineOrder: *c.MachineOrder, At: at})
	}
	return s, result
}

// withSubmit accepts a job, unless a job with its ID is already known. A job whose steps no code could visit is
// invalid on every replica.
func (s State) withSubmit(at time.Time, j Job) (State, Result) {
	existing, known := s.Job(j.ID)
	if known && !existing.IsVisibleTo(j.Team) {
		return s, Result{Code: Invalid} // submitted by two teams at the same time
	}
	if known {
		return s, Result{Code: OK} // a repeated submission is the same job
	}
	if j.validateShape() != nil {
		return s, Result{Code: Invalid}
	}
	j.Seq = s.nextSeq
	j.AcceptedAt = at.UnixNano()
	s.nextSeq++
	if j.Seq%pruneInterval == 0 {
		s = s.withoutExpired(at)
	}
	s.seqs = s.seqs.Set(j.ID, j.Seq)
	s.active = s.active.With(j.Seq, j)
	return s, Result{Code: OK}
}

// withoutExpired removes the ended jobs that are past their retention.
func (s State) withoutExpired(at time.Time) State {
	before := at.Add(-Retention).UnixNano()
	var expired []string
	for it := s.ended.Iterator(); !it.Done(); {
		id, j, _ := it.Next()
		if j.EndedAt < before {
			expired = append(expired, id)
		}
	}
	for _, id := range expired {
		s.ended = s.ended.Delete(id)
	}
	return s
}

// withCancel cancels a job that is active. The runs of its tasks go on until their end is
// recorded.
func (s State) withCancel(at time.Time, id string) (State, Result) {
	j, ok := s.Job(id)
	if !ok {
		return s, Result{Code: UnknownJob}
	}
	if j.Outcome == Active {
		s = s.withJob(j.WithOutcome(Canceled, at))
	}
	return s, Result{Code: OK}
}

// withJob stores a job. A job that has ended and has no runs left moves from the active to the
// ended jobs. It loses its payload, steps and occurrences, which callers can no longer query, so
// that a restarted replica reads its snapshot quickly.
func (s State) withJob(j Job) State {
	if j.Outcome == Active || j.Running > 0 {
		s.active = s.active.With(j.Seq, j)
		return s
	}
	j.ActiveOccurrences, j.DoneOccurrences, j.Payload, j.Steps = nil, nil, "", nil
	s.active = s.active.Without(j.Seq)
	s.seqs = s.seqs.Delete(j.ID)
	s.ended = s.ended.Set(j.ID, j)
	return s
}

// withStart records that a run of a waiting task is assigned. It ignores a run number that is
// not higher than the last one, so a repeated or late command has no effect.
func (s State) withStart(at time.Time, start Start, copies taskCopies) State {
	j, ok := s.Job(start.Task.Job)
	if !ok || j.Outcome != Active {
		return s
	}
	o, ok := j.occurrenceOf(start.Task)
	if !ok {
		return s
	}
	t := o.Steps[start.Task.Step][start.Task.Index]
	if t.Phase != Waiting || start.Run <= t.Run {
		return s
	}
	t.Phase, t.Run, t.Worker, t.Incarnation, t.Term, t.AssignedAt = Running, start.Run, start.Worker, start.Incarnation, start.Term, at.UnixNano()
	t.Stopping = false
	if start.Checkpoint != "" {
		t.Checkpoint = start.Checkpoint
	}
	j = j.withOccurrence(o.withTask(start.Task.Step, start.Task.Index, t, copies))
	j.Running++
	return s.withRunning(j, start.Task.Step, 1).withJob(j)
}

// withStop records that the last run of a task is about to be stopped. It ignores an earlier run.
func (s State) withStop(stop Stop, copies taskCopies) State {
	j, ok := s.Job(stop.Task.Job)
	if !ok {
		return s
	}
	o, ok := j.occurrenceOf(stop.Task)
	if !ok {
		return s
	}
	t := o.Steps[stop.Task.Step][stop.Task.Index]
	if t.Phase != Running || t.Run != stop.Run {
		return s
	}
	t.Stopping = true
	return s.withJob(j.withOccurrence(o.withTask(stop.Task.Step, stop.Task.Index, t, copies)))
}

// withBegun records that a worker has started a run of a job.
func (s State) withBegun(id string) State {
	j, ok := s.Job(id)
	if !ok || j.Begun || j.Outcome != Active {
		return s
	}
	j.Begun = true
	return s.withJob(j)
}

// withEnd records the end of the last run of a task, and the outcome of the job if that ends
// too. It ignores the end of an earlier run, unless that run was successful: the run was recorded as ended before its
// worker reported the success, which the worker forgets once it is acknowledged. The task is done then, also if it is
// assigned again.
func (s State) withEnd(at time.Time, end End, copies taskCopies) State {
	j, ok := s.Job(end.Task.Job)
	if !ok {
		return s
	}
	o, ok := j.occurrenceOf(end.Task)
	if !ok || end.Run < 1 {
		return s
	}
	t := o.Steps[end.Task.Step][end.Task.Index]
	step := j.Steps[end.Task.Step]
	isLast := t.Phase == Running && end.Run == t.Run
	isLateSuccess := end.Reason == EndDone && !step.LongRunning && end.Run <= t.Run && (t.Phase == Waiting || t.Phase == Running)
	if !isLast && !isLateSuccess {
		return s
	}
	gangDone := step.Gang && end.Reason == EndDone && !step.LongRunning
	switch {
	case gangDone:
		s = s.withRunning(j, end.Task.Step, -countRunning(o.Steps[end.Task.Step])) // all members end together
	case t.Phase == Running:
		s = s.withRunning(j, end.Task.Step, -1)
	}
	if t.Phase == Waiting {
		j.Running++ // the recorded end has already subtracted the run, which is subtracted again below
	}
	j.Begun = j.Begun || end.Reason != EndLost // a worker reports the ends of runs that it has started
	t.Phase, t.Stopping = Waiting, false
	if end.Checkpoint != "" {
		t.Checkpoint = end.Checkpoint
	}
	switch {
	case end.Reason == EndDone && !step.LongRunning:
		t.Phase = Done
	case end.Reason == EndFailed:
		t.Failures++
	}
	failed := end.Reason == EndFailed && t.Failures >= j.Attempts && !step.LongRunning
	if failed {
		t.Phase = Failed
	}
	j = j.withOccurrence(o.withTask(end.Task.Step, end.Task.Index, t, copies))
	j.Running--
	if gangDone {
		j = j.withGangDone(end.Task, copies)
	}
	switch {
	case j.Outcome != Active:
	case failed:
		j = j.WithOutcome(AttemptsExhausted, at)
	case len(j.DoneOccurrences) == j.Occurrences():
		j = j.WithOutcome(Complete, at)
	}
	return s.withJob(j)
}

// withGangDone marks all members of a gang as done. They end together, so the success of one
// member holds for all of them.
func (j Job) withGangDone(task TaskID, copies taskCopies) Job {
	o, ok := j.Occurrence(task.Occurrence)
	if !ok {
		return j
	}
	for i, t := range o.Steps[task.Step] {
		if t.Phase == Done {
			continue
		}
		if t.Phase == Running {
			j.Running--
		}
		t.Phase = Done
		o = o.withTask(task.Step, i, t, copies)
	}
	return j.withOccurrence(o)
}

// occurrenceOf returns the occurrence that a task belongs to. It returns false if that is done, or if the job has no such
// task.
func (j Job) occurrenceOf(task TaskID) (Occurrence, bool) {
	if task.Occurrence < 0 || task.Occurrence >= j.Occurrences() {
		return Occurrence{}, false
	}
	o, ok := j.Occurrence(task.Occurrence)
	return o, ok && o.hasTask(task)
}

// Task returns a task of the occurrence, or false if the occurrence has no such step or index.
func (o Occurrence) Task(id TaskID) (Task, bool) {
	if !o.hasTask(id) {
		return Task{}, false
	}
	return o.Steps[id.Step][id.Index], true
}

// hasTask reports whether the step and the index of a task are in range.
func (o Occurrence) hasTask(task TaskID) bool {
	return task.Step >= 0 && task.Step < len(o.Steps) && task.Index >= 0 && task.Index < len(o.Steps[task.Step])
}

// withWorker adds or replaces a worker, and ignores the report of an earlier incarnation. The record of the worker's
// silence is removed in either case: the leader that proposed the command grants leases once it is committed.
func (s State) withWorker(w Worker) State {
	s = s.withoutSilence(w.ID)
	current, ok := s.workers.Get(w.ID)
	if (ok && current.Incarnation > w.Incarnation) || s.HasDeparted(w.ID, w.Incarnation) {
		return s
	}
	if ok && current.Incarnation == w.Incarnation && current.Draining {
		w.Draining = true // a worker drains until it restarts
	}
	s.workers = s.workers.Set(w.ID, w)
	return s
}

// withDeparture records the departure of a worker and forgets those that are past their retention.
func (s State) withDeparture(at time.Time, d Departure) State {
	before := at.Add(-departureRetention).UnixNano()
	var expired []string
	for it := s.departures.Iterator(); !it.Done(); {
		id, old, _ := it.Next()
		if old.At < before {
			expired = append(expired, id)
		}
	}
	for _, id := range expired {
		s.departures = s.departures.Delete(id)
	}
	d.At = at.UnixNano()
	s.departures = s.departures.Set(d.Worker, d)
	return s
}

// withWave adds a wave that is not known yet. Its deadline, which counts from the acceptance of
// the command, becomes a point in time.
func (s State) withWave(at time.Time, w Wave) State {
	_, known := s.waves.Get(w.ID)
	if known {
		return s
	}
	w.FinishBy += at.UnixNano()
	s.waves = s.waves.Set(w.ID, w)
	return s
}

// withMaintenance records that the maintenance of a machine is about to be ordered, or is done.
func (s State) withMaintenance(u MachineMaintenance) State {
	w, ok := s.waves.Get(u.Wave)
	if !ok || !slices.Contains(w.Machines, u.Machine) {
		return s
	}
	if !slices.Contains(w.Started, u.Machine) {
		w.Started = append(slices.Clone(w.Started), u.Machine)
	}
	if u.Done && !slices.Contains(w.Done, u.Machine) {
		w.Done = append(slices.Clone(w.Done), u.Machine)
	}
	s.waves = s.waves.Set(u.Wave, w)
	return s
}
