// Package runner runs stages, each on a goroutine of its own.
package runner

import (
	"context"
	"sync"
	"time"

	"laburnumwind/buffer"
)

// Config describes a duty.
type Config[T any] struct {
	Size    int                            // capacity of the request ring, in messages
	Control int                            // capacity of the control ring, in messages
	Handle  func(now time.Time, message T) // takes one message
	Tick    func(now time.Time)            // is called when it is time
	WakeAt  func(now time.Time) time.Time  // when the next tick is wanted, by what is known now; nil: never
	Clock   func() time.Time               // the present time
}

// Duty is a goroutine that takes messages from its rings, one at a time.
// Control messages go before requests.
type Duty[T any] struct {
	Control  *buffer.Ring[T]
	Requests *buffer.Ring[T]

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// NewDuty starts the goroutine of a duty.
func NewDuty[T any](cfg Config[T]) *Duty[T] {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Duty[T]{
		Control:  buffer.NewRing[T](cfg.Control),
		Requests: buffer.NewRing[T](cfg.Size),
		cancel:   cancel,
	}
	d.done.Go(func() {
		alarm := newAlarm(cfg.WakeAt, cfg.Clock())
		defer alarm.stop()
		for {
			select {
			case <-alarm.ticks(): // first, so that a busy ring does not starve the timers
				cfg.tick(alarm)
			default:
			}
			message, ok := d.Control.TryTake()
			if ok {
				cfg.handle(alarm, message)
				continue
			}
			select {
			case message = <-d.Control.Out():
				cfg.handle(alarm, message)
			case message = <-d.Requests.Out():
				cfg.handle(alarm, message)
			case <-alarm.ticks():
				cfg.tick(alarm)
			case <-ctx.Done():
				return
			}
		}
	})
	return d
}

func (cfg Config[T]) handle(a *alarm, message T) {
	now := cfg.Clock()
	cfg.Handle(now, message)
	a.advance(now)
}

func (cfg Config[T]) tick(a *alarm) {
	now := cfg.Clock()
	cfg.Tick(now)
	a.rang(now)
}

// Stop ends the goroutine and waits for it. Messages still in the rings are dropped.
func (d *Duty[T]) Stop() {
	d.cancel()
	d.done.Wait()
	d.Control.Close()
	d.Requests.Close()
}
