package runner

import "time"

// tickTimer is the timer for the next tick of a duty. It fires only when a tick is due, so an idle duty does
// not wake up.
type tickTimer struct {
	wakeAt func(now time.Time) time.Time
	timer  *time.Timer
	due    time.Time
}

// newTickTimer returns a running timer, or one that never fires if wakeAt is nil.
func newTickTimer(wakeAt func(time.Time) time.Time, now time.Time) *tickTimer {
	if wakeAt == nil {
		return &tickTimer{}
	}
	due := wakeAt(now)
	return &tickTimer{wakeAt: wakeAt, due: due, timer: time.NewTimer(due.Sub(now))}
}

// ticks returns the channel of the timer, or nil if the duty has no ticks.
func (t *tickTimer) ticks() <-chan time.Time {
	if t.timer == nil {
		return nil
	}
	return t.timer.C
}

// advance resets the timer if the next tick is now due earlier. If the tick is now due later, the timer is not
// reset: it still fires at the earlier time, and the stage has nothing to do at that tick.
func (t *tickTimer) advance(now time.Time) {
	if t.timer == nil {
		return
	}
	due := t.wakeAt(now)
	if due.Before(t.due) {
		t.set(now, due)
	}
}

// scheduleNext sets the timer for the next tick. It must be called after each tick.
func (t *tickTimer) scheduleNext(now time.Time) {
	t.set(now, t.wakeAt(now))
}

func (t *tickTimer) set(now, due time.Time) {
	t.due = due
	t.timer.Reset(due.Sub(now))
}

func (t *tickTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}
