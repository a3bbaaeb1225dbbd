package assembler

import "time"

const (
	// maxIdleTime is how long the scheduler of a leader may handle no message before the node gives up its leadership.
	// The leases of workers last 7.5 s: a successor has 5 s to be elected, to read the reports and to renew them.
	maxIdleTime = 2500 * time.Millisecond
	// minStepDownInterval is the minimum time between two times at which a node gives up its leadership for that reason. A
	// decision that takes as long on every node would otherwise never be completed by any of them.
	minStepDownInterval = time.Minute
	// stepDownPause is the time for which the node then starts no election, so that another one is elected.
	stepDownPause = 5 * time.Second
	// maxWatchGap bounds the time that counts between two ticks, so that the suspension of the process does not count.
	maxWatchGap = 200 * time.Millisecond
)

// progressWatch tells whether the scheduler of a leader still handles messages. Nothing else shows that: the jobs stage, on a
// thread of its own, renews the lease of the leader in any case.
type progressWatch struct {
	idle        time.Duration // since the last sign of progress, while the node led
	checkedAt   time.Time
	steppedDown time.Time // when the node last gave up its leadership for lack of progress; zero: never
}

// WithProgress returns the watch after a sign of progress.
func (w progressWatch) WithProgress() progressWatch {
	w.idle = 0
	return w
}

// WithCheck returns the watch at time now, and whether the node is to give up its leadership.
func (w progressWatch) WithCheck(now time.Time, leads bool) (progressWatch, bool) {
	passed := min(now.Sub(w.checkedAt), maxWatchGap)
	if w.checkedAt.IsZero() || !leads {
		passed, w.idle = 0, 0
	}
	w.checkedAt = now
	w.idle += passed
	mayStepDown := w.steppedDown.IsZero() || now.Sub(w.steppedDown) >= minStepDownInterval
	if w.idle <= maxIdleTime || !mayStepDown {
		return w, false
	}
	w.idle, w.steppedDown = 0, now
	return w, true
}
