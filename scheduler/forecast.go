package scheduler

import (
	"math"
	"time"
)

// Parameters of the detection of growth and of recurring peaks of demand.
const (
	trendFastTime      = 300 * time.Millisecond // time constant of the fast average; about the time in which a worker sends two run reports
	trendSlowTime      = time.Second            // time constant of the slow average; about the run time of one task
	levelAveragingTime = time.Second            // time constant of the demand level; separates peaks from single large jobs
	peakStartShare     = 0.4                    // share of the maximum level above which a peak begins
	peakEndShare       = 0.15                   // share of the maximum level below which a peak ends
	maxLevelDecayTime  = 2 * time.Minute        // time constant with which the maximum level decays
	minPeriod          = 3 * time.Second        // a shorter time between two peaks is noise
	maxPeriod          = 10 * time.Minute       // a longer time between two peaks does not predict the next
	peakLeadTime       = 900 * time.Millisecond // added to the duration of a move, for the detection delay of peaks and the variation of their period
	peakTimeout        = time.Second            // an expected peak that has not begun this long after its due time is given up
	preparedShare      = 0.8                    // share of the last peak's cores that is provided ahead of the next peak
)

// movingAverage returns an exponential moving average with the time constant span, updated
// with a value. passed is the time since the previous update.
func movingAverage(average, value float64, passed, span time.Duration) float64 {
	return average + (value-average)*(1-math.Exp(-passed.Seconds()/span.Seconds()))
}

// trend compares two averages of demand; the slow one lags behind the fast one.
type trend struct {
	fast, slow float64 // cores
	updatedAt  time.Time
}

// With returns the trend updated with the current demand in cores.
func (t trend) With(now time.Time, cores float64) trend {
	if t.updatedAt.IsZero() {
		return trend{fast: cores, slow: cores, updatedAt: now}
	}
	passed := now.Sub(t.updatedAt)
	t.fast = movingAverage(t.fast, cores, passed, trendFastTime)
	t.slow = movingAverage(t.slow, cores, passed, trendSlowTime)
	t.updatedAt = now
	return t
}

// growth returns by how many cores demand is expected to grow within span, or 0 if it does not grow.
// While demand grows steadily, fast exceeds slow by the growth of demand within the time
// trendSlowTime - trendFastTime.
func (t trend) growth(span time.Duration) float64 {
	return max(t.fast-t.slow, 0) * span.Seconds() / (trendSlowTime - trendFastTime).Seconds()
}

// peakForecast tracks the recurring peaks of a pool's demand.
type peakForecast struct {
	level         float64 // cores, averaged over levelAveragingTime
	maxLevel      float64 // maximum level, decaying over maxLevelDecayTime
	updatedAt     time.Time
	inPeak        bool
	peakStartedAt time.Time     // start of the last peak
	period        time.Duration // time between the starts of the last two peaks; zero: unknown
	peakLevel     float64       // maximum level of the last peak
}

// With returns the forecast updated with the current demand in cores.
func (f peakForecast) With(now time.Time, cores float64) peakForecast {
	passed := now.Sub(f.updatedAt)
	if f.updatedAt.IsZero() {
		passed = 0
	}
	f.updatedAt = now
	f.level = movingAverage(f.level, cores, passed, levelAveragingTime)
	f.maxLevel = max(f.level, movingAverage(f.maxLevel, 0, passed, maxLevelDecayTime))
	switch {
	case !f.inPeak && f.level > peakStartShare*f.maxLevel && f.maxLevel > 0:
		f = f.startPeak(now)
	case f.inPeak && f.level < peakEndShare*f.maxLevel:
		f.inPeak = false
	}
	if f.inPeak {
		f.peakLevel = max(f.peakLevel, f.level)
	}
	return f
}

// startPeak records the start of a peak, and the time since the previous one as the period if it
// is between minPeriod and maxPeriod.
func (f peakForecast) startPeak(now time.Time) peakForecast {
	period := now.Sub(f.peakStartedAt)
	f.period = 0
	if !f.peakStartedAt.IsZero() && period >= minPeriod && period <= maxPeriod {
		f.period = period
	}
	f.inPeak, f.peakStartedAt, f.peakLevel = true, now, 0
	return f
}

// expectedDemand returns the number of cores to provide for the next peak. It returns 0 during a peak,
// while the period is unknown, until the next peak is due within the duration of a move plus
// peakLeadTime, and once that peak is overdue by more than peakTimeout.
func (f peakForecast) expectedDemand(now time.Time, move time.Duration) float64 {
	if f.inPeak || f.period == 0 {
		return 0
	}
	nextPeak := f.peakStartedAt.Add(f.period)
	if now.Before(nextPeak.Add(-move-peakLeadTime)) || now.After(nextPeak.Add(peakTimeout)) {
		return 0
	}
	return f.peakLevel * preparedShare
}
