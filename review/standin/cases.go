//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"
)

func constant(d time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return d }
}

// startWorkers begins the first life of each worker.
func (s *system) startWorkers(kinds ...string) ([]*life, error) {
	var lives []*life
	for n, w := range s.workers {
		lf, err := w.start(1, kinds[n%len(kinds)])
		if err != nil {
			return nil, err
		}
		lives = append(lives, lf)
	}
	time.Sleep(3 * time.Second) // until the workers are known
	return lives, nil
}

// feed submits a job each interval until stop is closed, and sends the IDs of the accepted ones.
func (s *system) feed(interval time.Duration, steps func() []step, stop <-chan struct{}) <-chan []string {
	result := make(chan []string, 1)
	go func() {
		var ids []string
		for n := 0; ; n++ {
			select {
			case <-stop:
				result <- ids
				return
			case <-time.After(interval):
			}
			id := fmt.Sprintf("%08x%08x", rand.Uint32(), n)
			if s.submit(id, steps()) {
				ids = append(ids, id)
			}
		}
	}()
	return result
}

// lateDeparture restarts a worker in place: it drains, announces its end, ends and begins again under its ID. The
// disruption is a cut between the worker and all machines while it announces its end, so that the announcement
// arrives after the next life has registered.
func lateDeparture(s *system, trouble bool) (string, error) {
	lives, err := s.startWorkers("a")
	if err != nil {
		return "", err
	}
	stop := make(chan struct{})
	jobs := s.feed(time.Second, func() []step {
		return []step{{Count: 3, CPU: 2000, MemMB: 1000, Estimate: 6000, runTime: constant(6 * time.Second)}}
	}, stop)
	time.Sleep(4 * time.Second)
	first, w := lives[0], s.workers[0]
	if !first.leave() {
		return "", fmt.Errorf("the drain was not acknowledged")
	}
	const cutFor = 8 * time.Second
	cutAt := time.Now()
	if trouble {
		s.l.note("the links of %s are cut", w.id)
		w.link.cut()
		time.Sleep(300 * time.Millisecond)
	}
	acked := first.report("DELETE", nil)
	s.l.note("%s announces its end, acknowledged: %v", first.name, acked)
	if trouble && acked {
		return "", fmt.Errorf("the announcement was acknowledged during the cut")
	}
	first.end("planned")
	if trouble {
		time.Sleep(time.Until(cutAt.Add(cutFor)))
		s.l.note("the links of %s are whole again", w.id)
		w.link.heal()
	} else {
		time.Sleep(2 * time.Second)
	}
	if _, err = w.start(2, "a"); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	close(stop) // the demand falls
	s.await(<-jobs, 40*time.Second)
	return "TWICE", nil
}

// manyEnds runs a wide job of small tasks on two workers. The disruption is the kill of the leader while they run, so
// that more ends than one list holds wait for the next leader.
func manyEnds(s *system, trouble bool) (string, error) {
	if _, err := s.startWorkers("a"); err != nil {
		return "", err
	}
	leader := s.leader()
	if leader == nil {
		return "", fmt.Errorf("no leader")
	}
	id := fmt.Sprintf("%016x", rand.Uint64())
	started := time.Now()
	if !s.submit(id, []step{{Count: 1500, CPU: 10, MemMB: 20, Estimate: 5000, runTime: func(int) time.Duration {
		return time.Until(started.Add(12*time.Second)) + time.Duration(rand.Int64N(int64(350*time.Millisecond)))
	}}}) {
		return "", fmt.Errorf("the job was not accepted")
	}
	time.Sleep(time.Until(started.Add(11900 * time.Millisecond)))
	if trouble {
		s.kill(leader)
		time.Sleep(3 * time.Second)
		if err := s.startProcess(leader); err != nil {
			return "", err
		}
	}
	s.await([]string{id}, 40*time.Second)
	time.Sleep(2 * time.Second)
	return "TWICE", nil
}

// otherKind crashes a worker while it gets orders. It begins again under its ID, at its address, on a machine of
// another kind.
func otherKind(s *system, trouble bool) (string, error) {
	lives, err := s.startWorkers("a", "b")
	if err != nil {
		return "", err
	}
	crashed := make(chan struct{})
	first, w := lives[0], s.workers[0]
	if trouble {
		first.dropped = func(path string) bool {
			if path != "/run-start" {
				return false
			}
			select {
			case <-crashed:
			default:
				close(crashed)
				go first.end("crashed")
			}
			return true
		}
	}
	id := fmt.Sprintf("%016x", rand.Uint64())
	if !s.submit(id, []step{{Count: 4, CPU: 2000, MemMB: 1000, Estimate: 2000, Requires: "a", runTime: constant(2 * time.Second)}}) {
		return "", fmt.Errorf("the job was not accepted")
	}
	if trouble {
		<-crashed
		time.Sleep(time.Second)
		if _, err = w.start(2, "b"); err != nil {
			return "", err
		}
	}
	time.Sleep(8 * time.Second)
	return "ROUTE", nil
}

