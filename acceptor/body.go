package acceptor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"

	"github.com/rotisserie/eris"

	"laburnumwind/limiter"
)

var (
	// ErrExhausted is returned if a body does not fit the budget now. The request was not carried out.
	ErrExhausted = eris.New("byte budget exhausted")
	// ErrTooComplex is returned for a body that is so deeply structured that it would never fit after its decoding.
	ErrTooComplex = eris.New("body has too many values")
)

const (
	// increment is the number of bytes of a body of unknown length that are taken from the budget at a time.
	increment = 16 << 10
	// growthFactor is the number of bytes taken for each byte of a body of unknown length: the pieces and their join.
	growthFactor = 2
	// retryAfterSeconds is the delay after which a refused client may try again: stalled connections are closed within it.
	retryAfterSeconds = "1"
)

// connectionKey is the context key of the connection of a request.
type connectionKey struct{}

// Protect makes a server account for its requests. Bodies over maxBody bytes cannot be read.
func (a *Acceptor) Protect(s *http.Server, maxBody int64) {
	next := s.Handler
	s.ConnState = trackState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, unwrap(c))
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { a.serve(w, r, next, maxBody) })
}

// connectionOf returns the connection of a request, or nil if its server is not protected.
func connectionOf(r *http.Request) *connection {
	c, _ := r.Context().Value(connectionKey{}).(*connection) // nil if absent
	return c
}

// classOf returns the part of the budget for a body of a length.
func classOf(group limiter.Group, length int64) limiter.Class {
	switch {
	case group == limiter.Peers:
		return limiter.Reserved
	case length <= limiter.SmallBody:
		return limiter.Small
	}
	return limiter.Large
}

// serve takes the declared length of a body from the budget before the handler runs, or refuses the request.
func (a *Acceptor) serve(w http.ResponseWriter, r *http.Request, next http.Handler, maxBody int64) {
	c := connectionOf(r)
	if c == nil {
		next.ServeHTTP(w, r)
		return
	}
	if r.ProtoMajor != 1 {
		c = a.stream(c, r)
	}
	defer a.finish(c)
	if r.ContentLength == 0 {
		if a.begin(c) {
			next.ServeHTTP(w, r)
		}
		return
	}
	c.phase.Store(int32(phaseBody))
	taken := int64(0)
	if r.ContentLength > 0 && r.ContentLength <= maxBody {
		taken = r.ContentLength
	}
	if taken > 0 && !a.take(c, classOf(c.group, taken), taken) {
		a.cfg.OnRefused(ReasonBody, r.RemoteAddr)
		c.refuse(w)
		return
	}
	c.body = body{source: r.Body, c: c, whole: taken > 0, max: maxBody}
	// The handler gets a copy: net/http examines the type of the original body to decide whether it may read the rest of
	// it before it sends the response. It must not if the client waits for "100 Continue".
	accounted := *r
	accounted.Body = &c.body
	next.ServeHTTP(w, &accounted)
}

// finish returns the bytes of a request.
func (a *Acceptor) finish(c *connection) {
	c.phase.CompareAndSwap(int32(phaseBody), int32(phaseWriting)) // the handler did not read the body to its end
	c.phase.CompareAndSwap(int32(phaseServing), int32(phaseWriting))
	a.release(c)
}

// stream returns a connection that stands for one of several concurrent requests on an HTTP/2 connection. It is never
// closed for another, and the limits of its connection remain with that.
func (a *Acceptor) stream(c *connection, r *http.Request) *connection {
	c.shared.Store(true)
	c.phase.Store(int32(phaseServing))
	s := &connection{Conn: c.Conn, acceptor: a, group: c.group, refuse: c.refuse}
	*r = *r.WithContext(context.WithValue(r.Context(), connectionKey{}, s))
	return s
}

// PrepareRefusal sets the header fields of a response with status 503 that ends the connection.
func PrepareRefusal(w http.ResponseWriter) {
	w.Header().Set("Retry-After", retryAfterSeconds)
	w.Header().Set("Connection", "close")
}

