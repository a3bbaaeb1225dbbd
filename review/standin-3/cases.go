//go:build review

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

var errNoConfig = fmt.Errorf("no configuration was acknowledged")

// begin declares the first configuration and starts the workers.
func begin(s *system, workers, perRack int, routes ...route) error {
	if !s.putConfig(configBody(1, routes, "a")) {
		return errNoConfig
	}
	err := s.addWorkers(workers, perRack)
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // all workers have reported their runs
	return nil
}

// submitAll hands jobs in, one each interval.
func submitAll(s *system, interval time.Duration, jobs ...*job) error {
	for _, j := range jobs {
		if !s.submit(j) {
			return fmt.Errorf("job %s was not accepted", j.id)
		}
		time.Sleep(interval)
	}
	return nil
}

// neverStarted returns the tasks of a step of a job that no worker has started.
func neverStarted(s *system, j *job, step int) []string {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	var names []string
	for index := range j.Steps[step].Count {
		name := fmt.Sprintf("%s.0.%d.%d", j.id, step, index)
		if len(s.w.task(name).starts) == 0 {
			names = append(names, name)
		}
	}
	return names
}

// turnCame returns when the last task of a step ended "done", or false if one has not.
func turnCame(s *system, j *job, step int) (time.Time, bool) {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	last := time.Time{}
	for index := range j.Steps[step].Count {
		done := false
		for _, e := range s.w.task(fmt.Sprintf("%s.0.%d.%d", j.id, step, index)).ends {
			if e.how == "done" {
				done = true
				if e.at.After(last) {
					last = e.at
				}
			}
		}
		if !done {
			return last, false
		}
	}
	return last, true
}

// checkSecondSteps records the jobs whose second step has not started although its turn has come for 3 s.
func checkSecondSteps(s *system, jobs []*job) {
	for _, j := range jobs {
		state := s.state(j)
		came, ok := turnCame(s, j, 0)
		names := neverStarted(s, j, 1)
		if ok && time.Since(came) > 3*time.Second && len(names) > 0 {
			s.w.mu.Lock()
			s.w.violate("LOST", "job %s is %q: the turn of %v came %.1f s ago, and nothing has started", j.id, state, names, time.Since(came).Seconds())
			s.w.mu.Unlock()
		}
	}
}

// noteLapses records the lapses of tasks that last, of which a step may miss one at a time.
func noteLapses(s *system) {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	lapsed := make(map[string][]string)
	for name, t := range s.w.tasks {
		j, st := s.w.stepOf(name)
		if j == nil || !st.LongRunning {
			continue
		}
		for _, e := range t.ends {
			if e.how == "lapsed" {
				lapsed[stepName(name)] = append(lapsed[stepName(name)], fmt.Sprintf("%s run %d", name, e.run))
			}
		}
	}
	for step, names := range lapsed {
		if len(names) > 1 {
			s.w.violate("AVAIL", "leases of %d tasks of %s lapsed, and it may miss 1: %v", len(names), step, names)
		}
	}
}

// adviceCase removes the route of a queue with advice whose jobs are accepted and have not begun.
func adviceCase(s *system, trouble bool) error {
	plain, advised := route{name: "r-q", prefix: "/q/", service: "a"}, route{name: "r-adv", prefix: "/adv/", service: "a", advice: true}
	s.w.needTicket[advised.prefix] = true
	err := begin(s, 6, 4, plain, advised)
	if err != nil {
		return err
	}
	first := &job{Spec: "first", path: advised.prefix, Steps: []step{{Count: 2, CPU: 1000, MemMB: 512, EstimateMs: 500, work: 500 * time.Millisecond}}}
	err = submitAll(s, 0, first)
	if err != nil {
		return err
	}
	if state := s.await(first, 10*time.Second); state != "complete" {
		return fmt.Errorf("a job of the queue is %s in calm", state)
	}
	var jobs []*job
	for range 3 {
		jobs = append(jobs, &job{Spec: "two steps", path: advised.prefix, Steps: []step{
			{Count: 2, CPU: 1000, MemMB: 512, EstimateMs: 3000, work: 3 * time.Second},
			{Count: 2, CPU: 1000, MemMB: 512, EstimateMs: 500, AfterRev: []int{0}, work: 500 * time.Millisecond},
		}})
	}
	err = submitAll(s, 0, jobs...)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	if trouble {
		if !s.putConfig(configBody(2, []route{plain}, "a")) {
			return errNoConfig
		}
	}
	time.Sleep(20 * time.Second) // finish_s is 14 s
	checkSecondSteps(s, jobs)
	return nil
}

