// Package runner runs each stage of a node on a goroutine of its own.
package runner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"laburnumwind/buffer"
	"laburnumwind/recoverer"
)

// Config configures a Duty.
type Config[T any] struct {
	RequestCapacity int                            // capacity of the request ring, in messages
	ControlCapacity int                            // capacity of the control ring, in messages
	Handle          func(now time.Time, message T) // handles one message
	Tick            func(now time.Time)            // handles a tick; not called if WakeAt is nil
	WakeAt          func(now time.Time) time.Time  // returns when the next tick is due in the current state; nil disables ticks
	Clock           func() time.Time               // returns the current time
	OnPanic         func(err error)                // called when Handle or Tick panics; the message is dropped
	OnFailure       func(err error)                // called when panics show that the duty cannot work any more: see panicHistory
}

// tickDelayAfterPanic is the wait before the next tick after a tick that panicked. The state is as it was before, so the
// tick would be due again at once.
const tickDelayAfterPanic = 100 * time.Millisecond

// Duty is a goroutine that handles the messages of its rings one at a time.
// Queued control messages are handled before requests.
type Duty[T any] struct {
	Control  *buffer.Ring[T]
	Requests *buffer.Ring[T]

	cancel  context.CancelFunc
	running sync.WaitGroup
	panics  panicHistory // used by the goroutine only
}

// NewDuty returns a duty with a running goroutine. Call Stop to end it.
func NewDuty[T any](cfg Config[T]) *Duty[T] {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Duty[T]{
		Control:  buffer.NewRing[T](cfg.ControlCapacity),
		Requests: buffer.NewRing[T](cfg.RequestCapacity),
		cancel:   cancel,
	}
	d.running.Go(func() {
		timer := newTickTimer(cfg.WakeAt, cfg.Clock())
		defer timer.stop()
		for {
			select {
			case <-timer.ticks(): // checked first, so that a busy ring does not delay ticks indefinitely
				d.tick(cfg, timer)
			default:
			}
			message, ok := d.Control.TryTake()
			if ok {
				d.handle(cfg, timer, message)
				continue
			}
			select {
			case message = <-d.Control.Out():
				d.handle(cfg, timer, message)
			case message = <-d.Requests.Out():
				d.handle(cfg, timer, message)
			case <-timer.ticks():
				d.tick(cfg, timer)
			case <-ctx.Done():
				return
			}
		}
	})
	return d
}

// handle passes a message to Handle and resets the timer if the next tick is now due earlier.
func (d *Duty[T]) handle(cfg Config[T], timer *tickTimer, message T) {
	now := cfg.Clock()
	d.guard(cfg, now, false, func() { cfg.Handle(now, message) })
	timer.advance(now)
}

// tick calls Tick and sets the timer for the next tick.
func (d *Duty[T]) tick(cfg Config[T], timer *tickTimer) {
	now := cfg.Clock()
	if d.guard(cfg, now, true, func() { cfg.Tick(now) }) {
		timer.scheduleNext(now)
		return
	}
	timer.set(now, now.Add(tickDelayAfterPanic))
}

// guard calls f, a tick or the handling of a message, at time now and returns false if f panicked.
func (d *Duty[T]) guard(cfg Config[T], now time.Time, isTick bool, f func()) bool {
	err := recoverer.Do(f)
	if err == nil {
		d.panics = d.panics.WithSuccess(isTick)
		return true
	}
	var failed bool
	d.panics, failed = d.panics.WithPanic(now, isTick)
	cfg.OnPanic(err)
	if failed {
		cfg.OnFailure(fmt.Errorf("too many panics: %w", err))
	}
	return false
}

// Stop ends the goroutine, waits for it and closes the rings. Queued messages are dropped.
func (d *Duty[T]) Stop() {
	d.cancel()
	d.running.Wait()
	d.Control.Close()
	d.Requests.Close()
}
