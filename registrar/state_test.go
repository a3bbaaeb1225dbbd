package registrar

import (
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var startTime = time.Unix(1_800_000_000, 0)

func taskID(step, index int) TaskID { return TaskID{Job: "j", Step: step, Index: index} }

func newJob(steps ...Step) *Job {
	return &Job{ID: "j", Queue: "q", Pool: "a", Payload: "p", Attempts: 2, Steps: steps}
}

// TestApply checks the state of one job after a sequence of commands, and that a
// snapshot restores the state.
func TestApply(t *testing.T) {
	assign := Command{Starts: []Start{{Task: taskID(0, 0), Run: 1, Worker: "w"}}}
	end := func(run int, reason EndReason) Command {
		return Command{Ends: []End{{Task: taskID(0, 0), Run: run, Reason: reason, Checkpoint: "cp"}}}
	}
	submit := Command{Submit: newJob(Step{Count: 1})}
	tests := map[string]struct {
		commands []Command
		outcome  Outcome
		running  int
		phase    Phase
		lastRun  int
	}{
		"submitted":                 {commands: []Command{submit}, outcome: Active},
		"submitted twice":           {commands: []Command{submit, assign, submit}, outcome: Active, running: 1, phase: Running, lastRun: 1},
		"assigned":                  {commands: []Command{submit, assign}, outcome: Active, running: 1, phase: Running, lastRun: 1},
		"assigned twice":            {commands: []Command{submit, assign, assign}, outcome: Active, running: 1, phase: Running, lastRun: 1},
		"done":                      {commands: []Command{submit, assign, end(1, EndDone)}, outcome: Complete},
		"done twice":                {commands: []Command{submit, assign, end(1, EndDone), end(1, EndDone)}, outcome: Complete},
		"lost":                      {commands: []Command{submit, assign, end(1, EndLost)}, outcome: Active, phase: Waiting, lastRun: 1},
		"late success after loss":   {commands: []Command{submit, assign, end(1, EndLost), end(1, EndDone)}, outcome: Complete},
		"success of an earlier run": {commands: []Command{submit, assign, end(1, EndLost), {Starts: []Start{{Task: taskID(0, 0), Run: 2}}}, end(1, EndDone)}, outcome: Complete},
		"failure of an earlier run": {commands: []Command{submit, assign, end(1, EndLost), {Starts: []Start{{Task: taskID(0, 0), Run: 2}}}, end(1, EndFailed)}, outcome: Active, running: 1, phase: Running, lastRun: 2},
		"success of a run to come":  {commands: []Command{submit, assign, end(2, EndDone)}, outcome: Active, running: 1, phase: Running, lastRun: 1},
		"success of an earlier run of one of two tasks": {
			commands: []Command{{Submit: newJob(Step{Count: 2})}, assign, end(1, EndLost), {Starts: []Start{{Task: taskID(0, 0), Run: 2}}}, end(1, EndDone), end(2, EndLost), {Starts: []Start{{Task: taskID(0, 0), Run: 3}}}},
			outcome:  Active, phase: Done, lastRun: 2,
		},
		"success of an earlier run of a task that lasts": {
			commands: []Command{{Submit: newJob(Step{Count: 1, LongRunning: true})}, assign, end(1, EndLost), {Starts: []Start{{Task: taskID(0, 0), Run: 2}}}, end(1, EndDone)},
			outcome:  Active, running: 1, phase: Running, lastRun: 2,
		},
		"success of a gang's earlier run": {
			commands: []Command{
				{Submit: newJob(Step{Count: 2, Gang: true}, Step{Count: 1, After: []int{0}})},
				{Starts: []Start{{Task: taskID(0, 0), Run: 1}, {Task: taskID(0, 1), Run: 1}}},
				{Ends: []End{{Task: taskID(0, 0), Run: 1, Reason: EndLost}, {Task: taskID(0, 1), Run: 1, Reason: EndLost}}},
				{Starts: []Start{{Task: taskID(0, 0), Run: 2}, {Task: taskID(0, 1), Run: 2}}},
				end(1, EndDone),
			},
			outcome: Active, phase: Done, lastRun: 2,
		},
		"failed once":                   {commands: []Command{submit, assign, end(1, EndFailed)}, outcome: Active, phase: Waiting, lastRun: 1},
		"attempts exhausted":            {commands: []Command{submit, assign, end(1, EndFailed), {Starts: []Start{{Task: taskID(0, 0), Run: 2}}}, end(2, EndFailed)}, outcome: AttemptsExhausted},
		"stopped runs are not failures": {commands: []Command{submit, assign, end(1, EndStopped), {Starts: []Start{{Task: taskID(0, 0), Run: 2}}}, end(2, EndStopped)}, outcome: Active, phase: Waiting, lastRun: 2},
		"canceled":                      {commands: []Command{submit, {Cancel: "j"}}, outcome: Canceled},
		"canceled while running":        {commands: []Command{submit, assign, {Cancel: "j"}}, outcome: Canceled, running: 1, phase: Running, lastRun: 1},
		"canceled, then assigned":       {commands: []Command{submit, {Cancel: "j"}, assign}, outcome: Canceled},
		"batch":                         {commands: []Command{{Batch: []Command{submit, assign, end(1, EndDone)}}}, outcome: Complete},
		"long-running never completes":  {commands: []Command{{Submit: newJob(Step{Count: 1, LongRunning: true})}, assign, end(1, EndDone)}, outcome: Active, phase: Waiting, lastRun: 1},
		"success of a gang member completes the gang": {
			commands: []Command{
				{Submit: newJob(Step{Count: 2, Gang: true})},
				{Starts: []Start{{Task: taskID(0, 0), Run: 1}, {Task: taskID(0, 1), Run: 1}}},
				end(1, EndDone),
			},
			outcome: Complete,
		},
	}
	for title, tt := range tests {
		t.Run(title, func(t *testing.T) {
			s := NewState()
			for _, c := range tt.commands {
				s, _ = s.Apply(startTime, c)
			}
			j, ok := s.Job("j")
			must.True(t, ok)
			must.EqOp(t, tt.outcome, j.Outcome)
			must.EqOp(t, tt.running, j.Running)
			if len(j.ActiveOccurrences) > 0 {
				must.EqOp(t, tt.phase, j.ActiveOccurrences[0].Steps[0][0].Phase)
				must.EqOp(t, tt.lastRun, j.ActiveOccurrences[0].Steps[0][0].Run)
			}
			restored := FromSnapshot(s.Snapshot())
			must.Eq(t, s.Snapshot(), restored.Snapshot())
		})
	}
}

// TestApplyIgnoresStaleConfig checks that only a higher version replaces the configuration.
func TestApplyIgnoresStaleConfig(t *testing.T) {
	s := NewState()
	for _, version := range []int64{3, 2, 3, 7, 5} {
		s, _ = s.Apply(startTime, Command{Config: &Config{Version: version}})
	}
	must.EqOp(t, int64(7), s.Config().Version)
}

// TestWorkers checks which reports of a worker take effect. A report with an earlier
// start time is stale, and a draining worker drains until it restarts.
func TestWorkers(t *testing.T) {
	tests := map[string]struct {
		reports     []Worker
		incarnation int64
		draining    bool
	}{
		"ready":                      {reports: []Worker{{ID: "w", Incarnation: 1}}, incarnation: 1},
		"draining":                   {reports: []Worker{{ID: "w", Incarnation: 1}, {ID: "w", Incarnation: 1, Draining: true}}, incarnation: 1, draining: true},
		"drain cannot be reverted":   {reports: []Worker{{ID: "w", Incarnation: 1, Draining: true}, {ID: "w", Incarnation: 1}}, incarnation: 1, draining: true},
		"restart ends the drain":     {reports: []Worker{{ID: "w", Incarnation: 1, Draining: true}, {ID: "w", Incarnation: 2}}, incarnation: 2},
		"earlier start time ignored": {reports: []Worker{{ID: "w", Incarnation: 2}, {ID: "w", Incarnation: 1, Draining: true}}, incarnation: 2},
	}
	for title, tt := range tests {
		t.Run(title, func(t *testing.T) {
			s := NewState()
			for _, w := range tt.reports {
				s, _ = s.Apply(startTime, Command{Workers: []Worker{w}})
			}
			w, ok := s.Worker("w")
			must.True(t, ok)
			must.EqOp(t, tt.incarnation, w.Incarnation)
			must.EqOp(t, tt.draining, w.Draining)
		})
	}
}

// TestDeparture checks that only a later incarnation brings back a worker that announced its end, also after a restart
// from a snapshot, and that a worker that was only removed for its silence comes back as it was.
func TestDeparture(t *testing.T) {
	joined := Command{Workers: []Worker{{ID: "w", Incarnation: 5}}}
	departed := Command{RemovedWorkers: []string{"w"}, Departures: []Departure{{Worker: "w", Incarnation: 5}}}
	removed := Command{RemovedWorkers: []string{"w"}}
	tests := map[string]struct {
		commands []Command
		after    time.Duration // between the second and the third command
		known    bool
	}{
		"late heartbeat":                       {commands: []Command{joined, departed, joined}},
		"late heartbeat of an earlier life":    {commands: []Command{joined, departed, {Workers: []Worker{{ID: "w", Incarnation: 4}}}}},
		"heartbeat of the next life":           {commands: []Command{joined, departed, {Workers: []Worker{{ID: "w", Incarnation: 6}}}}, known: true},
		"removed for its silence":              {commands: []Command{joined, removed, joined}, known: true},
		"departure is forgotten after a while": {commands: []Command{joined, departed, {Departures: []Departure{{Worker: "x", Incarnation: 1}}}, joined}, after: 2 * departureRetention, known: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, now := NewState(), startTime
			for i, c := range tt.commands {
				if i == 2 {
					now = now.Add(tt.after)
				}
				s, _ = s.Apply(now, c)
				s = FromSnapshot(s.Snapshot())
			}
			_, known := s.Worker("w")
			must.EqOp(t, tt.known, known)
		})
	}
}

