// Package registrar is the durable register of jobs: what was accepted, which run of each task
// is where, and how it ended; with the configuration, the workers and the waves that this rests on.
// It is a state machine: Apply is the only way to change it, and gives the same result everywhere.
package registrar

import "time"

// Step is a part of a job: a number of equal tasks.
type Step struct {
	Count       int           `cbor:"1,keyasint,omitempty"`
	CPU         int           `cbor:"2,keyasint,omitempty"` // thousandths of a core for each task
	Memory      int           `cbor:"3,keyasint,omitempty"` // MiB for each task
	GPU         int           `cbor:"4,keyasint,omitempty"` // accelerators for each task
	Estimate    time.Duration `cbor:"5,keyasint,omitempty"` // the caller's guess of a task's run time
	After       []int         `cbor:"6,keyasint,omitempty"` // steps whose tasks must all be done first
	Checkpoints bool          `cbor:"7,keyasint,omitempty"`
	Gang        bool          `cbor:"8,keyasint,omitempty"` // tasks work only together
	SameRack    bool          `cbor:"9,keyasint,omitempty"` // slower on more than one rack
	Requires    string        `cbor:"10,keyasint,omitempty"`
	DataRack    string        `cbor:"11,keyasint,omitempty"` // slower elsewhere
	Spread      int           `cbor:"12,keyasint,omitempty"` // most tasks on one worker; zero: any number
	Speculative bool          `cbor:"13,keyasint,omitempty"` // copies may run in parallel
	Lasting     bool          `cbor:"14,keyasint,omitempty"` // runs until the job is canceled
	Image       string        `cbor:"15,keyasint,omitempty"`
	Target      time.Duration `cbor:"16,keyasint,omitempty"` // bound on the tail latency of a serving task
	Fills       bool          `cbor:"17,keyasint,omitempty"` // uses processors that others leave idle
	MayMiss     int           `cbor:"18,keyasint,omitempty"` // tasks that planned work may have away at once
	HasMayMiss  bool          `cbor:"19,keyasint,omitempty"`
}

// Phase is where a task stands.
type Phase uint8

// The phases of a task.
const (
	Waiting Phase = iota
	Running       // a run is assigned to a worker; it may not have begun
	Done
	Failed
)

// Task is one task of a step.
type Task struct {
	Phase  Phase  `cbor:"1,keyasint,omitempty"`
	Run    int    `cbor:"2,keyasint,omitempty"` // the last run assigned
	Fails  int    `cbor:"3,keyasint,omitempty"` // runs that ended failed
	Worker string `cbor:"4,keyasint,omitempty"` // of the last run
	Life   int64  `cbor:"5,keyasint,omitempty"` // the worker's life: its start, Unix milliseconds
	Saved  string `cbor:"6,keyasint,omitempty"` // last checkpoint
	Term   uint64 `cbor:"7,keyasint,omitempty"` // fencing token of the run's order
	At     int64  `cbor:"8,keyasint,omitempty"` // when the run was assigned, Unix nanoseconds
}

// Occurrence is one execution of a job's steps.
type Occurrence struct {
	K     int      `cbor:"1,keyasint,omitempty"`
	Steps [][]Task `cbor:"2,keyasint,omitempty"`
	Open  []int    `cbor:"3,keyasint,omitempty"` // for each step, the tasks that are not done
}

// Outcome is how a job ended, or that it has not.
type Outcome uint8

// The outcomes.
const (
	Active Outcome = iota
	Complete
	Broken // a task failed as often as it may
	Canceled
)

