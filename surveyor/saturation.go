package surveyor

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Saturation is the result of a closed-loop load on one path: each client sends its next
// request as soon as the previous one is answered.
type Saturation struct {
	Path     string
	Clients  int
	Rate     float64       // answers per second
	P50, P99 time.Duration // of the latency
	CPU      time.Duration // of the whole process, per request
	Syncs    int64         // syncs of the claims logs of all voters
	Writes   int64         // writes to these logs
}

// Saturate measures a closed-loop load on every path except the direct call, one path
// after another, each for the duration d. Every request has a body of size bytes, and the
// requests use the entry instances round-robin. It returns the last error of a request, if
// any.
func (b *Bench) Saturate(clients, size int, d time.Duration) ([]Saturation, error) {
	var out []Saturation
	for _, p := range b.paths[1:] {
		s, err := b.saturate(p, clients, size, d)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

// saturate measures one path for Saturate.
func (b *Bench) saturate(p path, clients, size int, d time.Duration) (Saturation, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchConnections, DisableCompression: true}}
	defer client.CloseIdleConnections()
	body := bytes.Repeat([]byte("x"), size)
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var lastErr error
	syncs, writes := b.Counter("claimsSyncs"), b.Counter("claimsWrites")
	cpu, started := cpuTime(), time.Now()
	for n := range clients {
		wg.Go(func() {
			for k := n; time.Since(started) < d; k += clients {
				sent := time.Now()
				err := call(client, p, body, k)
				took := time.Since(sent)
				mu.Lock()
				if err != nil {
					lastErr = err
				}
				_ = histogram.RecordValue(took.Microseconds()) // fails only for a latency above a minute, which is left out
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	took := time.Since(started)
	count := max(histogram.TotalCount(), 1)
	if lastErr != nil {
		lastErr = fmt.Errorf("saturate %s: %w", p.name, lastErr)
	}
	return Saturation{
		Path:    p.name,
		Clients: clients,
		Rate:    float64(count) / took.Seconds(),
		P50:     time.Duration(histogram.ValueAtQuantile(50)) * time.Microsecond,
		P99:     time.Duration(histogram.ValueAtQuantile(99)) * time.Microsecond,
		CPU:     (cpuTime() - cpu) / time.Duration(count),
		Syncs:   b.Counter("claimsSyncs") - syncs,
		Writes:  b.Counter("claimsWrites") - writes,
	}, lastErr
}
