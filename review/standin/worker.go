//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	ackTimeout        = time.Second // a caller of a controller moves on to the next one after this time
	maxLease          = 6 * time.Second
	maxListedEnds     = 500
	workerCPU         = 16000
	workerMemMB       = 32768
)

// worker is a stand-in for a worker of the platform. It may have several lives under one ID and one address.
type worker struct {
	l           *ledger
	link        *link
	id          string
	address     string
	controllers []string

	mu   sync.Mutex
	life *life
}

// life is one incarnation of a worker. It knows nothing of earlier ones.
type life struct {
	w        *worker
	name     string // for the record
	kind     string
	born     time.Time
	server   *http.Server
	client   *http.Client
	over     chan struct{}
	leaving  chan struct{} // closed when the life sends no more heartbeats, because it announces its end
	draining bool
	dropped  func(path string) bool // whether the life ends without an answer when it gets a call with this path

	mu       sync.Mutex
	next     string // controller that answered last
	seq      int
	fence    uint64
	lease    time.Time
	lapsedAt time.Time // when the lease last lapsed
	runs     map[string]*workerRun
	highest  map[string]int // highest run that was started, stopped or ended, by task
	ended    []endRow
	endCount int
}

type workerRun struct {
	number  int
	step    step
	endTime time.Time
}

type endRow struct {
	number int
	task   string
	run    int
	how    string
	at     time.Time
}

// start begins a new life.
func (w *worker) start(number int, kind string) (*life, error) {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	w.address = listener.Addr().String()
	lf := &life{
		w: w, name: fmt.Sprintf("%s life %d", w.id, number), kind: kind, born: time.Now(), over: make(chan struct{}), leaving: make(chan struct{}),
		runs: make(map[string]*workerRun), highest: make(map[string]int), next: w.controllers[0],
		client: &http.Client{
			Transport:     &http.Transport{DialContext: w.link.dial, MaxIdleConnsPerHost: 4},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	lf.server = &http.Server{Handler: http.HandlerFunc(lf.serve)}
	w.mu.Lock()
	w.life = lf
	w.mu.Unlock()
	w.l.note("%s begins, kind %s", lf.name, kind)
	go func() { _ = lf.server.Serve(listener) }()
	go lf.work()
	go lf.beat()
	return lf, nil
}

// end ends the life: all connections close and all runs are gone.
func (lf *life) end(why string) {
	lf.fallSilent(why)
	_ = lf.server.Close()
	lf.client.CloseIdleConnections()
}

// fallSilent ends the life as end does, but its connections stay open. Its link has to be cut.
func (lf *life) fallSilent(why string) {
	lf.mu.Lock()
	defer lf.mu.Unlock()
	select {
	case <-lf.over:
		return
	default:
	}
	close(lf.over)
	lf.w.l.note("%s ends: %s", lf.name, why)
	for task, r := range lf.runs {
		lf.w.l.endedRun(lf.name, task, r.number, "gone with its worker")
	}
	lf.runs = make(map[string]*workerRun)
}

func (lf *life) clock() int64 { return time.Since(lf.born).Milliseconds() + 1 }

// work ends runs whose time has come, and all of them when the lease lapses.
func (lf *life) work() {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-lf.over:
			return
		case <-ticker.C:
			lf.mu.Lock()
			lf.advance(time.Now())
			lf.mu.Unlock()
		}
	}
}

// advance ends what is due at now. The caller holds lf.mu.
func (lf *life) advance(now time.Time) {
	for task, r := range lf.runs {
		if !r.endTime.After(now) && !lf.lease.Before(r.endTime) {
			lf.endRun(task, r, "done")
		}
	}
	if lf.lease.IsZero() || !lf.lease.Before(now) {
		return
	}
	lf.lapsedAt, lf.lease = lf.lease, time.Time{}
	for task, r := range lf.runs {
		lf.endRun(task, r, "lapsed")
	}
}

func (lf *life) endRun(task string, r *workerRun, how string) {
	delete(lf.runs, task)
	lf.endCount++
	lf.ended = append(lf.ended, endRow{number: lf.endCount, task: task, run: r.number, how: how, at: time.Now()})
	lf.w.l.endedRun(lf.name, task, r.number, how)
}

type workerCall struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Fence      uint64 `json:"fence"`
	DeadlineMs int64  `json:"deadline_ms"`
	AckedUpto  int    `json:"acked_upto"`
	WaitMs     int    `json:"wait_ms"`
}

