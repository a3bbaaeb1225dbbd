// Package parser validates the fields of a caller's request and converts them to
// a messenger.Request. It depends on the declarations, but not on how the request
// was read from the connection.
package parser

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// The errors of an invalid request.
var (
	ErrCredential = eris.New("no valid customer token")
	ErrService    = eris.New("no such service for this customer")
	ErrField      = eris.New("malformed field")
)

// MaxKeyLength is the maximum length of an idempotency key, in bytes.
const MaxKeyLength = 128

// Config configures a parser.
type Config struct {
	DefaultTimeout time.Duration // timeout of a request without a Request-Timeout header
	MaxTimeout     time.Duration // maximum timeout; longer ones are reduced to it
}

// Raw is a request as read from the connection, before validation.
type Raw struct {
	Method   string
	Service  string // service name, from the URL path
	Path     string // URL path and query after the service name
	Token    string // SHA-256 of the bearer token, in hexadecimal
	Key      string // Idempotency-Key header
	Priority string // Priority header, RFC 9218
	Timeout  string // Request-Timeout header, in seconds
	Digest   string // SHA-256 of method, path and body, in hexadecimal
	Header   []messenger.Field
	Body     []byte
}

// Parse returns the request that arrived at now, with its deadline. An error is or
// wraps ErrCredential, ErrService or ErrField. Apart from ErrCredential, its text
// is sent to the caller.
func Parse(now time.Time, cfg Config, state keeper.State, raw Raw) (messenger.Request, error) {
	var empty messenger.Request
	customer, ok := state.CustomerByToken(raw.Token)
	if !ok {
		return empty, ErrCredential
	}
	service, ok := state.Service(raw.Service)
	if !ok || !hasService(customer, raw.Service) {
		return empty, fmt.Errorf("service %q: %w", raw.Service, ErrService)
	}
	key, err := parseKey(raw.Key)
	if err != nil {
		return empty, fmt.Errorf("parse Idempotency-Key: %w", err)
	}
	urgency, err := parsePriority(raw.Priority)
	if err != nil {
		return empty, fmt.Errorf("parse Priority: %w", err)
	}
	timeout, err := parseTimeout(cfg, raw.Timeout)
	if err != nil {
		return empty, fmt.Errorf("parse Request-Timeout: %w", err)
	}
	r := messenger.Request{
		Service:    raw.Service,
		Customer:   customer.Name,
		Key:        key,
		Digest:     raw.Digest,
		Method:     raw.Method,
		Path:       raw.Path,
		Header:     raw.Header,
		Body:       raw.Body,
		Urgency:    urgency,
		Idempotent: service.Idempotent || isIdempotent(raw.Method),
		Pool:       service.Pool,
	}
	return r.WithTimes(now, now.Add(timeout)), nil
}

// hasService reports whether a customer may use a service.
func hasService(c keeper.Customer, service string) bool {
	for _, name := range c.Services {
		if name == service {
			return true
		}
	}
	return false
}

// isIdempotent reports whether HTTP defines a method as idempotent (RFC 9110,
// section 9.2.2). TRACE is left out.
func isIdempotent(method string) bool {
	switch method {
	case "GET", "HEAD", "PUT", "DELETE", "OPTIONS":
		return true
	}
	return false
}

// parseKey returns the idempotency key without its quotes. It returns ErrField if
// the key is longer than MaxKeyLength or has a byte that is not a visible ASCII
// character, such as a space.
func parseKey(s string) (string, error) {
	s = strings.Trim(s, `"`)
	if len(s) > MaxKeyLength {
		return "", fmt.Errorf("%d bytes are over %d: %w", len(s), MaxKeyLength, ErrField)
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return "", fmt.Errorf("byte %#x is not printable: %w", c, ErrField)
		}
	}
	return s, nil
}

// parsePriority returns the urgency in a Priority header such as "u=1, i", or the
// default urgency if the header has none. The other parameters are ignored.
func parsePriority(s string) (int, error) {
	for part := range strings.SplitSeq(s, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "u=")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 || n > 7 {
			return 0, fmt.Errorf("urgency %q is not 0 to 7: %w", value, ErrField)
		}
		return n, nil
	}
	return messenger.DefaultUrgency, nil
}

// parseTimeout returns the timeout in a Request-Timeout header, which is a number
// of seconds and may have a fraction.
func parseTimeout(cfg Config, s string) (time.Duration, error) {
	if s == "" {
		return cfg.DefaultTimeout, nil
	}
	seconds, err := strconv.ParseFloat(s, 64)
	if err != nil || !(seconds > 0) { // this form also rejects NaN
		return 0, fmt.Errorf("%q is not a number of seconds above zero: %w", s, ErrField)
	}
	if seconds > cfg.MaxTimeout.Seconds() {
		return cfg.MaxTimeout, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
