// Package driver is an HTTP load generator for running entry instances. It sends
// requests at configured rates and reports their outcomes. The load is open-loop: a slow
// answer does not delay later requests, and latency is measured from the time at which a
// request was due.
package driver

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"laburnumwind/receiver"
)

// Step is a constant request rate for a duration.
type Step struct {
	Rate float64 // requests per second
	For  time.Duration
}

// Demand describes the requests of one customer to one service.
type Demand struct {
	Name     string // in the report; empty means the name of the service
	Service  string
	Token    string        // of the customer
	Steps    []Step        // one after another
	Urgency  int           // 0 (most urgent) to 7, as in the Priority header field
	Keyed    bool          // every request has an idempotency key
	Bytes    int           // size of each body; a body is larger if its request ID and a space do not fit
	Deadline time.Duration // from the sending of a request; 0 means defaultDeadline
}

// Config describes a load test.
type Config struct {
	Entries  []string // URLs of the entry instances' listeners for callers, used round-robin
	Demands  []Demand
	Client   *http.Client
	Seed     uint64
	Progress func(sent, completed int64) // if not nil, called every progressInterval; completed counts all outcomes
	IDPrefix string                      // prefix of the request IDs and idempotency keys; must be unique to the run
}

// Report counts the outcomes of one demand.
type Report struct {
	Service  string  `json:"service"` // name of the demand
	Sent     int64   `json:"sent"`
	Answered int64   `json:"answered"`
	Refused  int64   `json:"refused"`
	Failed   int64   `json:"failed"`
	Unknown  int64   `json:"unknown"`
	Lost     int64   `json:"lost"`    // no complete answer, or one without a known outcome
	MixedUp  int64   `json:"mixedUp"` // answered, but with another body than that of the request; also counted in Answered
	P50Ms    float64 `json:"p50Ms"`   // latency of answered requests, from their due time
	P99Ms    float64 `json:"p99Ms"`
	MaxMs    float64 `json:"maxMs"`
}

const (
	maxLatencyMicros = int64(time.Hour / time.Microsecond) // longer latencies are recorded as this one
	histogramDigits  = 3                                   // significant decimal digits
	progressInterval = time.Second
	maxAnswerBytes   = 64 << 20 // the rest of a longer answer is not read, and it counts as mixed up
	defaultDeadline  = 30 * time.Second
	clientGrace      = 10 * time.Second // time that the client waits beyond the deadline, for the answer that reports the timeout
)

// totals accumulates the outcomes of one demand.
type totals struct {
	mu        sync.Mutex
	report    Report
	histogram *hdrhistogram.Histogram
}

// Run sends the requests of all demands, waits for their answers, and returns one
// report for each demand.
func Run(ctx context.Context, cfg Config) []Report {
	totalsByDemand := make([]*totals, len(cfg.Demands))
	var wg sync.WaitGroup
	var sent, completed atomic.Int64
	lb := newBalancer(cfg.Client, cfg.Entries)
	defer lb.stop()
	done := make(chan struct{})
	var progress sync.WaitGroup
	progress.Go(func() { reportProgress(cfg, &sent, &completed, done) })
	for i, d := range cfg.Demands {
		t := &totals{histogram: hdrhistogram.New(1, maxLatencyMicros, histogramDigits)}
		t.report.Service = d.Name
		if d.Name == "" {
			t.report.Service = d.Service
		}
		totalsByDemand[i] = t
		wg.Go(func() {
			var requests sync.WaitGroup
			r := rand.New(rand.NewPCG(cfg.Seed, uint64(i)))
			generateArrivals(ctx, d, r, func(n int64, due time.Time) {
				sent.Add(1)
				entry := lb.pick()
				requests.Go(func() {
					call{id: fmt.Sprintf("%s-%d-%d", cfg.IDPrefix, i, n), entry: entry, due: due}.send(ctx, cfg.Client, d, t)
					completed.Add(1)
				})
			})
			requests.Wait()
		})
	}
	wg.Wait()
	close(done)
	progress.Wait()
	reports := make([]Report, 0, len(totalsByDemand))
	for _, t := range totalsByDemand {
		reports = append(reports, t.summary())
	}
	return reports
}