// applyAll applies commands to an empty state, and restores the state from its snapshot after each.
func applyAll(commands []Command) State {
	s := NewState()
	for _, c := range commands {
		s, _ = s.Apply(startTime, c)
		s = FromSnapshot(s.Snapshot())
	}
	return s
}

// TestPending guards against an attempt that is counted as a start: only jobs of which a worker has started a task are
// not pending any more.
func TestPending(t *testing.T) {
	submit := Command{Submit: newJob(Step{Count: 1})}
	start := func(run int) Command {
		return Command{Starts: []Start{{Task: taskID(0, 0), Run: run, Worker: "w"}}}
	}
	end := func(run int, reason EndReason) Command {
		return Command{Ends: []End{{Task: taskID(0, 0), Run: run, Reason: reason}}}
	}
	begun := Command{Begun: []string{"j", "unknown"}}
	scheduled := newJob(Step{Count: 1})
	scheduled.OccurrenceCount, scheduled.FirstDue = 1, startTime.Add(time.Minute).UnixMilli()
	tests := map[string]struct {
		commands []Command
		pending  int
	}{
		"submitted":                        {commands: []Command{submit}, pending: 1},
		"not due":                          {commands: []Command{{Submit: scheduled}}},
		"assigned":                         {commands: []Command{submit, start(1)}, pending: 1},
		"rejected":                         {commands: []Command{submit, start(1), end(1, EndLost)}, pending: 1},
		"rejected, assigned again":         {commands: []Command{submit, start(1), end(1, EndLost), start(2)}, pending: 1},
		"begun":                            {commands: []Command{submit, start(1), begun}},
		"begun, lost":                      {commands: []Command{submit, start(1), begun, end(1, EndLost)}},
		"begun, lost, rejected":            {commands: []Command{submit, start(1), begun, end(1, EndLost), start(2), end(2, EndLost)}},
		"failed without a record of begun": {commands: []Command{submit, start(1), end(1, EndFailed)}},
		"canceled":                         {commands: []Command{submit, {Cancel: "j"}}},
		"canceled, then begun":             {commands: []Command{submit, start(1), {Cancel: "j"}, begun}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := applyAll(tt.commands)
			must.EqOp(t, tt.pending, s.Pending("q", startTime))
			must.EqOp(t, 0, s.Pending("other", startTime))
		})
	}
}

