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

// Phase is the measured cost of one path.
type Phase struct {
	Path     string
	P50, P99 time.Duration // of the latency, from the time at which a request was due
	CPU      time.Duration // of the whole process, per request
	Allocs   float64       // of the whole process, per request
	Requests int
}

// Overhead configures a measurement of the cost that an entry instance adds to a direct call.
type Overhead struct {
	Rate  float64 // requests per second, as a Poisson process
	For   time.Duration
	Bytes int // of each body
}

// Round measures the paths of a bench one after another and returns them in this order: a
// direct call, a minimal net/http proxy, an entry instance, and an entry instance with a
// claim.
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

// measure sends an open-loop load along a path and waits for all answers. It returns
// the last error of a request, if any.
func (o Overhead) measure(p path) (Phase, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchConnections, DisableCompression: true}}
	defer client.CloseIdleConnections()
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	body := bytes.Repeat([]byte("x"), o.Bytes)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var lastErr error
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
				lastErr = err
				return
			}
			_ = histogram.RecordValue(took.Microseconds()) // fails only for a latency above a minute, which is left out
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
	}, lastErr
}

// call sends the n-th request along a path. It returns an error unless the answer has
// status 200 and as many bytes as the body.
func call(client *http.Client, p path, body []byte, n int) error {
	r, err := http.NewRequest(http.MethodPost, p.urls[n%len(p.urls)], bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	r.Header = p.header.Clone()
	if p.keyed {
		r.Header.Set("Idempotency-Key", fmt.Sprintf("%d-%d", time.Now().UnixNano(), n))
	}
	response, err := client.Do(r)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
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

// cpuTime returns the user and system CPU time of the process so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // never fails for the calling process
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// newProxy returns a proxy that does the minimum of the work of an entry instance, as a
// baseline: it reads the whole request, forwards it to a URL, reads the whole answer and
// returns it.
func newProxy(url string) http.Handler {
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
		_, _ = w.Write(answer) // the caller may have disconnected
	})
}
