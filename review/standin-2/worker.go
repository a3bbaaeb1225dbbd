//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	workerCPU         = 8000
	workerMemory      = 32768
	holdPoll          = 5 * time.Millisecond
)

// endedRun is an entry of the list of runs that have ended.
type endedRun struct {
	number int
	task   string
	run    int
	reason string
	saved  string
}

// worker is a stand-in for a worker: it guards its capacity, rejects old fencing tokens, ends its runs when its lease
// expires, and lists ends until they are acknowledged. The mutex of its fleet guards all fields below proxy.
type worker struct {
	fleet *fleet
	id    string
	rack  string
	proxy *proxy

	alive     bool
	born      time.Time
	fence     uint64
	leaseEnd  time.Time
	runs      map[string]*run // by task
	highest   map[string]int  // highest run that was started or stopped, by task
	ended     []endedRun
	endCount  int
	seq       int
	unhealthy bool            // it rejects starts
	foreign   json.RawMessage // an entry of another writer in its list of runs; nil: none
}

// newWorker starts a worker at a loopback address.
func newWorker(f *fleet, id, rack, ip string) (*worker, error) {
	w := &worker{fleet: f, id: id, rack: rack}
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, fmt.Errorf("start worker: %w", err)
	}
	w.proxy, err = newProxy(ip+":0", listener.Addr().String())
	if err != nil {
		return nil, fmt.Errorf("start proxy: %w", err)
	}
	go func() { _ = http.Serve(listener, w) }() // until the program ends
	f.mu.Lock()
	defer f.mu.Unlock()
	w.boot()
	f.all = append(f.all, w)
	return w, nil
}

// boot starts a new incarnation, which knows nothing of the one before.
func (w *worker) boot() {
	w.alive, w.born, w.fence, w.leaseEnd = true, time.Now(), 0, time.Time{}
	w.runs, w.highest, w.ended = make(map[string]*run), make(map[string]int), nil
	w.endCount, w.seq = 0, 0
}

// crash ends the process of the worker with all its runs, on an order of the system or not.
func (w *worker) crash(ordered bool) {
	w.proxy.close()
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.fleet.rec.line("%s ends with %d runs", w.id, len(w.runs))
	for _, r := range w.runs {
		if ordered {
			w.fleet.countAway(r)
		}
	}
	w.alive = false
	lost := w.runs
	w.runs, w.ended = make(map[string]*run), nil
	for _, r := range lost {
		w.fleet.endGang(r, "lost")
	}
}

// restart starts the worker again, under its id and at its address.
func (w *worker) restart() error {
	w.fleet.mu.Lock()
	w.boot()
	w.fleet.mu.Unlock()
	w.fleet.rec.line("%s starts again, born %d", w.id, w.born.UnixMilli())
	return w.proxy.listen()
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1000 }

// heartbeat returns the body of the next heartbeat, or nil while the worker is down or cannot reach anyone.
func (w *worker) heartbeat() map[string]any {
	cut := w.proxy.isCut()
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if !w.alive || cut {
		return nil
	}
	w.seq++
	return map[string]any{
		"service": "a", "address": w.proxy.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemory, "gpu": 0}, "labels": []string{"a", w.rack},
		"clock_ms": w.clock(), "seq": w.seq, "born": w.born.UnixMilli(),
	}
}

// order is the body of a request to a worker.
type order struct {
	Task           string `json:"task"`
	Run            int    `json:"run"`
	Fence          uint64 `json:"fence"`
	DeadlineMs     int64  `json:"deadline_ms"`
	LastCheckpoint string `json:"last_checkpoint"`
	AckedUpto      int    `json:"acked_upto"`
	WaitMs         int    `json:"wait_ms"`
}

