package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
	"laburnumwind/sharer"
)

// setTeams commits a configuration with the teams, each with its name as its key.
func (w *simCluster) setTeams(teams ...registrar.Team) {
	config := w.committed.Config()
	config.Version++
	config.Teams = nil
	for _, team := range teams {
		team.KeyDigests = [][]byte{registrar.KeyDigest(team.Name)}
		config.Teams = append(config.Teams, team)
	}
	w.committed, _ = w.committed.Apply(w.Now(), registrar.Command{Config: &config})
	w.sendView()
}

// running returns what the runs of a team use on all workers, the unreachable ones included.
func (w *simCluster) running(team string) registrar.Resources {
	return w.runningSome(team, func(fakeRun) bool { return true })
}

// runningSome returns what the runs of a team with a property use on all workers, the unreachable ones included.
func (w *simCluster) runningSome(team string, has func(fakeRun) bool) registrar.Resources {
	used := registrar.Resources{}
	for _, x := range w.workers {
		w.endDueRuns(x)
		for _, r := range x.runs {
			if r.team == team && has(r) {
				used = used.Add(r.step.Demand())
			}
		}
	}
	return used
}

// checkLimit fails the test if a start exceeds the limit of its team.
func (w *simCluster) checkLimit(id registrar.TaskID, j registrar.Job) {
	team, _ := w.committed.Config().Team(j.Team)
	if team.Limit == (registrar.Resources{}) {
		return
	}
	used, demand := w.running(j.Team), j.Steps[id.Step].Demand()
	if w.limitLowered || sharer.NewQuota(team.Limit, used).Startable(demand) > 0 {
		return
	}
	// Only a task that never fits may exceed the limit, while the team uses less than half of it.
	longRunning := w.runningSome(j.Team, func(r fakeRun) bool { return r.longRunning })
	n := 1
	if j.Steps[id.Step].Gang {
		n = j.Steps[id.Step].Count
	}
	for _, kind := range [][4]int{
		{team.Limit.CPU, used.CPU, longRunning.CPU, demand.CPU},
		{team.Limit.Memory, used.Memory, longRunning.Memory, demand.Memory},
		{team.Limit.GPU, used.GPU, longRunning.GPU, demand.GPU},
	} {
		limit, used, longRunning, needed := kind[0], kind[1], kind[2], kind[3]
		if limit > 0 && needed > 0 && used+needed > limit && (longRunning+n*needed <= limit || used > limit || n == 1 && 2*used >= limit) {
			w.t.Fatalf("%v: %v starts while team %s uses %+v of %+v", w.Now().Sub(w.start), id, j.Team, used, team.Limit)
		}
	}
}

// submitForTeams submits n jobs of the teams in turn, with tasks, best-effort tasks and gangs, every interval.
func (w *simCluster) submitForTeams(n int, interval time.Duration, teams ...string) {
	for i := range n {
		w.After(time.Duration(i)*interval, func() {
			w.jobs++
			steps := []registrar.Step{
				{Count: 1 + w.r.IntN(5), CPU: 500 + w.r.IntN(800), Memory: 500, Estimate: 800 * time.Millisecond, BestEffort: i%5 == 4},
				{Count: 1 + w.r.IntN(3), CPU: 900, Memory: 700, Estimate: 600 * time.Millisecond, After: []int{0}, Gang: i%3 == 2},
			}
			w.submit("a", registrar.Job{ID: fmt.Sprintf("%016x", w.jobs), Team: teams[i%len(teams)], Steps: steps})
		})
	}
}

