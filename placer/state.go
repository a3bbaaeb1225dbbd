// Package placer chooses the endpoint of each attempt.
package placer

import (
	"math/rand/v2"
	"time"

	"github.com/benbjohnson/immutable"

	"laburnumwind/messenger"
)

const (
	retryDeposit  = 0.1 // of a retry, earned by each first attempt
	retryMost     = 20  // retries that can be saved up
	mostBreaks    = 2   // attempts of one request that may break after they were sent
	mostUnstarted = 16  // attempts of one request that may not start
)

// Times between two ticks: with requests that wait for room, and without.
const (
	waitTick = 100 * time.Millisecond
	idleTick = time.Second
)

// Config describes a placer.
type Config struct {
	Zone       string // of this entry instance
	Seed       uint64
	RetryAfter time.Duration
	NoEject    bool // for proofs: bad workers stay
	NoBudget   bool // for proofs: retries are not bounded
}

// State is the immutable value of a placer.
type State struct {
	cfg     Config
	workers *immutable.SortedMap[string, worker]
	blocked *immutable.List[*messenger.Request] // admitted, but no endpoint had room
	jobs    jobs
	tokens  float64 // retries that may be spent
	draws   uint64
}

// NewState returns a placer without endpoints.
func NewState(cfg Config) State {
	if cfg.RetryAfter == 0 {
		cfg.RetryAfter = time.Second
	}
	return State{
		cfg:     cfg,
		workers: immutable.NewSortedMap[string, worker](nil),
		blocked: immutable.NewList[*messenger.Request](),
		jobs:    newJobs(),
		tokens:  retryMost,
	}
}

// Step takes one message.
func (s State) Step(now time.Time, body any) (State, []messenger.Message) {
	t := &turn{state: s, now: now}
	switch m := body.(type) {
	case messenger.Admitted:
		t.admitted(m.Request)
	case messenger.Done:
		t.done(m)
	case messenger.Replace:
		t.replace(m)
	case messenger.Roster:
		t.state = t.state.withRoster(m)
		t.unblock()
	case messenger.Load:
		t.load(m)
	case messenger.Cancel:
		t.cancel(m.ID)
	case messenger.Tick:
		t.expire()
		t.unblock()
	}
	return t.state, t.Messages
}

// WakeAt is when the placer wants its next tick.
func (s State) WakeAt(now time.Time) time.Time {
	every := idleTick
	if s.blocked.Len() > 0 {
		every = waitTick
	}
	return messenger.NextTick(now, every)
}

func (s State) withWorker(w worker) State {
	s.workers = s.workers.Set(w.endpoint.Instance, w)
	return s
}

func (s State) withRoster(roster messenger.Roster) State {
	present := make(map[string]bool, len(roster.Endpoints))
	for _, e := range roster.Endpoints {
		present[e.Instance] = true
		w, ok := s.workers.Get(e.Instance)
		if ok && w.endpoint.Incarnation != e.Incarnation {
			w = worker{inFlight: w.inFlight}
		}
		w.endpoint = e
		w.up = true
		s = s.withWorker(w)
	}
	for it := s.workers.Iterator(); !it.Done(); {
		name, w, _ := it.Next()
		if present[name] {
			continue
		}
		w.up = false
		if w.inFlight == 0 {
			s.workers = s.workers.Delete(name)
			continue
		}
		s = s.withWorker(w)
	}
	return s
}

// random draws a number below n; the same state draws the same number.
func (s State) random(n int) (State, int) {
	s.draws++
	r := rand.New(rand.NewPCG(s.cfg.Seed, s.draws))
	return s, r.IntN(n)
}
