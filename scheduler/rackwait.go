package scheduler

import (
	"fmt"
	"slices"
	"time"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// rackWait is the wait of a step's tasks for places in a rack.
type rackWait struct {
	rack  string
	pool  string
	since time.Time // when the tasks first declined a place elsewhere
	tasks int
	wait  time.Duration // expected, of the last task
	cost  time.Duration // time lost by a start elsewhere
}

// waitKey identifies tasks for which the wait for a rack is the same.
type waitKey struct {
	request  registrar.Resources
	count    int
	runTime  time.Duration
	together bool
}

// shortestWait returns the rack that is expected to hold all waiting tasks of a step first, and when. It returns false if
// there is none. The forecasts only grow longer during a pass, so the wait that was computed for a rack and the same
// tasks before is a lower bound: only racks whose bound is the lowest are computed again.
func (p *placement) shortestWait(c *candidate, eligible []*rackWorkers, runCounts map[string]int) (string, time.Duration, bool) {
	step := c.job.Steps[c.step]
	key := waitKey{request: step.Request(), count: len(c.waiting), runTime: c.expectedRunTime, together: step.Gang}
	isPlain := step.Requires == "" && step.MaxPerWorker == 0 && !c.needsAdvice
	var best *rackWorkers
	bestWait := time.Duration(0)
	bounds := make([]time.Duration, len(eligible))
	for i, rack := range eligible {
		if isPlain {
			bounds[i] = rack.waits[key]
		}
	}
	for range eligible {
		i := slices.Index(bounds, slices.Min(bounds))
		if best != nil && bounds[i] >= bestWait {
			break
		}
		rack := eligible[i]
		bounds[i] = longRunTime
		_, wait, ok := p.forecastOf(rack).Reserve(p.tasksOf(c, rack, runCounts, len(c.waiting)))
		if !ok {
			wait = longRunTime
		}
		if isPlain {
			if rack.waits == nil {
				rack.waits = make(map[waitKey]time.Duration)
			}
			rack.waits[key] = wait
		}
		if ok && (best == nil || wait < bestWait) {
			best, bestWait = rack, wait
		}
	}
	if best == nil {
		return "", 0, false
	}
	return best.name, bestWait, true
}

// keepWait records the wait of a step's tasks after this pass.
func (p *placement) keepWait(c *candidate, wait rackWait) {
	if p.locality.waits == nil {
		p.locality.waits = make(map[registrar.TaskID]rackWait)
	}
	p.locality.waits[c.stepID()] = wait
}

// keepHeldWait keeps the wait of a step that the limit of its team holds back in this pass.
func (p *placement) keepHeldWait(c *candidate) {
	previous, waited := p.locality.previous[c.stepID()]
	if waited {
		p.keepWait(c, previous)
	}
}

// updateRackWaits keeps the waits of a pass and logs those that begin or end.
func (t *transition) updateRackWaits(p *placement) {
	for id, wait := range p.locality.waits {
		_, known := t.rackWaits[id]
		if !known {
			t.logDecision(messenger.Decision{Event: "waitsForRack", Job: id.Job, Pool: wait.pool, Candidates: wait.tasks, Reason: fmt.Sprintf("rack %s, expected wait %v, cost elsewhere %v", wait.rack, wait.wait.Round(time.Millisecond), wait.cost.Round(time.Millisecond))})
		}
	}
	for id, wait := range t.rackWaits {
		_, waits := p.locality.waits[id]
		if !waits {
			t.logDecision(messenger.Decision{Event: "rackWaitEnded", Job: id.Job, Pool: wait.pool, Candidates: wait.tasks, Reason: fmt.Sprintf("rack %s, %s", wait.rack, p.describeStarts(id, wait.rack)), Age: t.now.Sub(wait.since)})
		}
	}
	t.rackWaits = p.locality.waits
}

// describeStarts returns where the tasks of a step have started that waited for a rack, as a phrase for the log.
func (p *placement) describeStarts(id registrar.TaskID, rack string) string {
	phrase := "nothing started"
	for _, s := range p.starts {
		s.Task.Index = 0
		if s.Task != id {
			continue
		}
		if p.locality.rackOf(s.Worker) != rack {
			return "started elsewhere"
		}
		phrase = "started there"
	}
	return phrase
}
