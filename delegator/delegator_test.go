package delegator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/buffer"
	"laburnumwind/encoder"
	"laburnumwind/messenger"
)

// end is one instance: its delegator and the listener of its peers.
type end struct {
	d       *Delegator
	server  *httptest.Server
	local   *buffer.Ring[any]
	decided *buffer.Ring[any]
}

func (e *end) Call(context.Context, *encoder.JobCall) (*encoder.JobReply, error) {
	return &encoder.JobReply{}, nil
}

func (e *end) Dispatch(_ context.Context, in *encoder.JobBatch) (*encoder.JobBatchAck, error) {
	return &encoder.JobBatchAck{}, e.d.TakeOrders(in)
}

func (e *end) Return(_ context.Context, in *encoder.JobBatch) (*encoder.JobBatchAck, error) {
	return &encoder.JobBatchAck{}, e.d.TakeReplies(in)
}

func newEnd(t *testing.T, ahead time.Duration) *end {
	e := &end{local: buffer.NewRing[any](8), decided: buffer.NewRing[any](8)}
	e.server = httptest.NewServer(encoder.NewJobsServer(e))
	t.Cleanup(e.server.Close)
	e.d = NewDelegator(Config{
		Name: e.server.URL, Client: &http.Client{}, Clock: func() time.Time { return time.Now().Add(ahead) },
		URL:     func(instance string) string { return instance },
		Local:   func(body any) { e.local.TryPut(body) },
		Decided: func(body any) { e.decided.TryPut(body) },
		Dropped: func(string) {},
	})
	t.Cleanup(e.d.Stop)
	return e
}

// TestDelegate checks that calls are made where the leader says, and that their
// answers come back with the leader's own time, whatever the other's clock.
func TestDelegate(t *testing.T) {
	tests := map[string]struct {
		ahead time.Duration // of the other instance's clock
		via   bool
	}{
		"here":                     {},
		"elsewhere":                {via: true},
		"elsewhere, another clock": {via: true, ahead: time.Hour},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			leader, other := newEnd(t, 0), newEnd(t, tt.ahead)
			maker, via := leader, ""
			if tt.via {
				maker, via = other, other.server.URL
			}
			given := time.Now().Round(0)
			leader.d.Put(messenger.Hold{Worker: "w", Fence: 7, Acked: 3, At: given, NotAfter: given.Add(10 * time.Second), Via: via})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			body, err := maker.local.Take(ctx)
			must.NoError(t, err)
			h, ok := body.(messenger.Hold)
			must.True(t, ok)
			left := h.NotAfter.Sub(maker.d.cfg.Clock())
			must.Between(t, 5*time.Second, left, 10*time.Second)
			maker.d.Reply(messenger.HoldReply{Hold: h, OK: true, Ended: []messenger.EndReport{{N: 4}}})
			body, err = leader.decided.Take(ctx)
			must.NoError(t, err)
			r, ok := body.(messenger.HoldReply)
			must.True(t, ok)
			must.True(t, r.Hold.At.Equal(given))
			must.EqOp(t, uint64(7), r.Hold.Fence)
			must.Len(t, 1, r.Ended)
		})
	}
}

// TestDelegateAdvice checks that a question to the advisor is asked where the leader says.
func TestDelegateAdvice(t *testing.T) {
	leader, other := newEnd(t, 0), newEnd(t, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	leader.d.Put(messenger.Advise{Job: "j", Step: 1, Workers: []string{"w"}, Via: other.server.URL})
	body, err := other.local.Take(ctx)
	must.NoError(t, err)
	a, ok := body.(messenger.Advise)
	must.True(t, ok)
	must.EqOp(t, leader.server.URL, a.Origin)
	other.d.Reply(messenger.Advice{Advise: a, OK: true, Good: []messenger.Permit{{Worker: "w", Ticket: "x"}}, Valid: time.Second})
	body, err = leader.decided.Take(ctx)
	must.NoError(t, err)
	answer, ok := body.(messenger.Advice)
	must.True(t, ok)
	must.EqOp(t, "x", answer.Good[0].Ticket)
	must.EqOp(t, 1, answer.Advise.Step)
}
