package surveyor

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Phase is what one path cost.
type Phase struct {
	Path     string
	P50, P99 time.Duration
	CPU      time.Duration // of the whole process, for each request
	Allocs   float64       // for each request
	Requests int
}

// Overhead describes a measurement of what an entry instance adds to a direct call.
type Overhead struct {
	Rate  float64 // requests a second, at random times
	For   time.Duration
	Bytes int // of a body
}

// Round measures a direct call, a bare net/http hop, an entry instance, and an
// entry instance with a claim, one after the other.
func (o Overhead) Round(b *Bench) ([]Phase, error) {
	var out []Phase
	for _, p := range b.paths {
		phase, err := o.measure(p)
		if err != nil {
			return nil, fmt.Errorf("measure %s: %w", p.name, err)
		}
		out = append(out, phase)
	}
	return out, nil
}

// measure sends at random times with a rate and waits for all answers.
func (o Overhead) measure(p path) (Phase, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchConnections, DisableCompression: true}}
	defer client.CloseIdleConnections()
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	body := bytes.Repeat([]byte("x"), o.Bytes)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	cpu := cpuTime()
	due := time.Now()
	end := due.Add(o.For)
	n := 0
	for {
		due = due.Add(time.Duration(rand.ExpFloat64() / o.Rate * float64(time.Second)))
		if due.After(end) {
			break
		}
		<-time.After(time.Until(due))
		n++
		at := due
		wg.Go(func() {
			err := call(client, p, body, n)
			took := time.Since(at)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
				return
			}
			_ = histogram.RecordValue(took.Microseconds()) // within the range
		})
	}
	wg.Wait()
	used := cpuTime() - cpu
	runtime.ReadMemStats(&after)
	return Phase{
		Path:     p.name,
		P50:      time.Duration(histogram.ValueAtQuantile(50)) * time.Microsecond,
		P99:      time.Duration(histogram.ValueAtQuantile(99)) * time.Microsecond,
		CPU:      used / time.Duration(max(n, 1)),
		Allocs:   float64(after.Mallocs-before.Mallocs) / float64(max(n, 1)),
		Requests: n,
	}, failed
}

func call(client *http.Client, p path, body []byte, n int) error {
	r, err := http.NewRequest(http.MethodPost, p.urls[n%len(p.urls)], bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	r.Header = p.header.Clone()
	if p.keyed {
		r.Header.Set("Idempotency-Key", fmt.Sprintf("%d-%d", time.Now().UnixNano(), n))
	}
	response, err := client.Do(r)
	if err != nil {
		return fmt.Errorf("send: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if response.StatusCode != http.StatusOK || len(got) != len(body) {
		return fmt.Errorf("status %d, %d bytes: %s: %w", response.StatusCode, len(got), got[:min(len(got), 200)], errAnswer)
	}
	return nil
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // never fails for the own process
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// hopTo is the least that an entry instance could do: read whole, send, read whole, answer.
func hopTo(url string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchConnections, DisableCompression: true}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		out, err := http.NewRequestWithContext(r.Context(), r.Method, url, bytes.NewReader(body))
		if err != nil {
			return
		}
		out.Header = r.Header.Clone()
		response, err := client.Do(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = response.Body.Close() }()
		answer, err := io.ReadAll(response.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		w.WriteHeader(response.StatusCode)
		_, _ = w.Write(answer) // a caller that is gone gets nothing
	})
}
