package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestPeakForecast checks that recurring peaks are expected ahead of time from the third one on, since
// the period is known only after two, and that no peak is expected of steady demand or after peaks ended.
func TestPeakForecast(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	peaks := func(period, duration time.Duration) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if at%period < duration {
				return 200
			}
			return 5
		}
	}
	tests := map[string]struct {
		demand   func(time.Duration) float64
		at       time.Duration
		expected bool
	}{
		"ahead of the third peak":  {demand: peaks(16*time.Second, 4*time.Second), at: 31 * time.Second, expected: true},
		"between two peaks":        {demand: peaks(16*time.Second, 4*time.Second), at: 26 * time.Second},
		"ahead of the second peak": {demand: peaks(16*time.Second, 4*time.Second), at: 15 * time.Second},
		"within a peak":            {demand: peaks(16*time.Second, 4*time.Second), at: 34 * time.Second},
		"steady demand":            {demand: func(time.Duration) float64 { return 100 }, at: 31 * time.Second},
		"peaks have ended":         {demand: func(at time.Duration) float64 { return peaks(16*time.Second, 4*time.Second)(min(at, 30*time.Second)) }, at: 36 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var forecast peakForecast
			for at := time.Duration(0); at <= tt.at; at += 50 * time.Millisecond {
				forecast = forecast.With(start.Add(at), tt.demand(at))
			}
			must.EqOp(t, tt.expected, forecast.expectedDemand(start.Add(tt.at), 1500*time.Millisecond) > 0)
		})
	}
}
