// Package placer chooses the endpoint of each attempt. It balances load by the
// power of two random choices, prefers endpoints in its own zone, limits retries
// by a retry budget, and ejects endpoints that fail more often than their peers.
package placer

import (
	"math/rand/v2"
	"time"

	"github.com/benbjohnson/immutable"

	"laburnumwind/messenger"
)

const (
	retryTokensPerRequest = 0.1 // retry tokens earned by each admitted request
	maxRetryTokens        = 20  // maximum number of accumulated retry tokens, and their initial number
	maxUnansweredAttempts = 2   // a request is retried after at most this many attempts that were sent and got no complete response, so it may have one more of these
	maxAttempts           = 16  // a request is retried after at most this many attempts, including those that did not start, so it may have one more
)

// Tick intervals.
const (
	blockedTick = 100 * time.Millisecond // while requests are blocked
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
	endpoints   *immutable.SortedMap[string, endpointState] // by instance name
	blocked     *immutable.List[*messenger.Request]         // admitted requests that wait for an endpoint with a free slot
	failures    failureHistory                              // of requests that failed recently
	retryTokens float64                                     // tokens in the retry budget; a retry costs one
	draws       uint64                                      // random numbers drawn so far
}

// NewState returns a placer without endpoints.
func NewState(cfg Config) State {
	if cfg.RetryAfter == 0 {
		cfg.RetryAfter = time.Second
	}
	return State{
		cfg:         cfg,
		endpoints:   immutable.NewSortedMap[string, endpointState](nil),
		blocked:     immutable.NewList[*messenger.Request](),
		failures:    newFailureHistory(),
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
		t.handleDone(m)
	case messenger.RetryRequest:
		t.handleRetry(m)
	case messenger.AvailableEndpoints:
		t.state = t.state.withAvailableEndpoints(m)
		t.retryBlocked()
	case messenger.EndpointLoad:
		t.recordLoad(m)
	case messenger.CallerDisconnected:
		t.cancel(m.ID)
	case messenger.Tick:
		t.expireBlocked()
		t.retryBlocked()
	}
	return t.state, t.Messages
}

// WakeAt returns the time of the next tick. Ticks are less frequent while no
// request is blocked.
func (s State) WakeAt(now time.Time) time.Time {
	every := idleTick
	if s.blocked.Len() > 0 {
		every = blockedTick
	}
	return messenger.NextTick(now, every)
}

func (s State) withEndpoint(e endpointState) State {
	s.endpoints = s.endpoints.Set(e.endpoint.Instance, e)
	return s
}

// withAvailableEndpoints adds and removes endpoints. An endpoint that is no longer
// available stays until its last attempt has ended. When an endpoint has a new
// incarnation, its state is reset, except for the number of attempts in flight.
func (s State) withAvailableEndpoints(available messenger.AvailableEndpoints) State {
	present := make(map[string]bool, len(available.Endpoints))
	for _, announced := range available.Endpoints {
		present[announced.Instance] = true
		e, ok := s.endpoints.Get(announced.Instance)
		if ok && e.endpoint.Incarnation != announced.Incarnation {
			e = endpointState{inFlight: e.inFlight}
		}
		e.endpoint = announced
		e.up = true
		s = s.withEndpoint(e)
	}
	for it := s.endpoints.Iterator(); !it.Done(); {
		name, e, _ := it.Next()
		if present[name] {
			continue
		}
		e.up = false
		if e.inFlight == 0 {
			s.endpoints = s.endpoints.Delete(name)
			continue
		}
		s = s.withEndpoint(e)
	}
	return s
}

// random returns a pseudo-random number in [0, n). It depends only on the seed
// and the number of draws, so that a step is reproducible from the same state.
func (s State) random(n int) (State, int) {
	s.draws++
	rng := rand.New(rand.NewPCG(s.cfg.Seed, s.draws))
	return s, rng.IntN(n)
}
