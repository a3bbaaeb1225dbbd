//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// step is a step of a job: what the client sends, and how its tasks behave on a worker.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu,omitempty"`
	MemMB        int    `json:"mem_mb,omitempty"`
	EstimateMs   int    `json:"estimate_ms,omitempty"`
	AfterRev     []int  `json:"after_rev,omitempty"`
	DataRack     string `json:"data_rack,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	MayMiss      int    `json:"may_miss,omitempty"`

	work time.Duration // that one task needs
}

// job is a job as a client submits it.
type job struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	Times      int    `json:"times,omitempty"`
	FirstMs    int64  `json:"first_ms,omitempty"`
	IntervalMs int64  `json:"interval_ms,omitempty"`

	id       string
	path     string // prefix of its queue
	accepted time.Time
}

// ending is the end of a run.
type ending struct {
	at    time.Time
	run   int
	how   string
	noted bool // acked_upto has reached it
}

// taskState is what the workers have seen of a task.
type taskState struct {
	running map[string]int // number of the run by worker
	starts  []ending       // at and run only
	ends    []*ending
}

// world holds what clients, workers and the platform have sent and seen.
type world struct {
	mu         sync.Mutex
	started    time.Time
	record     *os.File
	jobs       map[string]*job
	tasks      map[string]*taskState
	violations []string
	needTicket map[string]bool // queue prefixes whose starts need a ticket
	tickets    map[string]ticket
}

type ticket struct {
	step, worker string
	until        time.Time
}

func newWorld(path string) (*world, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &world{
		started: time.Now(), record: f, jobs: make(map[string]*job), tasks: make(map[string]*taskState),
		needTicket: make(map[string]bool), tickets: make(map[string]ticket),
	}, nil
}

// note writes a line to the record. The caller holds w.mu.
func (w *world) note(format string, args ...any) {
	_, _ = fmt.Fprintf(w.record, "%8.3f ", time.Since(w.started).Seconds())
	_, _ = fmt.Fprintf(w.record, format+"\n", args...)
}

// Note is note for callers without the lock.
func (w *world) Note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note(format, args...)
}

// violate records a broken rule. The caller holds w.mu.
func (w *world) violate(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.violations = append(w.violations, text)
	w.note("BROKEN %s", text)
}

// broken returns the broken rules so far.
func (w *world) broken() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.violations...)
}

func (w *world) task(name string) *taskState {
	t, ok := w.tasks[name]
	if !ok {
		t = &taskState{running: make(map[string]int)}
		w.tasks[name] = t
	}
	return t
}

// stepOf returns the job and the step of a task, or nil.
func (w *world) stepOf(task string) (*job, *step) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, nil
	}
	j := w.jobs[parts[0]]
	var n int
	_, err := fmt.Sscan(parts[2], &n)
	if j == nil || err != nil || n < 0 || n >= len(j.Steps) {
		return nil, nil
	}
	return j, &j.Steps[n]
}

// stepName returns the name of the step of a task.
func stepName(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// checkStart checks the rules for a start that a worker carries out. The caller holds w.mu.
func (w *world) checkStart(worker, task string, run int, spec string) {
	t := w.task(task)
	j, s := w.stepOf(task)
	if j == nil {
		w.violate("UNASKED", "%s run %d starts on %s, and no client sent it", task, run, worker)
		return
	}
	if spec != j.Spec {
		w.violate("UNASKED", "%s run %d starts on %s with another spec", task, run, worker)
	}
	for other, otherRun := range t.running {
		w.violate("TWICE", "%s run %d starts on %s while run %d is on %s", task, run, worker, otherRun, other)
	}
	for _, e := range t.ends {
		if e.how == "done" && e.noted && !s.LongRunning {
			w.violate("TWICE", "%s run %d starts on %s after run %d was done and taken note of", task, run, worker, e.run)
		}
	}
	t.running[worker] = run
	t.starts = append(t.starts, ending{at: time.Now(), run: run})
}
