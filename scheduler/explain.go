package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"laburnumwind/authorizer"
	"laburnumwind/messenger"
	"laburnumwind/registrar"
	"laburnumwind/sharer"
)

const (
	maxExplainedSteps     = 4  // number of ready steps that an explanation describes
	maxExplainedObstacles = 40 // number of workers whose obstacle an explanation of a step names; all are counted
)

// explainCall returns a call for an explanation and its ID, or false for any other message.
func explainCall(body any) (messenger.JobCall, uint64, bool) {
	c, _ := body.(messenger.Call)
	call, ok := c.Body.(messenger.JobCall)
	return call, c.ID, ok && call.Verb == messenger.ExplainJob
}

// explain returns the answer to a call for an explanation. It submits and places the job on a copy of the state with the
// functions that decide, and drops the copy and its messages, so that nothing changes and nothing is sent but the answer.
func (s State) explain(now time.Time, callID uint64, call messenger.JobCall) []messenger.Message {
	t := s.begin(now)
	a := messenger.JobAnswer{Status: messenger.CallNotReady, RetryAfter: retryAfter}
	if t.holdsLeaderLease(now) && t.committed.Config().Version > 0 && !t.isWithheld() {
		e := t.explainJob(callID, call)
		a = messenger.JobAnswer{Status: messenger.CallDone, Explanation: &e}
	}
	var out messenger.Outbox
	out.Send(messenger.Responder, messenger.CallAnswer{CallID: callID, Answer: a})
	return out.Messages
}

// explainJob submits the job of a call, places it if it is accepted, and describes the result.
func (t *transition) explainJob(callID uint64, call messenger.JobCall) messenger.Explanation {
	e := messenger.Explanation{Term: t.term, Config: t.committed.Config().Version}
	d := t.currentAccess().Decide(call)
	if d.Verdict != authorizer.Admitted {
		e.Verdict, e.Reason = messenger.VerdictNotAdmitted, d.Verdict.String()
		return e
	}
	j := call.Job
	j.Team, j.Queue, j.Pool = d.Team, d.Queue.Name, d.Queue.Pool
	e.Queue, e.Pool, e.Priority, e.Team = d.Queue.Name, d.Queue.Pool, d.Queue.Priority, t.teamStanding(d.Team)
	if j.Validate() == nil {
		e.Load = t.loadEstimate(d.Queue, j)
	}
	e.Verdict, e.Reason = t.submissionVerdict(callID, call, j)
	if e.Verdict != messenger.VerdictAccepted {
		return e
	}
	submit := t.batch.At(t.batch.Len() - 1).command
	t.committed, _ = t.committed.Apply(t.now, submit)
	p := t.place()
	if e.Team != nil && p.teams != nil {
		weights := p.teams.competing(p.candidates)
		name := p.teams.shareTeam(d.Team)
		weights[name] = p.teams.weights[name]
		e.Team.Ratio, e.Team.HasRatio = sharer.NewShares(t.shares.record, weights).Ratio(name, 0), true
	}
	e.Steps = t.explainSteps(p, submit.Submit.ID)
	if len(e.Steps) == 0 {
		e.Reason = "no step is due yet"
	}
	return e
}

// submissionVerdict submits the job of a call and returns the verdict, and the reason for a refusal.
func (t *transition) submissionVerdict(callID uint64, call messenger.JobCall, j registrar.Job) (string, string) {
	call.Verb = messenger.SubmitJob
	t.handleJobCall(callID, call)
	status, decision := messenger.CallStatus(0), messenger.Decision{}
	for _, m := range t.Messages {
		switch body := m.Body.(type) {
		case messenger.CallAnswer:
			status = body.Answer.Status
		case messenger.Decision:
			decision = body
		}
	}
	switch {
	case status == 0: // it is proposed
		return messenger.VerdictAccepted, ""
	case status == messenger.CallDone:
		return messenger.VerdictKnown, "a job with this ID is accepted already"
	case decision.Event == "refusedForLoad":
		return messenger.VerdictRefusedForLoad, decision.Reason
	case decision.Event == "refusedCannotRun":
		return messenger.VerdictCannotRun, decision.Reason
	case j.Validate() == nil && t.exceedsLimit(j) != nil:
		return messenger.VerdictOverLimit, decision.Reason
	}
	return messenger.VerdictInvalid, decision.Reason
}

// teamStanding returns the use and the limit of a team, or nil without one.
func (t *transition) teamStanding(name string) *messenger.TeamStanding {
	team, ok := t.committed.Config().Team(name)
	if !ok {
		return nil
	}
	return &messenger.TeamStanding{Name: name, Weight: team.Weight, Used: t.usedByTeam()[name], Limit: team.Limit}
}