// TestLimitHolds guards against starts beyond the limit of a team while starts and stops are not confirmed, workers are
// unreachable and the leader changes. The simulated cluster checks the limit at each start. The limits must also be used:
// a team with more work comes within one task of its limit, and its jobs complete.
func TestLimitHolds(t *testing.T) {
	tests := map[string]struct {
		faults  faults
		cancels bool
	}{
		"no faults":           {},
		"the leader changes":  {faults: faults{leaderChangeEvery: 700 * time.Millisecond}},
		"starts unconfirmed":  {faults: faults{lateOrders: 0.1, lostAnswers: 0.1, leaderChangeEvery: 1500 * time.Millisecond}},
		"stops unconfirmed":   {faults: faults{lostAnswers: 0.1, leaderChangeEvery: 1500 * time.Millisecond}, cancels: true},
		"workers unreachable": {faults: faults{rackSilentAt: 4 * time.Second, leaderChangeEvery: 8 * time.Second, lateOrders: 0.05}},
		"workers restart":     {faults: faults{restartEvery: 700 * time.Millisecond, lateDepartures: 0.5, lateOrders: 0.05, lostAnswers: 0.05, leaderChangeEvery: 3 * time.Second}},
	}
	teams := []registrar.Team{
		{Name: "x", Weight: 1, Limit: registrar.Resources{CPU: 9000}},
		{Name: "y", Weight: 2, Limit: registrar.Resources{CPU: 20_000, Memory: 6000}},
		{Name: "z", Weight: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(*seeds) {
				w := newSimCluster(t, seed, map[string]int{"a": 9, "standby": 3}, tt.faults)
				w.setTeams(teams...)
				w.stopTime = 300 * time.Millisecond
				w.After(3*time.Second, func() { w.submitForTeams(150, 30*time.Millisecond, "x", "y", "z") })
				most := registrar.Resources{}
				w.Every(20*time.Millisecond, func() {
					most = most.Max(w.running("x"))
					if tt.cancels && w.jobs > 0 && w.jobs < 150 && w.r.IntN(8) == 0 {
						j, _ := w.committed.Job(fmt.Sprintf("%016x", 1+w.r.IntN(w.jobs)))
						w.call(jobCall(messenger.CancelJob, "a", registrar.Job{ID: j.ID, Team: j.Team}), func(messenger.JobAnswer) {})
					}
				})
				w.RunFor(120 * time.Second) // runs that may not have ended hold the limits of x and y for long
				must.GreaterEq(t, 9000-1300, most.CPU)
				must.EqOp(t, 0, w.committed.ActiveJobs(), must.Sprintf("seed %d", seed))
				must.EqOp(t, registrar.Resources{}, w.committed.Running("y"))
			}
		})
	}
}

// TestHeldStartsOrderNoMachines guards against machines that are ordered for tasks which the limit of their team holds
// back anyway: the four machines that the pool begins with are enough for the limit. Without it, the same load needs more.
func TestHeldStartsOrderNoMachines(t *testing.T) {
	tests := map[string]struct {
		limit int
		step  registrar.Step
	}{
		"tasks":                               {limit: 16_000, step: registrar.Step{Count: 20, CPU: 2000, Memory: 1000, Estimate: 900 * time.Millisecond}},
		"gangs":                               {limit: 16_000, step: registrar.Step{Count: 3, CPU: 4000, Memory: 1000, Estimate: 900 * time.Millisecond, Gang: true}},
		"long-running tasks on a worker each": {limit: 10_000, step: registrar.Step{Count: 7, CPU: 2500, Memory: 1000, LongRunning: true, MaxPerWorker: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			machines := make(map[int]int)
			for _, limit := range []int{0, tt.limit} {
				w := newSimCluster(t, 1, map[string]int{"a": 4, "standby": 6}, faults{})
				w.setTeams(registrar.Team{Name: "x", Weight: 1, Limit: registrar.Resources{CPU: limit}})
				w.After(3*time.Second, func() {
					for n := range 25 {
						w.submit("a", registrar.Job{ID: fmt.Sprintf("%016x", n), Team: "x", Steps: []registrar.Step{tt.step}})
					}
				})
				used := 0
				w.Every(20*time.Millisecond, func() {
					used = max(used, w.running("x").CPU)
					inPool := 0
					for _, m := range w.machines {
						if m.Pool == "a" {
							inPool++
						}
					}
					machines[limit] = max(machines[limit], inPool)
				})
				w.RunFor(8 * time.Second)
				must.Positive(t, used)
			}
			must.Greater(t, 4, machines[0])
			must.EqOp(t, 4, machines[tt.limit])
		})
	}
}

