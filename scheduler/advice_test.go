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

// fakeAdvisor approves some workers for each step, and handles queries one after another.
type fakeAdvisor struct {
	baseTime, timePerWorker, validity time.Duration
	approvalRate                      float64   // share of the workers that it approves
	freeAt                            time.Time // when it has handled all queries so far
	queries, rejected                 int       // number of queries, and of tickets that workers rejected
}

// approves reports whether a worker may run a step. It always gives the same answer for the same step and worker.
func (a *fakeAdvisor) approves(step registrar.TaskID, worker string) bool {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, step.Job, step.Occurrence, step.Step, worker)
	return float64(h.Sum32()%1000) < 1000*a.approvalRate
}

// ticket returns a ticket for a step on a worker. It contains the end of its validity.
func (a *fakeAdvisor) ticket(step registrar.TaskID, worker string, until time.Time) string {
	step.Index = 0
	return fmt.Sprintf("%v %s %d", step, worker, until.UnixNano())
}

// isPermitted reports whether a start order carries a valid ticket for its step on the worker.
func (w *simCluster) isPermitted(x *fakeWorker, order messenger.Order) bool {
	separator := strings.LastIndexByte(order.Ticket, ' ')
	if separator < 0 {
		return false
	}
	validUntilNanos, err := strconv.ParseInt(order.Ticket[separator+1:], 10, 64)
	validUntil := time.Unix(0, validUntilNanos)
	return err == nil && w.Now().Before(validUntil) && order.Ticket == w.advisor.ticket(order.Task, x.ID, validUntil)
}

// advise answers a query once the advisor has handled it and all earlier ones.
func (w *simCluster) advise(query messenger.AdviceRequest) {
	queryTime := w.advisor.baseTime + time.Duration(len(query.Workers))*w.advisor.timePerWorker
	if w.advisor.freeAt.Before(w.Now()) {
		w.advisor.freeAt = w.Now()
	}
	w.advisor.freeAt = w.advisor.freeAt.Add(queryTime)
	w.advisor.queries++
	reply := messenger.AdviceReply{Request: query, OK: true, Valid: w.advisor.validity}
	validUntil := w.advisor.freeAt.Add(w.advisor.validity)
	step := registrar.TaskID{Job: query.Job, Occurrence: query.Occurrence, Step: query.Step}
	for _, id := range query.Workers {
		if w.advisor.approves(step, id) {
			reply.Permits = append(reply.Permits, messenger.Permit{Worker: id, Ticket: w.advisor.ticket(step, id, validUntil)})
		}
	}
	w.After(w.advisor.freeAt.Sub(w.Now()), func() { w.deliver(reply) })
}

// useAdvisor configures a queue so that its jobs need a ticket from the advisor to start.
func (w *simCluster) useAdvisor(queue string, advisor *fakeAdvisor) {
	config := w.committed.Config()
	config.Version++
	for i, q := range config.Queues {
		if q.Name == queue {
			config.Queues[i].Advice, config.Queues[i].AdviceDecisionTime, config.Queues[i].AdviceTimePerWorker, config.Queues[i].TicketValidity = true, advisor.baseTime, advisor.timePerWorker, advisor.validity
		}
	}
	w.advisor = advisor
	w.committed, _ = w.committed.Apply(w.Now(), registrar.Command{Config: &config})
	w.sendView()
}

