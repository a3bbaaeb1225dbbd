package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/messenger"
)

var start = time.Unix(1000, 0)

// newPlacer returns a placer with n endpoints of pool p, half of them in each of
// two zones. Each endpoint has two slots.
func newPlacer(cfg Config, n int) State {
	cfg.Zone = "a"
	var available messenger.AvailableEndpoints
	for i := range n {
		available.Endpoints = append(available.Endpoints, messenger.Endpoint{
			Instance: fmt.Sprintf("w%d", i), Incarnation: 1, Zone: []string{"a", "b"}[i%2], Slots: 2, Epoch: 1, Pool: "p",
		})
	}
	s, _ := NewState(cfg).Step(start, available)
	return s
}

// request returns an idempotent request to pool p that may start within an hour.
func request(id uint64) messenger.Request {
	r := messenger.Request{ID: id, Service: "v", Pool: "p", Digest: fmt.Sprint(id), Idempotent: true}
	return r.WithTimes(start, start.Add(time.Hour)).WithStartDeadline(start.Add(time.Hour))
}

// sent returns the requests sent to the forwarder without a claim.
func sent(out []messenger.Message) []messenger.Request {
	var requests []messenger.Request
	for _, m := range out {
		send, ok := m.Body.(messenger.SendAttempt)
		if ok {
			requests = append(requests, send.Request)
		}
	}
	return requests
}

// closed returns the reasons of the closed requests.
func closed(out []messenger.Message) []messenger.Reason {
	var reasons []messenger.Reason
	for _, m := range out {
		c, ok := m.Body.(messenger.CloseRequest)
		if ok {
			reasons = append(reasons, c.Answer.Reason)
		}
	}
	return reasons
}

func TestPlace(t *testing.T) {
	tests := map[string]struct {
		setup    []any          // messages before the requests
		requests int            // number of requests
		zones    map[string]int // expected attempts per zone
		blocked  int            // expected number of blocked requests
	}{
		"local zone first":                        {requests: 2, zones: map[string]int{"a": 2}},
		"spills over when the local zone is full": {requests: 6, zones: map[string]int{"a": 4, "b": 2}},
		"blocked when all zones are full":         {requests: 10, zones: map[string]int{"a": 4, "b": 4}, blocked: 2},
		"avoids slots used by other entry instances": {
			setup:    []any{messenger.EndpointLoad{Instance: "w0", InUse: 2}},
			requests: 3, zones: map[string]int{"a": 2, "b": 1},
		},
		"avoids leaving endpoints": {
			setup:    []any{messenger.EndpointLoad{Instance: "w0", Leaving: true}, messenger.EndpointLoad{Instance: "w2", Leaving: true}},
			requests: 1, zones: map[string]int{"b": 1},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newPlacer(Config{}, 4)
			for _, m := range tc.setup {
				s, _ = s.Step(start, m)
			}
			zones := make(map[string]int)
			for id := range tc.requests {
				var out []messenger.Message
				s, out = s.Step(start, messenger.RequestAdmitted{Request: request(uint64(id))})
				for _, r := range sent(out) {
					zones[r.Endpoint.Zone]++
				}
			}
			must.Eq(t, tc.zones, zones)
			must.Eq(t, tc.blocked, s.blocked.Len())
		})
	}
}

// TestRetryBudget guards against retry storms: it counts the attempts if every
// attempt is sent and gets no complete response.
func TestRetryBudget(t *testing.T) {
	tests := map[string]struct {
		cfg   Config
		limit int // maximum number of attempts of 200 requests
	}{
		"with budget":    {cfg: Config{DisableEjection: true}, limit: 200 + 20 + maxRetryTokens},         // first attempts, a retry for each tenth request, and the initial tokens
		"without budget": {cfg: Config{DisableEjection: true, DisableRetryBudget: true}, limit: 1 << 20}, // no effective limit
	}
	attempts := make(map[string]int)
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newPlacer(tc.cfg, 4)
			for id := range uint64(200) {
				var out []messenger.Message
				s, out = s.Step(start, messenger.RequestAdmitted{Request: request(id)})
				for len(sent(out)) > 0 {
					attempts[name]++
					r := sent(out)[0].WithUnansweredAttempt()
					s, out = s.Step(start, messenger.RetryRequest{Result: messenger.AttemptResult{Request: r, Kind: messenger.IncompleteResponse, InUse: -1}})
				}
			}
			must.LessEq(t, tc.limit, attempts[name])
		})
	}
	must.Greater(t, attempts["with budget"], attempts["without budget"])
}

// TestOutlierDetection guards against the ejection of endpoints because of a
// request that fails everywhere, and against the ejection of too much of a pool.
func TestOutlierDetection(t *testing.T) {
	fail := func(s State, id uint64, digest, instance string) (State, []messenger.Message) {
		r := request(id)
		r.Digest = digest
		r.Endpoint = messenger.Endpoint{Instance: instance, Pool: "p"}
		return s.Step(start, messenger.RequestDone{EndpointFailed: true, Result: messenger.AttemptResult{Request: r, Kind: messenger.CompleteResponse, InUse: -1}})
	}
	tests := map[string]struct {
		failures    []string // the endpoint of each failure
		sameRequest bool     // all failures are of one request
		ejected     []string
		refused     bool // the next request with the digest "request" is refused
	}{
		"endpoint that fails all requests":      {failures: []string{"w0", "w0", "w0", "w0", "w0", "w0"}, ejected: []string{"w0"}},
		"too few samples":                       {failures: []string{"w0", "w0", "w0"}},
		"at most a third of the pool":           {failures: []string{"w0", "w0", "w0", "w0", "w0", "w0", "w1", "w1", "w1", "w1", "w1", "w1"}, ejected: []string{"w0"}},
		"request that fails on three endpoints": {failures: []string{"w0", "w1", "w2"}, sameRequest: true, refused: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newPlacer(Config{}, 4)
			for i, instance := range tc.failures {
				digest := fmt.Sprint("request ", i)
				if tc.sameRequest {
					digest = "request"
				}
				s, _ = fail(s, uint64(i), digest, instance)
			}
			var ejected []string
			for it := s.endpoints.Iterator(); !it.Done(); {
				instance, e, _ := it.Next()
				if e.health.isEjected(start) {
					ejected = append(ejected, instance)
				}
			}
			must.Eq(t, tc.ejected, ejected)
			next := request(99)
			next.Digest = "request"
			_, out := s.Step(start, messenger.RequestAdmitted{Request: next})
			must.Eq(t, tc.refused, len(closed(out)) > 0)
		})
	}
}
