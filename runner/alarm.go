package runner

import "time"

// alarm wakes a duty when it wants its next tick. An idle duty is not woken for nothing.
type alarm struct {
	wakeAt func(now time.Time) time.Time
	timer  *time.Timer
	due    time.Time
}

func newAlarm(wakeAt func(time.Time) time.Time, now time.Time) *alarm {
	if wakeAt == nil {
		return &alarm{}
	}
	due := wakeAt(now)
	return &alarm{wakeAt: wakeAt, due: due, timer: time.NewTimer(due.Sub(now))}
}

func (a *alarm) ticks() <-chan time.Time {
	if a.timer == nil {
		return nil
	}
	return a.timer.C
}

// advance wakes the duty earlier if it now wants that.
func (a *alarm) advance(now time.Time) {
	if a.timer == nil {
		return
	}
	due := a.wakeAt(now)
	if due.Before(a.due) {
		a.set(now, due)
	}
}

// rang is called after a tick.
func (a *alarm) rang(now time.Time) {
	a.set(now, a.wakeAt(now))
}

func (a *alarm) set(now, due time.Time) {
	a.due = due
	a.timer.Reset(due.Sub(now))
}

func (a *alarm) stop() {
	if a.timer != nil {
		a.timer.Stop()
	}
}
