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
	Size     int                            // capacity of the request ring, in messages
	Control  int                            // capacity of the control ring, in messages
	Interval time.Duration                  // time between ticks; zero means no ticks
	Handle   func(now time.Time, message T) // takes one message
	Tick     func(now time.Time)            // is called each Interval
	Clock    func() time.Time               // the present time
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
		ticks, stop := ticker(cfg.Interval)
		defer stop()
		for {
			select {
			case <-ticks: // first, so that a busy ring does not starve the timers
				cfg.Tick(cfg.Clock())
			default:
			}
			message, ok := d.Control.TryTake()
			if ok {
				cfg.Handle(cfg.Clock(), message)
				continue
			}
			select {
			case message = <-d.Control.Out():
				cfg.Handle(cfg.Clock(), message)
			case message = <-d.Requests.Out():
				cfg.Handle(cfg.Clock(), message)
			case <-ticks:
				cfg.Tick(cfg.Clock())
			case <-ctx.Done():
				return
			}
		}
	})
	return d
}

// Stop ends the goroutine and waits for it. Messages still in the rings are dropped.
func (d *Duty[T]) Stop() {
	d.cancel()
	d.done.Wait()
	d.Control.Close()
	d.Requests.Close()
}

func ticker(interval time.Duration) (<-chan time.Time, func()) {
	if interval <= 0 {
		return nil, func() {}
	}
	t := time.NewTicker(interval)
	return t.C, t.Stop
}