// TestLoweredLimit guards against runs that are stopped by a lower limit, and against starts above it.
func TestLoweredLimit(t *testing.T) {
	w := newSimCluster(t, 1, map[string]int{"a": 4}, faults{})
	w.setTeams(registrar.Team{Name: "x", Weight: 1, Limit: registrar.Resources{CPU: 20_000}})
	w.RunFor(3 * time.Second)
	w.submit("a", registrar.Job{ID: "j", Team: "x", Steps: []registrar.Step{{Count: 40, CPU: 1000, Estimate: 2 * time.Second}}})
	w.RunFor(time.Second)
	must.EqOp(t, 20_000, w.running("x").CPU)
	w.limitLowered = true
	w.setTeams(registrar.Team{Name: "x", Weight: 1, Limit: registrar.Resources{CPU: 5000}})
	w.RunFor(200 * time.Millisecond)
	must.EqOp(t, 20_000, w.running("x").CPU)
	w.RunFor(4 * time.Second)
	must.Between(t, 1000, w.running("x").CPU, 5000)
	must.EqOp(t, 0, w.outcomes[registrar.EndStopped.String()])
	w.setTeams() // the team is removed: its job goes on without a limit
	w.RunFor(500 * time.Millisecond)
	must.Greater(t, 5000, w.running("x").CPU)
	w.RunFor(8 * time.Second)
	must.EqOp(t, 0, w.committed.ActiveJobs())
}

