// Package buffer provides the bounded queue through which goroutines pass messages.
package buffer

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrClosed is returned by Put on a closed ring, and by Take on a ring that is closed and empty.
var ErrClosed = eris.New("ring closed")

// Ring is a bounded first-in, first-out queue that is safe for concurrent use.
// A full ring applies backpressure: Put blocks and TryPut returns false.
type Ring[T any] struct {
	items     chan T
	closed    chan struct{}
	closeOnce sync.Once
}

// NewRing returns a ring with a capacity of n items, or of one item if n is below one.
func NewRing[T any](n int) *Ring[T] {
	return &Ring[T]{
		items:  make(chan T, max(n, 1)),
		closed: make(chan struct{}),
	}
}

// Put adds the item and blocks while the ring is full.
// It returns ErrClosed if the ring is closed, and the error of ctx if ctx ends first.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	if r.isClosed() {
		return ErrClosed
	}
	select {
	case r.items <- item:
		return nil
	case <-r.closed:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TryPut adds the item without blocking. It returns false if the ring is full or closed.
func (r *Ring[T]) TryPut(item T) bool {
	if r.isClosed() {
		return false
	}
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Take removes and returns the oldest item and blocks while the ring is empty.
// Items added before Close are still returned; then Take returns ErrClosed. It returns the error of ctx if
// ctx ends while the ring is empty.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case item := <-r.items:
		return item, nil
	default:
	}
	select {
	case item := <-r.items:
		return item, nil
	case <-r.closed:
		return r.takeRemaining()
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// TryTake removes and returns the oldest item without blocking. It returns false if the ring is empty.
func (r *Ring[T]) TryTake() (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	default:
		var zero T
		return zero, false
	}
}

// Out returns the channel of the items, for a select over several rings. Close does not close it.
func (r *Ring[T]) Out() <-chan T {
	return r.items
}

// Close closes the ring to further items. It may be called more than once.
func (r *Ring[T]) Close() {
	r.closeOnce.Do(func() { close(r.closed) })
}

func (r *Ring[T]) isClosed() bool {
	select {
	case <-r.closed:
		return true
	default:
		return false
	}
}

// takeRemaining returns an item left in a closed ring, or ErrClosed.
func (r *Ring[T]) takeRemaining() (T, error) {
	item, ok := r.TryTake()
	if ok {
		return item, nil
	}
	return item, ErrClosed
}
