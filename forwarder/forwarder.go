// Package forwarder carries attempts to endpoints and brings their answers back whole.
package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"laburnumwind/buffer"
	"laburnumwind/claimer"
	"laburnumwind/messenger"
)

// The header fields of the endpoints' contract.
const (
	HeaderAttempt  = "Laburnum-Attempt"  // names the attempt
	HeaderRequest  = "Laburnum-Request"  // the request of which it is an attempt
	HeaderOnce     = "Laburnum-Once"     // "1": the attempt must not start twice
	HeaderInstance = "Laburnum-Instance" // the instance that is meant
	HeaderEpoch    = "Laburnum-Epoch"    // the epoch that it must have
	HeaderService  = "Laburnum-Service"
	HeaderCustomer = "Laburnum-Customer"
	HeaderKey      = "Laburnum-Key"         // the caller's key; under its own name net/http would send again by itself
	HeaderDeadline = "Laburnum-Deadline"    // Unix milliseconds
	HeaderStarted  = "Laburnum-Not-Started" // in an answer: why the attempt did not start and never will
	HeaderInUse    = "Laburnum-In-Use"      // in an answer: slots in use
)

// Config describes the duties that carry attempts.
type Config struct {
	Entry     string // name of this entry instance and of its run
	Senders   int    // attempts at once
	Ring      int    // attempts that may wait for a sender
	MaxAnswer int64  // largest answer body, in bytes
	Client    *http.Client
	Clock     func() time.Time
	Token     string                   // by which endpoints know an entry instance
	Done      func(messenger.Exchange) // takes the result of an attempt
	Revoked   func(messenger.Revoked)  // takes an endpoint's word on an attempt
	AnyLength bool                     // for proofs: an answer that was cut short counts as whole
}

// Forwarder carries attempts on goroutines of its own.
type Forwarder struct {
	cfg      Config
	ring     *buffer.Ring[any]
	cancel   context.CancelFunc
	done     sync.WaitGroup
	mu       sync.Mutex
	underWay map[uint64]context.CancelFunc // attempts that a caller may still cancel
}

// NewForwarder starts the duties.
func NewForwarder(cfg Config) *Forwarder {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Forwarder{
		cfg:      cfg,
		ring:     buffer.NewRing[any](cfg.Ring),
		cancel:   cancel,
		underWay: make(map[uint64]context.CancelFunc),
	}
	for range cfg.Senders {
		f.done.Go(func() {
			for {
				body, err := f.ring.Take(context.Background())
				if err != nil {
					return
				}
				switch m := body.(type) {
				case messenger.Send:
					cfg.Done(f.attempt(ctx, m.Request))
				case messenger.Revoke:
					cfg.Revoked(f.revoke(ctx, m))
				}
			}
		})
	}
	return f
}

// Put hands an attempt or a revocation over. If no sender can take it, the
// attempt did not start; a revocation is asked for again.
func (f *Forwarder) Put(body any) {
	if f.ring.TryPut(body) {
		return
	}
	m, ok := body.(messenger.Send)
	if ok {
		f.cfg.Done(messenger.Exchange{Request: m.Request, Kind: messenger.NotStarted, Reason: messenger.SlotsFull, InUse: -1})
	}
}

// Cancel ends the attempt of a request whose caller went away.
func (f *Forwarder) Cancel(id uint64) {
	f.mu.Lock()
	cancel, ok := f.underWay[id]
	f.mu.Unlock()
	if ok {
		cancel()
	}
}

// Stop lets attempts under way end, for the given time, and then cuts them off.
func (f *Forwarder) Stop(ctx context.Context) {
	f.ring.Close()
	stop := context.AfterFunc(ctx, f.cancel)
	f.done.Wait()
	stop()
	f.cancel()
}

func (f *Forwarder) attempt(ctx context.Context, r messenger.Request) messenger.Exchange {
	began := f.cfg.Clock()
	x := messenger.Exchange{Request: r, InUse: -1}
	ctx, cancel := context.WithTimeout(ctx, r.Deadline.Sub(began))
	defer cancel()
	if !r.Claimed { // the outcome of a claimed one is recorded whoever waits
		f.track(r.ID, cancel)
		defer f.untrack(r.ID)
	}
	sent := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent = true }, // from here on bytes may go out
	})
	response, err := f.send(ctx, r)
	if err != nil {
		x.Kind = failure(ctx, err, sent)
		x.Took = f.cfg.Clock().Sub(began)
		return x
	}
	x = f.read(ctx, x, response)
	x.Took = f.cfg.Clock().Sub(began)
	return x
}

