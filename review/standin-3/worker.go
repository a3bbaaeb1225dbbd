//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Bounds of the deployment, as in the sheet of kes-imaging, and those of the stand-ins.
const (
	leaseMax     = 6 * time.Second
	stopTime     = 100 * time.Millisecond // at most stop_ms
	startupTime  = 300 * time.Millisecond // of a task that lasts
	beatInterval = 1500 * time.Millisecond
	attempts     = 3
	maxListed    = 500
)

// run is a run on a worker.
type run struct {
	task   string
	number int
	at     time.Time // start
	stopAt time.Time // zero: it is not being stopped
}

// worker is a stand-in of a worker that follows PROTOCOL.md.
type worker struct {
	w        *world
	sys      *system
	id       string
	pool     string
	rack     string
	cpu      int
	memMB    int
	listener net.Listener
	server   *http.Server
	closed   chan struct{}

	// guarded by w.mu
	born     time.Time
	seq      int
	fence    uint64
	leaseEnd time.Time
	runs     map[string]*run
	highest  map[string]int
	ended    []endRow
	endCount int
}

type endRow struct {
	row []any
	end *ending
}

func newWorker(sys *system, n int, rack string) (*worker, error) {
	listener, err := net.Listen("tcp", sys.ip(3, n)+":0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	w := &worker{w: sys.w, sys: sys, id: fmt.Sprintf("i-%02d", n), pool: "a", rack: rack, cpu: 16000, memMB: 32768, listener: listener, closed: make(chan struct{})}
	w.boot()
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(listener) }()
	go w.loop()
	go w.beat()
	return w, nil
}

// boot makes the worker a new process that knows nothing of before. The caller holds w.w.mu, or the worker is new.
func (w *worker) boot() {
	w.born = time.Now()
	w.runs, w.highest, w.ended, w.endCount = make(map[string]*run), make(map[string]int), nil, 0
}

func (w *worker) stop() {
	close(w.closed)
	_ = w.server.Close()
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

// loop lets the runs work, and ends them.
func (w *worker) loop() {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.w.mu.Lock()
			w.advance(time.Now())
			w.w.mu.Unlock()
		case <-w.closed:
			return
		}
	}
}

// advance ends the runs that are due. The caller holds w.w.mu.
func (w *worker) advance(now time.Time) {
	for _, r := range w.runs {
		_, s := w.w.stepOf(r.task)
		if s == nil {
			continue
		}
		switch {
		case w.leaseEnd.Before(now):
			w.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.end(r, "stopped")
		case s.LongRunning:
		case now.Sub(r.at) >= s.work:
			w.end(r, "done")
		}
	}
}

// end ends a run. The caller holds w.w.mu.
func (w *worker) end(r *run, how string) {
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	w.endCount++
	t := w.w.task(r.task)
	delete(t.running, w.id)
	e := &ending{at: time.Now(), run: r.number, how: how}
	t.ends = append(t.ends, e)
	w.ended = append(w.ended, endRow{row: []any{w.endCount, r.task, r.number, how, ""}, end: e})
	w.w.note("%s: %s run %d ends %s", w.id, r.task, r.number, how)
}

// beat sends the heartbeats of the worker.
func (w *worker) beat() {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		w.beatOnce()
		select {
		case <-ticker.C:
		case <-w.closed:
			return
		}
	}
}

// heartbeat returns the body of the next heartbeat.
func (w *worker) heartbeat() map[string]any {
	w.w.mu.Lock()
	defer w.w.mu.Unlock()
	w.seq++
	return map[string]any{
		"service": w.pool, "address": w.listener.Addr().String(), "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]int{"cpu": w.cpu, "mem_mb": w.memMB, "gpu": 0}, "labels": []string{"a", w.rack}, "clock_ms": w.clock(), "seq": w.seq, "born": w.born.UnixMilli(),
	}
}

func (w *worker) beatOnce() {
	body := w.heartbeat()
	if body != nil {
		w.sys.callControl(http.MethodPut, "/instances/"+w.id, body, time.Second)
	}
}

// order is the body of a call to a worker.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fence"`
	Ticket     string `json:"ticket"`
	AckedUpto  int    `json:"acked_upto"`
	WaitMs     int    `json:"wait_ms"`
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if r.URL.Path == "/healthz" {
		return
	}
	var o order
	if err != nil || json.Unmarshal(data, &o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.w.mu.Lock()
	defer w.w.mu.Unlock()
	w.handle(rw, r, o)
}

