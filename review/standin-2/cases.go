//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"
)

// jobID returns the ID of the nth job of a case.
func jobID(n int) string { return fmt.Sprintf("5c0e7a21d94b%04x", n) }

// Times of the case gang-end.
const (
	gangEndLead   = 100 * time.Millisecond // from the cut until the job is handed in
	gangEndCut    = 5 * time.Second
	gangEndCalm   = 3 * time.Second  // contact_ms
	gangEndAck    = 4 * time.Second  // ack_ms
	gangEndFinish = 14 * time.Second // finish_s
	gangEndAsk    = 10 * time.Second // how long the jobs are asked for
)

// playGangEnd hands in a gang of one task for each worker. From just before until well after its end, the answers of
// one worker are held up. The rule LOST asks that jobs are known and that calls for them are answered finish_s later.
func playGangEnd(rec *record, trouble bool) (verdict, error) {
	s, err := newSystem(rec, 6)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return verdict{}, err
	}
	err = s.submit(jobID(0), step{count: 12, cpu: 4000, work: 500 * time.Millisecond}) // opens connections to all workers
	if err != nil {
		return verdict{}, err
	}
	s.await(jobID(0), 10*time.Second)
	w := s.fleet.all[0]
	if trouble {
		rec.line("the answers of %s are held up", w.id)
		w.proxy.setCut(true)
		time.Sleep(gangEndLead)
	}
	err = s.submit(jobID(1), step{count: 6, cpu: 1000, gang: true, work: 900 * time.Millisecond})
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(gangEndCut)
	w.proxy.setCut(false)
	rec.line("the link to %s is whole", w.id)
	time.Sleep(gangEndCalm)
	acked := s.awaitConfig(2, gangEndAck)
	time.Sleep(gangEndFinish - gangEndAck)
	known := 0
	for n := range 2 {
		if s.await(jobID(n), gangEndAsk) {
			known++
		}
	}
	text := fmt.Sprintf("%d of 2 accepted jobs were shown as complete; a configuration was acknowledged: %t; processes that ended by themselves: %d", known, acked, s.ownEnds())
	return verdict{broken: known < 2, text: text}, nil
}

// awaitConfig sends a configuration until it is acknowledged, and returns whether it was.
func (s *system) awaitConfig(version int, timeout time.Duration) bool {
	body := strings.Replace(config, `"version":1`, fmt.Sprintf(`"version":%d`, version), 1)
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		status, _ := s.control(http.MethodPut, "/config", body)
		s.rec.line("operator: PUT /config version %d: %d", version, status)
		if status == http.StatusOK {
			return true
		}
	}
	return false
}

// ownEnds returns how often processes ended by themselves.
func (s *system) ownEnds() int {
	n := 0
	for _, p := range s.processes {
		p.mu.Lock()
		n += p.ends
		p.mu.Unlock()
	}
	return n
}

// Times of the case lost-run.
const (
	lostRunCrash  = time.Second
	lostRunFinish = 14 * time.Second
	lostRunIdle   = 3 * time.Second
)

// playLostRun crashes a worker that has runs. It starts again under its id. One entry of its list of runs comes from
// another writer. The rule LOST allows no job with nothing running for three seconds while there is room for it.
func playLostRun(rec *record, trouble bool) (verdict, error) {
	s, err := newSystem(rec, 7)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return verdict{}, err
	}
	job := jobID(1)
	err = s.submit(job, step{count: 42, cpu: 1000, work: 3 * time.Second})
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(1500 * time.Millisecond)
	w := s.busiest()
	s.fleet.mu.Lock()
	w.foreign = json.RawMessage(`["another-writer"]`)
	s.fleet.mu.Unlock()
	rec.line("%s lists an entry of another writer beside its runs", w.id)
	if trouble {
		w.crash(false)
		time.Sleep(lostRunCrash)
		err = w.restart()
		if err != nil {
			return verdict{}, fmt.Errorf("restart worker: %w", err)
		}
	}
	time.Sleep(lostRunFinish)
	idleSince := time.Now()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		state := s.state(job)
		if state == "complete" {
			return verdict{text: "the job is complete"}, nil
		}
		s.fleet.mu.Lock()
		ofJob, ofAll := s.fleet.running(job)
		s.fleet.mu.Unlock()
		if ofAll > 0 || state == "" {
			idleSince = time.Now()
		}
		rec.line("client: job %s is %q; %d of its tasks run, %d tasks in all", job, state, ofJob, ofAll)
		if time.Since(idleSince) > lostRunIdle {
			return verdict{broken: true, text: fmt.Sprintf("job is %q with nothing running for %v, and all workers are empty", state, lostRunIdle)}, nil
		}
	}
	return verdict{text: "the job was at work"}, nil
}

// busiest returns the worker with the most runs.
func (s *system) busiest() *worker {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return slices.MaxFunc(s.fleet.all, func(a, b *worker) int { return len(a.runs) - len(b.runs) })
}

