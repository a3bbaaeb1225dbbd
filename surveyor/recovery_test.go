package surveyor

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestRecovery checks that a voter finds all it wrote, with and without snapshots in between.
func TestRecovery(t *testing.T) {
	tests := map[string]struct {
		entries int
		least   int64 // bytes on disk
	}{
		"a log":                   {entries: 500, least: 20_000},
		"snapshots and their log": {entries: 20_000, least: 200_000},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r, err := MeasureRecovery(tc.entries)
			must.NoError(t, err) // it fails if less was applied
			must.Greater(t, tc.least, r.Bytes)
			must.Positive(t, r.Open)
		})
	}
}