// oddCase sends one entry of another writer, for a service that is not configured.
func oddCase(s *system, trouble bool) error {
	q := route{name: "r-q", prefix: "/q/", service: "a"}
	err := begin(s, 6, 4, q)
	if err != nil {
		return err
	}
	var jobs []*job
	for range 6 {
		jobs = append(jobs, &job{Spec: "two steps", path: q.prefix, Steps: []step{
			{Count: 8, CPU: 1500, MemMB: 512, EstimateMs: 3000, AntiAffinity: 2, work: 3 * time.Second},
			{Count: 1, CPU: 1000, MemMB: 512, EstimateMs: 500, AfterRev: []int{0}, work: 500 * time.Millisecond},
		}})
	}
	err = submitAll(s, 50*time.Millisecond, jobs...)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	if trouble {
		w := s.workers[0]
		body := map[string]any{
			"service": "unnamed", "address": w.listener.Addr().String(), "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": map[string]int{"cpu": w.cpu, "mem_mb": w.memMB, "gpu": 0}, "labels": []string{"a", w.rack}, "clock_ms": 1000, "seq": 1, "born": time.Now().UnixMilli(),
		}
		status := s.callControl(http.MethodPut, "/instances/"+w.id, body, time.Second)
		s.w.Note("another writer: PUT /instances/%s %v -> %d", w.id, body, status)
	}
	time.Sleep(22 * time.Second) // finish_s is 14 s
	checkSecondSteps(s, jobs)
	return nil
}

// rackCase submits one job with many small tasks whose data is in a rack that is busy. Without trouble, the job has as many
// tasks as the largest of the sheets.
func rackCase(s *system, trouble bool) error {
	q := route{name: "r-q", prefix: "/q/", service: "a"}
	err := begin(s, 8, 4, q)
	if err != nil {
		return err
	}
	lasting := &job{Spec: "lasting", path: q.prefix, Steps: []step{{Count: 6, CPU: 1000, MemMB: 512, EstimateMs: 1000, LongRunning: true, MayMiss: 1, AntiAffinity: 1}}}
	fill := &job{Spec: "fill", path: q.prefix, Steps: []step{{Count: 60, CPU: 1000, MemMB: 64, EstimateMs: 20000, DataRack: "r1-0", work: 6 * time.Second}}}
	err = submitAll(s, 2*time.Second, lasting, fill)
	if err != nil {
		return err
	}
	count := 32
	if trouble {
		count = 4000
	}
	big := &job{Spec: "big", path: q.prefix, Steps: []step{{Count: count, CPU: 20, MemMB: 1, EstimateMs: 60000, DataRack: "r1-0", work: 3 * time.Second}}}
	go s.submit(big)
	askLater(s, lasting, fill)
	noteLapses(s)
	return nil
}

// askLater asks for jobs finish_s after the last submission, and records those for which no answer comes. A client asks
// five times, each time with a deadline of 3 s.
func askLater(s *system, jobs ...*job) {
	time.Sleep(14 * time.Second)
	var wg sync.WaitGroup
	for _, j := range jobs {
		wg.Go(func() {
			state := ""
			for range 5 {
				state = s.state(j)
				s.w.Note("client: GET %s%s -> %s", j.path, j.id, state)
				if _, err := strconv.Atoi(state); err != nil {
					return
				}
			}
			s.w.mu.Lock()
			defer s.w.mu.Unlock()
			s.w.violate("LOST", "job %s was accepted, and five requests for its state got no answer: %s", j.id, state)
		})
	}
	wg.Wait()
}

// scheduleCase submits one job with many occurrences that are due already.
func scheduleCase(s *system, trouble bool) error {
	q := route{name: "r-q", prefix: "/q/", service: "a"}
	err := begin(s, 8, 4, q)
	if err != nil {
		return err
	}
	lasting := &job{Spec: "lasting", path: q.prefix, Steps: []step{{Count: 6, CPU: 1000, MemMB: 512, EstimateMs: 1000, LongRunning: true, MayMiss: 1, AntiAffinity: 1}}}
	err = submitAll(s, 2*time.Second, lasting)
	if err != nil {
		return err
	}
	times := 8
	if trouble {
		times = 8640
	}
	// Every 10 s since a time of the day before.
	schedule := &job{
		Spec: "schedule", path: q.prefix, Times: times, IntervalMs: 10000, FirstMs: time.Now().Add(-25 * time.Hour).UnixMilli(),
		Steps: []step{{Count: 1, CPU: 10, MemMB: 1, EstimateMs: 300, work: 300 * time.Millisecond}},
	}
	go s.submit(schedule)
	askLater(s, lasting)
	time.Sleep(30 * time.Second)
	noteLapses(s)
	return nil
}

