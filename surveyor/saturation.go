package surveyor

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Saturation is what a number of clients get who each send again as soon as they are answered.
type Saturation struct {
	Path     string
	Clients  int
	Rate     float64 // answers a second
	P50, P99 time.Duration
	CPU      time.Duration // of the whole process, for each request
	Syncs    int64         // of the claims logs of all voters
	Writes   int64         // that they synced
}

// Saturate lets clients send requests of a size by all paths but the direct
// call, one path after the other; to entry instances in turn.
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

func (b *Bench) saturate(p path, clients, size int, d time.Duration) (Saturation, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchConnections, DisableCompression: true}}
	defer client.CloseIdleConnections()
	body := bytes.Repeat([]byte("x"), size)
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	syncs, writes := b.Counter("claimsSyncs"), b.Counter("claimsWrites")
	cpu, began := cpuTime(), time.Now()
	for n := range clients {
		wg.Go(func() {
			for k := n; time.Since(began) < d; k += clients {
				sent := time.Now()
				err := call(client, p, body, k)
				took := time.Since(sent)
				mu.Lock()
				if err != nil {
					failed = err
				}
				_ = histogram.RecordValue(took.Microseconds()) // within the range
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	took := time.Since(began)
	count := max(histogram.TotalCount(), 1)
	if failed != nil {
		failed = fmt.Errorf("saturate %s: %w", p.name, failed)
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
	}, failed
}
