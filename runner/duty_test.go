package runner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/buffer"
)

// TestDutyIsWokenWhenItWants checks that a message can bring the next tick forward.
func TestDutyIsWokenWhenItWants(t *testing.T) {
	start := time.Now()
	far := start.Add(time.Hour)
	due := far
	ticks := buffer.NewRing[time.Time](8)
	d := NewDuty(Config[time.Duration]{
		Size:    1,
		Control: 8,
		Clock:   time.Now,
		WakeAt:  func(time.Time) time.Time { return due },
		Handle:  func(now time.Time, after time.Duration) { due = now.Add(after) },
		Tick: func(now time.Time) {
			ticks.TryPut(now)
			due = far
		},
	})
	defer d.Stop()
	for range 3 {
		must.True(t, d.Control.TryPut(10*time.Millisecond))
		at := <-ticks.Out()
		must.True(t, at.After(start))
	}
	_, more := ticks.TryTake()
	must.False(t, more)
}
