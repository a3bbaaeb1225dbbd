package surveyor

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestRecovery checks that a restarted voter applies every entry that it wrote, from a log
// alone and from a snapshot with the log after it.
func TestRecovery(t *testing.T) {
	tests := map[string]struct {
		entries  int
		minBytes int64 // on disk
	}{
		"a log":                {entries: 500, minBytes: 20_000},
		"a snapshot and a log": {entries: 20_000, minBytes: 200_000},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r, err := MeasureRecovery(tc.entries)
			must.NoError(t, err) // MeasureRecovery fails if entries are missing
			must.Greater(t, tc.minBytes, r.Bytes)
			must.Positive(t, r.Open)
		})
	}
}
