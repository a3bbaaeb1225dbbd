//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the platform, as in the settings of the processes.
const (
	holdMax         = 6 * time.Second
	stopTime        = 900 * time.Millisecond
	gangTime        = 3 * time.Second
	checkpointTime  = 2 * time.Second
	advanceInterval = 5 * time.Millisecond
)

// step is what a step of a job asks for, and how long its tasks take in fact.
type step struct {
	count, cpu int
	gang       bool
	saves      bool // the tasks are checkpointable
	lasts      bool // the tasks run until their job is cancelled
	mayMiss    int  // how many tasks of a step that lasts may be away; zero: not limited
	work       time.Duration
}

// run is a run of a task on a worker.
type run struct {
	task, gangKey string
	number        int
	step          step
	startedAt     time.Time
	workingSince  time.Time // zero: it waits for the other members of its gang
	before        time.Duration
	saved         string
	savedWork     time.Duration
	stopAt        time.Time // zero: it is not being stopped
}

// progress returns the work of the task that is done, that of earlier runs included.
func (r *run) progress(now time.Time) time.Duration {
	if r.workingSince.IsZero() {
		return r.before
	}
	return r.before + now.Sub(r.workingSince)
}

// fleet is all workers with their runs. One mutex guards everything in it and in its workers.
type fleet struct {
	rec  *record
	mu   sync.Mutex
	jobs map[string][]step // the steps of the jobs that were sent
	all  []*worker

	checkpoints map[string]time.Duration // the work that each checkpoint holds
	away        map[string]time.Time     // when an order ended a task that lasts, until it is at work again; by task
	overBudget  string                   // the first end by an order that was one too many
	stops       int                      // orders to stop a run
	starts      []startSeen
}

// startSeen is a start order that a worker has carried out.
type startSeen struct {
	at                       time.Time
	worker, task, checkpoint string
	run                      int
}

func newFleet(rec *record) *fleet {
	f := &fleet{rec: rec, jobs: make(map[string][]step), checkpoints: make(map[string]time.Duration), away: make(map[string]time.Time)}
	go func() {
		for range time.Tick(advanceInterval) {
			f.mu.Lock()
			f.advance(time.Now())
			f.mu.Unlock()
		}
	}()
	return f
}

// stepOf returns the step of a task with a name of the form ID.K.STEP.INDEX.
func (f *fleet) stepOf(task string) (step, error) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return step{}, fmt.Errorf("task %q", task)
	}
	n, err := strconv.Atoi(parts[2])
	steps, ok := f.jobs[parts[0]]
	if err != nil || !ok || n < 0 || n >= len(steps) {
		return step{}, fmt.Errorf("task %q was not sent by a client", task)
	}
	return steps[n], nil
}

// stepName returns the name of the step that a task belongs to.
func stepName(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// advance ends the runs that are due, starts complete gangs and writes checkpoints. The caller holds f.mu, as for all
// methods below.
func (f *fleet) advance(now time.Time) {
	present := make(map[string][]*run)
	for _, w := range f.all {
		for _, r := range w.runs {
			if r.gangKey != "" {
				present[r.gangKey] = append(present[r.gangKey], r)
			}
		}
	}
	for _, members := range present {
		if len(members) < members[0].step.count || !members[0].workingSince.IsZero() {
			continue
		}
		for _, r := range members {
			r.workingSince = now
		}
	}
	for _, w := range f.all {
		for _, r := range w.runs {
			reason := f.advanceRun(now, w, r)
			if reason != "" {
				f.end(w, r, reason)
			}
		}
	}
}

// advanceRun writes the checkpoint of a run if it is due, and returns why the run ends, or an empty string.
func (f *fleet) advanceRun(now time.Time, w *worker, r *run) string {
	if r.isAtWork(now) {
		delete(f.away, r.task)
	}
	switch {
	case now.After(w.leaseEnd):
		return "lapsed"
	case !r.stopAt.IsZero() && now.After(r.stopAt):
		f.save(r, now)
		return "stopped"
	case r.workingSince.IsZero() && now.Sub(r.startedAt) > gangTime:
		return "alone"
	case r.workingSince.IsZero():
		return ""
	case !r.step.lasts && r.progress(now) >= r.step.work:
		return "done"
	}
	if r.progress(now)-r.savedWork >= checkpointTime {
		f.save(r, now)
	}
	return ""
}

// startup is the time until a task that lasts is at work.
const startup = 300 * time.Millisecond

// isAtWork reports whether a task that lasts is at work.
func (r *run) isAtWork(now time.Time) bool {
	return r.step.lasts && !r.workingSince.IsZero() && now.Sub(r.workingSince) > startup
}

// countAway records that an order ended a run of a task that lasts, and whether too many others of its step were away.
func (f *fleet) countAway(r *run) {
	if !r.step.lasts || !r.isAtWork(time.Now()) {
		return
	}
	others := 0
	for task := range f.away {
		if task != r.task && stepName(task) == stepName(r.task) {
			others++
		}
	}
	f.away[r.task] = time.Now()
	if r.step.mayMiss > 0 && others >= r.step.mayMiss {
		f.rec.line("%s is ended by an order while %d others of its step are away, and %d may be", r.task, others, r.step.mayMiss)
		if f.overBudget == "" {
			f.overBudget = fmt.Sprintf("%s was ended by an order while %d others of its step were away, and %d may be", r.task, others, r.step.mayMiss)
		}
	}
}

// save writes a checkpoint of a run.
func (f *fleet) save(r *run, now time.Time) {
	if !r.step.saves || r.workingSince.IsZero() {
		return
	}
	r.saved, r.savedWork = fmt.Sprintf("%016x", rand.Uint64()), r.progress(now)
	f.checkpoints[r.saved] = r.savedWork
}

// end ends a run and, if it is a member of a gang, the other members.
func (f *fleet) end(w *worker, r *run, reason string) {
	if w.runs[r.task] != r {
		return // it has ended with another member
	}
	delete(w.runs, r.task)
	if reason == "stopped" {
		f.countAway(r)
	}
	w.endCount++
	w.ended = append(w.ended, endedRun{w.endCount, r.task, r.number, reason, r.saved})
	f.rec.line("%s: %s run %d ends %s, saved %q", w.id, r.task, r.number, reason, r.saved)
	f.endGang(r, reason)
}

// endGang ends the other members of the gang of a run that has ended.
func (f *fleet) endGang(ended *run, reason string) {
	if ended.gangKey == "" {
		return
	}
	if reason != "done" {
		reason = "broken"
	}
	for _, w := range f.all {
		for _, r := range w.runs {
			if r.gangKey == ended.gangKey {
				f.end(w, r, reason)
			}
		}
	}
}

// running returns the number of runs of a job, and of all jobs.
func (f *fleet) running(job string) (ofJob, ofAll int) {
	for _, w := range f.all {
		ofAll += len(w.runs)
		for task := range w.runs {
			if strings.HasPrefix(task, job+".") {
				ofJob++
			}
		}
	}
	return ofJob, ofAll
}
