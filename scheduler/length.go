package scheduler

import (
	"maps"
	"time"

	"laburnumwind/registrar"
)

const (
	minSampleWeight = 0.05 // minimum weight of one task in the average of its queue, so that the average follows changes
	minSamples      = 10   // minimum number of tasks for the average to replace the caller's estimate
)

// runTimeStats is the moving average of the run times of a queue's tasks.
type runTimeStats struct {
	mean    time.Duration
	samples int
}

// With returns the statistics with the run time of one more task.
func (s runTimeStats) With(runTime time.Duration) runTimeStats {
	s.samples++
	weight := max(minSampleWeight, 1/float64(s.samples))
	s.mean += time.Duration(weight * float64(runTime-s.mean))
	return s
}

// recordRunTime adds the run time of a successful task to the statistics of its queue.
// Long-running tasks are excluded since they run until they are stopped, and best-effort tasks since
// their run time depends on the other tasks of the worker. The run time on a rack other than that of the data counts
// as if it had been on that rack; that of a step whose tasks slow each other down is excluded.
func (t *transition) recordRunTime(w worker, r run, reason registrar.EndReason) {
	j, ok := t.committed.Job(r.task.Job)
	if !ok || reason != registrar.EndDone || r.longRunning || r.bestEffort || r.startConfirmedAt.IsZero() {
		return
	}
	runTime, ok := t.nearRunTime(w, r, j, t.now.Sub(r.startConfirmedAt))
	if !ok {
		return
	}
	t.runTimes = maps.Clone(t.runTimes)
	if t.runTimes == nil {
		t.runTimes = make(map[string]runTimeStats)
	}
	t.runTimes[j.Queue] = t.runTimes[j.Queue].With(runTime)
}

// expectedRunTime returns the expected run time of a task of a step: the average of its queue,
// since callers' estimates are inaccurate, or the caller's estimate until there are minSamples.
func (t *transition) expectedRunTime(queue string, step registrar.Step) time.Duration {
	stats := t.runTimes[queue]
	if stats.samples < minSamples {
		return step.Estimate
	}
	return stats.mean
}

// criticalPath returns the expected run time of the longest chain of dependent steps that
// are not done in an occurrence. An empty occurrence counts all steps.
func (t *transition) criticalPath(j registrar.Job, o registrar.Occurrence) time.Duration {
	var buffer [8]time.Duration // enough for most jobs, so that a pass allocates nothing for them
	ends := buffer[:0]
	longest := time.Duration(0)
	for i, s := range j.Steps {
		start := time.Duration(0)
		for _, dependency := range s.After {
			start = max(start, ends[dependency])
		}
		if i >= len(o.Remaining) || o.Remaining[i] > 0 {
			start += t.expectedRunTime(j.Queue, s)
			if i < len(o.Steps) && t.runsFar(s, o.Steps[i]) {
				start += t.remoteDelay(t.expectedRunTime(j.Queue, s))
			}
		}
		ends = append(ends, start)
		longest = max(longest, start)
	}
	return longest
}
