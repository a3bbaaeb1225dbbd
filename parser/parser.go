// Package parser turns the fields of a caller's request into a typed request.
// It knows the declarations, and no encoding of the connection.
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

// The errors of a request that cannot be taken.
var (
	ErrCredential = eris.New("no valid customer token")
	ErrService    = eris.New("no such service for this customer")
	ErrField      = eris.New("malformed field")
)

// MaxKey is the longest idempotency key, in bytes.
const MaxKey = 128

// Config holds the bounds of a parser.
type Config struct {
	DefaultWait time.Duration // how long a caller waits that names no deadline
	MaxWait     time.Duration
}

// Raw is a request as the connection brought it.
type Raw struct {
	Method   string
	Service  string // from the path
	Path     string // the rest of it
	Token    string // SHA-256 of the bearer token, in hexadecimal
	Key      string // Idempotency-Key
	Priority string // Priority, RFC 9218
	Timeout  string // Request-Timeout, in seconds
	Digest   string
	Header   []messenger.Field
	Body     []byte
}

// Parse returns the typed request.
func Parse(now time.Time, cfg Config, view keeper.State, raw Raw) (messenger.Request, error) {
	var none messenger.Request
	customer, ok := view.CustomerByToken(raw.Token)
	if !ok {
		return none, ErrCredential
	}
	service, ok := view.Service(raw.Service)
	if !ok || !uses(customer, raw.Service) {
		return none, fmt.Errorf("service %q: %w", raw.Service, ErrService)
	}
	key, err := parseKey(raw.Key)
	if err != nil {
		return none, fmt.Errorf("parse Idempotency-Key: %w", err)
	}
	urgency, err := parsePriority(raw.Priority)
	if err != nil {
		return none, fmt.Errorf("parse Priority: %w", err)
	}
	wait, err := parseWait(cfg, raw.Timeout)
	if err != nil {
		return none, fmt.Errorf("parse Request-Timeout: %w", err)
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
	return r.WithTimes(now, now.Add(wait)), nil
}

func uses(c keeper.Customer, service string) bool {
	for _, name := range c.Services {
		if name == service {
			return true
		}
	}
	return false
}

func isIdempotent(method string) bool {
	switch method {
	case "GET", "HEAD", "PUT", "DELETE", "OPTIONS":
		return true
	}
	return false
}

func parseKey(s string) (string, error) {
	s = strings.Trim(s, `"`)
	if len(s) > MaxKey {
		return "", fmt.Errorf("%d bytes are over %d: %w", len(s), MaxKey, ErrField)
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return "", fmt.Errorf("byte %#x is not printable: %w", c, ErrField)
		}
	}
	return s, nil
}

// parsePriority reads the urgency of a Priority field such as "u=1, i".
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

func parseWait(cfg Config, s string) (time.Duration, error) {
	if s == "" {
		return cfg.DefaultWait, nil
	}
	seconds, err := strconv.ParseFloat(s, 64)
	if err != nil || !(seconds > 0) {
		return 0, fmt.Errorf("%q is not a number of seconds above zero: %w", s, ErrField)
	}
	if seconds > cfg.MaxWait.Seconds() {
		return cfg.MaxWait, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
