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
	stopTime        = 400 * time.Millisecond
	gangTime        = 3 * time.Second
	checkpointTime  = time.Second
	advanceInterval = 5 * time.Millisecond
)

// step is what a step of a job asks for, and how long its tasks take in fact.
type step struct {
	count, cpu int
	gang       bool
	saves      bool // the tasks are checkpointable
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
	gangOf      map[string]string        // the job, occurrence and step of each checkpoint
	starts      []startSeen
}

// startSeen is a start order that a worker has carried out.
type startSeen struct {
	at                       time.Time
	worker, task, checkpoint string
	run                      int
}

func newFleet(rec *record) *fleet {
	f := &fleet{rec: rec, jobs: make(map[string][]step), checkpoints: make(map[string]time.Duration), gangOf: make(map[string]string)}
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
	case r.progress(now) >= r.step.work:
		return "done"
	}
	if r.progress(now)-r.savedWork >= checkpointTime {
		f.save(r, now)
	}
	return ""
}

// save writes a checkpoint of a run.
func (f *fleet) save(r *run, now time.Time) {
	if !r.step.saves || r.workingSince.IsZero() {
		return
	}
	r.saved, r.savedWork = fmt.Sprintf("%016x", rand.Uint64()), r.progress(now)
	f.checkpoints[r.saved], f.gangOf[r.saved] = r.savedWork, stepName(r.task)
}

// end ends a run and, if it is a member of a gang, the other members.
func (f *fleet) end(w *worker, r *run, reason string) {
	if w.runs[r.task] != r {
		return // it has ended with another member
	}
	delete(w.runs, r.task)
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
