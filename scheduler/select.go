package scheduler

import (
	"slices"

	"laburnumwind/registrar"
)

// countRunsByWorker returns the number of runs and proposed assignments of a step on each worker.
func (p *placement) countRunsByWorker(c *candidate) map[string]int {
	counts := make(map[string]int)
	for index, task := range c.occurrence.Steps[c.step] {
		id := p.assignee(c, index)
		if task.Phase == registrar.Running {
			id = task.Worker
		}
		if id != "" {
			counts[id]++
		}
	}
	return counts
}

// isStillBest reports whether the worker selected for the previous task of a step is also the best
// for the next one. Short tasks go to the fullest worker with enough free resources (bin
// packing), and that worker is now even fuller.
func isStillBest(previous *availableWorker, step registrar.Step, task registrar.Task, runCounts map[string]int) bool {
	return previous != nil && !step.LongRunning && !step.BestEffort && task.Failures == 0 && previous.free.Fits(step.Request()) && runCounts[previous.ID] < maxTasksPerWorker(step)
}

// selectWorker returns the worker with the highest score for a task, or nil if none fits. The score
// prefers the rack of the task's data and avoids the last worker of a task that has failed. Otherwise
// short tasks, unless best-effort, go to the fullest worker with enough free resources, so that other
// machines stay empty.
func (p *placement) selectWorker(c *candidate, step registrar.Step, task registrar.Task, resources registrar.Resources, runCounts map[string]int, rack string) *availableWorker {
	if !p.maxFree[c.pool].Fits(resources) {
		return nil
	}
	var best *availableWorker
	bestScore := 0.0
	fits := false
	maxFree := registrar.Resources{}
	advice := p.advice.steps[c.stepID()]
	for _, w := range p.workersByPool[c.pool] {
		maxFree = maxFree.Max(w.free)
		if !w.free.Fits(resources) {
			continue
		}
		fits = true
		if p.obstacle(c, step, w, runCounts[w.ID], advice) != "" {
			continue
		}
		score := w.scoreFor(step, task, rack)
		if step.LongRunning && runCounts[w.ID] >= preferredTasksPerWorker(step) {
			score -= weightOverPreferred
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	if !fits {
		p.maxFree[c.pool] = maxFree // lowers the bound to the current maximum, so that later steps can skip the search
	}
	return best
}

// obstacle returns why a worker that has room for a task of a step does not take it, or "" if it may. runs is the number
// of runs of the step on the worker.
func (p *placement) obstacle(c *candidate, step registrar.Step, w *availableWorker, runs int, advice stepAdvice) string {
	switch {
	case runs >= maxTasksPerWorker(step):
		return "spread limit of the step"
	case step.Requires != "" && !w.hasRequiredLabel(step):
		return "missing label"
	case step.BestEffort && !w.fitsBestEffort(step):
		return "no room for more best-effort tasks"
	case c.needsAdvice && advice.validTicket(p.now, *w.worker) == "":
		return "no ticket of the advisor"
	case len(c.avoidedRacks) > 0 && c.avoidedRacks[w.Rack()]:
		return "its rack is awaited by other tasks"
	}
	return ""
}

// maxFreeByPool returns, for each pool, the maximum of each free resource over its workers.
func maxFreeByPool(workersByPool map[string][]*availableWorker) map[string]registrar.Resources {
	maxFree := make(map[string]registrar.Resources, len(workersByPool))
	for pool, workers := range workersByPool {
		poolMax := registrar.Resources{}
		for _, w := range workers {
			poolMax = poolMax.Max(w.free)
		}
		maxFree[pool] = poolMax
	}
	return maxFree
}

// minLongRunningWorkers is the preferred minimum number of workers to spread the tasks of a
// long-running step over.
const minLongRunningWorkers = 3

// maxTasksPerWorker returns the maximum number of tasks of a step on one worker.
func maxTasksPerWorker(step registrar.Step) int {
	if step.MaxPerWorker > 0 {
		return min(step.Count, step.MaxPerWorker)
	}
	return step.Count
}

// preferredTasksPerWorker returns the preferred maximum number of tasks of a long-running step
// on one worker, so that the loss of a worker affects only part of the step.
func preferredTasksPerWorker(step registrar.Step) int {
	return (step.Count + minLongRunningWorkers - 1) / minLongRunningWorkers
}

// Weights of the criteria of a worker's score, relative to the share of its CPU capacity that is
// free, 0 to 1.
const (
	weightColocation     = 1.0 // bonus on a worker with other long-running tasks, so that other machines stay free to move
	weightOverPreferred  = 3.0 // penalty above preferredTasksPerWorker
	weightRackAffinity   = 2.0 // bonus on the rack of the task's data or of the other tasks of its step
	weightFailedHere     = 4.0 // penalty on the last worker of a task that has failed
	weightFailureRate    = 1.0 // penalty, multiplied by the worker's failure rate of 0 to 1
	weightMaintenanceDue = 3.5 // penalty where maintenance is due, since a long-running task would be relocated again
	weightInterference   = 1.0 // penalty for placing a best-effort task beside a task with a latency target or the reverse, since best-effort tasks raise tail latency
)

// hasRequiredLabel reports whether a worker has the label that a step requires.
func (w worker) hasRequiredLabel(step registrar.Step) bool {
	return step.Requires == "" || slices.Contains(w.Labels, step.Requires)
}

// scoreFor returns how well a worker suits a task; higher is better. An empty rack means no preference.
func (w *availableWorker) scoreFor(step registrar.Step, task registrar.Task, rack string) float64 {
	score := -float64(w.free.CPU) / float64(max(w.Capacity.CPU, 1))
	if step.BestEffort {
		score = w.scoreBestEffort()
	}
	if step.LatencyTarget > 0 && w.plannedBestEffortCPU > 0 {
		score -= weightInterference
	}
	if step.LongRunning && w.maintenanceDue {
		score -= weightMaintenanceDue
	}
	if step.LongRunning && !step.BestEffort && w.runs.Contains(func(r run) bool { return r.longRunning }) {
		score += weightColocation
	}
	if (step.DataRack != "" && w.Rack() == step.DataRack) || (rack != "" && w.Rack() == rack) {
		score += weightRackAffinity
	}
	if task.Failures > 0 && task.Worker == w.ID {
		score -= weightFailedHere
	}
	return score - weightFailureRate*w.failRate
}
