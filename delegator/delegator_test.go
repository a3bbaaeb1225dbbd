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

// testInstance is one instance with its delegator and the listener for its peers.
type testInstance struct {
	d       *Delegator
	server  *httptest.Server
	calls   *buffer.Ring[any] // calls that this instance makes
	replies *buffer.Ring[any] // answers to calls that this instance issued
}

func (i *testInstance) Call(context.Context, *encoder.JobCall) (*encoder.JobReply, error) {
	return &encoder.JobReply{}, nil
}

func (i *testInstance) Dispatch(_ context.Context, in *encoder.JobBatch) (*encoder.JobBatchAck, error) {
	return &encoder.JobBatchAck{}, i.d.HandleOrders(in)
}

func (i *testInstance) Return(_ context.Context, in *encoder.JobBatch) (*encoder.JobBatchAck, error) {
	return &encoder.JobBatchAck{}, i.d.HandleReplies(in)
}

// newTestInstance returns an instance whose clock is ahead by clockOffset.
func newTestInstance(t *testing.T, clockOffset time.Duration) *testInstance {
	i := &testInstance{calls: buffer.NewRing[any](8), replies: buffer.NewRing[any](8)}
	i.server = httptest.NewServer(encoder.NewJobsServer(i))
	t.Cleanup(i.server.Close)
	i.d = NewDelegator(Config{
		Name: i.server.URL, Client: &http.Client{}, Clock: func() time.Time { return time.Now().Add(clockOffset) },
		URL:         func(instance string) string { return instance },
		Execute:     func(body any) { i.calls.TryPut(body) },
		HandleReply: func(body any) { i.replies.TryPut(body) },
		OnDropped:   func(string) {},
	})
	t.Cleanup(i.d.Stop)
	return i
}

// TestDelegate checks that the delegate makes a call that names one, and the leader any other
// call. Neither the time remaining for the call nor the time of issue in the answer may depend
// on the delegate's clock.
func TestDelegate(t *testing.T) {
	tests := map[string]struct {
		clockOffset time.Duration // how far the peer's clock is ahead of the leader's
		delegated   bool
	}{
		"local":                    {},
		"delegated":                {delegated: true},
		"delegated, clocks differ": {delegated: true, clockOffset: time.Hour},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			leader, peer := newTestInstance(t, 0), newTestInstance(t, tt.clockOffset)
			executor, delegate := leader, ""
			if tt.delegated {
				executor, delegate = peer, peer.server.URL
			}
			issuedAt := time.Now().Round(0)
			leader.d.Put(messenger.Hold{Worker: "w", Fence: 7, Acked: 3, At: issuedAt, NotAfter: issuedAt.Add(10 * time.Second), Delegate: delegate})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			body, err := executor.calls.Take(ctx)
			must.NoError(t, err)
			h, ok := body.(messenger.Hold)
			must.True(t, ok)
			remaining := h.NotAfter.Sub(executor.d.cfg.Clock())
			must.Between(t, 5*time.Second, remaining, 10*time.Second)
			executor.d.Reply(messenger.HoldReply{Hold: h, OK: true, Ended: []messenger.EndReport{{Number: 4}}})
			body, err = leader.replies.Take(ctx)
			must.NoError(t, err)
			r, ok := body.(messenger.HoldReply)
			must.True(t, ok)
			must.True(t, r.Hold.At.Equal(issuedAt))
			must.EqOp(t, uint64(7), r.Hold.Fence)
			must.Len(t, 1, r.Ended)
		})
	}
}

// TestDelegateAdvice checks that the delegate makes a call to the advisor and returns the answer.
func TestDelegateAdvice(t *testing.T) {
	leader, peer := newTestInstance(t, 0), newTestInstance(t, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	leader.d.Put(messenger.AdviceRequest{Job: "j", Step: 1, Workers: []string{"w"}, Delegate: peer.server.URL})
	body, err := peer.calls.Take(ctx)
	must.NoError(t, err)
	request, ok := body.(messenger.AdviceRequest)
	must.True(t, ok)
	must.EqOp(t, leader.server.URL, request.Origin)
	peer.d.Reply(messenger.AdviceReply{Request: request, OK: true, Permits: []messenger.Permit{{Worker: "w", Ticket: "x"}}, Valid: time.Second})
	body, err = leader.replies.Take(ctx)
	must.NoError(t, err)
	reply, ok := body.(messenger.AdviceReply)
	must.True(t, ok)
	must.EqOp(t, "x", reply.Permits[0].Ticket)
	must.EqOp(t, 1, reply.Request.Step)
}

// TestRemainingTime checks that the time that a call waits at the leader counts against its permission.
func TestRemainingTime(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tests := map[string]struct {
		item      item
		remaining time.Duration
	}{
		"order":         {item: item{Order: &messenger.Order{NotAfter: now.Add(300 * time.Millisecond)}}, remaining: 300 * time.Millisecond},
		"expired order": {item: item{Order: &messenger.Order{NotAfter: now.Add(-time.Second)}}, remaining: -time.Second},
		"hold":          {item: item{Hold: &messenger.Hold{NotAfter: now.Add(time.Second)}}, remaining: time.Second},
		"answer":        {item: item{OrderReply: &messenger.OrderReply{}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { must.EqOp(t, tt.remaining, tt.item.sentAt(now).Remaining) })
	}
}