// TestLimitBelowTask guards against an accepted job that never goes on because the limit of its team has been lowered
// below one of its tasks (review/15). At most one such task may run at a time, and neither it nor the short tasks of its
// team may wait for ever.
func TestLimitBelowTask(t *testing.T) {
	second := registrar.Step{Count: 1, CPU: 4000, Memory: 100, Estimate: 500 * time.Millisecond, After: []int{0}}
	with := func(change func(*registrar.Step)) registrar.Step {
		s := second
		change(&s)
		return s
	}
	lowered := registrar.Resources{CPU: 3000}
	lasting := registrar.Step{Count: 1, CPU: 1000, Memory: 100, LongRunning: true}
	tests := map[string]struct {
		limit   registrar.Resources // lowered
		steps   []registrar.Step
		jobs    int // with these steps
		beside  []registrar.Step
		busy    bool // short tasks of the team keep its limit used
		faults  faults
		mostCPU int // of the team after the change
	}{
		"processors":                     {limit: lowered, steps: []registrar.Step{second}, jobs: 1, mostCPU: 4000},
		"memory":                         {limit: registrar.Resources{Memory: 90}, steps: []registrar.Step{second}, jobs: 1, mostCPU: 4000},
		"accelerators":                   {limit: registrar.Resources{GPU: 1}, steps: []registrar.Step{with(func(s *registrar.Step) { s.GPU = 2 })}, jobs: 1, mostCPU: 4000},
		"two of a step":                  {limit: lowered, steps: []registrar.Step{with(func(s *registrar.Step) { s.Count = 2 })}, jobs: 1, mostCPU: 4000},
		"of two jobs":                    {limit: lowered, steps: []registrar.Step{second}, jobs: 2, mostCPU: 4000},
		"a gang larger by one task":      {limit: lowered, steps: []registrar.Step{with(func(s *registrar.Step) { s.Count, s.CPU, s.Gang = 3, 1200, true })}, jobs: 1, mostCPU: 3600},
		"beside a long-running task":     {limit: lowered, steps: []registrar.Step{with(func(s *registrar.Step) { s.CPU = 2500 })}, jobs: 1, beside: []registrar.Step{lasting}, mostCPU: 3500},
		"long-running":                   {limit: lowered, steps: []registrar.Step{with(func(s *registrar.Step) { s.LongRunning, s.Estimate = true, 0 })}, jobs: 1, mostCPU: 4000},
		"behind short tasks":             {limit: lowered, steps: []registrar.Step{with(func(s *registrar.Step) { s.Count = 3 })}, jobs: 1, busy: true, mostCPU: 5000},
		"long-running, behind short":     {limit: lowered, steps: []registrar.Step{with(func(s *registrar.Step) { s.LongRunning, s.Estimate = true, 0 })}, jobs: 1, busy: true, mostCPU: 5000},
		"the leader changes":             {limit: lowered, steps: []registrar.Step{with(func(s *registrar.Step) { s.Count = 2 })}, jobs: 2, faults: faults{leaderChangeEvery: 700 * time.Millisecond}, mostCPU: 4000},
		"starts and stops not confirmed": {limit: lowered, steps: []registrar.Step{with(func(s *registrar.Step) { s.Count = 2 })}, jobs: 2, faults: faults{lateOrders: 0.2, lostAnswers: 0.2, leaderChangeEvery: 1500 * time.Millisecond}, mostCPU: 5000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newSimCluster(t, 1, map[string]int{"a": 6}, tt.faults)
			w.setTeams(registrar.Team{Name: "x", Weight: 1, Limit: registrar.Resources{CPU: 20_000, Memory: 20_000, GPU: 8}})
			for _, m := range w.machines {
				m.Capacity.GPU = 2
			}
			for _, x := range w.workers {
				x.Capacity.GPU = 2
			}
			w.RunFor(3 * time.Second)
			if len(tt.beside) > 0 {
				w.submit("a", registrar.Job{ID: "beside", Team: "x", Steps: tt.beside})
			}
			first := registrar.Step{Count: 2, CPU: 1000, Memory: 10, Estimate: 3 * time.Second}
			for n := range tt.jobs {
				w.submit("a", registrar.Job{ID: fmt.Sprint("j", n), Team: "x", Steps: append([]registrar.Step{first}, tt.steps...)})
			}
			w.RunFor(time.Second)
			w.setTeams(registrar.Team{Name: "x", Weight: 1, Limit: tt.limit})
			if tt.busy {
				w.Every(100*time.Millisecond, func() { // 9 cores for 3
					w.jobs++
					w.submit("a", registrar.Job{ID: fmt.Sprint("short", w.jobs), Team: "x", Steps: []registrar.Step{{Count: 1, CPU: 1000, Memory: 10, Estimate: 900 * time.Millisecond}}})
				})
			}
			w.RunFor(3 * time.Second)
			most := 0
			w.Every(20*time.Millisecond, func() { most = max(most, w.running("x").CPU) })
			w.RunFor(60 * time.Second)
			for n := range tt.jobs {
				j, _ := w.committed.Job(fmt.Sprint("j", n))
				switch {
				case j.IsLongRunning():
					must.Positive(t, j.ActiveOccurrences[0].Steps[1][0].Run)
				default:
					must.EqOp(t, registrar.Complete, j.Outcome, must.Sprint(j.ID))
				}
			}
			must.LessEq(t, tt.mostCPU, most)
			if tt.busy && !tt.steps[0].LongRunning {
				must.Greater(t, 60, w.outcomes["done"], must.Sprint("short tasks go on"))
			}
		})
	}
}