// ServeHTTP handles an order or a hold.
func (w *worker) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	var o order
	err := json.NewDecoder(req.Body).Decode(&o)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	id := req.Header.Get("X-Expect-Instance")
	if id != "" && id != w.id {
		w.answer(rw, http.StatusMisdirectedRequest, nil)
		return
	}
	if o.Fence < w.fence {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.fence = o.Fence
	w.extendLease(o.DeadlineMs)
	switch req.URL.Path {
	case "/run-start":
		w.start(rw, o)
	case "/run-stop":
		w.stop(rw, o)
	case "/hold":
		w.hold(rw, o)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) extendLease(deadlineMs int64) {
	if deadlineMs <= 0 {
		return
	}
	now := time.Now()
	end := now.Add(min(time.Duration(deadlineMs-w.clock())*time.Millisecond, holdMax))
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

func (w *worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = make(map[string]any)
	}
	body["clock_ms"], body["born"] = w.clock(), w.born.UnixMilli()
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data) // the caller may have gone
}

func (w *worker) start(rw http.ResponseWriter, o order) {
	s, err := w.fleet.stepOf(o.Task)
	free := workerCPU
	for _, r := range w.runs {
		free -= r.step.cpu
	}
	current, runs := w.runs[o.Task]
	status, reason := http.StatusConflict, ""
	switch {
	case err != nil:
		status = http.StatusBadRequest
	case w.unhealthy:
		status = http.StatusServiceUnavailable
	case runs && current.number == o.Run:
		status = http.StatusOK
	case runs || o.Run <= w.highest[o.Task]:
		reason = "old"
	case time.Now().After(w.leaseEnd):
		reason = "late"
	case free < s.cpu:
		reason = "room"
	default:
		status = http.StatusOK
		w.begin(o, s)
	}
	w.fleet.rec.line("%s: start of %s run %d, fence %d, last_checkpoint %q: %d %s", w.id, o.Task, o.Run, o.Fence, o.LastCheckpoint, status, reason)
	body := make(map[string]any)
	if reason != "" {
		body["reason"] = reason
	}
	w.answer(rw, status, body)
}

// begin starts a run.
func (w *worker) begin(o order, s step) {
	now := time.Now()
	w.highest[o.Task] = o.Run
	before := w.fleet.checkpoints[o.LastCheckpoint]
	r := &run{task: o.Task, number: o.Run, step: s, startedAt: now, before: before, saved: o.LastCheckpoint, savedWork: before}
	if s.gang {
		r.gangKey = fmt.Sprintf("%s#%d", stepName(o.Task), o.Run)
	} else {
		r.workingSince = now
	}
	w.runs[o.Task] = r
	w.fleet.starts = append(w.fleet.starts, startSeen{at: now, worker: w.id, task: o.Task, run: o.Run, checkpoint: o.LastCheckpoint})
}

func (w *worker) stop(rw http.ResponseWriter, o order) {
	r, ok := w.runs[o.Task]
	if ok && r.number == o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime / 2)
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	w.fleet.stops++
	w.fleet.rec.line("%s: stop of %s run %d, fence %d", w.id, o.Task, o.Run, o.Fence)
	w.answer(rw, http.StatusOK, nil)
}

// hold forgets the acknowledged ends, waits for an end and lists the runs. The mutex is released while it waits.
func (w *worker) hold(rw http.ResponseWriter, o order) {
	for len(w.ended) > 0 && w.ended[0].number <= o.AckedUpto {
		w.ended = w.ended[1:]
	}
	born, deadline := w.born, time.Now().Add(time.Duration(o.WaitMs)*time.Millisecond)
	for len(w.ended) == 0 && w.born.Equal(born) && w.alive && time.Now().Before(deadline) {
		w.fleet.mu.Unlock()
		time.Sleep(holdPoll)
		w.fleet.mu.Lock()
	}
	running := []any{}
	if w.foreign != nil {
		running = append(running, w.foreign)
	}
	now := time.Now()
	for task, r := range w.runs {
		percent := min(99, int(100*r.progress(now)/r.step.work))
		if r.step.lasts {
			percent = 0
		}
		if r.isAtWork(now) {
			percent = 100
		}
		running = append(running, []any{task, r.number, r.saved, percent, r.step.cpu})
	}
	ended := []any{}
	for _, e := range w.ended {
		ended = append(ended, []any{e.number, e.task, e.run, e.reason, e.saved})
	}
	w.answer(rw, http.StatusOK, map[string]any{"running": running, "ended": ended})
}