// TestAdvice checks that jobs of a queue with an advisor complete, and that workers reject at most
// one ticket for every ten queries. They reject a ticket that has expired on arrival, for example.
func TestAdvice(t *testing.T) {
	tests := map[string]struct {
		advisor        fakeAdvisor
		faults         faults
		minOnTimeShare float64
	}{
		"half of the workers approved":  {advisor: fakeAdvisor{baseTime: 10 * time.Millisecond, timePerWorker: time.Millisecond, validity: 3 * time.Second, approvalRate: 0.5}, minOnTimeShare: 0.9},
		"few workers approved":          {advisor: fakeAdvisor{baseTime: 10 * time.Millisecond, timePerWorker: time.Millisecond, validity: 3 * time.Second, approvalRate: 0.2}, minOnTimeShare: 0.5},
		"tickets with a short validity": {advisor: fakeAdvisor{baseTime: 10 * time.Millisecond, timePerWorker: time.Millisecond, validity: 400 * time.Millisecond, approvalRate: 0.5}, minOnTimeShare: 0.8},
		"leader changes":                {advisor: fakeAdvisor{baseTime: 10 * time.Millisecond, timePerWorker: time.Millisecond, validity: 3 * time.Second, approvalRate: 0.5}, faults: faults{leaderChangeEvery: 3 * time.Second}},
		"late orders and lost answers":  {advisor: fakeAdvisor{baseTime: 10 * time.Millisecond, timePerWorker: time.Millisecond, validity: 3 * time.Second, approvalRate: 0.5}, faults: faults{lateOrders: 0.05, lostAnswers: 0.05}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range *seeds {
				w := newSimCluster(t, uint64(seed), map[string]int{"a": 9, "standby": 6}, tt.faults)
				advisor := tt.advisor
				w.useAdvisor("a", &advisor)
				w.After(3*time.Second, func() { w.load([]string{"a"}, 5, 4*time.Second, 15*time.Second) })
				w.RunFor(40 * time.Second)
				share, complete := w.onTimeShare()
				must.EqOp(t, w.accepted, complete, must.Sprintf("seed %d: some accepted jobs are not complete after %d queries, ended runs: %v", seed, advisor.queries, w.outcomes))
				must.GreaterEq(t, tt.minOnTimeShare, share, must.Sprintf("seed %d: share of jobs on time: %.2f", seed, share))
				must.LessEq(t, advisor.queries/10, advisor.rejected, must.Sprintf("seed %d: too many rejected tickets for %d queries", seed, advisor.queries))
			}
		})
	}
}

// TestAdviceForLongRunningTask checks that a long-running task gets a new ticket and restarts on another
// worker when its worker becomes unreachable.
func TestAdviceForLongRunningTask(t *testing.T) {
	w := newSimCluster(t, 1, map[string]int{"a": 8, "standby": 4}, faults{rackSilentAt: 5 * time.Second})
	advisor := &fakeAdvisor{baseTime: 20 * time.Millisecond, timePerWorker: time.Millisecond, validity: 2 * time.Second, approvalRate: 0.6}
	w.useAdvisor("a", advisor)
	w.After(3*time.Second, func() {
		w.submit("a", registrar.Job{ID: fmt.Sprintf("%016x", 1), Steps: []registrar.Step{{Count: 6, CPU: 1300, Memory: 3000, LongRunning: true}}})
	})
	w.RunFor(20 * time.Second)
	j, ok := w.committed.Job(fmt.Sprintf("%016x", 1))
	must.True(t, ok)
	eachTask(j, func(id registrar.TaskID, task registrar.Task) {
		must.EqOp(t, registrar.Running, task.Phase, must.Sprintf("phase of %v", id))
		must.False(t, w.workers[task.Worker].unreachable)
	})
}

// TestRefusedAdviceIsRetried checks that a refused query is sent again after a pause, not at once.
func TestRefusedAdviceIsRetried(t *testing.T) {
	w := newSimCluster(t, 1, map[string]int{"a": 4}, faults{})
	advisor := &fakeAdvisor{baseTime: time.Millisecond, validity: time.Second, approvalRate: 1}
	w.useAdvisor("a", advisor)
	w.RunFor(3 * time.Second)
	w.submit("a", registrar.Job{ID: fmt.Sprintf("%016x", 1), Steps: []registrar.Step{{Count: 1, CPU: 100, Estimate: time.Second}}})
	id := registrar.TaskID{Job: fmt.Sprintf("%016x", 1)}
	for range 1000 {
		if !w.state.advice.steps[id].queriedAt.IsZero() {
			break
		}
		w.RunFor(time.Millisecond)
	}
	w.deliver(messenger.AdviceReply{Request: messenger.AdviceRequest{Job: id.Job}})
	must.True(t, w.state.advice.steps[id].retryAt.After(w.Now()))
	w.RunFor(2 * time.Second)
	j, _ := w.committed.Job(id.Job)
	must.EqOp(t, registrar.Complete, j.Outcome)
}