// loadEstimate returns the expected wait of a job, or nil if it is not judged by load.
func (t *transition) loadEstimate(q registrar.Queue, j registrar.Job) *messenger.LoadEstimate {
	v, allowed, judged := t.judgeLoad(q, j)
	if !judged {
		return nil
	}
	return &messenger.LoadEstimate{Wait: v.Wait, Limit: v.Limit, Allowed: allowed, RetryAfter: v.RetryAfter}
}

// explainSteps describes what a placement pass did with the first ready steps of a job that had no runs before.
func (t *transition) explainSteps(p *placement, id string) []messenger.StepExplanation {
	parts := make(map[int][]*candidate) // a step may be placed in several parts: see splitLarge
	var steps []int
	for _, c := range p.candidates {
		if c.job.ID != id || c.occurrence.Number > 0 {
			continue
		}
		if len(parts[c.step]) == 0 {
			steps = append(steps, c.step)
		}
		parts[c.step] = append(parts[c.step], c)
	}
	slices.Sort(steps)
	var out []messenger.StepExplanation
	for _, i := range steps[:min(len(steps), maxExplainedSteps)] {
		out = append(out, t.explainStep(p, parts[i]))
	}
	return out
}

// explainStep describes what a placement pass did with the parts of a step.
func (t *transition) explainStep(p *placement, parts []*candidate) messenger.StepExplanation {
	c := parts[0]
	step := c.job.Steps[c.step]
	e := messenger.StepExplanation{Step: c.step, Tasks: step.Count, Held: step.Count}
	for _, part := range parts {
		e.Held -= len(part.waiting)
	}
	runs := make(map[string]int)
	for _, s := range p.starts {
		s.Task.Index = 0
		if s.Task == c.stepID() {
			e.Starting++
			runs[s.Worker]++
		}
	}
	for id, n := range runs {
		e.Starts = append(e.Starts, messenger.WorkerStarts{Worker: id, Rack: t.rackOf(id), Tasks: n})
	}
	slices.SortFunc(e.Starts, func(a, b messenger.WorkerStarts) int { return cmp.Compare(a.Worker, b.Worker) })
	if e.Starting == step.Count {
		return e
	}
	if w, ok := p.locality.waits[c.stepID()]; ok {
		e.RackWait = &messenger.RackWait{Rack: w.rack, Tasks: w.tasks, Wait: w.wait, Cost: w.cost}
	}
	t.explainObstacles(p, c, runs, &e)
	switch {
	case e.Held > 0 && e.Starting+e.Held == step.Count:
		e.Reason = fmt.Sprintf("the limit of team %.40q holds tasks back%s", c.job.Team, p.oversizeNote(c))
	case len(e.Counts) == 0:
		e.Reason = "the pool has no worker"
	case step.Gang && e.RackWait == nil:
		e.Reason = "the gang starts as a whole or not at all"
	}
	return e
}

// explainObstacles describes why the workers of the pool take no further task of a step.
func (t *transition) explainObstacles(p *placement, c *candidate, runs map[string]int, e *messenger.StepExplanation) {
	available := make(map[string]*availableWorker)
	for _, w := range p.workersByPool[c.pool] {
		available[w.ID] = w
	}
	counts := make(map[string]int)
	for _, w := range t.workers.Pointers() {
		if w.Pool != c.pool {
			continue
		}
		o := t.workerObstacle(p, c, *w, available[w.ID], runs[w.ID])
		counts[o.Reason]++
		if len(e.Obstacles) < maxExplainedObstacles {
			e.Obstacles = append(e.Obstacles, o)
		}
	}
	for reason, n := range counts {
		e.Counts = append(e.Counts, messenger.ObstacleCount{Reason: reason, Workers: n})
	}
	slices.SortFunc(e.Counts, func(a, b messenger.ObstacleCount) int {
		return cmp.Or(cmp.Compare(b.Workers, a.Workers), cmp.Compare(a.Reason, b.Reason))
	})
}

// workerObstacle describes why a worker takes no further task of a step. a is nil if the worker accepts no starts.
func (t *transition) workerObstacle(p *placement, c *candidate, w worker, a *availableWorker, runs int) messenger.WorkerObstacle {
	o := messenger.WorkerObstacle{Worker: w.ID, Reason: w.pauseReason(t.now)}
	if o.Reason == "" && t.fleet.isCordoned(w.ID) {
		o.Reason = "cordoned for a move of its machine"
		if t.fleet.maintenanceDue[w.ID] {
			o.Reason = "cordoned for maintenance"
		}
	}
	if o.Reason != "" || a == nil {
		return o
	}
	step := c.job.Steps[c.step]
	o.Free = a.free
	o.Reason = p.obstacle(c, step, a, runs, p.advice.steps[c.stepID()])
	switch {
	case !w.Capacity.Fits(step.Request()):
		o.Reason = "too small"
	case o.Reason == "" && !a.free.Fits(step.Request()):
		o.Reason = "no room"
	case o.Reason == "":
		o.Reason = "has room"
	}
	return o
}
