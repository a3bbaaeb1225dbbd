// Package registrar is the replicated state machine of the jobs group. Its state holds the
// accepted jobs, the runs of their tasks with the assigned workers and results, the
// configuration, the workers and the maintenance waves. State.Apply is the only way to change
// the state and is deterministic, so that all replicas of the log agree.
package registrar

import (
	"slices"
	"time"
)

// Step is a part of a job that consists of identical tasks.
type Step struct {
	Count             int           `cbor:"1,keyasint,omitempty"`
	CPU               int           `cbor:"2,keyasint,omitempty"`  // thousandths of a core for each task
	Memory            int           `cbor:"3,keyasint,omitempty"`  // MiB for each task
	GPU               int           `cbor:"4,keyasint,omitempty"`  // accelerators for each task
	Estimate          time.Duration `cbor:"5,keyasint,omitempty"`  // the caller's estimate of a task's run time
	After             []int         `cbor:"6,keyasint,omitempty"`  // indexes of the steps that must be done first
	Checkpointable    bool          `cbor:"7,keyasint,omitempty"`  // the tasks save checkpoints from which a later run resumes
	Gang              bool          `cbor:"8,keyasint,omitempty"`  // the tasks make progress only while all of them run
	SameRack          bool          `cbor:"9,keyasint,omitempty"`  // the tasks run slower if they are on more than one rack
	Requires          string        `cbor:"10,keyasint,omitempty"` // label that the worker must have
	DataRack          string        `cbor:"11,keyasint,omitempty"` // rack of the input data; tasks run slower on other racks
	MaxPerWorker      int           `cbor:"12,keyasint,omitempty"` // maximum number of tasks on one worker; zero: no limit
	Speculative       bool          `cbor:"13,keyasint,omitempty"` // copies of a task may run in parallel
	LongRunning       bool          `cbor:"14,keyasint,omitempty"` // runs until the job is canceled
	Image             string        `cbor:"15,keyasint,omitempty"`
	LatencyTarget     time.Duration `cbor:"16,keyasint,omitempty"` // upper bound for the tail latency of a serving task
	BestEffort        bool          `cbor:"17,keyasint,omitempty"` // the tasks use only processors that other tasks leave idle
	MaxUnavailable    int           `cbor:"18,keyasint,omitempty"` // disruption budget: tasks that planned maintenance may make unavailable at once
	HasMaxUnavailable bool          `cbor:"19,keyasint,omitempty"` // false: there is no disruption budget
}

// Phase is the lifecycle state of a task.
type Phase uint8

// The phases of a task.
const (
	Waiting Phase = iota // no run is assigned
	Running              // a run is assigned to a worker and may not have started yet
	Done
	Failed // the task failed Job.Attempts times
)

// Task is the state of one task of a step.
type Task struct {
	Phase       Phase  `cbor:"1,keyasint,omitempty"`
	Run         int    `cbor:"2,keyasint,omitempty"` // number of the last assigned run; zero: none
	Failures    int    `cbor:"3,keyasint,omitempty"` // number of failed runs
	Worker      string `cbor:"4,keyasint,omitempty"` // worker of the last run
	Incarnation int64  `cbor:"5,keyasint,omitempty"` // incarnation of that worker: its start time, Unix milliseconds
	Checkpoint  string `cbor:"6,keyasint,omitempty"` // last checkpoint; empty: none
	Term        uint64 `cbor:"7,keyasint,omitempty"` // fencing token of the order that started the run
	Stopping    bool   `cbor:"9,keyasint,omitempty"` // the last run was stopped and has not ended
	AssignedAt  int64  `cbor:"8,keyasint,omitempty"` // time at which the run was assigned, Unix nanoseconds
}

// Occurrence is one execution of a job's steps.
type Occurrence struct {
	Number    int      `cbor:"1,keyasint,omitempty"`
	Steps     [][]Task `cbor:"2,keyasint,omitempty"`
	Remaining []int    `cbor:"3,keyasint,omitempty"` // number of tasks of each step that are not done
}

// Outcome is the final state of a job, or Active while the job has not ended.
type Outcome uint8

// The outcomes.
const (
	Active Outcome = iota
	Complete
	AttemptsExhausted // a task failed Job.Attempts times
	Canceled
)

