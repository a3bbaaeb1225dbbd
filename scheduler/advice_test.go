package scheduler

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// fakeAdvisor lets only some workers run a step, and takes questions in turn.
type fakeAdvisor struct {
	decide, each, valid time.Duration
	share               float64 // of the workers that may run a step
	freeAt              time.Time
	questions, rejected int
}

func (a *fakeAdvisor) lets(step registrar.TaskName, worker string) bool {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, step.Job, step.K, step.Step, worker)
	return float64(h.Sum32()%1000) < 1000*a.share
}

// ticket ends at a time that it names.
func (a *fakeAdvisor) ticket(step registrar.TaskName, worker string, until time.Time) string {
	step.Index = 0
	return fmt.Sprintf("%v %s %d", step, worker, until.UnixNano())
}

func (w *world) isPermitted(x *fakeWorker, o messenger.Order) bool {
	at := strings.LastIndexByte(o.Permit, ' ')
	if at < 0 {
		return false
	}
	nanos, err := strconv.ParseInt(o.Permit[at+1:], 10, 64)
	until := time.Unix(0, nanos)
	return err == nil && w.Now().Before(until) && o.Permit == w.advisor.ticket(o.Task, x.ID, until)
}

// advise answers questions one after the other.
func (w *world) advise(a messenger.Advise) {
	took := w.advisor.decide + time.Duration(len(a.Workers))*w.advisor.each
	if w.advisor.freeAt.Before(w.Now()) {
		w.advisor.freeAt = w.Now()
	}
	w.advisor.freeAt = w.advisor.freeAt.Add(took)
	w.advisor.questions++
	reply := messenger.Advice{Advise: a, OK: true, Valid: w.advisor.valid}
	until := w.advisor.freeAt.Add(w.advisor.valid)
	step := registrar.TaskName{Job: a.Job, K: a.K, Step: a.Step}
	for _, id := range a.Workers {
		if w.advisor.lets(step, id) {
			reply.Good = append(reply.Good, messenger.Permit{Worker: id, Ticket: w.advisor.ticket(step, id, until)})
		}
	}
	w.After(w.advisor.freeAt.Sub(w.Now()), func() { w.step(reply) })
}

// withAdvisor lets a queue's jobs start only with the advisor's ticket.
func (w *world) withAdvisor(queue string, a *fakeAdvisor) {
	c := w.register.Config()
	c.Version++
	for i, q := range c.Queues {
		if q.Name == queue {
			c.Queues[i].Advice, c.Queues[i].AdviceBase, c.Queues[i].AdviceEach, c.Queues[i].AdviceLife = true, a.decide, a.each, a.valid
		}
	}
	w.advisor = a
	w.register, _ = w.register.Apply(w.Now(), registrar.Command{Config: &c})
	w.view()
}

// TestAdvice checks that jobs whose queue's workers an advisor chooses are done,
// with few tickets that are no longer valid when they arrive.
func TestAdvice(t *testing.T) {
	tests := map[string]struct {
		advisor  fakeAdvisor
		faults   faults
		inTimeTo float64
	}{
		"half of the workers":          {advisor: fakeAdvisor{decide: 10 * time.Millisecond, each: time.Millisecond, valid: 3 * time.Second, share: 0.5}, inTimeTo: 0.9},
		"few workers":                  {advisor: fakeAdvisor{decide: 10 * time.Millisecond, each: time.Millisecond, valid: 3 * time.Second, share: 0.2}, inTimeTo: 0.5},
		"short tickets":                {advisor: fakeAdvisor{decide: 10 * time.Millisecond, each: time.Millisecond, valid: 400 * time.Millisecond, share: 0.5}, inTimeTo: 0.8},
		"the lead changes":             {advisor: fakeAdvisor{decide: 10 * time.Millisecond, each: time.Millisecond, valid: 3 * time.Second, share: 0.5}, faults: faults{newLeader: 3 * time.Second}},
		"late orders and lost answers": {advisor: fakeAdvisor{decide: 10 * time.Millisecond, each: time.Millisecond, valid: 3 * time.Second, share: 0.5}, faults: faults{late: 0.05, lost: 0.05}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range *seeds {
				w := newWorld(t, uint64(seed), map[string]int{"a": 9, "standby": 6}, tt.faults)
				a := tt.advisor
				w.withAdvisor("a", &a)
				w.After(3*time.Second, func() { w.load([]string{"a"}, 5, 4*time.Second, 15*time.Second) })
				w.RunFor(40 * time.Second)
				share, complete := w.inTime()
				must.EqOp(t, w.accepted, complete, must.Sprintf("seed %d: %d questions, %v", seed, a.questions, w.outcomes))
				must.GreaterEq(t, tt.inTimeTo, share, must.Sprintf("seed %d: in time %.2f", seed, share))
				must.LessEq(t, a.questions/10, a.rejected, must.Sprintf("seed %d: of %d questions", seed, a.questions))
			}
		})
	}
}

// TestAdviceOfLasting checks that a task that lasts gets a new ticket when its worker is gone.
func TestAdviceOfLasting(t *testing.T) {
	w := newWorld(t, 1, map[string]int{"a": 8, "standby": 4}, faults{darkRack: 5 * time.Second})
	a := &fakeAdvisor{decide: 20 * time.Millisecond, each: time.Millisecond, valid: 2 * time.Second, share: 0.6}
	w.withAdvisor("a", a)
	w.After(3*time.Second, func() {
		w.submit("a", registrar.Job{ID: fmt.Sprintf("%016x", 1), Steps: []registrar.Step{{Count: 6, CPU: 1300, Memory: 3000, Lasting: true}}})
	})
	w.RunFor(20 * time.Second)
	j, ok := w.register.Job(fmt.Sprintf("%016x", 1))
	must.True(t, ok)
	eachTask(j, func(name registrar.TaskName, task registrar.Task) {
		must.EqOp(t, registrar.Running, task.Phase, must.Sprintf("%v", name))
		must.False(t, w.workers[task.Worker].dark)
	})
}

// TestAdvisorRefuses checks that a refused question is asked again after a pause, not at once.
func TestAdvisorRefuses(t *testing.T) {
	w := newWorld(t, 1, map[string]int{"a": 4}, faults{})
	a := &fakeAdvisor{decide: time.Millisecond, valid: time.Second, share: 1}
	w.withAdvisor("a", a)
	w.RunFor(3 * time.Second)
	w.submit("a", registrar.Job{ID: fmt.Sprintf("%016x", 1), Steps: []registrar.Step{{Count: 1, CPU: 100, Estimate: time.Second}}})
	name := registrar.TaskName{Job: fmt.Sprintf("%016x", 1)}
	for range 1000 {
		if !w.state.consents.steps[name].askedAt.IsZero() {
			break
		}
		w.RunFor(time.Millisecond)
	}
	w.step(messenger.Advice{Advise: messenger.Advise{Job: name.Job}})
	must.True(t, w.state.consents.steps[name].retryAt.After(w.Now()))
	w.RunFor(2 * time.Second)
	j, _ := w.register.Job(name.Job)
	must.EqOp(t, registrar.Complete, j.Outcome)
}
