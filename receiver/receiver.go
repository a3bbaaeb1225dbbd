// Package receiver accepts callers' requests over HTTP and writes the answers to them.
package receiver

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"laburnumwind/acceptor"
	"laburnumwind/forwarder"
	"laburnumwind/keeper"
	"laburnumwind/messenger"
	"laburnumwind/parser"
)

// PathServices is the URL path prefix for callers' requests. It is followed by the name
// of the service and the path at the service.
const PathServices = "/v1/services/"

// Header fields of answers to callers.
const (
	HeaderOutcome  = "Laburnum-Outcome"
	HeaderReason   = "Laburnum-Reason"
	HeaderReplayed = "Idempotency-Replayed"
)

// Config describes a receiver.
type Config struct {
	Parser      parser.Config
	MaxBody     int64 // maximum size of a request body, in bytes
	MaxInFlight int64 // maximum number of requests in flight
	Clock       func() time.Time
	Enqueue     func(r messenger.Request) bool                                       // passes a request to the admitter; false if its ring is full
	Send        func(to messenger.Stage, body any)                                   // sends a control message, such as a cancellation
	OnAnswer    func(r messenger.Request, a messenger.Answer, elapsed time.Duration) // called before the answer to a valid request is written
}

// Receiver is the HTTP handler for callers' requests.
type Receiver struct {
	cfg      Config
	view     atomic.Pointer[messenger.DeclarationsView]
	lastID   atomic.Uint64 // ID of the last request
	inFlight atomic.Int64
	leaving  atomic.Bool // not ready, but still accepts requests
	stopping atomic.Bool // refuses new requests
	mu       sync.Mutex
	pending  map[uint64]chan messenger.Answer // requests that wait for an answer, by ID
}

// NewReceiver returns a receiver with empty declarations. It isn't ready until it gets
// declarations that an operator has applied, which have a revision above 0.
func NewReceiver(cfg Config) *Receiver {
	v := &Receiver{cfg: cfg, pending: make(map[uint64]chan messenger.Answer)}
	v.view.Store(&messenger.DeclarationsView{State: keeper.NewState()})
	return v
}

// InFlight returns the number of requests in flight.
func (v *Receiver) InFlight() int64 { return v.inFlight.Load() }

// IsReady reports whether the receiver has declarations and isn't leaving. A load balancer
// should send requests only while it is ready.
func (v *Receiver) IsReady() bool {
	return v.view.Load().State.Revision() > 0 && !v.leaving.Load()
}

// Leave makes the receiver report that it is not ready. It still accepts requests, because
// a load balancer sends some until its next health check.
func (v *Receiver) Leave() { v.leaving.Store(true) }

// Stop makes the receiver refuse new requests.
func (v *Receiver) Stop() { v.stopping.Store(true) }

// Handle handles a message from another stage: an answer or a view of the declarations.
func (v *Receiver) Handle(body any) {
	switch m := body.(type) {
	case messenger.DeclarationsView:
		v.view.Store(&m)
	case messenger.Reply:
		v.mu.Lock()
		ch, ok := v.pending[m.ID]
		delete(v.pending, m.ID)
		v.mu.Unlock()
		if ok {
			ch <- m.Answer // doesn't block: the channel has a buffer of one
		}
	}
}

// ServeHTTP accepts one request and writes its answer. It refuses the request if the
// receiver is stopping or too many requests are in flight.
func (v *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := v.cfg.Clock()
	if v.stopping.Load() {
		writeAnswer(w, 0, messenger.Refusal(messenger.Stopping, http.StatusServiceUnavailable, time.Second))
		return
	}
	if v.inFlight.Add(1) > v.cfg.MaxInFlight {
		v.inFlight.Add(-1)
		writeAnswer(w, 0, messenger.Refusal(messenger.Overloaded, http.StatusServiceUnavailable, time.Second))
		return
	}
	defer v.inFlight.Add(-1)
	request, ok := v.parse(w, r)
	if !ok {
		return
	}
	request.ID = v.lastID.Add(1)
	answer, ok := v.submit(r.Context(), request)
	if !ok {
		return // the caller has disconnected
	}
	v.cfg.OnAnswer(request, answer, v.cfg.Clock().Sub(start))
	writeAnswer(w, request.ID, answer)
}

// parse reads and validates a request, with its whole body. It writes a refusal and returns
// false if the request is invalid or can't be read.
func (v *Receiver) parse(w http.ResponseWriter, r *http.Request) (messenger.Request, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		writeRefusal(w, parser.ErrCredential)
		return messenger.Request{}, false
	}
	body, err := acceptor.ReadBody(w, r, v.cfg.MaxBody)
	if errors.Is(err, acceptor.ErrExhausted) {
		RefuseOverloaded(w)
		return messenger.Request{}, false
	}
	if err != nil {
		writeRefusal(w, err)
		return messenger.Request{}, false
	}
	service, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), PathServices), "/")
	path = "/" + path
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	request, err := parser.Parse(v.cfg.Clock(), v.cfg.Parser, v.view.Load().State, parser.Raw{
		Method:   r.Method,
		Service:  service,
		Path:     path,
		Token:    hexSHA256([]byte(token)),
		Key:      r.Header.Get("Idempotency-Key"),
		Priority: r.Header.Get("Priority"),
		Timeout:  r.Header.Get("Request-Timeout"),
		Digest:   hexSHA256([]byte(r.Method+" "+path+"\n"), body),
		Header:   endpointHeader(r.Header),
		Body:     body,
	})
	if err != nil {
		writeRefusal(w, err)
		return request, false
	}
	return request, true
}

