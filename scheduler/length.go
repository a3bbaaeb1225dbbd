package scheduler

import (
	"maps"
	"time"

	"laburnumwind/registrar"
)

const (
	lengthWeight = 0.05 // of one task in the average of its queue
	lengthSure   = 10   // tasks after which the average is believed
)

// length is what was learned of the run times of a queue's tasks.
type length struct {
	mean time.Duration
	n    int
}

// With returns the length after one more task.
func (l length) With(took time.Duration) length {
	l.n++
	weight := max(lengthWeight, 1/float64(l.n))
	l.mean += time.Duration(weight * float64(took-l.mean))
	return l
}

// learn takes the run time of a task that was done.
func (t *turn) learn(r run, how registrar.How) {
	j, ok := t.view.Job(r.task.Job)
	if !ok || how != registrar.EndDone || r.lasting || r.fills || r.ackedAt.IsZero() {
		return
	}
	t.lengths = maps.Clone(t.lengths)
	if t.lengths == nil {
		t.lengths = make(map[string]length)
	}
	t.lengths[j.Queue] = t.lengths[j.Queue].With(t.now.Sub(r.ackedAt))
}

// expected is how long a task of a step will probably run. Callers' estimates
// are far off, so what was seen of the queue is believed first.
func (t *turn) expected(queue string, s registrar.Step) time.Duration {
	l := t.lengths[queue]
	if l.n < lengthSure {
		return s.Estimate
	}
	return l.mean
}