// Times and sizes of the case pending.
const (
	pendingJobs = 10
	pendingAge  = 5 * time.Second         // visible_ms and 2 s more
	pendingGrey = 6500 * time.Millisecond // length of the disruption
)

// playPending keeps nine of ten workers busy and hands in jobs that no worker can start, because the tenth rejects all
// starts. The rule MIXED allows no daemon to count under half of these jobs as pending.
func playPending(rec *record, trouble bool) (verdict, error) {
	s, err := newSystem(rec, 10)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return verdict{}, err
	}
	err = s.submit(jobID(0), step{count: 72, cpu: 1000, work: 25 * time.Second})
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	s.fleet.mu.Lock()
	w := slices.MinFunc(s.fleet.all, func(a, b *worker) int { return len(a.runs) - len(b.runs) })
	w.unhealthy = trouble
	s.fleet.mu.Unlock()
	rec.line("%s rejects starts: %t", w.id, trouble)
	greyUntil := time.Now().Add(pendingGrey)
	for n := 1; n <= pendingJobs; n++ {
		err = s.submit(jobID(n), step{count: 1, cpu: 1000, work: 25 * time.Second})
		if err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(pendingAge + 100*time.Millisecond)
	v := verdict{text: "at least half of the waiting jobs were counted"}
	for time.Now().Before(greyUntil) {
		waiting := s.notBegun()
		_, data := s.entry(http.MethodGet, "/q/", "")
		waiting = min(waiting, s.notBegun())
		rec.line("client: GET /q/: %s; %d accepted jobs have not begun", data, waiting)
		var body struct {
			Pending *int `json:"pending"`
		}
		if json.Unmarshal(data, &body) == nil && body.Pending != nil && 2**body.Pending < waiting {
			v = verdict{broken: true, text: fmt.Sprintf("pending is %d while %d jobs that were accepted over %v ago have not begun", *body.Pending, waiting, pendingAge)}
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.fleet.mu.Lock()
	w.unhealthy = false
	s.fleet.mu.Unlock()
	return v, nil
}

// notBegun returns how many of the jobs have had no start.
func (s *system) notBegun() int {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	begun := make(map[string]bool)
	for _, seen := range s.fleet.starts {
		begun[seen.task[:strings.IndexByte(seen.task, '.')]] = true
	}
	return len(s.fleet.jobs) - len(begun)
}

// Times of the case checkpoints.
const (
	checkpointsBefore = 3500 * time.Millisecond
	checkpointsCrash  = 4500 * time.Millisecond
	checkpointsWait   = 20 * time.Second
)

// playCheckpoints crashes the worker of one member of a gang that checkpoints its progress. The pages ask that all
// members of a run start with the same checkpoint.
func playCheckpoints(rec *record, trouble bool) (verdict, error) {
	s, err := newSystem(rec, 7)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return verdict{}, err
	}
	job := jobID(1)
	err = s.submit(job, step{count: 4, cpu: 1000, gang: true, saves: true, work: 8 * time.Second})
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(checkpointsBefore)
	if trouble {
		w := s.busiest()
		w.crash(false)
		time.Sleep(checkpointsCrash)
		err = w.restart()
		if err != nil {
			return verdict{}, fmt.Errorf("restart worker: %w", err)
		}
	}
	complete := s.await(job, checkpointsWait)
	values := make(map[int]map[string]bool) // by run
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, seen := range s.fleet.starts {
		if values[seen.run] == nil {
			values[seen.run] = make(map[string]bool)
		}
		values[seen.run][seen.checkpoint] = true
	}
	v := verdict{text: fmt.Sprintf("all members of each of %d runs carried the same checkpoint; complete: %t", len(values), complete)}
	for number, set := range values {
		if len(set) > 1 {
			v = verdict{broken: true, text: fmt.Sprintf("the members of run %d carried %d different checkpoints; complete: %t", number, len(set), complete)}
		}
	}
	return v, nil
}

// Times and sizes of the case restart-limit.
const (
	limitSlow    = time.Second            // the provider takes this long for an order
	limitRestart = 150 * time.Millisecond // from the arrival of the first order until the leader is restarted
	limitWait    = 40 * time.Second
)

// playRestartLimit starts a wave in which one machine may be down at a time. The leader is restarted while its first
// order is being carried out. The rule LIMIT allows no upkeep to begin while another machine of the wave is down.
func playRestartLimit(rec *record, trouble bool) (verdict, error) {
	s, err := newSystem(rec, 6)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return verdict{}, err
	}
	s.fleet.mu.Lock()
	s.provider.wave, s.provider.limit, s.provider.slow = []string{machineName(0), machineName(1), machineName(2)}, 1, limitSlow
	s.fleet.mu.Unlock()
	status, _ := s.control(http.MethodPost, "/wave-start", `{"wave":1,"machines":["m-0","m-1","m-2"],"finish_by_s":26,"max_count":1}`)
	rec.line("operator: POST /wave-start: %d", status)
	if status != http.StatusOK {
		return verdict{}, fmt.Errorf("wave-start: status %d", status)
	}
	s.awaitOrder()
	if trouble {
		time.Sleep(limitRestart)
		err = s.terminateLeader()
		if err != nil {
			return verdict{}, err
		}
	}
	for deadline := time.Now().Add(limitWait); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		_, data := s.control(http.MethodGet, "/wave-get/1", "")
		if strings.Contains(string(data), "complete") {
			rec.line("operator: GET /wave-get/1: %s", data)
			break
		}
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if s.provider.over != "" {
		return verdict{broken: true, text: s.provider.over}, nil
	}
	return verdict{text: fmt.Sprintf("%d of 3 machines had their upkeep, one at a time", len(s.provider.done))}, nil
}

