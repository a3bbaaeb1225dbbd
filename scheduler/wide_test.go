package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/registrar"
)

// wideLoad is a load of jobs with many tasks, on a pool of six machines in two racks, of which a job keeps one busy.
type wideLoad struct {
	jobs     int
	step     registrar.Step
	team     registrar.Team
	advice   bool
	factor   float64       // by which tasks take longer far from their data; zero: 3
	changeAt time.Duration // when the leader changes; zero: never
}

// wideLoads returns loads with n tasks each.
func wideLoads(n int) map[string]wideLoad {
	small := registrar.Step{Count: n, CPU: 20, Memory: 1, Estimate: 900 * time.Millisecond}
	with := func(change func(*registrar.Step)) registrar.Step {
		s := small
		change(&s)
		return s
	}
	return map[string]wideLoad{
		"plain":                 {jobs: 1, step: small},
		"data on a busy rack":   {jobs: 1, step: with(func(s *registrar.Step) { s.DataRack = "r-a-0" })},
		"far from its data":     {jobs: 1, step: with(func(s *registrar.Step) { s.DataRack, s.Estimate = "r-a-0", time.Minute })},
		"some wait for a rack":  {jobs: 1, step: with(func(s *registrar.Step) { s.CPU, s.DataRack, s.Estimate = 80_000/n, "r-a-0", time.Minute }), factor: 1.5},
		"many wait for a rack":  {jobs: n / 500, step: with(func(s *registrar.Step) { s.Count, s.CPU, s.DataRack, s.Estimate = 500, 80_000/n, "r-a-0", time.Minute }), factor: 1.5},
		"team waits for a rack": {jobs: 1, step: with(func(s *registrar.Step) { s.CPU, s.DataRack, s.Estimate = 80_000/n, "r-a-0", time.Minute }), factor: 1.5, team: registrar.Team{Name: "x", Weight: 1}},
		"many wide jobs wait":   {jobs: 40, step: with(func(s *registrar.Step) { s.CPU, s.DataRack, s.Estimate = 80_000/n, "r-a-0", time.Minute }), factor: 1.5},
		"many teams' jobs wait": {jobs: 40, step: with(func(s *registrar.Step) { s.CPU, s.DataRack, s.Estimate = 80_000/n, "r-a-0", time.Minute }), factor: 1.5, team: registrar.Team{Name: "x", Weight: 1}},
		"data on no rack":       {jobs: 1, step: with(func(s *registrar.Step) { s.DataRack = "r-none" })},
		"same rack":             {jobs: 1, step: with(func(s *registrar.Step) { s.SameRack = true })},
		"same rack, with data":  {jobs: 1, step: with(func(s *registrar.Step) { s.SameRack, s.DataRack = true, "r-a-0" })},
		"gang":                  {jobs: 1, step: with(func(s *registrar.Step) { s.Gang = true })},
		"gang on a rack":        {jobs: 1, step: with(func(s *registrar.Step) { s.Gang, s.SameRack = true, true })},
		"two for each worker":   {jobs: 1, step: with(func(s *registrar.Step) { s.MaxPerWorker, s.DataRack = 2, "r-a-0" })},
		"long-running":          {jobs: 1, step: with(func(s *registrar.Step) { s.LongRunning, s.MaxUnavailable, s.HasMaxUnavailable = true, 1, true })},
		"best effort":           {jobs: 1, step: with(func(s *registrar.Step) { s.BestEffort = true })},
		"checkpoints":           {jobs: 1, step: with(func(s *registrar.Step) { s.Checkpointable = true })},
		"many jobs":             {jobs: n / 500, step: with(func(s *registrar.Step) { s.Count, s.DataRack = 500, "r-a-0" })},
		"many small jobs":       {jobs: n / 20, step: with(func(s *registrar.Step) { s.Count, s.DataRack = 20, "r-a-0" })},
		"same rack, many jobs":  {jobs: n / 500, step: with(func(s *registrar.Step) { s.Count, s.SameRack = 500, true })},
		"of a team":             {jobs: 1, step: with(func(s *registrar.Step) { s.DataRack = "r-a-0" }), team: registrar.Team{Name: "x", Weight: 1}},
		"of a limited team":     {jobs: 1, step: with(func(s *registrar.Step) { s.DataRack = "r-a-0" }), team: registrar.Team{Name: "x", Weight: 1, Limit: registrar.Resources{CPU: 16_000}}},
		"large, of a team":      {jobs: 1, step: with(func(s *registrar.Step) { s.CPU, s.DataRack = 2000, "r-a-0" }), team: registrar.Team{Name: "x", Weight: 1}},
		"with advice":           {jobs: 1, step: small, advice: true},
		"the leader changes":    {jobs: 1, step: with(func(s *registrar.Step) { s.Estimate = 5 * time.Second }), changeAt: time.Second},
	}
}

