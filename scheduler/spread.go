package scheduler

import "laburnumwind/registrar"

// recordSpread records how many machines the ready long-running steps of a job are to be spread over. Steps whose tasks
// the limit of their team may hold back are left to boundDemand.
func (p *placement) recordSpread(pool string, j registrar.Job, o registrar.Occurrence) {
	for i, s := range j.Steps {
		if s.LongRunning && o.Remaining[i] > 0 && o.IsReady(s) && !p.mayHoldBack(j, o, i) {
			p.recordStepSpread(pool, s, s.Count)
		}
	}
}

// recordStepSpread records how many machines count tasks of a long-running step are to be spread over.
func (p *placement) recordStepSpread(pool string, s registrar.Step, count int) {
	limit := min(maxTasksPerWorker(s), preferredTasksPerWorker(s))
	p.spreadMachines[pool] = max(p.spreadMachines[pool], (count+limit-1)/limit)
}

// mayHoldBack reports whether the team of a job has a limit and a step of the job has tasks without a worker.
func (p *placement) mayHoldBack(j registrar.Job, o registrar.Occurrence, step int) bool {
	if p.teams == nil {
		return false
	}
	_, limited := p.teams.quotas[j.Team]
	if !limited {
		return false
	}
	for index, task := range o.Steps[step] {
		_, assigned := p.assigned[registrar.TaskID{Job: j.ID, Occurrence: o.Number, Step: step, Index: index}]
		if task.Phase == registrar.Waiting && !assigned {
			return true
		}
	}
	return false
}