func (lf *life) serve(rw http.ResponseWriter, r *http.Request) {
	var call workerCall
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &call) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if lf.w.link.isCut() {
		<-lf.w.link.open()
		panic(http.ErrAbortHandler) // the call was lost
	}
	if lf.dropped != nil && lf.dropped(r.URL.Path) {
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != lf.w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	lf.mu.Lock()
	defer lf.mu.Unlock()
	select {
	case <-lf.over:
		panic(http.ErrAbortHandler)
	default:
	}
	now := time.Now()
	lf.advance(now)
	if call.Fence < lf.fence {
		lf.refuse(rw, "fence")
		return
	}
	lf.fence = call.Fence
	lease := lf.born.Add(time.Duration(call.DeadlineMs) * time.Millisecond)
	if latest := now.Add(maxLease); lease.After(latest) {
		lease = latest
	}
	if call.DeadlineMs > 0 && lease.After(lf.lease) && lease.After(now) {
		lf.lease = lease
	}
	switch r.URL.Path {
	case "/run-start":
		lf.startRun(rw, call, lease.Before(now))
	case "/run-stop":
		if current, ok := lf.runs[call.Task]; ok && current.number == call.Run {
			lf.endRun(call.Task, current, "stopped")
		}
		lf.highest[call.Task] = max(lf.highest[call.Task], call.Run)
		writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": lf.clock(), "born": lf.born.UnixMilli()})
	case "/hold":
		lf.hold(rw, r.Context(), call)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (lf *life) refuse(rw http.ResponseWriter, reason string) {
	writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": lf.clock(), "born": lf.born.UnixMilli(), "reason": reason})
}

func (lf *life) startRun(rw http.ResponseWriter, call workerCall, late bool) {
	st, index, known := lf.w.l.stepOf(call.Task)
	if !known {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	cpu, mem := st.CPU, st.MemMB
	for _, r := range lf.runs {
		cpu += r.step.CPU
		mem += r.step.MemMB
	}
	current, ok := lf.runs[call.Task]
	switch {
	case ok && current.number == call.Run:
		writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": lf.clock(), "born": lf.born.UnixMilli()})
		return
	case ok || call.Run <= lf.highest[call.Task]:
		lf.refuse(rw, "old")
		return
	case late:
		lf.refuse(rw, "late")
		return
	case cpu > workerCPU || mem > workerMemMB:
		lf.refuse(rw, "room")
		return
	}
	lf.highest[call.Task] = call.Run
	lf.runs[call.Task] = &workerRun{number: call.Run, step: st, endTime: time.Now().Add(st.runTime(index))}
	lf.w.l.started(lf.name, call.Task, call.Run)
	if st.Requires != "" && st.Requires != lf.kind {
		lf.w.l.mu.Lock()
		lf.w.l.breach("ROUTE", "%s run %d requires the label %q and starts on %s, a worker of kind %q", call.Task, call.Run, st.Requires, lf.name, lf.kind)
		lf.w.l.mu.Unlock()
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": lf.clock(), "born": lf.born.UnixMilli()})
}

// hold forgets the ends that are taken note of and lists the runs, at the latest after the time to wait. The caller
// holds lf.mu, which hold releases while it waits.
func (lf *life) hold(rw http.ResponseWriter, ctx context.Context, call workerCall) {
	for len(lf.ended) > 0 && lf.ended[0].number <= call.AckedUpto {
		e := lf.ended[0]
		lf.ended = lf.ended[1:]
		if e.how == "done" && !lf.lapsedAt.After(e.at) {
			lf.w.l.notedEnd(lf.name, e.task, e.run)
		}
	}
	deadline := time.Now().Add(time.Duration(call.WaitMs) * time.Millisecond)
	for len(lf.ended) == 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		lf.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		lf.mu.Lock()
	}
	if lf.w.link.isCut() {
		lf.mu.Unlock()
		<-lf.w.link.open()
		lf.mu.Lock()
		panic(http.ErrAbortHandler) // the answer was lost
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range lf.runs {
		running = append(running, []any{task, r.number, "", 50, r.step.CPU})
	}
	for _, e := range lf.ended[:min(len(lf.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	if len(lf.ended) > maxListedEnds {
		lf.w.l.note("%s lists %d of %d ends", lf.name, len(ended), len(lf.ended))
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": lf.clock(), "born": lf.born.UnixMilli(), "running": running, "ended": ended})
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // the caller may have gone
}

// beat sends heartbeats until the life ends.
func (lf *life) beat() {
	for {
		lf.heartbeat()
		select {
		case <-lf.over:
			return
		case <-lf.leaving:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat reports the worker to a controller and returns whether that was acknowledged.
func (lf *life) heartbeat() bool {
	lf.mu.Lock()
	lf.seq++
	state, remaining := "ready", 0
	if lf.draining {
		state, remaining = "draining", 2000
	}
	body := map[string]any{
		"service": poolName, "address": lf.w.address, "zone": "z1", "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0, "seq": lf.seq,
		"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemMB, "gpu": 0}, "labels": []string{lf.kind, "r1-1"}, "clock_ms": lf.clock(), "born": lf.born.UnixMilli(),
	}
	if remaining > 0 {
		body["remaining_ms"] = remaining
	}
	lf.mu.Unlock()
	data, _ := json.Marshal(body)
	return lf.report(http.MethodPut, data)
}

// report sends a heartbeat or the notice of the end to the controllers in turn, first to the one that answered last.
func (lf *life) report(method string, body []byte) bool {
	lf.mu.Lock()
	first := lf.next
	lf.mu.Unlock()
	targets := []string{first}
	for _, c := range lf.w.controllers {
		if c != first {
			targets = append(targets, c)
		}
	}
	for _, target := range targets {
		address := target
		for range 3 { // a 307 is followed twice
			status, location := lf.send(method, address, body)
			if status == http.StatusTemporaryRedirect {
				address = location
				continue
			}
			if status/100 == 2 {
				lf.mu.Lock()
				lf.next = address
				lf.mu.Unlock()
				return true
			}
			break
		}
		select {
		case <-lf.over:
			return false
		default:
		}
	}
	return false
}

// send sends one request to a controller. It returns the status, or zero, and the address that a redirect names.
func (lf *life) send(method, address string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), ackTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/instances/"+lf.w.id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := lf.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	location, _ := res.Location()
	if location == nil {
		return res.StatusCode, ""
	}
	return res.StatusCode, location.Host
}

// leave announces that the worker leaves and keeps it serving until the drain time after the acknowledgement has
// passed and its runs have ended. It returns false if there is no acknowledgement.
func (lf *life) leave() bool {
	lf.mu.Lock()
	lf.draining = true
	lf.mu.Unlock()
	acked := lf.heartbeat()
	lf.w.l.note("%s reports draining, acknowledged: %v", lf.name, acked)
	time.Sleep(2 * time.Second)
	for range 200 {
		lf.mu.Lock()
		n := len(lf.runs) + len(lf.ended)
		lf.mu.Unlock()
		if n == 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	close(lf.leaving)
	return acked
}
