package responder

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/messenger"
)

// TestCall checks what a caller is told, whatever becomes of its call.
func TestCall(t *testing.T) {
	tests := map[string]struct {
		full     bool
		answered bool
		want     messenger.JobAnswer
	}{
		"answered":                  {answered: true, want: messenger.JobAnswer{Code: messenger.CallDone, Pending: 3}},
		"no room":                   {full: true, want: messenger.JobAnswer{Code: messenger.CallOverloaded, RetryAfter: retryAfter}},
		"the caller's time is over": {want: messenger.JobAnswer{Code: messenger.CallUncertain}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var r *Responder
			r = NewResponder(Config{Offer: func(c messenger.Call) bool {
				if tt.answered {
					go r.Take(messenger.CallAnswer{Ticket: c.Ticket, Answer: tt.want})
				}
				return !tt.full
			}})
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			must.Eq(t, tt.want, r.Call(ctx, messenger.JobCall{Verb: messenger.Ping}))
			must.MapEmpty(t, r.waits)
		})
	}
}
