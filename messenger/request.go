// Package messenger defines the messages that the stages of a node exchange.
// They are independent of any encoding, so any front end can drive the stages.
package messenger

import "time"

// UrgentBelow is the limit below which an RFC 9218 urgency value is treated as urgent; 0 is the most urgent.
const UrgentBelow = 2

// DefaultUrgency is the urgency of a request without a Priority header field (RFC 9218).
const DefaultUrgency = 3

// Field is an HTTP header field.
type Field struct {
	Name  string
	Value string
}

// Request is a caller's request together with its progress through the stages.
type Request struct {
	ID            uint64 // unique within one process lifetime of an entry instance
	Service       string
	Customer      string
	Key           string // idempotency key of the caller, or empty
	Digest        string // SHA-256 digest of method, path and body, in hexadecimal
	Method        string
	Path          string
	Header        []Field
	Body          []byte
	Urgency       int // from 0 (most urgent) to 7 (least urgent)
	Arrived       time.Time
	Deadline      time.Time
	StartDeadline time.Time // latest time at which the request may start; it is refused after that
	Idempotent    bool      // its service or method is idempotent, so that the request may run more than once

	Pool               string // pool to which the request was admitted
	Attempt            int    // number of the current attempt, incremented on each placement
	Claimed            bool   // an attempt was recorded in the claims log
	Endpoint           Endpoint
	TriedInstances     []string // instances of earlier attempts
	UnansweredAttempts int      // attempts that were sent and have no complete response
}

// NeedsClaim reports whether the request must be claimed in the claims log before it is sent, because at
// most one of its attempts may ever start.
func (r Request) NeedsClaim() bool { return r.Key != "" && !r.Idempotent }

// IsUrgent reports whether the request is treated as urgent: it is queued ahead of the others, and is
// refused if it cannot start soon.
func (r Request) IsUrgent() bool { return r.Urgency < UrgentBelow }

// WithStartDeadline returns the request with the latest time at which it may start.
func (r Request) WithStartDeadline(at time.Time) Request {
	r.StartDeadline = at
	return r
}

// WithPool returns the request with the pool to which it was admitted.
func (r Request) WithPool(pool string) Request {
	r.Pool = pool
	return r
}

// WithEndpoint returns the request with its next attempt placed on an endpoint.
func (r Request) WithEndpoint(e Endpoint) Request {
	if r.Endpoint.Instance != "" {
		r.TriedInstances = append(r.TriedInstances[:len(r.TriedInstances):len(r.TriedInstances)], r.Endpoint.Instance)
	}
	r.Endpoint = e
	r.Attempt++
	return r
}

// WithClaim returns the request after the attempt with this number was claimed.
func (r Request) WithClaim(attempt int) Request {
	r.Claimed = true
	r.Attempt = attempt
	return r
}

// WithUnansweredAttempt returns the request with one more attempt that was sent and has no complete response.
func (r Request) WithUnansweredAttempt() Request {
	r.UnansweredAttempts++
	return r
}

// WithEarlierDeadline returns the request with its deadline moved to the given time if that is earlier.
func (r Request) WithEarlierDeadline(at time.Time) Request {
	if at.Before(r.Deadline) {
		r.Deadline = at
	}
	return r
}

// WithTimes returns the request with its arrival time and deadline.
func (r Request) WithTimes(arrived, deadline time.Time) Request {
	r.Arrived = arrived
	r.Deadline = deadline
	return r
}

// Endpoint is the address and capacity of an instance that serves requests.
type Endpoint struct {
	Instance    string
	Incarnation uint64
	Address     string // host and port
	Zone        string
	Rack        string
	Slots       int    // maximum number of attempts that run at once
	Connections int    // maximum number of connections of one entry instance; zero: no limit
	Epoch       uint64 // epoch in which the instance serves its pool; attempts with an old epoch are rejected
	Pool        string
}

// Outcome is the result of a request: whether it ran, and if so, whether it succeeded.
type Outcome int

// The outcomes of a request.
const (
	Answered  Outcome = iota + 1
	Refused           // the request did not run and never will
	Failed            // the request ran and failed
	Uncertain         // the request may have run
)

// String returns the name of the outcome in lower camel case.
func (o Outcome) String() string {
	names := [...]string{"none", "answered", "refused", "failed", "unknown"}
	if o < 0 || int(o) >= len(names) {
		return names[0]
	}
	return names[o]
}

// Reason is the reason for the outcome of a request.
type Reason string

// The reasons for a refused, failed or uncertain outcome.
const (
	NoReason              Reason = ""
	QueueFull             Reason = "queueFull"     // load shedding: the queue is full, or the request is expected to start too late
	StartDeadlineExceeded Reason = "deadlinePast"  // the request did not start before its deadline
	NoEndpoint            Reason = "noEndpoint"    // the pool has no available endpoint
	RetryBudgetExhausted  Reason = "retriesSpent"  // the retry budget or the attempts of the request are used up
	Overloaded            Reason = "overloaded"    // a ring of the entry instance is full
	Stopping              Reason = "stopping"      // the entry instance is stopping
	KeyInProgress         Reason = "keyRunning"    // an earlier request with the key is in progress
	KeyMismatch           Reason = "keyMismatch"   // the key was used with a different request
	KeyExpired            Reason = "keyExpired"    // the key is older than the retention period
	KeyUnknown            Reason = "keyUnknown"    // it is unknown whether the request with the key ran
	NoQuorum              Reason = "noQuorum"      // the claim was not committed in time, such as for lack of a quorum
	PoisonRequest         Reason = "badJob"        // the same request failed on several endpoints
	ConnectionFailed      Reason = "broken"        // the connection to the endpoint failed, or the attempt was revoked
	IncompleteAnswer      Reason = "truncated"     // the response of the endpoint was incomplete
	EndpointTimeout       Reason = "timedOut"      // the endpoint did not respond before the deadline
	AnswerTooLarge        Reason = "answerTooBig"  // the response exceeds the size limit
	AnswerNotStored       Reason = "answerNotKept" // the earlier answer exceeded the size limit for stored answers
	ServerError           Reason = "serverError"   // the endpoint responded with a status of 500 or above
	Cancelled             Reason = "cancelled"     // the caller disconnected
)

// Answer is the response to a caller's request.
type Answer struct {
	Outcome    Outcome
	Reason     Reason
	Status     int
	Header     []Field
	Body       []byte
	RetryAfter time.Duration // zero if a retry is useless or may be sent at once
	Replayed   bool          // the answer is the stored one of an earlier request with the same key
}

// Refusal returns the answer to a request that did not run.
func Refusal(reason Reason, status int, retryAfter time.Duration) Answer {
	return Answer{Outcome: Refused, Reason: reason, Status: status, RetryAfter: retryAfter}
}

// EndpointAnswer returns the answer for a complete response of an endpoint. A status of 500 or above means that
// the request failed.
func EndpointAnswer(status int, header []Field, body []byte) Answer {
	answer := Answer{Outcome: Answered, Status: status, Header: header, Body: body}
	if status >= StatusServerError {
		answer.Outcome = Failed
		answer.Reason = ServerError
	}
	return answer
}

// The HTTP status codes that stages use in answers.
const (
	StatusConflict            = 409
	StatusGone                = 410
	StatusUnprocessableEntity = 422
	StatusTooManyRequests     = 429
	StatusServerError         = 500 // and above: the endpoint ran the request and the request failed
	StatusBadGateway          = 502
	StatusServiceUnavailable  = 503
	StatusGatewayTimeout      = 504
)
