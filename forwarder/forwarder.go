// Package forwarder sends attempts of requests to endpoints over HTTP. It passes on an
// answer only if it is complete.
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

// Header fields of the contract with endpoints.
const (
	HeaderAttempt    = "Laburnum-Attempt"  // ID of the attempt
	HeaderRequest    = "Laburnum-Request"  // ID of the request
	HeaderAtMostOnce = "Laburnum-Once"     // "1": the attempt must not start twice
	HeaderInstance   = "Laburnum-Instance" // the instance that the attempt is for
	HeaderEpoch      = "Laburnum-Epoch"    // the epoch that the instance must have; a fencing token
	HeaderService    = "Laburnum-Service"
	HeaderCustomer   = "Laburnum-Customer"
	HeaderKey        = "Laburnum-Key"         // the caller's idempotency key; with Idempotency-Key, net/http would retry on its own
	HeaderDeadline   = "Laburnum-Deadline"    // Unix time in milliseconds
	HeaderNotStarted = "Laburnum-Not-Started" // in an answer: why the attempt has not started and never will
	HeaderInUse      = "Laburnum-In-Use"      // in an answer: slots in use
)

// Config describes a forwarder.
type Config struct {
	Entry           string // prefix of attempt IDs; unique to this run of the entry instance's process
	Senders         int    // number of sender goroutines, and so of concurrent attempts
	QueueCapacity   int    // maximum number of attempts that wait for a sender
	MaxAnswer       int64  // maximum size of an answer body, in bytes
	Client          *http.Client
	Clock           func() time.Time
	Token           string                        // authenticates the entry instance at endpoints
	OnDone          func(messenger.AttemptResult) // called with the result of each attempt; Put calls it if the queue is full
	OnRevoked       func(messenger.RevokeResult)  // called with the result of each revocation
	AcceptTruncated bool                          // for tests: accepts a truncated answer as complete
}

// Forwarder sends attempts and revocations on a fixed number of goroutines.
type Forwarder struct {
	cfg         Config
	ring        *buffer.Ring[any] // attempts and revocations that wait for a sender
	cancel      context.CancelFunc
	done        sync.WaitGroup
	mu          sync.Mutex
	cancellable map[uint64]context.CancelFunc // cancel functions of attempts that a caller may cancel, by request ID
}

// NewForwarder starts the sender goroutines.
func NewForwarder(cfg Config) *Forwarder {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Forwarder{
		cfg:         cfg,
		ring:        buffer.NewRing[any](cfg.QueueCapacity),
		cancel:      cancel,
		cancellable: make(map[uint64]context.CancelFunc),
	}
	for range cfg.Senders {
		f.done.Go(func() {
			for {
				item, err := f.ring.Take(context.Background())
				if err != nil {
					return
				}
				switch m := item.(type) {
				case messenger.SendAttempt:
					cfg.OnDone(f.attempt(ctx, m.Request))
				case messenger.RevokeAttempt:
					cfg.OnRevoked(f.revoke(ctx, m))
				}
			}
		})
	}
	return f
}

// Put enqueues an attempt or a revocation. If the queue is full, an attempt is reported
// as not started, and a revocation is dropped; the claimer retries it.
func (f *Forwarder) Put(body any) {
	if f.ring.TryPut(body) {
		return
	}
	m, ok := body.(messenger.SendAttempt)
	if ok {
		f.cfg.OnDone(messenger.AttemptResult{Request: m.Request, Kind: messenger.AttemptNotStarted, Reason: messenger.SlotsFull, InUse: -1})
	}
}

// Cancel aborts the attempt of a request whose caller has disconnected. A claimed attempt
// goes on.
func (f *Forwarder) Cancel(id uint64) {
	f.mu.Lock()
	cancel, ok := f.cancellable[id]
	f.mu.Unlock()
	if ok {
		cancel()
	}
}

// Stop waits for the attempts in progress and aborts those that remain when ctx is done.
func (f *Forwarder) Stop(ctx context.Context) {
	f.ring.Close()
	stop := context.AfterFunc(ctx, f.cancel)
	f.done.Wait()
	stop()
	f.cancel()
}

// attempt sends one attempt and waits for its answer, at most until the deadline of the
// request.
func (f *Forwarder) attempt(ctx context.Context, r messenger.Request) messenger.AttemptResult {
	start := f.cfg.Clock()
	result := messenger.AttemptResult{Request: r, InUse: -1}
	ctx, cancel := context.WithTimeout(ctx, r.Deadline.Sub(start))
	defer cancel()
	if !r.Claimed { // a claimed attempt goes on without its caller, because its outcome is recorded
		f.addCancel(r.ID, cancel)
		defer f.removeCancel(r.ID)
	}
	sent := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent = true }, // bytes may be sent from here on
	})
	response, err := f.send(ctx, r)
	if err != nil {
		result.Kind = classifyError(ctx, err, sent)
		result.Duration = f.cfg.Clock().Sub(start)
		return result
	}
	result = f.readAnswer(ctx, result, response)
	result.Duration = f.cfg.Clock().Sub(start)
	return result
}

