// Package reporter logs decisions, keeps the metrics, and keeps the most recent decisions
// so that operators can ask for them.
package reporter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"laburnumwind/buffer"
	"laburnumwind/messenger"
)

const (
	ringSize   = 2048                  // maximum number of decisions that wait to be reported
	maxRecent  = 2048                  // number of recent decisions that Explain can return
	batchDelay = 20 * time.Millisecond // wait after a batch of decisions before the next is taken from the ring
)

// countedEvents are the decisions that are counted under their name: the refusals of submissions, by reason.
var countedEvents = []string{"jobInvalid", "refusedForLoad", "refusedCannotRun"}

// Config describes a reporter.
type Config struct {
	Log         zerolog.Logger
	SampleEvery int // logs one in this many placements; zero means all; other decisions are not sampled

	MaxLinesPerSecond int // maximum number of log lines per second of each kind; zero means no limit
}

// Reporter logs decisions on a goroutine of its own, so that no stage waits for the log.
type Reporter struct {
	Registry metrics.Registry // counters, gauges and timers by name

	ring       *buffer.Ring[messenger.Decision]
	cancel     context.CancelFunc
	done       sync.WaitGroup
	cfg        Config
	placements int // number of placements so far; used by the reporter's goroutine only
	mu         sync.Mutex
	second     int64                // Unix second that lineCounts is for
	lineCounts map[string]int       // log lines in that second, by kind
	recent     []messenger.Decision // ring buffer of the most recent decisions
	oldest     int                  // index of the oldest decision once recent is full
}

// NewReporter starts the reporter's goroutine.
func NewReporter(cfg Config) *Reporter {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Reporter{
		Registry: metrics.NewRegistry(),
		cfg:      cfg,
		ring:     buffer.NewRing[messenger.Decision](ringSize),
		cancel:   cancel,
		recent:   make([]messenger.Decision, 0, maxRecent),
	}
	r.done.Go(func() {
		for {
			d, err := r.ring.Take(ctx)
			if err != nil {
				r.reportQueued(cfg)
				return
			}
			r.report(cfg, d)
			r.reportQueued(cfg)
			waitForBatch(ctx)
		}
	})
	return r
}

// Handle stores a measurement or enqueues a decision. If the ring is full, the decision is dropped and counted in
// decisionsNotLogged, so that no stage waits.
func (r *Reporter) Handle(body any) {
	m, ok := body.(messenger.Measurement)
	if ok {
		r.Gauge(fmt.Sprintf("%s{team=%q}", m.Name, m.Team), int64(m.Value))
		return
	}
	d, ok := body.(messenger.Decision)
	if ok && !r.ring.TryPut(d) {
		r.Count("decisionsNotLogged", 1)
	}
}

// Stop reports the decisions in the ring and ends the reporter's goroutine.
func (r *Reporter) Stop() {
	r.cancel()
	r.done.Wait()
}

// Count adds n to a counter. It creates the counter if it doesn't exist.
func (r *Reporter) Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, r.Registry).Inc(n)
}

// Counter returns the current value of a counter.
func (r *Reporter) Counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, r.Registry).Count()
}

// DiskError reports that a write is blocked because the disk is full or fails. A nil error reports
// that the disk works again.
func (r *Reporter) DiskError(err error) {
	switch {
	case err == nil:
		r.cfg.Log.Info().Msg("disk works again")
	case errors.Is(err, syscall.ENOSPC):
		r.Count("diskFull", 1)
		r.cfg.Log.Warn().Err(err).Msg("disk full")
	default:
		r.Count("diskErrors", 1)
		r.cfg.Log.Error().Err(err).Msg("disk fails")
	}
}

// Gauge sets the value of a gauge. It creates the gauge if it doesn't exist.
func (r *Reporter) Gauge(name string, n int64) {
	metrics.GetOrRegisterGauge(name, r.Registry).Update(n)
}

// Time adds a duration to a timer. It creates the timer if it doesn't exist.
func (r *Reporter) Time(name string, d time.Duration) {
	metrics.GetOrRegisterTimer(name, r.Registry).Update(d)
}

// reportQueued reports all decisions in the ring without waiting for more.
func (r *Reporter) reportQueued(cfg Config) {
	for d, ok := r.ring.TryTake(); ok; d, ok = r.ring.TryTake() {
		r.report(cfg, d)
	}
}