func failure(ctx context.Context, err error, sent bool) messenger.ExchangeKind {
	var dial *net.OpError
	refused := errors.As(err, &dial) && dial.Op == "dial"
	if !sent || refused {
		return messenger.Unsent
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return messenger.Late
	}
	return messenger.Cut
}

func (f *Forwarder) send(ctx context.Context, r messenger.Request) (*http.Response, error) {
	request, err := f.request(ctx, r)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	return f.cfg.Client.Do(request)
}

func (f *Forwarder) request(ctx context.Context, r messenger.Request) (*http.Request, error) {
	h := make(http.Header, len(r.Header)+10)
	for _, field := range r.Header {
		h[field.Name] = append(h[field.Name], field.Value)
	}
	h[HeaderAttempt] = []string{claimer.AttemptID(f.cfg.Entry, r)}
	h[HeaderRequest] = []string{strconv.FormatUint(r.ID, 10)}
	h[HeaderInstance] = []string{r.Endpoint.Instance}
	h[HeaderEpoch] = []string{strconv.FormatUint(r.Endpoint.Epoch, 10)}
	h[HeaderService] = []string{r.Service}
	h[HeaderCustomer] = []string{r.Customer}
	h[HeaderDeadline] = []string{strconv.FormatInt(r.Deadline.UnixMilli(), 10)}
	h["Authorization"] = []string{"Bearer " + f.cfg.Token}
	if r.Key != "" {
		h[HeaderKey] = []string{r.Key}
	}
	if !r.Idempotent {
		h[HeaderOnce] = []string{"1"}
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Endpoint.Address+r.Path, bytes.NewReader(r.Body))
	if err != nil { // an address or a path that no URL can hold
		return nil, err
	}
	request.Header = h
	if !r.Idempotent {
		request.GetBody = nil // net/http must not send it again by itself
	}
	return request, nil
}

func (f *Forwarder) read(ctx context.Context, x messenger.Exchange, response *http.Response) messenger.Exchange {
	defer func() { _ = response.Body.Close() }()
	inUse, err := strconv.Atoi(response.Header.Get(HeaderInUse))
	if err == nil {
		x.InUse = inUse
	}
	reason := response.Header.Get(HeaderStarted)
	if reason != "" {
		x.Kind = messenger.NotStarted
		x.Reason = messenger.NotStartedReason(reason)
		_, _ = io.CopyN(io.Discard, response.Body, f.cfg.MaxAnswer)
		return x
	}
	body, err := readWhole(response, f.cfg.MaxAnswer)
	if f.cfg.AnyLength {
		err = nil
	}
	switch {
	case err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		x.Kind = messenger.Late
	case err != nil:
		x.Kind = messenger.Cut
	case int64(len(body)) > f.cfg.MaxAnswer:
		x.Kind = messenger.TooBig
	default:
		x.Kind = messenger.Whole
		x.Answer = messenger.Answer{Status: response.StatusCode, Header: fields(response.Header), Body: body}
	}
	return x
}

func readWhole(response *http.Response, most int64) ([]byte, error) {
	if response.ContentLength >= 0 && response.ContentLength <= most {
		body := make([]byte, response.ContentLength)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(response.Body, most+1))
}

// fields are the header fields of an answer that belong to it and not to the connection.
func fields(h http.Header) []messenger.Field {
	out := make([]messenger.Field, 0, len(h))
	for name, values := range h {
		switch name {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Date", HeaderInUse:
			continue
		}
		for _, v := range values {
			out = append(out, messenger.Field{Name: name, Value: v})
		}
	}
	return out
}

func (f *Forwarder) track(id uint64, cancel context.CancelFunc) {
	f.mu.Lock()
	f.underWay[id] = cancel
	f.mu.Unlock()
}

func (f *Forwarder) untrack(id uint64) {
	f.mu.Lock()
	delete(f.underWay, id)
	f.mu.Unlock()
}
