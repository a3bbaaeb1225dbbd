// Package runner runs each stage of a node on a goroutine of its own.
package runner

import (
	"context"
	"sync"
	"time"

	"laburnumwind/buffer"
)

// Config configures a Duty.
type Config[T any] struct {
	RequestCapacity int                            // capacity of the request ring, in messages
	ControlCapacity int                            // capacity of the control ring, in messages
	Handle          func(now time.Time, message T) // handles one message
	Tick            func(now time.Time)            // handles a tick; not called if WakeAt is nil
	WakeAt          func(now time.Time) time.Time  // returns when the next tick is due in the current state; nil disables ticks
	Clock           func() time.Time               // returns the current time
}

// Duty is a goroutine that handles the messages of its rings one at a time.
// Queued control messages are handled before requests.
type Duty[T any] struct {
	Control  *buffer.Ring[T]
	Requests *buffer.Ring[T]

	cancel  context.CancelFunc
	running sync.WaitGroup
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
				cfg.tick(timer)
			default:
			}
			message, ok := d.Control.TryTake()
			if ok {
				cfg.handle(timer, message)
				continue
			}
			select {
			case message = <-d.Control.Out():
				cfg.handle(timer, message)
			case message = <-d.Requests.Out():
				cfg.handle(timer, message)
			case <-timer.ticks():
				cfg.tick(timer)
			case <-ctx.Done():
				return
			}
		}
	})
	return d
}

// handle passes a message to Handle and resets the timer if the next tick is now due earlier.
func (cfg Config[T]) handle(timer *tickTimer, message T) {
	now := cfg.Clock()
	cfg.Handle(now, message)
	timer.advance(now)
}

// tick calls Tick and sets the timer for the next tick.
func (cfg Config[T]) tick(timer *tickTimer) {
	now := cfg.Clock()
	cfg.Tick(now)
	timer.scheduleNext(now)
}

// Stop ends the goroutine, waits for it and closes the rings. Queued messages are dropped.
func (d *Duty[T]) Stop() {
	d.cancel()
	d.running.Wait()
	d.Control.Close()
	d.Requests.Close()
}