// Refuse responds that the request was not carried out because of a limit, and ends the connection.
func Refuse(w http.ResponseWriter) {
	PrepareRefusal(w)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Reserve takes n bytes of a response from the budget until the request ends. If they do not fit, it refuses the
// request and returns false.
func Reserve(w http.ResponseWriter, r *http.Request, n int64) bool {
	c := connectionOf(r)
	if c == nil || c.acceptor.take(c, limiter.Large, n) {
		return true
	}
	c.acceptor.cfg.OnRefused(ReasonResponse, r.RemoteAddr)
	Refuse(w)
	return false
}

// body is a request body. It takes bytes over the declared length from the budget before it reads them.
type body struct {
	source io.ReadCloser
	c      *connection
	whole  bool  // the declared length was taken, and net/http reads no more than that
	taken  int64 // bytes that may be read, unless whole
	read   int64
	max    int64
}

// Read reads part of the body. It returns ErrExhausted if the next part does not fit the budget.
func (b *body) Read(p []byte) (int, error) {
	if !b.whole {
		if b.read == b.taken && !b.takeNext() {
			b.c.acceptor.cfg.OnRefused(ReasonChunk, b.c.RemoteAddr().String())
			return 0, ErrExhausted
		}
		p = p[:min(int64(len(p)), b.taken-b.read)]
	}
	n, err := b.source.Read(p)
	b.read += int64(n)
	if b.read > b.max {
		return n, &http.MaxBytesError{Limit: b.max}
	}
	if errors.Is(err, io.EOF) {
		b.c.phase.CompareAndSwap(int32(phaseBody), int32(phaseServing))
	}
	return n, err // readers compare the error with io.EOF
}

// takeNext takes the next part of a body of unknown length from the budget. The first part is that of a small body, so that
// chunked heartbeats have room while large bodies take the rest.
func (b *body) takeNext() bool {
	size := int64(increment)
	if b.taken == 0 {
		size = limiter.SmallBody
	}
	if !b.c.acceptor.take(b.c, classOf(b.c.group, b.taken+size), growthFactor*size) {
		return false
	}
	b.taken += size
	return true
}

// Close closes the body.
func (b *body) Close() error {
	err := b.source.Close()
	if err != nil {
		return fmt.Errorf("close body: %w", err)
	}
	return nil
}

// ReadBody reads a whole body of at most maxBody bytes. It allocates the declared length once.
func ReadBody(w http.ResponseWriter, r *http.Request, maxBody int64) ([]byte, error) {
	if r.ContentLength > maxBody {
		w.Header().Set("Connection", "close") // the rest of the body is not read
		return nil, &http.MaxBytesError{Limit: maxBody}
	}
	reader := http.MaxBytesReader(w, r.Body, maxBody)
	read := readPieces
	if r.ContentLength >= 0 {
		read = func(body io.Reader) ([]byte, error) { return readDeclared(body, r.ContentLength) }
	}
	data, err := read(reader)
	if err != nil {
		return nil, err
	}
	c := connectionOf(r)
	if c != nil && !c.acceptor.begin(c) {
		return nil, fmt.Errorf("connection closed: %w", ErrExhausted) // its client would take the request for lost
	}
	return data, nil
}

// readDeclared reads a body of n bytes.
func readDeclared(body io.Reader, n int64) ([]byte, error) {
	data := make([]byte, n)
	_, err := io.ReadFull(body, data)
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return data, nil
}

// readPieces reads a body of unknown length in pieces and joins them at its end. Unlike a buffer that doubles, it leaves
// no garbage while the client stalls.
func readPieces(reader io.Reader) ([]byte, error) {
	var pieces [][]byte
	piece := make([]byte, 0, increment)
	for {
		n, err := reader.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		if errors.Is(err, io.EOF) {
			return slices.Concat(append(pieces, piece)...), nil
		}
		if err != nil {
			return nil, fmt.Errorf("read body: %w", err)
		}
		if len(piece) == cap(piece) {
			pieces = append(pieces, piece)
			piece = make([]byte, 0, increment)
		}
	}
}

// DecodeBody reads a JSON document of at most maxBody bytes and passes it to decode. Documents that need much memory are
// decoded one at a time.
func DecodeBody(w http.ResponseWriter, r *http.Request, maxBody int64, decode func([]byte)) error {
	data, err := ReadBody(w, r, maxBody)
	if err != nil {
		return err
	}
	c := connectionOf(r)
	if c == nil {
		decode(data)
		return nil
	}
	expansion := limiter.Expansion(data)
	if !c.acceptor.cfg.Limits.CanEverFit(int64(len(data)) + expansion) {
		return fmt.Errorf("decode %d bytes: %w", len(data), ErrTooComplex)
	}
	if expansion <= limiter.SmallExpansion {
		decode(data)
		return nil
	}
	select {
	case c.acceptor.decoding <- struct{}{}:
	case <-r.Context().Done():
		c.acceptor.cfg.OnRefused(ReasonDecoding, r.RemoteAddr)
		return ErrExhausted
	}
	defer func() { <-c.acceptor.decoding }()
	decode(data)
	return nil
}