// replacement replaces a controller as planned: the new machine starts first, and the old one is removed once the new
// one has had its time to catch up. The disruption is that a second controller, whose successor has had that time too,
// is then replaced in the same way.
func replacement(s *system, trouble bool) (string, error) {
	const (
		catchup   = 4 * time.Second         // catchup_s
		betweenOf = 3200 * time.Millisecond // more than contact_ms
	)
	if _, err := s.startWorkers("a"); err != nil {
		return "", err
	}
	stop := make(chan struct{})
	jobs := s.feed(300*time.Millisecond, func() []step {
		return []step{{Count: 2, CPU: 2000, MemMB: 1000, Estimate: 1000, runTime: constant(time.Second)}}
	}, stop)
	leader := s.leader()
	if leader == nil {
		return "", fmt.Errorf("no leader")
	}
	var old []*process
	for _, p := range s.processes[:3] {
		if p != leader {
			old = append(old, p)
		}
	}
	seeds := []string{strconv.Quote(leader.ip + ":8623"), strconv.Quote(old[0].ip + ":8623"), strconv.Quote(old[1].ip + ":8623")}
	for n := range 2 {
		if _, err := s.addProcess("control", 3+n, seeds, false); err != nil {
			return "", err
		}
	}
	time.Sleep(catchup + 500*time.Millisecond)
	s.terminate(old[0]) // it doesn't come back
	time.Sleep(betweenOf)
	if trouble {
		s.terminate(old[1]) // it doesn't come back
	}
	time.Sleep(catchup + 12*time.Second) // recovery_s
	close(stop)
	ids := <-jobs
	time.Sleep(14 * time.Second) // finish_s
	s.l.note("the %d accepted jobs are asked for", len(ids))
	lost := make(map[string]string)
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		lost = make(map[string]string)
		for _, id := range ids {
			state, status := s.state(id)
			if state != "complete" {
				lost[id] = fmt.Sprintf("%q (status %d)", state, status)
			}
			if len(lost) > 0 && time.Now().After(deadline) {
				break
			}
		}
		if len(lost) == 0 {
			break
		}
	}
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	for id, state := range lost {
		s.l.breach("LOST", "accepted job %s is %s", id, state)
	}
	return "LOST", nil
}

// unreadableID lets another writer announce the end of a worker whose ID is bytes that can't be read.
func unreadableID(s *system, trouble bool) (string, error) {
	if _, err := s.startWorkers("a"); err != nil {
		return "", err
	}
	leader := s.leader()
	if leader == nil {
		return "", fmt.Errorf("no leader")
	}
	chain := []step{{Count: 3, CPU: 2000, MemMB: 1000, Estimate: 1000, runTime: constant(time.Second)}}
	for n := range 5 {
		next := chain[0]
		next.After = []int{n}
		chain = append(chain, next)
	}
	var ids []string
	for range 4 {
		id := fmt.Sprintf("%016x", rand.Uint64())
		if !s.submit(id, chain) {
			return "", fmt.Errorf("a job was not accepted")
		}
		ids = append(ids, id)
	}
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		status, _, _ := s.call("DELETE", s.ip(1, 0)+":8623", "/instances/%FF%FE", "", nil)
		s.l.note("another writer: DELETE /instances/%%FF%%FE: %d", status)
	}
	time.Sleep(6 * time.Second)
	s.submit(fmt.Sprintf("%016x", rand.Uint64()), chain[:1])
	if s.await(ids, 14*time.Second) { // finish_s
		return "LOST", nil
	}
	stalled := s.l.idleFor()
	for _, id := range ids {
		if state, status := s.state(id); state != "complete" && stalled > 3*time.Second {
			s.l.mu.Lock()
			s.l.breach("LOST", "accepted job %s is %q (status %d), and no worker has had anything to run for %v", id, state, status, stalled.Round(100*time.Millisecond))
			s.l.mu.Unlock()
		}
	}
	s.kill(leader)
	if err := s.startProcess(leader); err != nil {
		return "", err
	}
	err := leader.cmd.Wait()
	s.l.note("%s, started again, has ended by itself: %v", leader.name, err)
	return "LOST", nil
}

