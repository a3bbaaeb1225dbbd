package scheduler

import (
	"time"

	"laburnumwind/registrar"
)

// rackOf returns the rack of a worker, or "" if the worker is unknown.
func (t *transition) rackOf(id string) string {
	w, _ := t.workers.Get(id)
	return w.Rack()
}

// remoteDelay returns how much longer a task takes on a rack that is not the one of its data or of its group.
func (t *transition) remoteDelay(runTime time.Duration) time.Duration {
	return time.Duration((t.cfg.RemoteRunTimeFactor - 1) * float64(runTime))
}

// runsFar reports whether a task of a step runs, or has run, on a rack on which the step takes longer.
func (t *transition) runsFar(step registrar.Step, tasks []registrar.Task) bool {
	if t.cfg.RemoteRunTimeFactor <= 1 || (step.DataRack == "" && !step.SameRack) {
		return false
	}
	expected := step.DataRack
	for _, task := range tasks {
		if task.Phase != registrar.Running && task.Phase != registrar.Done {
			continue
		}
		rack := t.rackOf(task.Worker)
		if rack == "" {
			continue
		}
		if expected != "" && rack != expected {
			return true
		}
		if step.SameRack {
			expected = rack
		}
	}
	return false
}

// nearRunTime returns the run time that a run would have had on the rack of its data. It returns false if that is
// unknown, because the tasks of the step slow each other down.
func (t *transition) nearRunTime(w worker, r run, j registrar.Job, runTime time.Duration) (time.Duration, bool) {
	if r.task.Step >= len(j.Steps) { // the job has ended, and the racks of its other tasks are not known any more
		return runTime, t.cfg.RemoteRunTimeFactor <= 1
	}
	step := j.Steps[r.task.Step]
	if step.SameRack || step.Gang {
		occurrence, _ := j.Occurrence(r.task.Occurrence)
		return runTime, r.task.Step >= len(occurrence.Steps) || !t.runsFar(step, occurrence.Steps[r.task.Step])
	}
	if t.isRemote(step, w) {
		runTime = time.Duration(float64(runTime) / t.cfg.RemoteRunTimeFactor)
	}
	return runTime, true
}

// isRemote reports whether a worker is not on the rack of a step's data, and tasks take longer there.
func (t *transition) isRemote(step registrar.Step, w worker) bool {
	return t.cfg.RemoteRunTimeFactor > 1 && step.DataRack != "" && w.Rack() != step.DataRack
}

// remaining returns the expected time until a run ends.
func (t *transition) remaining(w worker, r run) time.Duration {
	if r.endProposed {
		return minRemaining
	}
	if r.stopping {
		return max(t.cfg.StopTimeout, minRemaining)
	}
	total := r.expectedRunTime
	if total == 0 { // assigned by an earlier leader
		total = t.inheritedRunTime(w, r)
	}
	reportAge := t.now.Sub(w.holdAnsweredAt)
	elapsed := time.Duration(0)
	switch {
	case r.reported && r.inherited:
		elapsed = reportAge + total*time.Duration(r.progressPercent)/100
	case !r.startConfirmedAt.IsZero():
		elapsed = t.now.Sub(r.startConfirmedAt)
		if r.reported && r.progressPercent >= minProgressForPace && elapsed > reportAge {
			total = (elapsed - reportAge) * 100 / time.Duration(r.progressPercent)
		}
	}
	return max(total-elapsed, time.Duration(minRemainingShare*float64(total)), minRemaining)
}

// inheritedRunTime returns the expected run time of a run that an earlier leader assigned.
func (t *transition) inheritedRunTime(w worker, r run) time.Duration {
	j, ok := t.committed.Job(r.task.Job)
	if !ok || r.task.Step >= len(j.Steps) {
		return 0
	}
	step := j.Steps[r.task.Step]
	runTime := t.expectedRunTime(j.Queue, step)
	if t.isRemote(step, w) {
		runTime += t.remoteDelay(runTime)
	}
	return runTime
}