// publicCase replaces the route of a queue by a public one at the same place while a job of a tenant runs.
func publicCase(s *system, trouble bool) error {
	q, open := route{name: "r-q", prefix: "/q/", service: "a"}, route{name: "r-open", prefix: "/q/", service: "a", public: true}
	if !s.putConfig(withTenant(configBody(1, []route{q}, "a"), 0)) {
		return errNoConfig
	}
	err := s.addWorkers(6, 4)
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var jobs []*job
	for range 3 {
		jobs = append(jobs, &job{Spec: "long", path: q.prefix, Steps: []step{{Count: 2, CPU: 1000, MemMB: 512, EstimateMs: 20000, work: 20 * time.Second}}})
	}
	err = submitAll(s, 0, jobs...)
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		if !s.putConfig(withTenant(configBody(2, []route{open}, "a"), 0)) {
			return errNoConfig
		}
	}
	time.Sleep(5 * time.Second) // visible_ms is 3,000 and config_apply_ms 2,500
	for _, j := range jobs {
		state := s.state(j)
		s.w.Note("client: GET %s%s -> %s", j.path, j.id, state)
		if state == "410" {
			s.w.mu.Lock()
			s.w.violate("LOST", "job %s was accepted %.1f s ago, nobody has canceled it, and its state is answered with 410", j.id, time.Since(j.accepted).Seconds())
			s.w.mu.Unlock()
		}
	}
	canceled := jobs[0]
	status, _ := s.front(http.MethodDelete, canceled.path+canceled.id, nil)
	s.w.Note("client: DELETE %s%s -> %d", canceled.path, canceled.id, status)
	if status != http.StatusOK && status != http.StatusGone {
		return fmt.Errorf("the cancellation was answered with %d", status)
	}
	time.Sleep(5 * time.Second) // cancel_ms is 4,000 and stop_ms 400
	s.w.mu.Lock()
	for index := range canceled.Steps[0].Count {
		name := fmt.Sprintf("%s.0.0.%d", canceled.id, index)
		if running := s.w.task(name).running; len(running) > 0 {
			s.w.violate("UNASKED", "%s runs on %v 5 s after the cancellation of its job was answered with %d", name, running, status)
		}
	}
	s.w.mu.Unlock()
	return nil
}

// quotaCase lowers the limit of a tenant below what one of its tasks needs, whose turn has not come yet.
func quotaCase(s *system, trouble bool) error {
	q := route{name: "r-q", prefix: "/q/", service: "a"}
	if !s.putConfig(withTenant(configBody(1, []route{q}, "a"), 8000)) {
		return errNoConfig
	}
	err := s.addWorkers(6, 4)
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	j := &job{Spec: "two steps", path: q.prefix, Steps: []step{
		{Count: 2, CPU: 1000, MemMB: 512, EstimateMs: 3000, work: 3 * time.Second},
		{Count: 1, CPU: 4000, MemMB: 512, EstimateMs: 500, AfterRev: []int{0}, work: 500 * time.Millisecond},
	}}
	err = submitAll(s, time.Second, j)
	if err != nil {
		return err
	}
	if trouble {
		if !s.putConfig(withTenant(configBody(2, []route{q}, "a"), 3000)) {
			return errNoConfig
		}
	}
	time.Sleep(20 * time.Second) // finish_s is 14 s
	checkSecondSteps(s, []*job{j})
	s.submit(&job{Spec: j.Spec, path: j.path, Steps: j.Steps}) // for the record: the same job, handed in now
	return nil
}

// hotRackCase submits jobs whose data is in a rack that is full, while the other racks are idle. Without trouble, their data
// is in another rack.
func hotRackCase(s *system, trouble bool) error {
	fill, q := route{name: "r-fill", prefix: "/fill/", service: "a"}, route{name: "r-q", prefix: "/q/", service: "a"}
	err := begin(s, 12, 4, fill, q)
	if err != nil {
		return err
	}
	var fillers, jobs []*job
	for range 8 {
		fillers = append(fillers, &job{Spec: "fill", path: fill.prefix, Steps: []step{{Count: 8, CPU: 1000, MemMB: 512, EstimateMs: 20000, DataRack: "r1-0", work: 20 * time.Second}}})
	}
	rack := "r1-1"
	if trouble {
		rack = "r1-0"
	}
	for range 4 {
		jobs = append(jobs, &job{Spec: "wait", path: q.prefix, Steps: []step{{Count: 8, CPU: 1000, MemMB: 512, EstimateMs: 14000, DataRack: rack, work: 14 * time.Second}}})
	}
	err = submitAll(s, 0, fillers...)
	if err == nil {
		time.Sleep(time.Second)
		err = submitAll(s, 0, jobs...)
	}
	if err != nil {
		return err
	}
	time.Sleep(14 * time.Second) // finish_s
	idleSince := time.Now()
	for time.Since(idleSince) < 3*time.Second {
		time.Sleep(50 * time.Millisecond)
		s.w.mu.Lock()
		used, isBusy := 0, false
		for _, w := range s.workers {
			cpu, _ := w.used()
			used += cpu
		}
		for name, t := range s.w.tasks {
			j, _ := s.w.stepOf(name)
			isBusy = isBusy || (j == jobs[0] && (len(t.running) > 0 || len(t.ends) > 0))
		}
		s.w.mu.Unlock()
		if isBusy || 2*used >= 12*16000 {
			return nil
		}
	}
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	s.w.violate("LOST", "job %s, accepted %.1f s ago, has had nothing running for 3 s, and two racks of three are idle", jobs[0].id, time.Since(jobs[0].accepted).Seconds())
	return nil
}
