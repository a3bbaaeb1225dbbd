package connector

import (
	"context"
	"fmt"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// ErrExpired is returned for a request whose permission ended before its bytes left.
var ErrExpired = eris.New("the permission for the request has expired")

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// withPermissions returns a dial function for connections that send nothing after the time that was given to
// WithNotAfter. The check is made at the write itself, so it also covers a pause of the process after the request was
// decided on, for example while it waited for a connection.
func withPermissions(dial dialFunc, clock func() time.Time) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err // the caller recognizes the *net.OpError
		}
		return &permittedConn{Conn: conn, clock: clock}, nil
	}
}

// permittedConn is a connection that carries one request at a time.
type permittedConn struct {
	net.Conn
	clock    func() time.Time
	notAfter atomic.Int64 // of the current request, in Unix nanoseconds; zero: no limit
}

// Write implements net.Conn. It writes nothing once the permission of the current request has ended.
func (c *permittedConn) Write(p []byte) (int, error) {
	notAfter := c.notAfter.Load()
	if notAfter != 0 && c.clock().UnixNano() > notAfter {
		return 0, fmt.Errorf("write to %s: %w", c.RemoteAddr(), ErrExpired)
	}
	return c.Conn.Write(p)
}

// WithNotAfter returns a context for a request over a transport with a clock. None of its bytes leave after notAfter;
// the zero time sets no limit. All requests over such a transport must use it, since their connections are reused.
func WithNotAfter(ctx context.Context, notAfter time.Time) context.Context {
	limit := int64(0)
	if !notAfter.IsZero() {
		limit = notAfter.UnixNano()
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*permittedConn)
		if ok {
			conn.notAfter.Store(limit)
		}
	}})
}
