// Package placer chooses the endpoint of each attempt. It balances load by the
// power of two choices, prefers endpoints in its own zone, limits retries by a
// retry budget, and ejects endpoints that fail more often than their peers.
package placer

import (
	"math/rand/v2"
	"time"

	"github.com/benbjohnson/immutable"

	"laburnumwind/messenger"
)

const (
	retryTokensPerRequest = 0.1 // retry tokens earned by each admitted request
	maxRetryTokens        = 20  // maximum number of retry tokens that can accumulate
	maxUnanswered         = 2   // a request is not retried after more attempts that were sent and have no complete response
	maxAttempts           = 16  // a request is not retried after more attempts, started or not
)

// Tick intervals.
const (
	blockedTick = 100 * time.Millisecond // while requests wait for a free slot
	idleTick    = time.Second            // otherwise
)

// Config configures a placer.
type Config struct {
	Zone               string        // zone of this entry instance
	Seed               uint64        // seed of the random choice of endpoints
	RetryAfter         time.Duration // Retry-After hint sent with a refusal
	DisableEjection    bool          // for experiments: disables the ejection of failing endpoints
	DisableRetryBudget bool          // for experiments: disables the retry budget
}

// State is the immutable state of a placer.
type State struct {
	cfg         Config
	workers     *immutable.SortedMap[string, worker] // by instance name
	blocked     *immutable.List[*messenger.Request]  // admitted requests that wait for an endpoint with a free slot
	jobs        jobHistory
	retryTokens float64 // tokens in the retry budget; a retry costs one
	draws       uint64  // random numbers drawn so far
}

// NewState returns a placer without endpoints.
func NewState(cfg Config) State {
	if cfg.RetryAfter == 0 {
		cfg.RetryAfter = time.Second
	}
	return State{
		cfg:         cfg,
		workers:     immutable.NewSortedMap[string, worker](nil),
		blocked:     immutable.NewList[*messenger.Request](),
		jobs:        newJobHistory(),
		retryTokens: maxRetryTokens,
	}
}

// Step handles one message and returns the new state and the messages to send.
func (s State) Step(now time.Time, body any) (State, []messenger.Message) {
	t := &transition{state: s, now: now}
	switch m := body.(type) {
	case messenger.RequestAdmitted:
		t.handleAdmitted(m.Request)
	case messenger.RequestDone:
		t.done(m)
	case messenger.RetryRequest:
		t.replace(m)
	case messenger.AvailableEndpoints:
		t.state = t.state.withEndpoints(m)
		t.retryBlocked()
	case messenger.EndpointLoad:
		t.load(m)
	case messenger.CallerDisconnected:
		t.cancel(m.ID)
	case messenger.Tick:
		t.expireBlocked()
		t.retryBlocked()
	}
	return t.state, t.Messages
}

// WakeAt returns the time of the next tick. Ticks are less frequent while no
// request waits for a free slot.
func (s State) WakeAt(now time.Time) time.Time {
	every := idleTick
	if s.blocked.Len() > 0 {
		every = blockedTick
	}
	return messenger.NextTick(now, every)
}

func (s State) withWorker(w worker) State {
	s.workers = s.workers.Set(w.endpoint.Instance, w)
	return s
}

// withEndpoints updates the workers from the available endpoints. A worker that is no
// longer among them stays until its last attempt has ended; a new incarnation starts with a
// clean health record.
func (s State) withEndpoints(available messenger.AvailableEndpoints) State {
	present := make(map[string]bool, len(available.Endpoints))
	for _, e := range available.Endpoints {
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

// random returns a random number in [0, n). It depends only on the seed and the
// number of draws, so the same state gives the same number.
func (s State) random(n int) (State, int) {
	s.draws++
	rng := rand.New(rand.NewPCG(s.cfg.Seed, s.draws))
	return s, rng.IntN(n)
}