// TestGangBelowLimitAgain checks that a gang that a lowered limit excludes as a whole starts once the limit is raised.
func TestGangBelowLimitAgain(t *testing.T) {
	w := newSimCluster(t, 1, map[string]int{"a": 4}, faults{})
	raised := registrar.Team{Name: "x", Weight: 1, Limit: registrar.Resources{CPU: 20_000}}
	w.setTeams(raised)
	w.RunFor(3 * time.Second)
	w.submit("a", registrar.Job{ID: "j", Team: "x", Steps: []registrar.Step{
		{Count: 1, CPU: 1000, Estimate: time.Second},
		{Count: 4, CPU: 2000, Estimate: time.Second, Gang: true, After: []int{0}},
	}})
	w.RunFor(500 * time.Millisecond)
	w.setTeams(registrar.Team{Name: "x", Weight: 1, Limit: registrar.Resources{CPU: 3000}})
	w.RunFor(10 * time.Second)
	j, _ := w.committed.Job("j")
	must.EqOp(t, registrar.Active, j.Outcome)
	must.EqOp(t, 0, w.running("x").CPU)
	w.setTeams(raised)
	w.RunFor(3 * time.Second)
	must.EqOp(t, 0, w.committed.ActiveJobs())
}

// TestJobAboveLimit checks that a job is refused if one of its tasks, or a gang, exceeds the limit of its team.
func TestJobAboveLimit(t *testing.T) {
	tests := map[string]struct {
		team   string
		step   registrar.Step
		status messenger.CallStatus
	}{
		"fits":                          {team: "x", step: registrar.Step{Count: 1, CPU: 3000, Memory: 100}, status: messenger.CallDone},
		"fits one after another":        {team: "x", step: registrar.Step{Count: 9, CPU: 3000}, status: messenger.CallDone},
		"gang that fits":                {team: "x", step: registrar.Step{Count: 3, CPU: 1000, Gang: true}, status: messenger.CallDone},
		"gang too large as a whole":     {team: "x", step: registrar.Step{Count: 4, CPU: 1000, Gang: true}, status: messenger.CallInvalid},
		"too many processors":           {team: "x", step: registrar.Step{Count: 1, CPU: 3001}, status: messenger.CallInvalid},
		"too many for best effort":      {team: "x", step: registrar.Step{Count: 1, CPU: 3001, BestEffort: true}, status: messenger.CallInvalid},
		"too much memory":               {team: "x", step: registrar.Step{Count: 1, Memory: 101}, status: messenger.CallInvalid},
		"a kind without a limit":        {team: "x", step: registrar.Step{Count: 1, GPU: 64}, status: messenger.CallDone},
		"another team":                  {team: "y", step: registrar.Step{Count: 1, CPU: 64_000}, status: messenger.CallDone},
		"a team that is not configured": {team: "z", step: registrar.Step{Count: 1, CPU: 64_000}, status: messenger.CallUnauthorized},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newSimCluster(t, 1, map[string]int{"a": 1}, faults{})
			w.setTeams(registrar.Team{Name: "x", Limit: registrar.Resources{CPU: 3000, Memory: 100}}, registrar.Team{Name: "y"})
			j := registrar.Job{ID: "j", Team: tt.team, Steps: []registrar.Step{{Count: 1, CPU: 1}, tt.step}}
			status := messenger.CallStatus(0)
			w.call(jobCall(messenger.SubmitJob, "a", j), func(a messenger.JobAnswer) { status = a.Status })
			w.RunFor(100 * time.Millisecond)
			must.EqOp(t, tt.status, status)
		})
	}
}

// TestTeamReports checks that the log says which limit holds back which job, and at most once a second for each team.
func TestTeamReports(t *testing.T) {
	w := newSimCluster(t, 1, map[string]int{"a": 4}, faults{})
	w.setTeams(registrar.Team{Name: "x", Weight: 1, Limit: registrar.Resources{CPU: 2000}})
	w.RunFor(3 * time.Second)
	w.submit("a", registrar.Job{ID: "j", Team: "x", Steps: []registrar.Step{{Count: 90, CPU: 1000, Estimate: time.Second}}})
	w.RunFor(100 * time.Millisecond)
	state, lines := w.state, 0
	var measured []messenger.Measurement
	for n := range 30 {
		var out []messenger.Message
		state, out = state.Step(w.Now().Add(time.Duration(n)*100*time.Millisecond), messenger.Tick{})
		for _, m := range out {
			d, isDecision := m.Body.(messenger.Decision)
			if isDecision && d.Event == "startsHeld" {
				must.EqOp(t, "j", d.Job)
				lines++
			}
			measurement, ok := m.Body.(messenger.Measurement)
			if ok {
				measured = append(measured, measurement)
			}
		}
	}
	must.Between(t, 2, lines, 3)
	must.True(t, slices.Contains(measured, messenger.Measurement{Name: "teamCpuUsed", Team: "x", Value: 2000}))
	must.True(t, slices.Contains(measured, messenger.Measurement{Name: "teamStartsHeld", Team: "x", Value: 88}))
}