// handle carries out a call. The caller holds w.w.mu.
func (w *worker) handle(rw http.ResponseWriter, r *http.Request, o order) {
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	now := time.Now()
	w.advance(now)
	if o.Fence < w.fence {
		w.answer(rw, http.StatusConflict, "fence")
		return
	}
	w.fence = o.Fence
	switch r.URL.Path {
	case "/run-start":
		w.start(rw, now, o)
	case "/run-stop":
		if current, ok := w.runs[o.Task]; ok && current.number == o.Run && current.stopAt.IsZero() {
			current.stopAt = now.Add(stopTime)
			w.w.note("%s: stop of %s run %d", w.id, o.Task, o.Run)
		}
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		w.answer(rw, http.StatusOK, "")
	case "/hold":
		w.extend(now, o.DeadlineMs)
		w.list(rw, o)
	default:
		w.answer(rw, http.StatusOK, "")
	}
}

// extend renews the lease, if the deadline is later.
func (w *worker) extend(now time.Time, deadlineMs int64) {
	end := w.born.Add(time.Duration(deadlineMs) * time.Millisecond)
	if limit := now.Add(leaseMax); end.After(limit) {
		end = limit
	}
	if deadlineMs > 0 && end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

func (w *worker) answer(rw http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(rw, status, body)
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// used returns the resources of the runs on the worker.
func (w *worker) used() (cpu, memMB int) {
	for _, r := range w.runs {
		_, s := w.w.stepOf(r.task)
		if s != nil {
			cpu, memMB = cpu+s.CPU, memMB+s.MemMB
		}
	}
	return cpu, memMB
}

// start carries out a start.
func (w *worker) start(rw http.ResponseWriter, now time.Time, o order) {
	current, isThere := w.runs[o.Task]
	j, s := w.w.stepOf(o.Task)
	cpu, memMB := w.used()
	reason := ""
	switch {
	case isThere && current.number == o.Run:
		w.extend(now, o.DeadlineMs)
		w.answer(rw, http.StatusOK, "")
		return
	case isThere || o.Run <= w.highest[o.Task]:
		reason = "old"
		w.extend(now, o.DeadlineMs)
	case w.born.Add(time.Duration(o.DeadlineMs) * time.Millisecond).Before(now):
		reason = "late"
	case j != nil && w.w.needTicket[j.path] && !w.w.validTicket(o, w.id):
		reason = "ticket"
	case s != nil && (cpu+s.CPU > w.cpu || memMB+s.MemMB > w.memMB):
		reason = "room"
		w.extend(now, o.DeadlineMs)
	}
	if reason != "" {
		w.w.note("%s: start of %s run %d rejected, %s", w.id, o.Task, o.Run, reason)
		w.answer(rw, http.StatusConflict, reason)
		return
	}
	w.extend(now, o.DeadlineMs)
	w.highest[o.Task] = o.Run
	w.w.checkStart(w.id, o.Task, o.Run, o.Spec)
	w.w.note("%s: %s run %d starts", w.id, o.Task, o.Run)
	w.runs[o.Task] = &run{task: o.Task, number: o.Run, at: now}
	w.answer(rw, http.StatusOK, "")
}

// list answers a hold: it forgets the ends up to AckedUpto and waits until there is another.
func (w *worker) list(rw http.ResponseWriter, o order) {
	for len(w.ended) > 0 && w.ended[0].row[0].(int) <= o.AckedUpto {
		w.ended[0].end.noted = true
		w.w.note("%s: end %v is taken note of", w.id, w.ended[0].row[:4])
		w.ended = w.ended[1:]
	}
	deadline := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	for len(w.ended) == 0 && time.Now().Before(deadline) {
		w.w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		w.w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		_, s := w.w.stepOf(r.task)
		percent := 0
		switch {
		case s == nil:
		case s.LongRunning:
			if time.Since(r.at) > startupTime {
				percent = 100
			}
		case s.work > 0:
			percent = min(int(100*time.Since(r.at)/s.work), 99)
		}
		running = append(running, []any{r.task, r.number, "", percent, 10})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListed)] {
		ended = append(ended, e.row)
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
}

func (w *world) validTicket(o order, worker string) bool {
	t, ok := w.tickets[o.Ticket]
	return ok && t.step == stepName(o.Task) && t.worker == worker && time.Now().Before(t.until)
}

func jsonBody(body any) io.Reader {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return bytes.NewReader(data)
}
