package runner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/buffer"
)

// TestMessageAdvancesNextTick checks that a message can make the next tick due earlier, and that there is one
// tick for each such message.
func TestMessageAdvancesNextTick(t *testing.T) {
	start := time.Now()
	distant := start.Add(time.Hour)
	due := distant
	ticks := buffer.NewRing[time.Time](8)
	d := NewDuty(Config[time.Duration]{
		RequestCapacity: 1,
		ControlCapacity: 8,
		Clock:           time.Now,
		OnPanic:         func(err error) { t.Error(err) },
		OnFailure:       func(err error) { t.Error(err) },
		WakeAt:          func(time.Time) time.Time { return due },
		Handle:          func(now time.Time, delay time.Duration) { due = now.Add(delay) },
		Tick: func(now time.Time) {
			ticks.TryPut(now)
			due = distant
		},
	})
	defer d.Stop()
	for range 3 {
		must.True(t, d.Control.TryPut(10*time.Millisecond))
		tick := <-ticks.Out()
		must.True(t, tick.After(start))
	}
	_, extra := ticks.TryTake()
	must.False(t, extra)
}

// TestPanics checks that a message or a tick that panics does not end the duty, that a tick that panics each time is
// not repeated without a pause, and that a duty which does nothing but panic reports a failure.
func TestPanics(t *testing.T) {
	tests := map[string]struct {
		panicking, tickPanics bool
		messages              int
		handled, failures     int
	}{
		"no fault":              {messages: 3, handled: 3},
		"each message panics":   {panicking: true, messages: maxPanics - 1},
		"panics without end":    {panicking: true, messages: maxPanics + 5, failures: 1},
		"each tick panics once": {tickPanics: true, messages: 3, handled: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			panics := buffer.NewRing[error](1024)
			failures := buffer.NewRing[error](8)
			handled := buffer.NewRing[int](1024)
			done := make(chan struct{})
			d := NewDuty(Config[int]{
				ControlCapacity: 1024, RequestCapacity: 1, Clock: time.Now,
				OnPanic:   func(err error) { panics.TryPut(err) },
				OnFailure: func(err error) { failures.TryPut(err) },
				WakeAt: func(now time.Time) time.Time {
					if tt.tickPanics {
						return now
					}
					return now.Add(time.Hour)
				},
				Tick: func(time.Time) { panic("tick") },
				Handle: func(_ time.Time, n int) {
					if n < 0 {
						close(done)
						return
					}
					if tt.panicking {
						panic("message")
					}
					handled.TryPut(n)
				},
			})
			start := time.Now()
			for n := range tt.messages {
				must.True(t, d.Control.TryPut(n))
			}
			must.True(t, d.Control.TryPut(-1))
			<-done
			elapsed := time.Since(start)
			d.Stop()
			must.EqOp(t, tt.handled, len(handled.Out()))
			must.EqOp(t, tt.failures, len(failures.Out()))
			if tt.tickPanics {
				must.LessEq(t, 2+int(elapsed/tickDelayAfterPanic)+tt.messages, len(panics.Out()))
			}
		})
	}
}
