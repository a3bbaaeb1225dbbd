// Package receiver takes callers' requests over HTTP and gives them their answers.
package receiver

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"laburnumwind/forwarder"
	"laburnumwind/keeper"
	"laburnumwind/messenger"
	"laburnumwind/parser"
)

// PathServices is where callers send requests: the service and then its own path follow.
const PathServices = "/v1/services/"

// The header fields of answers to callers.
const (
	HeaderOutcome  = "Laburnum-Outcome"
	HeaderReason   = "Laburnum-Reason"
	HeaderReplayed = "Idempotency-Replayed"
)

// Config describes a receiver.
type Config struct {
	Parser      parser.Config
	MaxBody     int64 // largest request body, in bytes
	MaxInFlight int64 // requests without an answer
	Clock       func() time.Time
	Offer       func(r messenger.Request) bool     // brings a request into the node if there is room
	Send        func(to messenger.Stage, body any) // for cancellations
	Answered    func(r messenger.Request, a messenger.Answer, took time.Duration)
}

// Receiver is the HTTP handler of the callers' listener.
type Receiver struct {
	cfg      Config
	view     atomic.Pointer[messenger.View]
	lastID   atomic.Uint64
	inFlight atomic.Int64
	leaving  atomic.Bool
	stopping atomic.Bool
	mu       sync.Mutex
	waiting  map[uint64]chan messenger.Answer
}

// NewReceiver returns a receiver that knows no declarations yet.
func NewReceiver(cfg Config) *Receiver {
	v := &Receiver{cfg: cfg, waiting: make(map[uint64]chan messenger.Answer)}
	v.view.Store(&messenger.View{State: keeper.NewState()})
	return v
}

// InFlight is the number of requests without an answer.
func (v *Receiver) InFlight() int64 { return v.inFlight.Load() }

// IsReady tells whether declarations are known and new requests are taken.
func (v *Receiver) IsReady() bool {
	return v.view.Load().State.Revision() > 0 && !v.leaving.Load()
}

// Leave makes the receiver not ready. It still takes what the balancer sends until that has noticed.
func (v *Receiver) Leave() { v.leaving.Store(true) }

// Stop makes the receiver refuse what is new.
func (v *Receiver) Stop() { v.stopping.Store(true) }

// Take takes messages of the node: answers and views.
func (v *Receiver) Take(body any) {
	switch m := body.(type) {
	case messenger.View:
		v.view.Store(&m)
	case messenger.Reply:
		v.mu.Lock()
		ch, ok := v.waiting[m.ID]
		delete(v.waiting, m.ID)
		v.mu.Unlock()
		if ok {
			ch <- m.Answer // has room for one
		}
	}
}

// ServeHTTP serves one request.
func (v *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := v.cfg.Clock()
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
	request, ok := v.read(w, r)
	if !ok {
		return
	}
	request.ID = v.lastID.Add(1)
	answer, ok := v.await(r.Context(), request)
	if !ok {
		return // nobody is there to answer
	}
	v.cfg.Answered(request, answer, v.cfg.Clock().Sub(began))
	writeAnswer(w, request.ID, answer)
}

// read reads the whole request and types it.
func (v *Receiver) read(w http.ResponseWriter, r *http.Request) (messenger.Request, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		writeFault(w, parser.ErrCredential)
		return messenger.Request{}, false
	}
	body, err := v.readBody(w, r)
	if err != nil {
		writeFault(w, err)
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
		Token:    sum([]byte(token)),
		Key:      r.Header.Get("Idempotency-Key"),
		Priority: r.Header.Get("Priority"),
		Timeout:  r.Header.Get("Request-Timeout"),
		Digest:   sum([]byte(r.Method+" "+path+"\n"), body),
		Header:   fields(r.Header),
		Body:     body,
	})
	if err != nil {
		writeFault(w, err)
		return request, false
	}
	return request, true
}

func (v *Receiver) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength > v.cfg.MaxBody {
		return nil, &http.MaxBytesError{Limit: v.cfg.MaxBody}
	}
	reader := http.MaxBytesReader(w, r.Body, v.cfg.MaxBody)
	if r.ContentLength >= 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(reader, body)
		return body, err
	}
	var buf bytes.Buffer
	_, err := buf.ReadFrom(reader)
	return buf.Bytes(), err
}

// await brings the request into the node and waits for its answer.
func (v *Receiver) await(ctx context.Context, r messenger.Request) (messenger.Answer, bool) {
	ch := make(chan messenger.Answer, 1)
	v.mu.Lock()
	v.waiting[r.ID] = ch
	v.mu.Unlock()
	v.cfg.Send(messenger.Answerer, messenger.Open{ID: r.ID})
	if !v.cfg.Offer(r) {
		v.forget(r.ID)
		return messenger.Refusal(messenger.Overloaded, http.StatusServiceUnavailable, time.Second), true
	}
	select {
	case answer := <-ch:
		return answer, true
	case <-ctx.Done():
		v.forget(r.ID)
		for _, to := range []messenger.Stage{messenger.Admitter, messenger.Placer, messenger.Claimer, messenger.Forwarder} {
			v.cfg.Send(to, messenger.Cancel{ID: r.ID})
		}
		return messenger.Answer{}, false
	}
}

func (v *Receiver) forget(id uint64) {
	v.mu.Lock()
	delete(v.waiting, id)
	v.mu.Unlock()
	v.cfg.Send(messenger.Answerer, messenger.Cancel{ID: id})
}

func sum(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// fields are the header fields that go on to the endpoint.
func fields(h http.Header) []messenger.Field {
	out := make([]messenger.Field, 0, len(h))
	for name, values := range h {
		switch name {
		case "Authorization", "Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
			"Proxy-Authorization", "Proxy-Connection", "Idempotency-Key", "X-Idempotency-Key", "Content-Length",
			"Accept-Encoding", "Expect":
			continue
		}
		if strings.HasPrefix(name, "Laburnum-") {
			continue // only an entry instance says these
		}
		for _, value := range values {
			out = append(out, messenger.Field{Name: name, Value: value})
		}
	}
	return out
}

// problem is the body of an answer that does not come from an endpoint (RFC 9457).
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	Request uint64 `json:"request,omitempty"`
}

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
	_, _ = w.Write(a.Body) // a caller that is gone gets nothing
}

// writeFault refuses a request that cannot be taken. Nothing of it was run.
func writeFault(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	detail := err.Error()
	var tooBig *http.MaxBytesError
	switch {
	case errors.Is(err, parser.ErrCredential):
		status, detail = http.StatusUnauthorized, ""
		w.Header().Set("WWW-Authenticate", "Bearer")
	case errors.Is(err, parser.ErrService):
		status = http.StatusNotFound
	case errors.As(err, &tooBig):
		status = http.StatusRequestEntityTooLarge
	}
	w.Header().Set(HeaderOutcome, messenger.Refused.String())
	writeProblem(w, problem{Status: status, Detail: detail, Outcome: messenger.Refused.String(), Reason: "malformed"})
}

func writeProblem(w http.ResponseWriter, p problem) {
	p.Type = "about:blank"
	p.Title = http.StatusText(p.Status)
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // a caller that is gone gets nothing
}
