package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/messenger"
)

var start = time.Unix(1000, 0)

// newPlacer has n endpoints of pool p, half of them in each of two zones.
func newPlacer(cfg Config, n int) State {
	cfg.Zone = "a"
	var roster messenger.Roster
	for i := range n {
		roster.Endpoints = append(roster.Endpoints, messenger.Endpoint{
			Instance: fmt.Sprintf("w%d", i), Incarnation: 1, Zone: []string{"a", "b"}[i%2], Slots: 2, Epoch: 1, Pool: "p",
		})
	}
	s, _ := NewState(cfg).Step(start, roster)
	return s
}

func request(id uint64) messenger.Request {
	r := messenger.Request{ID: id, Service: "v", Pool: "p", Digest: fmt.Sprint(id), Idempotent: true}
	return r.WithTimes(start, start.Add(time.Hour)).WithStartBy(start.Add(time.Hour))
}

func sent(out []messenger.Message) []messenger.Request {
	var requests []messenger.Request
	for _, m := range out {
		send, ok := m.Body.(messenger.Send)
		if ok {
			requests = append(requests, send.Request)
		}
	}
	return requests
}

func closed(out []messenger.Message) []messenger.Reason {
	var reasons []messenger.Reason
	for _, m := range out {
		c, ok := m.Body.(messenger.Close)
		if ok {
			reasons = append(reasons, c.Answer.Reason)
		}
	}
	return reasons
}

func TestPlace(t *testing.T) {
	tests := map[string]struct {
		before []any // messages first
		count  int   // requests
		zones  map[string]int
		wait   int
	}{
		"own zone first":              {count: 2, zones: map[string]int{"a": 2}},
		"spills over when it is full": {count: 6, zones: map[string]int{"a": 4, "b": 2}},
		"waits when all are full":     {count: 10, zones: map[string]int{"a": 4, "b": 4}, wait: 2},
		"not where others are": {
			before: []any{messenger.Load{Instance: "w0", InUse: 2}},
			count:  3, zones: map[string]int{"a": 2, "b": 1},
		},
		"not where it leaves": {
			before: []any{messenger.Load{Instance: "w0", Leaving: true}, messenger.Load{Instance: "w2", Leaving: true}},
			count:  1, zones: map[string]int{"b": 1},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newPlacer(Config{}, 4)
			for _, m := range tc.before {
				s, _ = s.Step(start, m)
			}
			zones := make(map[string]int)
			for id := range tc.count {
				var out []messenger.Message
				s, out = s.Step(start, messenger.Admitted{Request: request(uint64(id))})
				for _, r := range sent(out) {
					zones[r.Endpoint.Zone]++
				}
			}
			must.Eq(t, tc.zones, zones)
			must.Eq(t, tc.wait, s.blocked.Len())
		})
	}
}

// TestRetryBudget counts the attempts at a pool whose connections all break.
func TestRetryBudget(t *testing.T) {
	tests := map[string]struct {
		cfg  Config
		most int
	}{
		"bounded":           {cfg: Config{NoEject: true}, most: 200 + 20 + retryMost}, // a tenth, and what was saved up
		"without the bound": {cfg: Config{NoEject: true, NoBudget: true}, most: 1 << 20},
	}
	attempts := make(map[string]int)
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newPlacer(tc.cfg, 4)
			for id := range uint64(200) {
				var out []messenger.Message
				s, out = s.Step(start, messenger.Admitted{Request: request(id)})
				for len(sent(out)) > 0 {
					attempts[name]++
					r := sent(out)[0].WithBreak()
					s, out = s.Step(start, messenger.Replace{Exchange: messenger.Exchange{Request: r, Kind: messenger.Cut, InUse: -1}})
				}
			}
			must.LessEq(t, tc.most, attempts[name])
		})
	}
	must.Greater(t, attempts["bounded"], attempts["without the bound"])
}

func TestJudgement(t *testing.T) {
	fail := func(s State, id uint64, digest, instance string) (State, []messenger.Message) {
		r := request(id)
		r.Digest = digest
		r.Endpoint = messenger.Endpoint{Instance: instance, Pool: "p"}
		return s.Step(start, messenger.Done{Failed: true, Exchange: messenger.Exchange{Request: r, Kind: messenger.Whole, InUse: -1}})
	}
	tests := map[string]struct {
		failures []string // the endpoint of each failure
		same     bool     // all of one request
		ejected  []string
		refused  bool // the next request like it
	}{
		"one that fails all":              {failures: []string{"w0", "w0", "w0", "w0", "w0", "w0"}, ejected: []string{"w0"}},
		"too few results":                 {failures: []string{"w0", "w0", "w0"}},
		"at most a third of the pool":     {failures: []string{"w0", "w0", "w0", "w0", "w0", "w0", "w1", "w1", "w1", "w1", "w1", "w1"}, ejected: []string{"w0"}},
		"a request that fails everywhere": {failures: []string{"w0", "w1", "w2"}, same: true, refused: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newPlacer(Config{}, 4)
			for i, instance := range tc.failures {
				digest := fmt.Sprint("job ", i)
				if tc.same {
					digest = "job"
				}
				s, _ = fail(s, uint64(i), digest, instance)
			}
			var ejected []string
			for it := s.workers.Iterator(); !it.Done(); {
				instance, w, _ := it.Next()
				if w.health.isEjected(start) {
					ejected = append(ejected, instance)
				}
			}
			must.Eq(t, tc.ejected, ejected)
			next := request(99)
			next.Digest = "job"
			_, out := s.Step(start, messenger.Admitted{Request: next})
			must.Eq(t, tc.refused, len(closed(out)) > 0)
		})
	}
}
