// Package responder brings calls to the scheduler and hands their answers to whoever waits for them.
package responder

import (
	"context"
	"sync"
	"time"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// retryAfter is told to callers that find the scheduler's ring full: it works a full ring off in about as long.
const retryAfter = time.Second

// Config describes a responder.
type Config struct {
	Ticket uint64                    // where tickets start
	Offer  func(messenger.Call) bool // brings a call to the scheduler; false: it has no room
}

// Responder holds the calls that wait for an answer.
type Responder struct {
	cfg    Config
	mu     sync.Mutex
	ticket uint64
	waits  map[uint64]chan messenger.JobAnswer
	view   messenger.JobsView
}

// NewResponder returns a responder without calls.
func NewResponder(cfg Config) *Responder {
	return &Responder{cfg: cfg, ticket: cfg.Ticket, waits: make(map[uint64]chan messenger.JobAnswer), view: messenger.JobsView{State: registrar.NewState()}}
}

// Call brings a call to the scheduler and waits for its answer until ctx ends.
func (r *Responder) Call(ctx context.Context, body any) messenger.JobAnswer {
	wait := make(chan messenger.JobAnswer, 1)
	r.mu.Lock()
	r.ticket++
	ticket := r.ticket
	r.waits[ticket] = wait
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.waits, ticket)
		r.mu.Unlock()
	}()
	if !r.cfg.Offer(messenger.Call{Ticket: ticket, Body: body}) {
		return messenger.JobAnswer{Code: messenger.CallOverloaded, RetryAfter: retryAfter}
	}
	select {
	case a := <-wait:
		return a
	case <-ctx.Done():
		return messenger.JobAnswer{Code: messenger.CallUncertain}
	}
}

// Take takes an answer, or what this node knows of the group.
func (r *Responder) Take(body any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch m := body.(type) {
	case messenger.CallAnswer:
		wait, ok := r.waits[m.Ticket]
		if ok {
			wait <- m.Answer // has room: a ticket is answered once
			delete(r.waits, m.Ticket)
		}
	case messenger.JobsView:
		r.view = m
	}
}

// View is what this node last knew of the group.
func (r *Responder) View() messenger.JobsView {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view
}