// TestStops checks that the last run of a task stays marked as stopping until it has ended, also in a snapshot.
func TestStops(t *testing.T) {
	submit := Command{Submit: newJob(Step{Count: 1, LongRunning: true})}
	start := func(run int) Command {
		return Command{Starts: []Start{{Task: taskID(0, 0), Run: run, Worker: "w"}}}
	}
	stop := func(task TaskID, run int) Command { return Command{Stops: []Stop{{Task: task, Run: run}}} }
	end := Command{Ends: []End{{Task: taskID(0, 0), Run: 1, Reason: EndStopped}}}
	tests := map[string]struct {
		commands []Command
		stopping bool
	}{
		"started":                 {commands: []Command{submit, start(1)}},
		"stopped":                 {commands: []Command{submit, start(1), stop(taskID(0, 0), 1)}, stopping: true},
		"stopped, not started":    {commands: []Command{submit, stop(taskID(0, 0), 1)}},
		"stopped, ended":          {commands: []Command{submit, start(1), stop(taskID(0, 0), 1), end}},
		"ended, then stopped":     {commands: []Command{submit, start(1), end, stop(taskID(0, 0), 1)}},
		"stopped, started again":  {commands: []Command{submit, start(1), stop(taskID(0, 0), 1), end, start(2)}},
		"stop of an earlier run":  {commands: []Command{submit, start(1), end, start(2), stop(taskID(0, 0), 1)}},
		"stop of an unknown task": {commands: []Command{submit, start(1), stop(taskID(0, 7), 1), stop(taskID(3, -1), 1), stop(TaskID{Job: "x"}, 1)}},
		"stopped, job canceled":   {commands: []Command{submit, start(1), stop(taskID(0, 0), 1), {Cancel: "j"}}, stopping: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := applyAll(tt.commands)
			j, _ := s.Job("j")
			o, _ := j.Occurrence(0)
			must.EqOp(t, tt.stopping, o.Steps[0][0].Stopping)
		})
	}
}

