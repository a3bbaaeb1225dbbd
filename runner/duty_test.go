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