// Job is what a caller handed in, and how far it is.
type Job struct {
	ID       string       `cbor:"1,keyasint,omitempty"`
	Queue    string       `cbor:"2,keyasint,omitempty"` // name of the route it came by
	Service  string       `cbor:"3,keyasint,omitempty"` // pool of workers when it was accepted
	Payload  string       `cbor:"4,keyasint,omitempty"` // handed to every task
	Steps    []Step       `cbor:"5,keyasint,omitempty"`
	Times    int          `cbor:"6,keyasint,omitempty"` // occurrences; zero: once, at once
	First    int64        `cbor:"7,keyasint,omitempty"` // due time of the first occurrence, Unix milliseconds
	Interval int64        `cbor:"8,keyasint,omitempty"` // milliseconds between occurrences
	Accepted int64        `cbor:"9,keyasint,omitempty"` // Unix nanoseconds
	Seq      uint64       `cbor:"10,keyasint,omitempty"`
	Outcome  Outcome      `cbor:"11,keyasint,omitempty"`
	Ended    int64        `cbor:"12,keyasint,omitempty"` // Unix nanoseconds
	Begun    bool         `cbor:"13,keyasint,omitempty"` // a task has been assigned
	Live     []Occurrence `cbor:"14,keyasint,omitempty"` // begun and not all done
	Finished map[int]bool `cbor:"15,keyasint,omitempty"` // occurrences that are done
	Attempts int          `cbor:"16,keyasint,omitempty"` // failed runs of one task that fail the job
	Running  int          `cbor:"17,keyasint,omitempty"` // runs assigned and not ended
}

// Occurrences is how often the job's steps run.
func (j Job) Occurrences() int { return max(j.Times, 1) }

// DueAt is when an occurrence may start; zero: at once.
func (j Job) DueAt(k int) time.Time {
	if j.Times == 0 {
		return time.Time{}
	}
	return time.UnixMilli(j.First + int64(k)*j.Interval)
}

// Occurrence returns an occurrence, fresh if it has not begun; false: it is done.
func (j Job) Occurrence(k int) (Occurrence, bool) {
	if j.Finished[k] {
		return Occurrence{}, false
	}
	for _, o := range j.Live {
		if o.K == k {
			return o, true
		}
	}
	o := Occurrence{K: k, Steps: make([][]Task, len(j.Steps)), Open: make([]int, len(j.Steps))}
	for i, s := range j.Steps {
		o.Steps[i] = freshTasks(s.Count)
		o.Open[i] = s.Count
	}
	return o, true
}

// fresh are tasks that have not begun. Tasks are never changed in place, so all occurrences share them.
var fresh = make([]Task, 1024)

func freshTasks(n int) []Task {
	if n > len(fresh) {
		return make([]Task, n)
	}
	return fresh[:n:n]
}

// IsReady tells whether all steps that a step waits for are done.
func (o Occurrence) IsReady(s Step) bool {
	for _, before := range s.After {
		if o.Open[before] > 0 {
			return false
		}
	}
	return true
}

// withTask returns the occurrence with one task changed.
func (o Occurrence) withTask(step, index int, t Task) Occurrence {
	steps := make([][]Task, len(o.Steps))
	copy(steps, o.Steps)
	tasks := make([]Task, len(o.Steps[step]))
	copy(tasks, o.Steps[step])
	was := tasks[index].Phase
	tasks[index] = t
	steps[step] = tasks
	o.Steps = steps
	if was != Done && t.Phase == Done {
		open := make([]int, len(o.Open))
		copy(open, o.Open)
		open[step]--
		o.Open = open
	}
	return o
}

func (o Occurrence) isDone() bool {
	for _, n := range o.Open {
		if n > 0 {
			return false
		}
	}
	return true
}

// withOccurrence returns the job with an occurrence changed; one that is done is only noted as such.
func (j Job) withOccurrence(o Occurrence) Job {
	live := make([]Occurrence, 0, len(j.Live)+1)
	for _, have := range j.Live {
		if have.K != o.K {
			live = append(live, have)
		}
	}
	if !o.isDone() {
		live = append(live, o)
	} else {
		finished := make(map[int]bool, len(j.Finished)+1)
		for k := range j.Finished {
			finished[k] = true
		}
		finished[o.K] = true
		j.Finished = finished
	}
	j.Live = live
	return j
}

// WithOutcome returns the job ended.
func (j Job) WithOutcome(o Outcome, at time.Time) Job {
	j.Outcome = o
	j.Ended = at.UnixNano()
	return j
}

// Lasts tells whether a job runs until it is canceled.
func (j Job) Lasts() bool {
	for _, s := range j.Steps {
		if s.Lasting {
			return true
		}
	}
	return false
}
