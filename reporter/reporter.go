// Package reporter writes the log line of each decision, counts, and keeps the last decisions to explain them.
package reporter

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"laburnumwind/buffer"
	"laburnumwind/messenger"
)

const (
	ringSize = 2048
	kept     = 2048 // decisions that can be explained
	gather   = 20 * time.Millisecond
)

// Config describes a reporter.
type Config struct {
	Log   zerolog.Logger
	Every int // one in this many placements is logged; refusals and moves always are

	PerSecond int // most lines a second of one kind; zero: any number
}

// Reporter writes decisions on a goroutine of its own, so that no stage waits for the log.
type Reporter struct {
	Registry metrics.Registry

	ring   *buffer.Ring[messenger.Decision]
	cancel context.CancelFunc
	done   sync.WaitGroup
	cfg    Config
	placed int // placements so far, for the goroutine alone
	mu     sync.Mutex
	second int64          // the present one of the line budget
	lines  map[string]int // lines in it, by kind
	last   []messenger.Decision
	next   int
}

// NewReporter starts the duty.
func NewReporter(cfg Config) *Reporter {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Reporter{
		Registry: metrics.NewRegistry(),
		cfg:      cfg,
		ring:     buffer.NewRing[messenger.Decision](ringSize),
		cancel:   cancel,
		last:     make([]messenger.Decision, 0, kept),
	}
	r.done.Go(func() {
		for {
			d, err := r.ring.Take(ctx)
			if err != nil {
				r.reportRest(cfg)
				return
			}
			r.report(cfg, d)
			r.reportRest(cfg)
			pause(ctx)
		}
	})
	return r
}

// Take takes a decision. A line that finds the ring full is lost, and counted.
func (r *Reporter) Take(body any) {
	d, ok := body.(messenger.Decision)
	if ok && !r.ring.TryPut(d) {
		r.Count("decisionsNotLogged", 1)
	}
}

// Stop ends the duty.
func (r *Reporter) Stop() {
	r.cancel()
	r.done.Wait()
}

// Count adds to a counter.
func (r *Reporter) Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, r.Registry).Inc(n)
}

// Counter is the present value of a counter.
func (r *Reporter) Counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, r.Registry).Count()
}

// DiskFull tells that a write waits for room on the disk, or, without an error, that it found some.
func (r *Reporter) DiskFull(err error) {
	if err != nil {
		r.Count("diskFull", 1)
		r.cfg.Log.Warn().Err(err).Msg("disk full")
		return
	}
	r.cfg.Log.Info().Msg("disk has room")
}

// Gauge sets a gauge.
func (r *Reporter) Gauge(name string, n int64) {
	metrics.GetOrRegisterGauge(name, r.Registry).Update(n)
}

// Time adds to a timer.
func (r *Reporter) Time(name string, d time.Duration) {
	metrics.GetOrRegisterTimer(name, r.Registry).Update(d)
}

// reportRest reports what waits.
func (r *Reporter) reportRest(cfg Config) {
	for d, ok := r.ring.TryTake(); ok; d, ok = r.ring.TryTake() {
		r.report(cfg, d)
	}
}

// report keeps a decision and writes its line, if it is not one that is sampled out.
func (r *Reporter) report(cfg Config, d messenger.Decision) {
	r.keep(d)
	if d.What == "placed" {
		r.placed++
		if r.placed%max(cfg.Every, 1) != 0 {
			return
		}
	}
	if r.MayLog(d.What) {
		write(cfg.Log, d)
	}
}

// MayLog tells whether one more line of a kind is within the budget of this second, and counts it.
func (r *Reporter) MayLog(kind string) bool {
	if r.cfg.PerSecond == 0 {
		return true
	}
	now := time.Now().Unix()
	r.mu.Lock()
	if r.second != now {
		r.second, r.lines = now, make(map[string]int)
	}
	r.lines[kind]++
	within := r.lines[kind] <= r.cfg.PerSecond
	r.mu.Unlock()
	if !within {
		r.Count("linesNotLogged", 1)
	}
	return within
}

// pause lets decisions gather, so that not each of them wakes this goroutine.
func pause(ctx context.Context) {
	timer := time.NewTimer(gather)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func write(log zerolog.Logger, d messenger.Decision) {
	e := log.Info().Str("stage", d.Stage.String())
	if d.Request > 0 {
		e = e.Uint64("request", d.Request).Str("service", d.Service).Str("customer", d.Customer)
	}
	if d.Job != "" {
		e = e.Str("job", d.Job).Int("run", d.Run)
	}
	if d.Term > 0 {
		e = e.Uint64("term", d.Term).Int64("config", d.Config).Dur("age", d.Age)
	}
	e.Str("instance", d.Instance).Str("pool", d.Pool).Int("candidates", d.Candidates).Str("reason", d.Reason).Msg(d.What)
}

func (r *Reporter) keep(d messenger.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.last) < kept {
		r.last = append(r.last, d)
		return
	}
	r.last[r.next] = d
	r.next = (r.next + 1) % kept
}

// Explain returns the last decisions about a request or an instance, oldest first.
func (r *Reporter) Explain(request uint64, instance string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []string
	for i := range r.last {
		d := r.last[(r.next+i)%len(r.last)]
		matches := (request > 0 && d.Request == request) || (instance != "" && d.Instance == instance)
		if matches {
			lines = append(lines, explain(d))
		}
	}
	return lines
}

func explain(d messenger.Decision) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", d.Stage, d.What)
	if d.Request > 0 {
		fmt.Fprintf(&b, " request %d of %s for %s", d.Request, d.Service, d.Customer)
	}
	if d.Instance != "" {
		fmt.Fprintf(&b, ", instance %s", d.Instance)
	}
	if d.Pool != "" {
		fmt.Fprintf(&b, ", pool %s", d.Pool)
	}
	if d.Candidates > 0 {
		fmt.Fprintf(&b, ", %d candidates", d.Candidates)
	}
	if d.Reason != "" {
		fmt.Fprintf(&b, ": %s", d.Reason)
	}
	return b.String()
}

// WriteMetrics writes all metrics as text, one a line, in the form that common collectors read.
func (r *Reporter) WriteMetrics(w io.Writer) error {
	var lines []string
	r.Registry.Each(func(name string, m any) {
		lines = append(lines, metricLines("laburnum_"+snake(name), m)...)
	})
	slices.Sort(lines)
	for _, line := range lines {
		_, err := fmt.Fprintln(w, line)
		if err != nil {
			return fmt.Errorf("write metrics: %w", err)
		}
	}
	return nil
}

func metricLines(name string, m any) []string {
	switch v := m.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, v.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, v.Value())}
	case metrics.Timer:
		s := v.Snapshot()
		lines := []string{fmt.Sprintf("%s_seconds_count %d", name, s.Count())}
		for _, q := range []float64{0.5, 0.99} {
			lines = append(lines, fmt.Sprintf("%s_seconds{quantile=\"%g\"} %g", name, q, s.Percentile(q)/float64(time.Second)))
		}
		return lines
	}
	return nil
}

// snake turns a camel case name into the form that collectors expect.
func snake(name string) string {
	var b strings.Builder
	for _, c := range name {
		if c >= 'A' && c <= 'Z' {
			b.WriteByte('_')
			c += 'a' - 'A'
		}
		b.WriteRune(c)
	}
	return b.String()
}
