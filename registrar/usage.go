package registrar

// Demand returns the resources of one task of the step. Unlike Request, it includes the CPU of a best-effort task.
func (s Step) Demand() Resources { return Resources{CPU: s.CPU, Memory: s.Memory, GPU: s.GPU} }

// Times returns n times the amount, for each kind of resource.
func (r Resources) Times(n int) Resources {
	return Resources{CPU: n * r.CPU, Memory: n * r.Memory, GPU: n * r.GPU}
}

// Running returns the demand of the tasks of a team that are assigned to a worker and of which no end is recorded. It
// includes the tasks of jobs that were canceled or have failed.
func (s State) Running(team string) Resources {
	r, _ := s.running.Get(team)
	return r
}

// withRunning returns the state with n more tasks of a step of the job running, or fewer if n is negative. Jobs without
// a team are not recorded, so that a deployment without teams needs no such records.
func (s State) withRunning(j Job, step, n int) State {
	if j.Team == "" || n == 0 {
		return s
	}
	r := s.Running(j.Team).Add(j.Steps[step].Demand().Times(n))
	if r == (Resources{}) {
		s.running = s.running.Delete(j.Team)
		return s
	}
	s.running = s.running.Set(j.Team, r)
	return s
}

// withRunningTasks returns the state with all running tasks of a job recorded.
func (s State) withRunningTasks(j Job) State {
	for _, o := range j.ActiveOccurrences {
		for step, tasks := range o.Steps {
			s = s.withRunning(j, step, countRunning(tasks))
		}
	}
	return s
}

// countRunning returns the number of tasks that are running.
func countRunning(tasks []Task) int {
	n := 0
	for _, t := range tasks {
		if t.Phase == Running {
			n++
		}
	}
	return n
}
