package buffer

import (
	"context"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

func TestRing(t *testing.T) {
	tests := map[string]struct {
		capacity int
		puts     []int
		want     []int
	}{
		"preserves order":         {capacity: 3, puts: []int{1, 2, 3}, want: []int{1, 2, 3}},
		"rejects items when full": {capacity: 2, puts: []int{1, 2, 3}, want: []int{1, 2}},
		"capacity zero means one": {capacity: 0, puts: []int{1, 2}, want: []int{1}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewRing[int](tc.capacity)
			for _, n := range tc.puts {
				r.TryPut(n)
			}
			r.Close()
			var got []int
			for {
				n, err := r.Take(context.Background())
				if err != nil {
					must.ErrorIs(t, err, ErrClosed)
					break
				}
				got = append(got, n)
			}
			must.Eq(t, tc.want, got)
			must.False(t, r.TryPut(9))
			must.ErrorIs(t, r.Put(context.Background(), 9), ErrClosed)
		})
	}
}

func TestRingPutBlocksWhileFull(t *testing.T) {
	r := NewRing[int](1)
	must.True(t, r.TryPut(1))
	var wg sync.WaitGroup
	wg.Go(func() {
		must.NoError(t, r.Put(context.Background(), 2))
	})
	for want := 1; want <= 2; want++ {
		n, err := r.Take(context.Background())
		must.NoError(t, err)
		must.Eq(t, want, n)
	}
	wg.Wait()
}

func TestRingReturnsContextError(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := NewRing[int](1)
	_, err := r.Take(ctx)
	must.ErrorIs(t, err, context.Canceled)
	must.True(t, r.TryPut(1))
	must.ErrorIs(t, r.Put(ctx, 2), context.Canceled)
}