// awaitOrder waits until the provider has received an order, for at most the time of a wave.
func (s *system) awaitOrder() {
	for deadline := time.Now().Add(limitWait); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		s.fleet.mu.Lock()
		n := len(s.provider.orders)
		s.fleet.mu.Unlock()
		if n > 0 {
			return
		}
	}
}

// terminateLeader sends SIGTERM to the controller that leads. It is started again once it has ended.
func (s *system) terminateLeader() error {
	for _, p := range s.processes[:controllers] {
		status, _, _ := s.call(http.MethodGet, "http://"+p.ip+":8623/config", "", callTimeout)
		if status != http.StatusOK {
			continue // a follower redirects
		}
		s.rec.line("SIGTERM to %s, which leads", p.name)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.asked = true
		return p.cmd.Process.Signal(syscall.SIGTERM)
	}
	return fmt.Errorf("no controller leads")
}

// Times and sizes of the case restart-evict.
const (
	evictJobs    = 6
	evictRounds  = 7
	evictRestart = 250 * time.Millisecond // from the first stop of a wave until the leader is restarted
	evictRound   = 11 * time.Second
	evictShort   = 120 * time.Millisecond // between two short jobs
)

// playRestartEvict keeps jobs that last at work beside short ones, and starts a maintenance wave again and again. Each
// time, the leader is restarted while it moves tasks off the machines. The rule AVAIL allows no order to end a task of a
// step with may_miss while so many others of the step are away.
func playRestartEvict(rec *record, trouble bool) (verdict, error) {
	s, err := newSystem(rec, 10)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return verdict{}, err
	}
	for n := range evictJobs {
		err = s.submit(jobID(n), step{count: 5, cpu: 700, lasts: true, mayMiss: 1, work: time.Second})
		if err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(2 * time.Second)
	done := make(chan struct{})
	defer close(done)
	go s.submitShortJobs(done)
	for round := 1; round <= evictRounds; round++ {
		end := time.Now().Add(evictRound)
		err = s.playEviction(round, trouble)
		if err != nil {
			return verdict{}, err
		}
		time.Sleep(time.Until(end))
		s.fleet.mu.Lock()
		over := s.fleet.overBudget
		s.fleet.mu.Unlock()
		if over != "" {
			return verdict{broken: true, text: fmt.Sprintf("wave %d: %s", round, over)}, nil
		}
	}
	return verdict{text: fmt.Sprintf("no budget was overdrawn in %d waves", evictRounds)}, nil
}

// submitShortJobs hands in short jobs until done is closed.
func (s *system) submitShortJobs(done chan struct{}) {
	for n := 100; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(evictShort):
		}
		_ = s.submit(jobID(n), step{count: 1 + n%4, cpu: 900, work: time.Duration(300+n*137%1200) * time.Millisecond}) // one that is refused is not missed
	}
}

// playEviction starts a wave of half of the machines, and restarts the leader after its first stop.
func (s *system) playEviction(wave int, trouble bool) error {
	var names []string
	s.fleet.mu.Lock()
	for n := range s.fleet.all {
		if (n+wave)%2 == 0 {
			names = append(names, machineName(n))
		}
	}
	s.provider.wave, s.provider.limit, s.provider.done = names, len(names), make(map[string]bool)
	stops := s.fleet.stops
	s.fleet.mu.Unlock()
	list, err := json.Marshal(names)
	if err != nil {
		return fmt.Errorf("encode wave: %w", err)
	}
	status, _ := s.control(http.MethodPost, "/wave-start", fmt.Sprintf(`{"wave":%d,"machines":%s,"finish_by_s":26,"max_count":1}`, wave, list))
	s.rec.line("operator: POST /wave-start of wave %d, %s: %d", wave, list, status)
	if status != http.StatusOK {
		return fmt.Errorf("wave-start: status %d", status)
	}
	for deadline := time.Now().Add(evictRound / 2); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		s.fleet.mu.Lock()
		stopped := s.fleet.stops > stops
		s.fleet.mu.Unlock()
		if stopped {
			break
		}
	}
	if !trouble {
		return nil
	}
	time.Sleep(evictRestart)
	return s.terminateLeader()
}