// maxStepTime bounds the time for one message, in which the scheduler renews no lease and answers no call. Urgent work must
// start within 1.6 s, and a controller has about half a core.
const maxStepTime = 800 * time.Millisecond

// run simulates the load for four seconds, or until a message has taken longer than maxStepTime, and returns the longest
// time that the scheduler took for one message.
func (l wideLoad) run(t testing.TB) time.Duration {
	w := newSimCluster(t, 1, map[string]int{"a": 6}, faults{})
	w.remoteFactor = 3
	if l.factor > 0 {
		w.remoteFactor = l.factor
	}
	w.policy = func(c *Config) { c.RemoteRunTimeFactor = w.remoteFactor }
	w.changeLeader()
	busy := registrar.Job{ID: "busy", Steps: []registrar.Step{{Count: 63, CPU: 1000, Memory: 10, DataRack: "r-a-0", Estimate: 3 * time.Second}}}
	if l.team.Name != "" {
		busy.Team = "busy"
		w.setTeams(l.team, registrar.Team{Name: busy.Team, Weight: 1})
	}
	if l.advice {
		w.useAdvisor("a", &fakeAdvisor{baseTime: 5 * time.Millisecond, timePerWorker: time.Millisecond, validity: 30 * time.Second, approvalRate: 1})
	}
	w.RunFor(3 * time.Second)
	w.submit("a", busy)
	w.RunFor(time.Second)
	if l.changeAt > 0 {
		w.After(l.changeAt, w.changeLeader)
	}
	for i := range l.jobs {
		w.submit("a", registrar.Job{ID: fmt.Sprintf("wide%d", i), Team: l.team.Name, Steps: []registrar.Step{l.step}})
	}
	for range 40 {
		w.RunFor(100 * time.Millisecond)
		if w.longestStep > maxStepTime {
			break
		}
	}
	must.Positive(t, w.committed.ActiveJobs()+w.accepted)
	return w.longestStep
}

// TestWideSteps guards against a decision whose cost grows faster than the number of tasks: a step of 4,000 tasks whose data
// is on a busy rack held up all orders and answers of the leader for a minute (review/13).
func TestWideSteps(t *testing.T) {
	for name, load := range wideLoads(4000) {
		t.Run(name, func(t *testing.T) {
			must.LessEq(t, maxStepTime, load.run(t))
		})
	}
}

// BenchmarkWideSteps measures the longest time for one message against the number of tasks.
func BenchmarkWideSteps(b *testing.B) {
	for name := range wideLoads(1000) {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				for _, n := range []int{500, 1000, 2000, 4000} {
					start := time.Now()
					longest := wideLoads(n)[name].run(b)
					b.ReportMetric(longest.Seconds()*1e3, fmt.Sprintf("ms/message-of-%d", n))
					b.ReportMetric(time.Since(start).Seconds(), fmt.Sprintf("s/run-of-%d", n))
				}
			}
		})
	}
}
