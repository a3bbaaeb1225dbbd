package responder

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/messenger"
)

// TestCall checks the answer to a call that the scheduler answers, rejects or does not answer in
// time, and that no call stays pending.
func TestCall(t *testing.T) {
	tests := map[string]struct {
		full     bool // the scheduler's ring is full
		answered bool // the scheduler answers
		want     messenger.JobAnswer
	}{
		"answered":      {answered: true, want: messenger.JobAnswer{Status: messenger.CallDone, Pending: 3}},
		"ring full":     {full: true, want: messenger.JobAnswer{Status: messenger.CallOverloaded, RetryAfter: retryAfter}},
		"context ended": {want: messenger.JobAnswer{Status: messenger.CallUncertain}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var r *Responder
			r = NewResponder(Config{Offer: func(c messenger.Call) bool {
				if tt.answered {
					go r.Handle(messenger.CallAnswer{CallID: c.ID, Answer: tt.want})
				}
				return !tt.full
			}})
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			must.Eq(t, tt.want, r.Call(ctx, messenger.JobCall{Verb: messenger.Ping}))
			must.MapEmpty(t, r.pending)
		})
	}
}
