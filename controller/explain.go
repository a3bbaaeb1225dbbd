package controller

import (
	"context"
	"sync"
	"time"

	"laburnumwind/messenger"
)

// explainInterval is the minimum time between the starts of two explanations. With 280 workers and 1,200 active jobs, an
// explanation took the scheduler 7.5 ms and a placement pass 3.0 ms, so two explanations a second take 1.5 % of a core.
const explainInterval = 500 * time.Millisecond

// explainGate bounds the explanations of a node: one at a time, and one in explainInterval.
type explainGate struct {
	mu        sync.Mutex
	busy      bool
	startedAt time.Time
}

// enter reports whether an explanation may start at now. The caller calls leave once it has ended.
func (g *explainGate) enter(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.busy || (!g.startedAt.IsZero() && now.Sub(g.startedAt) < explainInterval) {
		return false
	}
	g.busy, g.startedAt = true, now
	return true
}

func (g *explainGate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy = false
}

// explain passes a call for an explanation to the scheduler, or refuses it beyond the bound of the gate.
func (c *Controller) explain(ctx context.Context, call messenger.JobCall) messenger.JobAnswer {
	if !c.explanations.enter(c.cfg.Clock()) {
		c.cfg.Reporter.Count("explanationsRefused", 1)
		return messenger.JobAnswer{Status: messenger.CallOverloaded, RetryAfter: explainInterval}
	}
	defer c.explanations.leave()
	c.cfg.Reporter.Count("explanations", 1)
	return c.Call(ctx, call)
}
