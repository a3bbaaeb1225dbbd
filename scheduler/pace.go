package scheduler

import (
	"slices"
	"time"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// How tasks that fill are paced beside tasks that serve, by the tail latency of
// these as a share of their target. The platform allows a task to be over its
// target for some seconds, and tells its tail for the last half second.
const (
	paceLook   = 500 * time.Millisecond // longest wait of a hold at a worker where fills run beside serving tasks
	paceEvery  = 400 * time.Millisecond // least time between two changes at a worker, so that each shows
	paceNear   = 0.9                    // of the target, over which fills are slowed a little
	paceUnder  = 0.8                    // of the target, under which they are sped up
	paceEase   = 0.8                    // factor of the pace of fills near the target
	paceSlower = 0.5                    // factor of the pace of fills over the target
	paceFaster = 12                     // percent
	paceLeast  = 5                      // percent; slower is standing still
	paceDoubt  = 13 * time.Second       // in which an unanswered order may still be carried out

	paceFull    = 100
	paceUnknown = -1
)

// pacing is the pace of a task that fills.
type pacing struct {
	percent    int
	out        bool      // an order about it is under way
	sentAt     time.Time // of that
	doubtUntil time.Time // until then an order without answer may be carried out
}

// WithSent returns the pacing once an order about it was sent.
func (p pacing) WithSent(now time.Time) pacing {
	p.out, p.sentAt = true, now
	return p
}

// WithoutAnswer returns the pacing once an order about it is given up.
func (p pacing) WithoutAnswer() pacing {
	p.out = false
	return p
}

// tail is the worst tail latency of the serving tasks at work on a worker, as a share of the target.
func (w worker) tail() (float64, bool) {
	worst, serves := 0.0, false
	for _, r := range w.runs {
		if r.target > 0 && r.listed && !r.stopping {
			serves = true
			worst = max(worst, float64(r.gauge)/float64(r.target.Milliseconds()))
		}
	}
	return worst, serves
}

func (w worker) fills() bool { return w.filling > 0 }

// nextPace is the pace for a task that fills beside serving tasks with a tail.
func nextPace(have int, tail float64) int {
	switch {
	case tail > 1:
		return slower(have, paceSlower)
	case tail > paceNear:
		return slower(have, paceEase)
	case tail < paceUnder:
		return min(have+paceFaster, paceFull)
	}
	return have
}

func slower(have int, factor float64) int {
	next := int(float64(have) * factor)
	if next < paceLeast {
		return 0
	}
	return next
}

// pace slows the tasks that fill on a worker while they disturb those that serve
// there, and speeds them up again when there is room.
func (t *turn) pace(id string) {
	w, _ := t.workers.Get(id)
	if !w.fills() || t.now.Sub(w.pacedAt) < paceEvery {
		return
	}
	tail, serves := w.tail()
	w.pacedAt = t.now
	t.set(w)
	for _, r := range w.runs {
		if !r.fills || !r.listed || r.stopping || r.ending || r.pace.out {
			continue
		}
		next := paceFull
		switch {
		case serves && r.pace.percent == paceUnknown:
			next = nextPace(paceFull/2, tail)
		case serves:
			next = nextPace(r.pace.percent, tail)
		}
		if next != r.pace.percent || t.now.Before(r.pace.doubtUntil) {
			t.sendPace(id, r, next)
		}
	}
}

func (t *turn) sendPace(id string, r run, percent int) {
	if !t.serves(t.now) {
		return
	}
	w, _ := t.workers.Get(id)
	if percent != r.pace.percent {
		t.tell(messenger.Decision{What: "pace", Job: r.task.Job, Run: r.number, Instance: id, Candidates: percent, Age: t.now.Sub(w.listedAt)})
	}
	t.set(w.WithRun(r.withPace(r.pace.WithSent(t.now))))
	t.Send(messenger.Dispatcher, messenger.Order{
		Kind: messenger.PaceRun, Worker: w.ID, Address: w.Address, Task: r.task, Run: r.number, Fence: t.term,
		Percent: percent, NotAfter: t.leaseEnd, At: t.now, Via: t.via(w),
	})
}

// takePaceReply takes a worker's answer. What was not answered may be carried
// out late, over a newer pace, so that the pace is sent again for a while.
func (t *turn) takePaceReply(m messenger.OrderReply, r run) {
	w, _ := t.workers.Get(m.Order.Worker)
	next := r.pace.WithoutAnswer()
	switch m.Verdict {
	case messenger.Obeyed:
		next.percent = m.Order.Percent
	case messenger.Unanswered:
		next.percent, next.doubtUntil = m.Order.Percent, t.now.Add(paceDoubt)
	}
	t.set(w.WithRun(r.withPace(next)))
}

// tendPace gives up an order about a pace that nobody answers any more.
func (t *turn) tendPace(id string, r run) run {
	if r.pace == nil || !r.pace.out || t.now.Sub(r.pace.sentAt) <= orderLost {
		return r
	}
	r = r.withPace(r.pace.WithoutAnswer())
	w, _ := t.workers.Get(id)
	t.set(w.WithRun(r))
	return r
}

func (r run) withPace(p pacing) run {
	r.pace = &p
	return r
}

// scoreFill tells how well a worker suits a task that fills: where most
// processors are idle, and not beside tasks that serve.
func (s *slot) scoreFill() float64 {
	score := float64(s.free.CPU-s.filling) / float64(max(s.Capacity.CPU, 1))
	if slices.ContainsFunc(s.runs, func(r run) bool { return r.target > 0 }) {
		score -= weightServes
	}
	return score
}

// holdsFill tells whether a worker takes one more task that fills: together they
// may ask for all of its processors.
func (s *slot) holdsFill(step registrar.Step) bool {
	return s.filling == 0 || s.filling+step.CPU <= s.Capacity.CPU
}
