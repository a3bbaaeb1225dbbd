package runner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestPanicHistory guards against a leader that goes on although nearly all its calls panic: now and then one of them
// succeeds, so panics in a row never showed the failure. Odd messages must not end a duty that handles the others.
func TestPanicHistory(t *testing.T) {
	const interval = 10 * time.Millisecond
	tests := map[string]struct {
		interval time.Duration // between two calls
		panics   func(n int) bool
		failedBy time.Duration // latest time of the failure; zero: none within a minute
	}{
		"no panic":                              {interval: interval, panics: func(int) bool { return false }},
		"each call":                             {interval: interval, panics: func(int) bool { return true }, failedBy: maxPanics * interval},
		"all but one in fifty":                  {interval: interval, panics: func(n int) bool { return n%50 != 49 }, failedBy: 2 * panicPeriod},
		"two of three":                          {interval: interval, panics: func(n int) bool { return n%3 != 0 }, failedBy: 2 * panicPeriod},
		"each tick and no message":              {interval: tickDelayAfterPanic, panics: func(int) bool { return true }, failedBy: 2 * panicPeriod},
		"begins after some time":                {interval: interval, panics: func(n int) bool { return n > 1000 && n%50 != 0 }, failedBy: 1000*interval + 2*panicPeriod},
		"one odd message in three":              {interval: interval, panics: func(n int) bool { return n%3 == 0 }},
		"an odd message a second, nothing else": {interval: time.Second, panics: func(int) bool { return true }, failedBy: maxPanics * time.Second},
		"a burst of odd messages":               {interval: interval, panics: func(n int) bool { return n < maxPanics-1 }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1_800_000_000, 0)
			var h panicHistory
			failedAt := time.Duration(0)
			for n := 0; time.Duration(n)*tt.interval <= 2*time.Minute && failedAt == 0; n++ {
				var failed bool
				at := time.Duration(n+1) * tt.interval
				if tt.panics(n) {
					h, failed = h.WithPanic(start.Add(at))
				} else {
					h = h.WithSuccess()
				}
				if failed {
					failedAt = at
				}
			}
			must.EqOp(t, tt.failedBy > 0, failedAt > 0)
			must.LessEq(t, tt.failedBy, failedAt)
		})
	}
}
