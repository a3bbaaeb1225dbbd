// Package messenger holds the values that stages send each other.
// They carry no encoding, so that any front end can drive the stages.
package messenger

import "time"

// UrgentBelow is the first urgency of RFC 9218 that no longer counts as urgent.
const UrgentBelow = 2

// DefaultUrgency is the urgency of a request that names none (RFC 9218).
const DefaultUrgency = 3

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// Request is a caller's request on its way through the stages.
type Request struct {
	ID         uint64 // unique within one run of an entry instance
	Service    string
	Customer   string
	Key        string // the caller's idempotency key, or empty
	Digest     string // SHA-256 of method, path and body
	Method     string
	Path       string
	Header     []Field
	Body       []byte
	Urgency    int // 0 is the most urgent, 7 the least
	Arrived    time.Time
	Deadline   time.Time
	StartBy    time.Time // it starts before this time or not at all
	Idempotent bool

	Pool     string // the pool that it was admitted to
	Attempt  int    // raised each time that it is placed
	Claimed  bool   // an attempt was claimed
	Endpoint Endpoint
	Tried    []string // instances that it was placed on before
	Breaks   int      // attempts that broke after they were sent
}

// NeedsClaim tells whether at most one attempt may ever start.
func (r Request) NeedsClaim() bool { return r.Key != "" && !r.Idempotent }

// IsUrgent tells whether the request must start soon or not at all.
func (r Request) IsUrgent() bool { return r.Urgency < UrgentBelow }

// WithStartBy returns the request with the last time at which it may start.
func (r Request) WithStartBy(at time.Time) Request {
	r.StartBy = at
	return r
}

// WithPool returns the request admitted to a pool.
func (r Request) WithPool(pool string) Request {
	r.Pool = pool
	return r
}

// WithEndpoint returns the next attempt, on an endpoint.
func (r Request) WithEndpoint(e Endpoint) Request {
	if r.Endpoint.Instance != "" {
		r.Tried = append(r.Tried[:len(r.Tried):len(r.Tried)], r.Endpoint.Instance)
	}
	r.Endpoint = e
	r.Attempt++
	return r
}

// WithClaim returns the request with its attempt claimed.
func (r Request) WithClaim(attempt int) Request {
	r.Claimed = true
	r.Attempt = attempt
	return r
}

// WithBreak returns the request after an attempt that broke.
func (r Request) WithBreak() Request {
	r.Breaks++
	return r
}

// WithEndBy returns the request with an earlier deadline, if this one is earlier.
func (r Request) WithEndBy(at time.Time) Request {
	if at.Before(r.Deadline) {
		r.Deadline = at
	}
	return r
}

// WithTimes returns the request with its arrival and deadline.
func (r Request) WithTimes(arrived, deadline time.Time) Request {
	r.Arrived = arrived
	r.Deadline = deadline
	return r
}

// Endpoint is where requests for an instance go.
type Endpoint struct {
	Instance    string
	Incarnation uint64
	Address     string // host and port
	Zone        string
	Rack        string
	Slots       int
	Connections int
	Epoch       uint64
	Pool        string
}

// Outcome says whether a request ran.
type Outcome int

// The outcomes of a request.
const (
	Answered  Outcome = iota + 1
	Refused           // it was not run and never will be
	Failed            // it ran and failed
	Uncertain         // it may have run
)

// String is the name of the outcome in lower camel case.
func (o Outcome) String() string {
	names := [...]string{"none", "answered", "refused", "failed", "unknown"}
	if o < 0 || int(o) >= len(names) {
		return names[0]
	}
	return names[o]
}

// Reason says why a request has its outcome.
type Reason string

// The reasons of a refusal, a failure or an uncertain outcome.
const (
	NoReason      Reason = ""
	QueueFull     Reason = "queueFull"     // it could not start in time
	DeadlinePast  Reason = "deadlinePast"  // it did not start in time
	NoEndpoint    Reason = "noEndpoint"    // no endpoint of the pool is there
	RetriesSpent  Reason = "retriesSpent"  // the retry budget is empty
	Overloaded    Reason = "overloaded"    // a ring inside the instance is full
	Stopping      Reason = "stopping"      // the entry instance is stopping
	KeyRunning    Reason = "keyRunning"    // an earlier request with the key runs
	KeyMismatch   Reason = "keyMismatch"   // the key was used for another request
	KeyExpired    Reason = "keyExpired"    // the key is older than its retention
	KeyUnknown    Reason = "keyUnknown"    // whether the key's request ran is not known
	NoQuorum      Reason = "noQuorum"      // the claim could not be made
	BadJob        Reason = "badJob"        // the same request broke on several endpoints
	Broken        Reason = "broken"        // the connection to the endpoint broke
	Truncated     Reason = "truncated"     // the endpoint's answer was cut short
	TimedOut      Reason = "timedOut"      // the endpoint did not answer before the deadline
	AnswerTooBig  Reason = "answerTooBig"  // the answer is over the bound
	AnswerNotKept Reason = "answerNotKept" // the earlier answer was too big to be kept
	ServerError   Reason = "serverError"   // the endpoint answered with a status of 500 or more
	Cancelled     Reason = "cancelled"     // the caller went away
)

// Answer is what a caller gets.
type Answer struct {
	Outcome    Outcome
	Reason     Reason
	Status     int
	Header     []Field
	Body       []byte
	RetryAfter time.Duration // zero: a retry is no use or can come at once
	Replayed   bool          // the stored answer of an earlier request
}

// Refusal is the answer to a request that was not run.
func Refusal(reason Reason, status int, retryAfter time.Duration) Answer {
	return Answer{Outcome: Refused, Reason: reason, Status: status, RetryAfter: retryAfter}
}

// WholeAnswer is an endpoint's whole answer: it failed if its status says so.
func WholeAnswer(status int, header []Field, body []byte) Answer {
	answer := Answer{Outcome: Answered, Status: status, Header: header, Body: body}
	if status >= StatusServerError {
		answer.Outcome = Failed
		answer.Reason = ServerError
	}
	return answer
}

// The HTTP statuses of answers that stages give.
const (
	StatusConflict       = 409
	StatusGone           = 410
	StatusUnprocessable  = 422
	StatusTooMany        = 429
	StatusServerError    = 500 // and above: the endpoint ran the request and failed
	StatusBadGateway     = 502
	StatusUnavailable    = 503
	StatusGatewayTimeout = 504
)
