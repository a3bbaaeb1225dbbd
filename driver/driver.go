// Package driver sends a declared demand to entry instances and reports what came of it.
// The demand is open-loop: a slow answer delays no later request, and times count from when a request was due.
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

// Step is a rate for a time.
type Step struct {
	Rate float64 // requests a second
	For  time.Duration
}

// Demand is what one kind of work asks.
type Demand struct {
	Name     string // under which it is reported; the service if empty
	Service  string
	Token    string
	Steps    []Step
	Urgency  int
	Keyed    bool // each request has an idempotency key
	Bytes    int  // of a body
	Deadline time.Duration
}

// Config describes a run.
type Config struct {
	Entries  []string // URLs of callers' listeners; requests go to them in turn
	Demands  []Demand
	Client   *http.Client
	Seed     uint64
	Progress func(sent, answered int64)
	Name     string // distinguishes the keys of runs
}

// Report is what came of one demand.
type Report struct {
	Service  string  `json:"service"`
	Sent     int64   `json:"sent"`
	Answered int64   `json:"answered"`
	Refused  int64   `json:"refused"`
	Failed   int64   `json:"failed"`
	Unknown  int64   `json:"unknown"`
	Lost     int64   `json:"lost"`    // no answer at all
	MixedUp  int64   `json:"mixedUp"` // an answer that is not the request's own
	P50Ms    float64 `json:"p50Ms"`   // of answered requests, from when they were due
	P99Ms    float64 `json:"p99Ms"`
	MaxMs    float64 `json:"maxMs"`
}

const (
	histogramMost   = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
	progressEvery   = time.Second
	mostAnswer      = 64 << 20
	defaultDeadline = 30 * time.Second
	clientGrace     = 10 * time.Second // beyond the deadline, for the answer that it passed
)

// tally gathers the outcomes of one demand.
type tally struct {
	mu        sync.Mutex
	report    Report
	histogram *hdrhistogram.Histogram
}

// Run sends the demands and waits for their answers.
func Run(ctx context.Context, cfg Config) []Report {
	tallies := make([]*tally, len(cfg.Demands))
	var wg sync.WaitGroup
	var sent, answered atomic.Int64
	balance := newBalancer(cfg.Client, cfg.Entries)
	defer balance.stop()
	done := make(chan struct{})
	var progress sync.WaitGroup
	progress.Go(func() { showProgress(cfg, &sent, &answered, done) })
	for i, d := range cfg.Demands {
		t := &tally{histogram: hdrhistogram.New(1, histogramMost, histogramDigits)}
		t.report.Service = d.Name
		if d.Name == "" {
			t.report.Service = d.Service
		}
		tallies[i] = t
		wg.Go(func() {
			var requests sync.WaitGroup
			r := rand.New(rand.NewPCG(cfg.Seed, uint64(i)))
			pace(ctx, d, r, func(n int64, due time.Time) {
				sent.Add(1)
				entry := balance.choose()
				requests.Go(func() {
					call{id: fmt.Sprintf("%s-%d-%d", cfg.Name, i, n), entry: entry, due: due}.send(ctx, cfg.Client, d, t)
					answered.Add(1)
				})
			})
			requests.Wait()
		})
	}
	wg.Wait()
	close(done)
	progress.Wait()
	reports := make([]Report, 0, len(tallies))
	for _, t := range tallies {
		reports = append(reports, t.finish())
	}
	return reports
}

func showProgress(cfg Config, sent, answered *atomic.Int64, done chan struct{}) {
	if cfg.Progress == nil {
		return
	}
	tick := time.NewTicker(progressEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			cfg.Progress(sent.Load(), answered.Load())
		case <-done:
			return
		}
	}
}

// pace calls at random times with the rates of the steps.
func pace(ctx context.Context, d Demand, r *rand.Rand, call func(n int64, due time.Time)) {
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
			call(n, due)
		}
		due = end
		if !waitUntil(ctx, due) {
			return
		}
	}
}

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

// call is one request of a demand.
type call struct {
	id    string
	entry string
	due   time.Time
}

func (c call) send(ctx context.Context, client *http.Client, d Demand, t *tally) {
	deadline := d.Deadline
	if deadline == 0 {
		deadline = defaultDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, deadline+clientGrace)
	defer cancel()
	body := append([]byte(c.id+" "), bytes.Repeat([]byte("x"), max(d.Bytes-len(c.id)-1, 0))...)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.entry+receiver.PathServices+d.Service+"/work", bytes.NewReader(body))
	if err != nil {
		t.add(func(r *Report) { r.Lost++ })
		return
	}
	request.Header.Set("Authorization", "Bearer "+d.Token)
	request.Header.Set("Content-Type", "text/plain")
	request.Header.Set("Priority", "u="+strconv.Itoa(d.Urgency))
	request.Header.Set("Request-Timeout", strconv.FormatFloat(deadline.Seconds(), 'f', 3, 64))
	if d.Keyed {
		request.Header["Idempotency-Key"] = []string{c.id}
		request.GetBody = nil // this client sends each request once
	}
	response, err := client.Do(request)
	if err != nil {
		t.add(func(r *Report) { r.Lost++ })
		return
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(io.LimitReader(response.Body, mostAnswer))
	if err != nil {
		t.add(func(r *Report) { r.Lost++ })
		return
	}
	t.take(response.Header.Get(receiver.HeaderOutcome), bytes.Equal(got, body), time.Since(c.due))
}

func (t *tally) add(change func(*Report)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Sent++
	change(&t.report)
}

func (t *tally) take(outcome string, own bool, took time.Duration) {
	t.add(func(r *Report) {
		switch outcome {
		case "answered":
			r.Answered++
			_ = t.histogram.RecordValue(min(took.Microseconds(), histogramMost)) // within the range
			if !own {
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

func (t *tally) finish() Report {
	const ms = 1000.0
	t.report.P50Ms = float64(t.histogram.ValueAtQuantile(50)) / ms
	t.report.P99Ms = float64(t.histogram.ValueAtQuantile(99)) / ms
	t.report.MaxMs = float64(t.histogram.Max()) / ms
	return t.report
}