// TestMachineOrders checks what a later leader knows of the last order for a machine, also from a snapshot.
func TestMachineOrders(t *testing.T) {
	move := MachineOrder{Machine: "m", Pool: "b", Worker: "w", Incarnation: 5}
	maintenance := MachineOrder{Machine: "m", Worker: "w", Incarnation: 5}
	wave := Command{Wave: &Wave{ID: 1, Machines: []string{"m", "n"}, MaxDown: 1}}
	order := func(o MachineOrder) Command {
		return Command{OrderedMachines: []string{"m"}, MachineOrder: &o, Maintenance: []MachineMaintenance{{Wave: 1, Machine: "m"}}}
	}
	tests := map[string]struct {
		commands []Command
		last     MachineOrder
		underWay bool
	}{
		"none":                      {commands: []Command{wave}},
		"move":                      {commands: []Command{{OrderedMachines: []string{"m"}, MachineOrder: &move}}, last: move},
		"order of an older version": {commands: []Command{{OrderedMachines: []string{"m"}}}, last: MachineOrder{Machine: "m"}},
		"maintenance":               {commands: []Command{wave, order(maintenance)}, last: maintenance, underWay: true},
		"maintenance begun":         {commands: []Command{wave, order(maintenance), {Maintenance: []MachineMaintenance{{Wave: 1, Machine: "m", Done: true}}}}, last: maintenance},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := applyAll(tt.commands)
			must.Eq(t, tt.last, s.LastOrder("m").MachineOrder)
			must.EqOp(t, tt.last.Machine != "", s.LastOrder("m").At.Equal(startTime))
			must.EqOp(t, tt.underWay, s.MaintenanceUnderWay("m"))
		})
	}
}

// TestCostOfWideSteps guards against a command whose cost grows faster than the number of its starts or ends: each of them
// copied all tasks of the step, and 4,000 starts held up each replica for half a second. It also checks that a command
// leaves the state before it as it was.
func TestCostOfWideSteps(t *testing.T) {
	wide := func(n int) (State, Command, Command) {
		s, _ := NewState().Apply(startTime, Command{Submit: newJob(Step{Count: n})})
		starts, ends := Command{}, Command{}
		for i := range n {
			starts.Starts = append(starts.Starts, Start{Task: taskID(0, i), Run: 1, Worker: "w"})
			ends.Ends = append(ends.Ends, End{Task: taskID(0, i), Run: 1, Reason: EndStopped})
		}
		return s, starts, ends
	}
	allocated := func(f func()) float64 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		f()
		runtime.ReadMemStats(&after)
		return float64(after.TotalAlloc - before.TotalAlloc)
	}
	cost := func(n int) (forStarts, forEnds float64) {
		s, starts, ends := wide(n)
		var started, ended State
		forStarts = allocated(func() { started, _ = s.Apply(startTime, starts) })
		forEnds = allocated(func() { ended, _ = started.Apply(startTime, ends) })
		for phase, state := range map[Phase]State{Running: started, Waiting: ended} {
			j, _ := state.Job("j")
			for _, task := range j.ActiveOccurrences[0].Steps[0] {
				must.EqOp(t, phase, task.Phase)
			}
		}
		return forStarts, forEnds
	}
	starts, ends := cost(1000)
	manyStarts, manyEnds := cost(4000)
	must.Less(t, 8*starts, manyStarts) // four times as many, where the cost grows with their number
	must.Less(t, 8*ends, manyEnds)
}