// submit passes the request to the pipeline and waits for its answer. It returns false if
// the caller disconnects first. It then cancels the request in all stages; but an attempt
// that is recorded in the claims log and has been sent continues, because its outcome is
// recorded.
func (v *Receiver) submit(ctx context.Context, r messenger.Request) (messenger.Answer, bool) {
	ch := make(chan messenger.Answer, 1)
	v.mu.Lock()
	v.pending[r.ID] = ch
	v.mu.Unlock()
	v.cfg.Send(messenger.Answerer, messenger.OpenRequest{ID: r.ID}) // first, because the answerer drops answers to unknown requests
	if !v.cfg.Enqueue(r) {
		v.abandon(r.ID)
		return messenger.Refusal(messenger.Overloaded, http.StatusServiceUnavailable, time.Second), true
	}
	select {
	case answer := <-ch:
		return answer, true
	case <-ctx.Done():
		v.abandon(r.ID)
		for _, to := range []messenger.Stage{messenger.Admitter, messenger.Placer, messenger.Claimer, messenger.Forwarder} {
			v.cfg.Send(to, messenger.CallerDisconnected{ID: r.ID})
		}
		return messenger.Answer{}, false
	}
}

// abandon stops waiting for the answer to a request and makes the answerer drop it.
func (v *Receiver) abandon(id uint64) {
	v.mu.Lock()
	delete(v.pending, id)
	v.mu.Unlock()
	v.cfg.Send(messenger.Answerer, messenger.CallerDisconnected{ID: id})
}

// hexSHA256 returns the SHA-256 digest of the concatenated parts, in hexadecimal.
func hexSHA256(parts ...[]byte) string {
	hash := sha256.New()
	for _, part := range parts {
		hash.Write(part)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// endpointHeader returns the header fields that are forwarded to the endpoint: all but
// hop-by-hop fields, credentials, idempotency keys, and those that net/http or the forwarder
// sets. The idempotency key is left out in both forms, because net/http may retry a request
// that has one.
func endpointHeader(header http.Header) []messenger.Field {
	out := make([]messenger.Field, 0, len(header))
	for name, values := range header {
		switch name {
		case "Authorization", "Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
			"Proxy-Authorization", "Proxy-Connection", "Idempotency-Key", "X-Idempotency-Key", "Content-Length",
			"Accept-Encoding", "Expect":
			continue
		}
		if strings.HasPrefix(name, "Laburnum-") {
			continue // reserved for entry instances; a caller must not set them
		}
		for _, value := range values {
			out = append(out, messenger.Field{Name: name, Value: value})
		}
	}
	return out
}

// problem is the body of an answer that doesn't come from an endpoint (RFC 9457).
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	Request uint64 `json:"request,omitempty"`
}

// writeAnswer writes an answer of an endpoint as it is, and any other as a problem. The ID
// is 0 if the request was refused before it got one.
func writeAnswer(w http.ResponseWriter, id uint64, a messenger.Answer) {
	h := w.Header()
	h.Set(HeaderOutcome, a.Outcome.String())
	if id > 0 {
		h.Set(forwarder.HeaderRequest, strconv.FormatUint(id, 10))
	}
	if a.Reason != messenger.NoReason {
		h.Set(HeaderReason, string(a.Reason))
	}
	if a.Replayed {
		h.Set(HeaderReplayed, "true")
	}
	if a.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
	}
	fromEndpoint := a.Outcome == messenger.Answered || a.Reason == messenger.ServerError
	if !fromEndpoint {
		writeProblem(w, problem{Status: a.Status, Outcome: a.Outcome.String(), Reason: string(a.Reason), Request: id})
		return
	}
	for _, f := range a.Header {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // fails only if the caller has disconnected
}

// RefuseOverloaded refuses a request that exceeds the byte budget of the process, and ends the connection.
func RefuseOverloaded(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	writeAnswer(w, 0, messenger.Refusal(messenger.Overloaded, http.StatusServiceUnavailable, time.Second))
}

// writeRefusal writes the refusal of a request that is invalid or could not be read. Such a
// request has not entered the pipeline.
func writeRefusal(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	detail := err.Error()
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, parser.ErrCredential):
		status, detail = http.StatusUnauthorized, ""
		w.Header().Set("WWW-Authenticate", "Bearer")
	case errors.Is(err, parser.ErrService):
		status = http.StatusNotFound
	case errors.As(err, &tooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	w.Header().Set(HeaderOutcome, messenger.Refused.String())
	writeProblem(w, problem{Status: status, Detail: detail, Outcome: messenger.Refused.String(), Reason: "malformed"})
}

// writeProblem completes a problem and writes it.
func writeProblem(w http.ResponseWriter, p problem) {
	p.Type = "about:blank"
	p.Title = http.StatusText(p.Status)
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // fails only if the caller has disconnected
}
