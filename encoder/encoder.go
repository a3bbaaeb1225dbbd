// Package encoder converts the messages of the decision stages to protobuf and CBOR and back. Only this package
// encodes what the processes of laburnumwind send to each other and store, so the stages do not depend on the
// encoding. The types that are encoded as CBOR define their keys in their struct tags.
package encoder

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// ErrMalformed is returned for a message that cannot be decoded.
var ErrMalformed = eris.New("malformed message")

// convertAll converts each element of a list. It keeps a nil list nil.
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

// decodeTime converts Unix nanoseconds to a time. Zero stands for the zero time.
func decodeTime(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// encodeTime converts a time to Unix nanoseconds, and the zero time to zero.
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

// parseDuration parses what formatDuration returns. It returns an error that names the field if the text is
// malformed or the duration negative.
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
