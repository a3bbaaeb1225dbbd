package runner

import "time"

const (
	maxPanics          = 64              // number of panics in a row after which a duty fails: its state, not a single message, is the cause
	panicPeriod        = 2 * time.Second // a duty also fails if most of its calls within such a period panicked
	minPanicsPerPeriod = 12              // and at least this many did; a tick that always panics does so every tickDelayAfterPanic
)

// panicHistory counts the panics of a duty. A duty whose state makes it panic may still handle some messages, such as
// those that need no decision, so panics in a row are not the only sign of a failure.
type panicHistory struct {
	inARow    int       // panics since the last call that succeeded
	since     time.Time // first panic of the current period; zero: none
	panicked  int       // calls of the period that panicked
	succeeded int       // other calls of the period
}

// WithSuccess returns the history with a call that did not panic.
func (h panicHistory) WithSuccess() panicHistory {
	h.inARow = 0
	h.succeeded++
	return h
}

// WithPanic returns the history with a call that panicked at time now, and whether the duty has failed.
func (h panicHistory) WithPanic(now time.Time) (panicHistory, bool) {
	if h.since.IsZero() {
		h.since, h.panicked, h.succeeded = now, 0, 0
	}
	h.inARow++
	h.panicked++
	failed := h.inARow == maxPanics
	if now.Sub(h.since) < panicPeriod {
		return h, failed
	}
	failed = failed || h.panicked >= minPanicsPerPeriod && h.panicked > h.succeeded
	return panicHistory{inARow: h.inARow}, failed
}