// reportProgress calls cfg.Progress every progressInterval until done is closed.
func reportProgress(cfg Config, sent, completed *atomic.Int64, done chan struct{}) {
	if cfg.Progress == nil {
		return
	}
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			cfg.Progress(sent.Load(), completed.Load())
		case <-done:
			return
		}
	}
}

// generateArrivals calls send at the times of a Poisson process with the rates of the
// steps, with the number of the request from 1. It returns early if ctx is cancelled.
func generateArrivals(ctx context.Context, d Demand, r *rand.Rand, send func(n int64, due time.Time)) {
	due := time.Now()
	n := int64(0)
	for _, step := range d.Steps {
		end := due.Add(step.For)
		for step.Rate > 0 {
			next := due.Add(time.Duration(r.ExpFloat64() / step.Rate * float64(time.Second)))
			if next.After(end) {
				break
			}
			due = next
			if !waitUntil(ctx, due) {
				return
			}
			n++
			send(n, due)
		}
		due = end
		if !waitUntil(ctx, due) {
			return
		}
	}
}

// waitUntil waits until a time. It returns false if ctx is cancelled.
func waitUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// call is one request of a demand. Its ID is the start of its body, which the endpoint echoes, so
// that an answer to another request is detected. If the demand is keyed, the ID is also the
// idempotency key.
type call struct {
	id    string
	entry string
	due   time.Time
}

// send sends the request, waits for its answer and adds the outcome to t.
func (c call) send(ctx context.Context, client *http.Client, d Demand, t *totals) {
	deadline := d.Deadline
	if deadline == 0 {
		deadline = defaultDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, deadline+clientGrace)
	defer cancel()
	body := append([]byte(c.id+" "), bytes.Repeat([]byte("x"), max(d.Bytes-len(c.id)-1, 0))...)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.entry+receiver.PathServices+d.Service+"/work", bytes.NewReader(body))
	if err != nil {
		t.update(func(r *Report) { r.Lost++ })
		return
	}
	request.Header.Set("Authorization", "Bearer "+d.Token)
	request.Header.Set("Content-Type", "text/plain")
	request.Header.Set("Priority", "u="+strconv.Itoa(d.Urgency))
	request.Header.Set("Request-Timeout", strconv.FormatFloat(deadline.Seconds(), 'f', 3, 64))
	if d.Keyed {
		request.Header["Idempotency-Key"] = []string{c.id}
		request.GetBody = nil // net/http would retry a request with this header field; every request must be sent once
	}
	response, err := client.Do(request)
	if err != nil {
		t.update(func(r *Report) { r.Lost++ })
		return
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		t.update(func(r *Report) { r.Lost++ })
		return
	}
	t.recordOutcome(response.Header.Get(receiver.HeaderOutcome), bytes.Equal(got, body), time.Since(c.due))
}

// update counts a sent request and applies a change to the report.
func (t *totals) update(change func(*Report)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Sent++
	change(&t.report)
}

// recordOutcome counts an answer by the outcome in its header, and records its latency
// if it is answered.
func (t *totals) recordOutcome(outcome string, bodyMatches bool, latency time.Duration) {
	t.update(func(r *Report) {
		switch outcome {
		case "answered":
			r.Answered++
			_ = t.histogram.RecordValue(min(latency.Microseconds(), maxLatencyMicros)) // cannot fail within the range
			if !bodyMatches {
				r.MixedUp++
			}
		case "refused":
			r.Refused++
		case "failed":
			r.Failed++
		case "unknown":
			r.Unknown++
		default:
			r.Lost++
		}
	})
}

// summary returns the report with the quantiles of the latency.
func (t *totals) summary() Report {
	const ms = 1000.0
	t.report.P50Ms = float64(t.histogram.ValueAtQuantile(50)) / ms
	t.report.P99Ms = float64(t.histogram.ValueAtQuantile(99)) / ms
	t.report.MaxMs = float64(t.histogram.Max()) / ms
	return t.report
}
