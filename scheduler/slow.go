package scheduler

import (
	"maps"
	"slices"
	"time"

	"laburnumwind/messenger"
)

// Thresholds for the ejection of slow workers, by the progress of their runs compared to
// the expected run times of their queues.
const (
	minJobsForSpeed        = 3                      // minimum number of jobs on a worker to judge its speed, since the run times of single jobs vary
	minRunAge              = 500 * time.Millisecond // runs younger than this are ignored, since their progress does not show the speed yet
	slowWorkerPause        = 2 * time.Second        // how long an ejected worker gets no starts
	maxSlowShare           = 0.25                   // maximum share of a pool's workers that may be ejected at once
	minRemainingForRestart = 1.5                    // a run is restarted on another worker if its remaining time exceeds StopTimeout plus this multiple of its expected run time
)

// speedRatio returns the median ratio of actual to expected speed over a worker's jobs; one
// is the expected speed. Each job counts once, by its fastest run, since the run times of
// one job's tasks are correlated. It returns false if there are fewer than minJobsForSpeed
// jobs.
func (w worker) speedRatio(reportedAt time.Time) (float64, bool) {
	fastest := make(map[string]float64)
	for _, r := range w.runs.All() {
		s, ok := r.speedRatio(reportedAt)
		if ok {
			fastest[r.task.Job] = max(fastest[r.task.Job], s)
		}
	}
	if len(fastest) < minJobsForSpeed {
		return 1, false
	}
	speeds := slices.Sorted(maps.Values(fastest))
	return speeds[len(speeds)/2], true
}

// speedRatio returns the ratio of a run's actual to its expected speed. It returns false
// if the run is too young or its progress does not measure the speed of the worker.
func (r run) speedRatio(reportedAt time.Time) (float64, bool) {
	elapsed := reportedAt.Sub(r.startConfirmedAt)
	if !r.reported || r.longRunning || r.bestEffort || r.checkpoint != "" || r.expectedRunTime == 0 || r.inherited || elapsed < minRunAge {
		return 0, false
	}
	return float64(r.progressPercent) / 100 * r.expectedRunTime.Seconds() / elapsed.Seconds(), true
}

// ejectSlowWorker pauses starts on a worker that is a slow outlier, and stops its slow runs whose
// remaining time is so long that a restart on another worker is faster: see minRemainingForRestart.
func (t *transition) ejectSlowWorker(id string) {
	if t.cfg.MinSpeedRatio == 0 {
		return
	}
	w, _ := t.workers.Get(id)
	speed, ok := w.speedRatio(w.reportRequestedAt)
	if !ok || speed >= t.cfg.MinSpeedRatio || !t.mayEjectSlow(w) {
		return
	}
	w.noStartsUntil, w.slowUntil = t.now.Add(slowWorkerPause), t.now.Add(slowWorkerPause)
	t.setWorker(w)
	t.logDecision(messenger.Decision{Event: "slowWorker", Instance: w.ID, Pool: w.Pool, Candidates: w.runs.Len(), Age: t.now.Sub(w.reportRequestedAt)})
	for _, r := range w.runs.All() {
		s, ok := r.speedRatio(w.reportRequestedAt)
		if !ok || s >= t.cfg.MinSpeedRatio || r.stopping || r.endProposed || !r.committed {
			continue
		}
		remaining := r.expectedRunTime.Seconds() / max(s, t.cfg.MinSpeedRatio/100) * float64(100-r.progressPercent) / 100
		if remaining > minRemainingForRestart*r.expectedRunTime.Seconds()+t.cfg.StopTimeout.Seconds() {
			w, _ = t.workers.Get(id)
			t.stop(w, r, "its worker is slow")
		}
	}
}

// mayEjectSlow reports whether w may be ejected as slow, within the limit for its pool. The
// limit is never below one worker.
func (t *transition) mayEjectSlow(w worker) bool {
	total, slow := 0, 0
	for _, other := range t.workers.All() {
		if other.Pool != w.Pool || other.departed {
			continue
		}
		total++
		if other.ID != w.ID && t.now.Before(other.slowUntil) {
			slow++
		}
	}
	return float64(slow+1) <= max(maxSlowShare*float64(total), 1)
}
