package runner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestPanicHistory guards against a leader that goes on although its periodic work always panics: messages that need no
// decision succeed in between, so panics in a row never showed the failure. Odd messages must not end a duty that does
// its periodic work.
func TestPanicHistory(t *testing.T) {
	never := func(int) bool { return false }
	always := func(int) bool { return true }
	tests := map[string]struct {
		ticks, messages int // in a second
		tickPanics      func(n int) bool
		messagePanics   func(n int) bool
		failedBy        time.Duration // latest time of the failure; zero: none within two minutes
	}{
		"no panic":                           {ticks: 10, messages: 50, tickPanics: never, messagePanics: never},
		"all calls":                          {ticks: 10, messages: 50, tickPanics: always, messagePanics: always, failedBy: 2 * time.Second},
		"all ticks":                          {ticks: 10, messages: 50, tickPanics: always, messagePanics: never, failedBy: 2 * panicPeriod},
		"all ticks, few messages":            {ticks: 10, messages: 1, tickPanics: always, messagePanics: never, failedBy: 2 * panicPeriod},
		"two ticks of three":                 {ticks: 10, messages: 50, tickPanics: func(n int) bool { return n%3 != 0 }, messagePanics: never, failedBy: 2 * panicPeriod},
		"all ticks after some time":          {ticks: 10, messages: 50, tickPanics: func(n int) bool { return n > 300 }, messagePanics: never, failedBy: 30*time.Second + 2*panicPeriod},
		"one tick":                           {ticks: 10, messages: 50, tickPanics: func(n int) bool { return n == 100 }, messagePanics: never},
		"one tick of three":                  {ticks: 10, messages: 50, tickPanics: func(n int) bool { return n%3 == 0 }, messagePanics: never},
		"most messages":                      {ticks: 10, messages: 50, tickPanics: never, messagePanics: func(n int) bool { return n%50 != 0 }},
		"a burst of messages":                {ticks: 1, messages: 100, tickPanics: never, messagePanics: func(n int) bool { return n < maxPanics-1 }},
		"no ticks, an odd message a second":  {messages: 1, messagePanics: always, failedBy: maxPanics * time.Second},
		"no ticks, odd messages among other": {messages: 50, messagePanics: func(n int) bool { return n%2 == 0 }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1_800_000_000, 0)
			var h panicHistory
			failedAt := time.Duration(0)
			call := func(at time.Duration, isTick, panics bool) {
				if !panics {
					h = h.WithSuccess(isTick)
					return
				}
				var failed bool
				h, failed = h.WithPanic(start.Add(at), isTick)
				if failed && failedAt == 0 {
					failedAt = at
				}
			}
			ticks, messages := 0, 0
			for at := time.Millisecond; at <= 2*time.Minute; at += time.Millisecond {
				if tt.ticks > 0 && at%(time.Second/time.Duration(tt.ticks)) == 0 {
					call(at, true, tt.tickPanics(ticks))
					ticks++
				}
				if at%(time.Second/time.Duration(tt.messages)) == 0 {
					call(at, false, tt.messagePanics(messages))
					messages++
				}
			}
			must.EqOp(t, tt.failedBy > 0, failedAt > 0)
			must.LessEq(t, tt.failedBy, failedAt)
		})
	}
}