// report adds a decision to the recent ones and logs it, unless sampling or the rate limit drops its line.
func (r *Reporter) report(cfg Config, d messenger.Decision) {
	r.addRecent(d)
	if slices.Contains(countedEvents, d.Event) {
		r.Count(d.Event, 1)
	}
	switch d.Event {
	case "waitsForRack":
		r.Count("rackWaits", 1)
	case "rackWaitEnded":
		r.Time("rackWait", d.Age)
	}
	if d.Event == "placed" {
		r.placements++
		if r.placements%max(cfg.SampleEvery, 1) != 0 {
			return
		}
	}
	if r.AllowLine(d.Event) {
		writeDecision(cfg.Log, d)
	}
}

// AllowLine counts one more log line of a kind and reports whether it is within the limit of
// MaxLinesPerSecond. A line over the limit is counted in linesNotLogged.
func (r *Reporter) AllowLine(kind string) bool {
	if r.cfg.MaxLinesPerSecond == 0 {
		return true
	}
	now := time.Now().Unix()
	r.mu.Lock()
	if r.second != now {
		r.second, r.lineCounts = now, make(map[string]int)
	}
	r.lineCounts[kind]++
	allowed := r.lineCounts[kind] <= r.cfg.MaxLinesPerSecond
	r.mu.Unlock()
	if !allowed {
		r.Count("linesNotLogged", 1)
	}
	return allowed
}

// waitForBatch waits for batchDelay, so that decisions are reported in batches and not each
// of them wakes the goroutine.
func waitForBatch(ctx context.Context) {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// writeDecision logs a decision with the event as its message.
func writeDecision(log zerolog.Logger, d messenger.Decision) {
	event := log.Info().Str("stage", d.Stage.String())
	if d.Request > 0 {
		event = event.Uint64("request", d.Request).Str("service", d.Service).Str("customer", d.Customer)
	}
	if d.Job != "" {
		event = event.Str("job", d.Job).Int("run", d.Run)
	}
	if d.Term > 0 {
		event = event.Uint64("term", d.Term).Int64("config", d.Config).Dur("age", d.Age)
	}
	event.Str("instance", d.Instance).Str("pool", d.Pool).Int("candidates", d.Candidates).Str("reason", d.Reason).Msg(d.Event)
}

// addRecent adds a decision to the recent ones and replaces the oldest if there are
// maxRecent already.
func (r *Reporter) addRecent(d messenger.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.recent) < maxRecent {
		r.recent = append(r.recent, d)
		return
	}
	r.recent[r.oldest] = d
	r.oldest = (r.oldest + 1) % maxRecent
}

// Explain returns the recent decisions about a request or an instance as text, oldest first.
func (r *Reporter) Explain(request uint64, instance string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []string
	for i := range r.recent {
		d := r.recent[(r.oldest+i)%len(r.recent)]
		matches := (request > 0 && d.Request == request) || (instance != "" && d.Instance == instance)
		if matches {
			lines = append(lines, formatDecision(d))
		}
	}
	return lines
}

// formatDecision returns a decision as a line of text for operators.
func formatDecision(d messenger.Decision) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", d.Stage, d.Event)
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

// WriteMetrics writes all metrics, sorted, in the Prometheus text format. It returns the
// first error of the writer.
func (r *Reporter) WriteMetrics(w io.Writer) error {
	var lines []string
	r.Registry.Each(func(name string, m any) {
		lines = append(lines, metricLines("laburnum_"+snakeCase(name), m)...)
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

// metricLines returns the lines of one metric: a count, a value, or the count and quantiles
// of a timer in seconds.
func metricLines(name string, m any) []string {
	switch metric := m.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, metric.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, metric.Value())}
	case metrics.Timer:
		timer := metric.Snapshot()
		lines := []string{fmt.Sprintf("%s_seconds_count %d", name, timer.Count())}
		for _, quantile := range []float64{0.5, 0.99} {
			lines = append(lines, fmt.Sprintf("%s_seconds{quantile=\"%g\"} %g", name, quantile, timer.Percentile(quantile)/float64(time.Second)))
		}
		return lines
	}
	return nil
}

// snakeCase converts a name from camel case to snake case, which Prometheus metric names use. Labels after the name stay.
func snakeCase(name string) string {
	name, labels, hasLabels := strings.Cut(name, "{")
	var b strings.Builder
	for _, c := range name {
		if c >= 'A' && c <= 'Z' {
			b.WriteByte('_')
			c += 'a' - 'A'
		}
		b.WriteRune(c)
	}
	if hasLabels {
		b.WriteString("{" + labels)
	}
	return b.String()
}
