// Package responder passes calls to the scheduler and delivers its answers to the callers that
// wait for them.
package responder

import (
	"context"
	"sync"
	"time"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// retryAfter is the delay after which a caller should retry if the scheduler's ring is full: the
// scheduler handles the calls of a full ring in about this time.
const retryAfter = time.Second

// Config describes a responder.
type Config struct {
	LastCallID uint64                    // ID before the first: the first call gets LastCallID+1
	Offer      func(messenger.Call) bool // passes a call to the scheduler; returns false if its ring is full
}

// Responder tracks the calls that wait for an answer, and the state of the jobs group.
type Responder struct {
	cfg        Config
	mu         sync.Mutex
	lastCallID uint64
	pending    map[uint64]chan messenger.JobAnswer // by call ID
	view       messenger.JobsView
}

// NewResponder returns a responder without pending calls.
func NewResponder(cfg Config) *Responder {
	return &Responder{cfg: cfg, lastCallID: cfg.LastCallID, pending: make(map[uint64]chan messenger.JobAnswer), view: messenger.JobsView{State: registrar.NewState()}}
}

// Call passes a call to the scheduler and waits for the answer. The answer is CallOverloaded if
// the scheduler's ring is full, and CallUncertain if ctx ends first.
func (r *Responder) Call(ctx context.Context, body any) messenger.JobAnswer {
	reply := make(chan messenger.JobAnswer, 1)
	r.mu.Lock()
	r.lastCallID++
	callID := r.lastCallID
	r.pending[callID] = reply
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.pending, callID)
		r.mu.Unlock()
	}()
	if !r.cfg.Offer(messenger.Call{ID: callID, Body: body}) {
		return messenger.JobAnswer{Status: messenger.CallOverloaded, RetryAfter: retryAfter}
	}
	select {
	case a := <-reply:
		return a
	case <-ctx.Done():
		return messenger.JobAnswer{Status: messenger.CallUncertain}
	}
}

// Handle processes a message of the pipeline: a CallAnswer, which goes to the caller that
// waits for it, or a JobsView, which View returns from then on.
func (r *Responder) Handle(body any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch m := body.(type) {
	case messenger.CallAnswer:
		reply, ok := r.pending[m.CallID]
		if ok {
			reply <- m.Answer // does not block: the channel has room for one answer and each call gets only one
			delete(r.pending, m.CallID)
		}
	case messenger.JobsView:
		r.view = m
	}
}

// View returns the latest state of the jobs group that this node knows.
func (r *Responder) View() messenger.JobsView {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view
}
