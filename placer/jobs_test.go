package placer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/messenger"
)

// TestPoisonRequests checks after which failures a request counts as poison, and which failures are then taken back.
func TestPoisonRequests(t *testing.T) {
	type failure struct {
		after    time.Duration
		endpoint string
	}
	tests := map[string]struct {
		failures []failure
		poison   bool     // after the last failure
		cleared  []string // by the last failure
	}{
		"two endpoints":                    {failures: []failure{{endpoint: "a"}, {endpoint: "b"}}},
		"same endpoint three times":        {failures: []failure{{endpoint: "a"}, {endpoint: "a"}, {endpoint: "a"}}},
		"three endpoints":                  {failures: []failure{{endpoint: "a"}, {endpoint: "b"}, {endpoint: "c"}}, poison: true, cleared: []string{"a", "b", "c"}},
		"a fourth endpoint":                {failures: []failure{{endpoint: "a"}, {endpoint: "b"}, {endpoint: "c"}, {endpoint: "d"}}, poison: true, cleared: []string{"d"}},
		"the same three after its time":    {failures: []failure{{endpoint: "a"}, {endpoint: "b"}, {endpoint: "c"}, {after: 2 * poisonTTL, endpoint: "a"}, {after: 2 * poisonTTL, endpoint: "b"}, {after: 2 * poisonTTL, endpoint: "c"}}, poison: true, cleared: []string{"a", "b", "c"}},
		"once more after its time, on one": {failures: []failure{{endpoint: "a"}, {endpoint: "b"}, {endpoint: "c"}, {after: 2 * poisonTTL, endpoint: "a"}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFailureHistory()
			var cleared []string
			now := start
			for _, x := range tc.failures {
				now = start.Add(x.after)
				f, cleared = f.withFailure(now, "request", x.endpoint)
			}
			must.EqOp(t, tc.poison, f.isPoison(now, "request"))
			must.Eq(t, tc.cleared, cleared)
		})
	}
}

// TestPoisonIsOfOneCustomer checks that a request that fails everywhere does not refuse an equal request to another
// service or of another customer.
func TestPoisonIsOfOneCustomer(t *testing.T) {
	tests := map[string]struct {
		change func(*messenger.Request)
		poison bool
	}{
		"same request":     {change: func(*messenger.Request) {}, poison: true},
		"another customer": {change: func(r *messenger.Request) { r.Customer = "d" }},
		"another service":  {change: func(r *messenger.Request) { r.Service = "w" }},
		"another body":     {change: func(r *messenger.Request) { r.Digest = "other" }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newPlacer(Config{}, 4)
			r := messenger.Request{ID: 1, Service: "v", Customer: "c", Pool: "p", Digest: "request"}
			for _, instance := range []string{"w0", "w1", "w2"} {
				r.Endpoint = messenger.Endpoint{Instance: instance, Pool: "p"}
				s, _ = s.Step(start, messenger.RequestDone{EndpointFailed: true, Result: messenger.AttemptResult{Request: r, Kind: messenger.CompleteResponse, InUse: -1}})
			}
			next := messenger.Request{ID: 2, Service: "v", Customer: "c", Pool: "p", Digest: "request"}
			tc.change(&next)
			must.EqOp(t, tc.poison, s.failures.isPoison(start, requestKey(next)))
		})
	}
}