// Job is a job as the caller submitted it, with its progress.
type Job struct {
	ID                string       `cbor:"1,keyasint,omitempty"`
	Queue             string       `cbor:"2,keyasint,omitempty"` // name of the queue it was submitted to
	Pool              string       `cbor:"3,keyasint,omitempty"` // pool of the queue at the time of acceptance
	Payload           string       `cbor:"4,keyasint,omitempty"` // sent to the workers with every run
	Steps             []Step       `cbor:"5,keyasint,omitempty"`
	OccurrenceCount   int          `cbor:"6,keyasint,omitempty"`  // number of occurrences; zero: one, due immediately
	FirstDue          int64        `cbor:"7,keyasint,omitempty"`  // due time of the first occurrence, Unix milliseconds
	Interval          int64        `cbor:"8,keyasint,omitempty"`  // milliseconds between occurrences
	AcceptedAt        int64        `cbor:"9,keyasint,omitempty"`  // Unix nanoseconds
	Seq               uint64       `cbor:"10,keyasint,omitempty"` // sequence number in the order of acceptance
	Outcome           Outcome      `cbor:"11,keyasint,omitempty"`
	EndedAt           int64        `cbor:"12,keyasint,omitempty"` // Unix nanoseconds
	Begun             bool         `cbor:"13,keyasint,omitempty"` // a worker has started a run
	ActiveOccurrences []Occurrence `cbor:"14,keyasint,omitempty"` // occurrences that have started and are not done
	DoneOccurrences   map[int]bool `cbor:"15,keyasint,omitempty"` // numbers of the occurrences that are done
	Attempts          int          `cbor:"16,keyasint,omitempty"` // number of failed runs of one task at which the job fails
	Running           int          `cbor:"17,keyasint,omitempty"` // number of runs that are assigned and have not ended
	Team              string       `cbor:"18,keyasint,omitempty"` // team whose key submitted it; empty: none
}

// IsVisibleTo reports whether calls with a key of the team, or without a key if team is empty, may know of the job.
func (j Job) IsVisibleTo(team string) bool { return j.Team == "" || j.Team == team }

// Occurrences returns how often the steps of the job are executed.
func (j Job) Occurrences() int { return max(j.OccurrenceCount, 1) }

// DueAt returns the time from which occurrence k may start, or the zero time if it may start
// immediately.
func (j Job) DueAt(k int) time.Time {
	if j.OccurrenceCount == 0 {
		return time.Time{}
	}
	return time.UnixMilli(j.FirstDue + int64(k)*j.Interval)
}

// Occurrence returns occurrence k. If it has not started, all its tasks are waiting.
// Occurrence returns false if the occurrence is done.
func (j Job) Occurrence(k int) (Occurrence, bool) {
	if j.DoneOccurrences[k] {
		return Occurrence{}, false
	}
	for _, o := range j.ActiveOccurrences {
		if o.Number == k {
			return o, true
		}
	}
	o := Occurrence{Number: k, Steps: make([][]Task, len(j.Steps)), Remaining: make([]int, len(j.Steps))}
	for i, s := range j.Steps {
		o.Steps[i] = newTasks(s.Count)
		o.Remaining[i] = s.Count
	}
	return o, true
}

// waitingTasks are tasks in their initial state. Tasks are never changed in place, so all
// occurrences can share them: jobs that have not started need no slices of their own.
// Only a step with more tasks than waitingTasks gets its own slice.
var waitingTasks = make([]Task, 1024)

// newTasks returns n tasks in their initial state. They must not be changed in place.
func newTasks(n int) []Task {
	if n > len(waitingTasks) {
		return make([]Task, n)
	}
	return waitingTasks[:n:n]
}

// IsReady reports whether all steps that s depends on are done.
func (o Occurrence) IsReady(s Step) bool {
	for _, dependency := range s.After {
		if o.Remaining[dependency] > 0 {
			return false
		}
	}
	return true
}

// taskCopies are the task slices that the command in progress has copied, by their first task. No state before the command
// refers to them, so the command may change them in place: a step of thousands of tasks is copied once for each command,
// not for each task.
type taskCopies map[*Task]bool

// withTask returns the occurrence with one task replaced.
func (o Occurrence) withTask(step, index int, t Task, copies taskCopies) Occurrence {
	tasks := o.Steps[step]
	if !copies[&tasks[0]] {
		tasks = slices.Clone(tasks)
		copies[&tasks[0]] = true
	}
	oldPhase := tasks[index].Phase
	tasks[index] = t
	o.Steps = slices.Clone(o.Steps)
	o.Steps[step] = tasks
	if oldPhase != Done && t.Phase == Done {
		remaining := make([]int, len(o.Remaining))
		copy(remaining, o.Remaining)
		remaining[step]--
		o.Remaining = remaining
	}
	return o
}

// isDone reports whether all tasks of all steps are done.
func (o Occurrence) isDone() bool {
	for _, n := range o.Remaining {
		if n > 0 {
			return false
		}
	}
	return true
}

// withOccurrence returns the job with an occurrence added or replaced. Of an occurrence that is
// done, it keeps only the number.
func (j Job) withOccurrence(o Occurrence) Job {
	active := make([]Occurrence, 0, len(j.ActiveOccurrences)+1)
	for _, existing := range j.ActiveOccurrences {
		if existing.Number != o.Number {
			active = append(active, existing)
		}
	}
	if !o.isDone() {
		active = append(active, o)
	} else {
		done := make(map[int]bool, len(j.DoneOccurrences)+1)
		for k := range j.DoneOccurrences {
			done[k] = true
		}
		done[o.Number] = true
		j.DoneOccurrences = done
	}
	j.ActiveOccurrences = active
	return j
}

// WithOutcome returns the job with its final outcome and the time at which it ended.
func (j Job) WithOutcome(o Outcome, at time.Time) Job {
	j.Outcome = o
	j.EndedAt = at.UnixNano()
	return j
}

// IsLongRunning reports whether the job has a step that runs until the job is canceled.
func (j Job) IsLongRunning() bool {
	for _, s := range j.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}