// TestLongRunningWithinLimit guards against a long-running task that waits for ever because the short tasks of its team,
// each smaller than it, take every part of the limit that becomes free. Room that another long-running task of the team
// uses does not become free: the short tasks must not be held back for it.
func TestLongRunningWithinLimit(t *testing.T) {
	tests := map[string]struct {
		cpus   []int // of the long-running tasks
		begins int   // number of them that start
	}{
		"larger than the short tasks":          {cpus: []int{3000}, begins: 1},
		"no room beside the first":             {cpus: []int{3000, 2000}, begins: 1},
		"both fit, and the team's short tasks": {cpus: []int{2000, 1500}, begins: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newSimCluster(t, 1, map[string]int{"a": 9}, faults{})
			w.setTeams(registrar.Team{Name: "x", Weight: 1, Limit: registrar.Resources{CPU: 4500}})
			w.RunFor(3 * time.Second)
			short := registrar.Step{Count: 1, CPU: 1000, Memory: 100, Estimate: 900 * time.Millisecond}
			w.Every(100*time.Millisecond, func() { // 9 cores for 4.5
				w.jobs++
				w.submit("a", registrar.Job{ID: fmt.Sprint("short", w.jobs), Team: "x", Steps: []registrar.Step{short}})
			})
			w.RunFor(4 * time.Second)
			for i, cpu := range tt.cpus {
				w.submit("a", registrar.Job{ID: fmt.Sprint("long", i), Team: "x", Steps: []registrar.Step{{Count: 1, CPU: cpu, Memory: 100, LongRunning: true}}})
				w.RunFor(3 * time.Second)
			}
			begun := 0
			for i := range tt.cpus {
				j, _ := w.committed.Job(fmt.Sprint("long", i))
				if j.Begun {
					begun++
				}
			}
			must.EqOp(t, tt.begins, begun)
			before := w.outcomes["done"]
			w.RunFor(5 * time.Second)
			must.Greater(t, before, w.outcomes["done"], must.Sprint("short tasks go on"))
		})
	}
}

// TestRepeatAfterLoweredLimit guards against a repeated submission that is refused although the first one is about to be
// accepted: the limit was lowered between the two.
func TestRepeatAfterLoweredLimit(t *testing.T) {
	w := newSimCluster(t, 1, map[string]int{"a": 1}, faults{})
	w.setTeams(registrar.Team{Name: "x", Weight: 1, Limit: registrar.Resources{CPU: 8000}})
	w.RunFor(3 * time.Second)
	call := jobCall(messenger.SubmitJob, "a", registrar.Job{ID: "j", Team: "x", Steps: []registrar.Step{{Count: 1, CPU: 4000, Estimate: time.Second}}})
	var statuses []messenger.CallStatus
	submit := func() { w.call(call, func(a messenger.JobAnswer) { statuses = append(statuses, a.Status) }) }
	submit()
	w.setTeams(registrar.Team{Name: "x", Weight: 1, Limit: registrar.Resources{CPU: 3000}})
	submit()
	w.RunFor(3 * time.Second)
	must.Eq(t, []messenger.CallStatus{messenger.CallDone, messenger.CallDone}, statuses)
	must.EqOp(t, 0, w.committed.ActiveJobs())
}
