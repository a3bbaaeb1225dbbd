// Package encoder turns the typed messages of the core into protobuf and back.
// It alone knows the encoding between our own processes and on disk.
package encoder

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// ErrMalformed reports a message that cannot be read.
var ErrMalformed = eris.New("malformed message")

func each[A, B any](in []A, convert func(A) B) []B {
	if in == nil {
		return nil
	}
	out := make([]B, 0, len(in))
	for _, v := range in {
		out = append(out, convert(v))
	}
	return out
}

func toTime(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

func fromTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// durationText is a duration as people write it; zero is empty.
func durationText(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

func parseDuration(field, s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 {
		return 0, fmt.Errorf("%s: %q is not a duration such as \"90s\" or \"8h\": %w", field, s, ErrMalformed)
	}
	return d, nil
}
