// Package encoder converts the messages of the decision stages to protobuf and CBOR and back.
// It is the only package that defines the encoding between processes and on disk.
package encoder

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// ErrMalformed is returned for a message that cannot be decoded.
var ErrMalformed = eris.New("malformed message")

func convertAll[A, B any](in []A, convert func(A) B) []B {
	if in == nil {
		return nil
	}
	out := make([]B, 0, len(in))
	for _, v := range in {
		out = append(out, convert(v))
	}
	return out
}

func decodeTime(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

func encodeTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// formatDuration returns a duration as text such as "1h30m0s", or an empty string for zero.
func formatDuration(d time.Duration) string {
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