// classifyError returns the kind of result of a failed attempt. It is RequestNotSent only if no byte can
// have been sent, so that the attempt can't have started.
func classifyError(ctx context.Context, err error, sent bool) messenger.AttemptResultKind {
	var opErr *net.OpError
	dialFailed := errors.As(err, &opErr) && opErr.Op == "dial"
	if !sent || dialFailed {
		return messenger.RequestNotSent
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return messenger.ResponseTimeout
	}
	return messenger.IncompleteResponse
}

func (f *Forwarder) send(ctx context.Context, r messenger.Request) (*http.Response, error) {
	request, err := f.newRequest(ctx, r)
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	return f.cfg.Client.Do(request)
}

// newRequest returns the HTTP request for an attempt, under the contract with endpoints.
func (f *Forwarder) newRequest(ctx context.Context, r messenger.Request) (*http.Request, error) {
	header := make(http.Header, len(r.Header)+10) // up to 10 fields are added below
	for _, field := range r.Header {
		header[field.Name] = append(header[field.Name], field.Value)
	}
	header[HeaderAttempt] = []string{claimer.AttemptID(f.cfg.Entry, r)}
	header[HeaderRequest] = []string{strconv.FormatUint(r.ID, 10)}
	header[HeaderInstance] = []string{r.Endpoint.Instance}
	header[HeaderEpoch] = []string{strconv.FormatUint(r.Endpoint.Epoch, 10)}
	header[HeaderService] = []string{r.Service}
	header[HeaderCustomer] = []string{r.Customer}
	header[HeaderDeadline] = []string{strconv.FormatInt(r.Deadline.UnixMilli(), 10)}
	header["Authorization"] = []string{"Bearer " + f.cfg.Token}
	if r.Key != "" {
		header[HeaderKey] = []string{r.Key}
	}
	if !r.Idempotent {
		header[HeaderAtMostOnce] = []string{"1"}
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Endpoint.Address+r.Path, bytes.NewReader(r.Body))
	if err != nil { // the address or the path is not valid in a URL
		return nil, err
	}
	request.Header = header
	if !r.Idempotent {
		request.GetBody = nil // net/http doesn't retry a request whose body it can't read again
	}
	return request, nil
}

// readAnswer reads the answer and adds it, or the failure, to the result.
func (f *Forwarder) readAnswer(ctx context.Context, result messenger.AttemptResult, response *http.Response) messenger.AttemptResult {
	defer func() { _ = response.Body.Close() }()
	inUse, err := strconv.Atoi(response.Header.Get(HeaderInUse))
	if err == nil {
		result.InUse = inUse
	}
	reason := response.Header.Get(HeaderNotStarted)
	if reason != "" {
		result.Kind = messenger.AttemptNotStarted
		result.Reason = messenger.NotStartedReason(reason)
		_, _ = io.CopyN(io.Discard, response.Body, f.cfg.MaxAnswer) // a connection is reused only if its answer was read to the end
		return result
	}
	body, err := readBody(response, f.cfg.MaxAnswer)
	if f.cfg.AcceptTruncated {
		err = nil
	}
	switch {
	case err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		result.Kind = messenger.ResponseTimeout
	case err != nil:
		result.Kind = messenger.IncompleteResponse
	case int64(len(body)) > f.cfg.MaxAnswer:
		result.Kind = messenger.ResponseTooLarge
	default:
		result.Kind = messenger.CompleteResponse
		result.Answer = messenger.Answer{Status: response.StatusCode, Header: answerHeader(response.Header), Body: body}
	}
	return result
}

// readBody returns the body, or its first limit+1 bytes if it is larger than limit bytes.
// It returns an error if the body is shorter than its declared length or lacks its last chunk.
func readBody(response *http.Response, limit int64) ([]byte, error) {
	if response.ContentLength >= 0 && response.ContentLength <= limit {
		body := make([]byte, response.ContentLength)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(response.Body, limit+1))
}

// answerHeader returns the header fields of an answer that are passed on to the caller:
// all but hop-by-hop fields and those that net/http or the forwarder handles.
func answerHeader(header http.Header) []messenger.Field {
	out := make([]messenger.Field, 0, len(header))
	for name, values := range header {
		switch name {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Date", HeaderInUse:
			continue
		}
		for _, value := range values {
			out = append(out, messenger.Field{Name: name, Value: value})
		}
	}
	return out
}

func (f *Forwarder) addCancel(id uint64, cancel context.CancelFunc) {
	f.mu.Lock()
	f.cancellable[id] = cancel
	f.mu.Unlock()
}

func (f *Forwarder) removeCancel(id uint64) {
	f.mu.Lock()
	delete(f.cancellable, id)
	f.mu.Unlock()
}
