package driver

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	readyPollInterval = 100 * time.Millisecond
	readyTimeout      = time.Second // timeout of one readiness check
)

// balancer distributes requests round-robin over the entry instances whose readiness
// check succeeds, as the platform's load balancer does.
type balancer struct {
	entries []string      // URLs of the entry instances' listeners for callers
	ready   []atomic.Bool // result of the last check of each entry instance
	next    atomic.Uint64 // number of calls of pick
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// newBalancer returns a balancer after one readiness check of every entry instance. It
// repeats the checks every readyPollInterval until stop is called.
func newBalancer(client *http.Client, entries []string) *balancer {
	ctx, cancel := context.WithCancel(context.Background())
	b := &balancer{entries: entries, ready: make([]atomic.Bool, len(entries)), cancel: cancel}
	for i, entry := range entries {
		b.ready[i].Store(isReady(ctx, client, entry))
		b.wg.Go(func() {
			ticker := time.NewTicker(readyPollInterval)
			defer ticker.Stop()
			for {
				select {
				case <-ticker.C:
					b.ready[i].Store(isReady(ctx, client, entry))
				case <-ctx.Done():
					return
				}
			}
		})
	}
	return b
}

// pick returns the next entry instance that is ready, or if none is, the next one although
// it is not ready.
func (b *balancer) pick() string {
	n := int(b.next.Add(1))
	for i := range b.entries {
		k := (n + i) % len(b.entries)
		if b.ready[k].Load() {
			return b.entries[k]
		}
	}
	return b.entries[n%len(b.entries)]
}

func (b *balancer) stop() {
	b.cancel()
	b.wg.Wait()
}

// isReady reports whether the readiness check of an entry instance succeeds.
func isReady(ctx context.Context, client *http.Client, entry string) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, entry+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
