//go:build review

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is a step of a job as a client submits it, with the run time of its tasks.
type step struct {
	Count    int    `json:"count"`
	CPU      int    `json:"cpu"`
	MemMB    int    `json:"mem_mb"`
	Estimate int    `json:"estimate_ms"`
	After    []int  `json:"after_rev,omitempty"`
	Requires string `json:"requires,omitempty"`

	LongRunning bool `json:"long_running,omitempty"`

	runTime func(index int) time.Duration
}

// taskEnd is the end of a run with success.
type taskEnd struct {
	worker string
	run    int
	at     time.Time
	noted  bool // the worker was told that the end is recorded, and its lease had not lapsed in between
}

// startEvent is the start of a run.
type startEvent struct {
	worker string
	run    int
	at     time.Time
}

// ledger is what the clients and the workers have seen. It checks the rules.
type ledger struct {
	mu       sync.Mutex
	begin    time.Time
	lastEnd  time.Time // of any run
	file     *os.File
	jobs     map[string][]step
	running  map[string]map[string]int // number of the current run by task and worker
	starts   map[string][]startEvent   // by task
	done     map[string][]taskEnd      // by task
	breaches map[string]int            // number of breaches by rule
}

func newLedger(path string) (*ledger, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &ledger{
		begin: time.Now(), file: f, jobs: make(map[string][]step), running: make(map[string]map[string]int),
		starts: make(map[string][]startEvent), done: make(map[string][]taskEnd), breaches: make(map[string]int),
	}, nil
}

// note writes a line to the record. The caller may hold l.mu: the file has a lock of its own.
func (l *ledger) note(format string, args ...any) {
	_, _ = fmt.Fprintf(l.file, "%8.3f s  %s\n", time.Since(l.begin).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that a rule is broken. The caller holds l.mu.
func (l *ledger) breach(rule, format string, args ...any) {
	l.breaches[rule]++
	l.note("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
}

// stepOf returns the step of a task, given by its name ID.K.STEP.INDEX, and its index.
func (l *ledger) stepOf(task string) (step, int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return step{}, 0, false
	}
	number, err := strconv.Atoi(parts[2])
	index, indexErr := strconv.Atoi(parts[3])
	steps := l.jobs[parts[0]]
	if err != nil || indexErr != nil || number < 0 || number >= len(steps) || index < 0 || index >= steps[number].Count {
		return step{}, 0, false
	}
	return steps[number], index, true
}

// started records the start of a run. Two runs of a task at the same time break TWICE.
func (l *ledger) started(worker, task string, run int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note("%s starts %s run %d", worker, task, run)
	for other, otherRun := range l.running[task] {
		l.breach("TWICE", "%s run %d starts on %s while run %d is at work on %s", task, run, worker, otherRun, other)
	}
	if l.running[task] == nil {
		l.running[task] = make(map[string]int)
	}
	l.running[task][worker] = run
	l.starts[task] = append(l.starts[task], startEvent{worker: worker, run: run, at: time.Now()})
}

// endedRun records the end of a run.
func (l *ledger) endedRun(worker, task string, run int, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note("%s ends %s run %d: %s", worker, task, run, how)
	delete(l.running[task], worker)
	l.lastEnd = time.Now()
	if how == "done" {
		l.done[task] = append(l.done[task], taskEnd{worker: worker, run: run, at: time.Now()})
	}
}

// notedEnd records that the system has taken note of the end of a run.
func (l *ledger) notedEnd(worker, task string, run int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, e := range l.done[task] {
		if e.worker == worker && e.run == run {
			l.done[task][i].noted = true
		}
	}
}

// checkStartsAfterEnds checks that no run started after another had ended as done, if that end was taken note of.
func (l *ledger) checkStartsAfterEnds() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for task, ends := range l.done {
		for _, e := range ends {
			for _, s := range l.starts[task] {
				if e.noted && s.at.After(e.at) {
					l.breach("TWICE", "%s run %d starts on %s at %.3f s; run %d had ended done on %s at %.3f s, which was taken note of", task, s.run, s.worker, s.at.Sub(l.begin).Seconds(), e.run, e.worker, e.at.Sub(l.begin).Seconds())
				}
			}
		}
	}
}

// notBegun returns how many jobs have had no run on any worker.
func (l *ledger) notBegun(ids []string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	begun := make(map[string]bool)
	for task := range l.starts {
		begun[strings.SplitN(task, ".", 2)[0]] = true
	}
	n := 0
	for _, id := range ids {
		if !begun[id] {
			n++
		}
	}
	return n
}

// idleFor returns for how long nothing has run on any worker.
func (l *ledger) idleFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, workers := range l.running {
		if len(workers) > 0 {
			return 0
		}
	}
	return time.Since(l.lastEnd)
}

// total returns the number of breaches of a rule.
func (l *ledger) total(rule string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.breaches[rule]
}
