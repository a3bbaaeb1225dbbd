// Package buffer holds the bounded ring that joins two duties.
package buffer

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrClosed reports that a ring was closed and, for a take, is empty too.
var ErrClosed = eris.New("ring closed")

// Ring is a bounded first-in first-out queue between goroutines.
// A full ring is backpressure: Put waits and TryPut refuses.
type Ring[T any] struct {
	items  chan T
	closed chan struct{}
	once   sync.Once
}

// NewRing returns a ring that holds at most n items; n below one counts as one.
func NewRing[T any](n int) *Ring[T] {
	return &Ring[T]{
		items:  make(chan T, max(n, 1)),
		closed: make(chan struct{}),
	}
}

// Put waits for room and adds the item.
// It returns ErrClosed after Close and the context's error after its end.
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

// TryPut adds the item only if there is room now.
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

// Take waits for the next item.
// Items put before Close are still handed out; then it returns ErrClosed.
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
		return r.takeLast()
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// TryTake returns the next item if one is there now.
func (r *Ring[T]) TryTake() (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	default:
		var zero T
		return zero, false
	}
}

// Out is the receiving side, for a select over several rings.
func (r *Ring[T]) Out() <-chan T {
	return r.items
}

// Close ends the ring; it may be called more than once.
func (r *Ring[T]) Close() {
	r.once.Do(func() { close(r.closed) })
}

func (r *Ring[T]) isClosed() bool {
	select {
	case <-r.closed:
		return true
	default:
		return false
	}
}

func (r *Ring[T]) takeLast() (T, error) {
	item, ok := r.TryTake()
	if ok {
		return item, nil
	}
	return item, ErrClosed
}
