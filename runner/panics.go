package runner

import "time"

const (
	maxPanics         = 64              // number of panics in a row after which a duty fails: its state, not a single message, is the cause
	panicPeriod       = 2 * time.Second // a duty also fails if most of its ticks within such a period panicked
	minPanickingTicks = 12              // and at least this many did; a tick that always panics does so every tickDelayAfterPanic
)

// panicHistory counts the panics of a duty. A duty that cannot do its periodic work may still handle messages that need
// no decision, so panics in a row are not the only sign of a failure. Ticks do not depend on what others send.
type panicHistory struct {
	inARow         int       // panics since the last call that succeeded
	since          time.Time // first tick of the current period that panicked; zero: none
	panickingTicks int       // in the period
	otherTicks     int       // in the period
}

// WithSuccess returns the history with a call that did not panic.
func (h panicHistory) WithSuccess(isTick bool) panicHistory {
	h.inARow = 0
	if isTick {
		h.otherTicks++
	}
	return h
}

// WithPanic returns the history with a call that panicked at time now, and whether the duty has failed.
func (h panicHistory) WithPanic(now time.Time, isTick bool) (panicHistory, bool) {
	h.inARow++
	failed := h.inARow == maxPanics
	if !isTick {
		return h, failed
	}
	if h.since.IsZero() {
		h.since, h.panickingTicks, h.otherTicks = now, 0, 0
	}
	h.panickingTicks++
	if now.Sub(h.since) < panicPeriod {
		return h, failed
	}
	failed = failed || h.panickingTicks >= minPanickingTicks && h.panickingTicks > h.otherTicks
	return panicHistory{inARow: h.inARow}, failed
}
