package scheduler

import (
	"math"
	"time"
)

// What makes a rise of demand, and when one is expected again.
const (
	trendFast   = 300 * time.Millisecond // of the two averages that tell a trend, about two lists of a worker
	trendSlow   = time.Second            // about a task
	riseSpan    = time.Second            // over which demand is averaged to tell rises from single large jobs
	riseShare   = 0.4                    // of the highest demand, above which a pool is at a peak
	fallShare   = 0.15                   // of it, below which the peak is over
	topSpan     = 2 * time.Minute        // over which the highest demand is forgotten
	leastPeriod = 3 * time.Second        // a shorter time between rises is noise
	mostPeriod  = 10 * time.Minute       // a longer one says nothing of the next
	riseLead    = 900 * time.Millisecond // beyond the time of a move: how late a rise is seen, and its spread
	riseWait    = time.Second            // an expected rise that has not come by then does not come
	peakShare   = 0.8                    // of the processors of the last peak, brought ahead of the next
)

// averaged is a moving average over a span after one more value, some time after the last.
func averaged(have, value float64, passed, span time.Duration) float64 {
	return have + (value-have)*(1-math.Exp(-passed.Seconds()/span.Seconds()))
}

// trend is how demand changes: two averages, the slower of which lags behind.
type trend struct {
	fast, slow float64 // processors
	seenAt     time.Time
}

// With returns the trend after one more look at the demand in processors.
func (s trend) With(now time.Time, demand float64) trend {
	if s.seenAt.IsZero() {
		return trend{fast: demand, slow: demand, seenAt: now}
	}
	passed := now.Sub(s.seenAt)
	s.fast = averaged(s.fast, demand, passed, trendFast)
	s.slow = averaged(s.slow, demand, passed, trendSlow)
	s.seenAt = now
	return s
}

// rise is by how many processors the demand grows in a span, if it grows.
func (s trend) rise(span time.Duration) float64 {
	return max(s.fast-s.slow, 0) * span.Seconds() / (trendSlow - trendFast).Seconds()
}

// turns is what was learned of the peaks of a pool's demand.
type turns struct {
	level  float64 // processors, averaged over riseSpan
	top    float64 // highest level of late
	seenAt time.Time
	high   bool
	roseAt time.Time     // of the last peak
	period time.Duration // between the last two rises
	peak   float64       // highest level of the last peak
}

// With returns the turns after one more look at the demand in processors.
func (s turns) With(now time.Time, demand float64) turns {
	passed := now.Sub(s.seenAt)
	if s.seenAt.IsZero() {
		passed = 0
	}
	s.seenAt = now
	s.level = averaged(s.level, demand, passed, riseSpan)
	s.top = max(s.level, averaged(s.top, 0, passed, topSpan))
	switch {
	case !s.high && s.level > riseShare*s.top && s.top > 0:
		s = s.risen(now)
	case s.high && s.level < fallShare*s.top:
		s.high = false
	}
	if s.high {
		s.peak = max(s.peak, s.level)
	}
	return s
}

func (s turns) risen(now time.Time) turns {
	period := now.Sub(s.roseAt)
	s.period = 0
	if !s.roseAt.IsZero() && period >= leastPeriod && period <= mostPeriod {
		s.period = period
	}
	s.high, s.roseAt, s.peak = true, now, 0
	return s
}

// expected is how many processors the next peak will want, if it is due within the time of a move.
func (s turns) expected(now time.Time, move time.Duration) float64 {
	if s.high || s.period == 0 {
		return 0
	}
	due := s.roseAt.Add(s.period)
	if now.Before(due.Add(-move-riseLead)) || now.After(due.Add(riseWait)) {
		return 0
	}
	return s.peak * peakShare
}