// countPending crashes one of seven workers, the only one with room, as jobs are handed in, and asks how many of them
// are pending while none has begun.
func countPending(s *system, trouble bool) (string, error) {
	for _, w := range s.workers[1:] {
		if _, err := w.start(1, "a"); err != nil {
			return "", err
		}
	}
	time.Sleep(3 * time.Second)
	lasting := fmt.Sprintf("%016x", rand.Uint64())
	if !s.submit(lasting, []step{{Count: 48, CPU: 2000, MemMB: 1000, Estimate: 60000, LongRunning: true, runTime: constant(time.Hour)}}) {
		return "", fmt.Errorf("the lasting job was not accepted")
	}
	time.Sleep(4 * time.Second)
	w := s.workers[0]
	first, err := w.start(1, "a")
	if err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		w.link.cut()
		first.fallSilent("crashed")
	}
	var ids []string
	for range 6 {
		id := fmt.Sprintf("%016x", rand.Uint64())
		if !s.submit(id, []step{{Count: 1, CPU: 2000, MemMB: 1000, Estimate: 2000, runTime: constant(2 * time.Second)}}) {
			return "", fmt.Errorf("a job was not accepted")
		}
		ids = append(ids, id)
	}
	time.Sleep(5500 * time.Millisecond) // visible_ms and 2 s more
	for n := range 2 {
		waiting := s.l.notBegun(ids)
		pending, ok := s.pending(n)
		s.l.note("client: %d of %d jobs have not begun, GET %s at entry instance %d gives pending %d (read: %v)", waiting, len(ids), prefix, n, pending, ok)
		if ok && 2*pending < waiting {
			s.l.mu.Lock()
			s.l.breach("MIXED", "pending is given as %d, while %d jobs that were accepted over 5 s before have not begun", pending, waiting)
			s.l.mu.Unlock()
		}
	}
	if trouble {
		first.end("crashed")
		w.link.heal()
		if _, err := w.start(2, "a"); err != nil {
			return "", err
		}
	}
	s.await(ids, 20*time.Second)
	return "MIXED", nil
}

// silentWorker lets one of seven workers fall silent for good while it runs tasks that last, and kills the leader
// before the lease has ended.
func silentWorker(s *system, trouble bool) (string, error) {
	lives, err := s.startWorkers("a")
	if err != nil {
		return "", err
	}
	id := fmt.Sprintf("%016x", rand.Uint64())
	if !s.submit(id, []step{{Count: 5, CPU: 1500, MemMB: 1000, Estimate: 60000, LongRunning: true, runTime: constant(time.Hour)}}) {
		return "", fmt.Errorf("the job was not accepted")
	}
	time.Sleep(5 * time.Second)
	leader := s.leader()
	if leader == nil {
		return "", fmt.Errorf("no leader")
	}
	var tasks []string
	for n, lf := range lives {
		lf.mu.Lock()
		for task := range lf.runs {
			tasks = append(tasks, task)
		}
		lf.mu.Unlock()
		if len(tasks) > 0 {
			if trouble {
				s.workers[n].link.cut()
				lf.fallSilent("crashed for good")
			}
			break
		}
	}
	if len(tasks) == 0 {
		return "", fmt.Errorf("no task runs")
	}
	silentAt := time.Now()
	if trouble && os.Getenv("TROUBLE") != "crash" { // TROUBLE=crash: the crash alone
		time.Sleep(4 * time.Second)
		s.kill(leader)
		time.Sleep(500 * time.Millisecond)
		if err := s.startProcess(leader); err != nil {
			return "", err
		}
	}
	time.Sleep(time.Until(silentAt.Add(16 * time.Second)))
	if !trouble {
		return "LOST", nil
	}
	for _, task := range tasks {
		s.l.mu.Lock()
		down := time.Since(silentAt)
		for _, start := range s.l.starts[task] {
			if start.at.After(silentAt) {
				down = min(down, start.at.Sub(silentAt))
			}
		}
		s.l.note("%s has not run for %v", task, down.Round(10*time.Millisecond))
		if down > 9*time.Second {
			s.l.breach("LOST", "%s, which lasts, has not run for %v", task, down.Round(10*time.Millisecond))
		}
		s.l.mu.Unlock()
	}
	return "LOST", nil
}
