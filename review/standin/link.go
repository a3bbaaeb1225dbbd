//go:build review

package main

import (
	"context"
	"net"
	"sync"
	"time"
)

// firstRetransmit is the time after which a TCP sender first sends lost bytes again. Each further wait is twice as long.
const firstRetransmit = 200 * time.Millisecond

// link is the network between a worker and the controllers. It can be cut off: bytes that are sent on an open
// connection meanwhile are held up, even after their sender has ended, and arrive with the first retransmission after
// the cut. Nothing is delivered to a new connection.
type link struct {
	l      *ledger
	mu     sync.Mutex
	healed chan struct{} // closed when no cut is in force
}

func newLink(record *ledger) *link {
	l := &link{l: record, healed: make(chan struct{})}
	close(l.healed)
	return l
}

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.healed = make(chan struct{})
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.healed)
}

// open returns a channel that is closed when no cut is in force.
func (l *link) open() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.healed
}

func (l *link) isCut() bool {
	select {
	case <-l.open():
		return false
	default:
		return true
	}
}

// dial opens a connection over the link.
func (l *link) dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case <-l.open():
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	dialer := net.Dialer{}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &linkConn{Conn: conn, link: l, closed: make(chan struct{})}, nil
}

// linkConn is a connection over a link.
type linkConn struct {
	net.Conn
	link   *link
	once   sync.Once
	closed chan struct{}
	mu     sync.Mutex
	held   sync.WaitGroup // writes that are held up
}

// Write implements net.Conn. During a cut the bytes are held up.
func (c *linkConn) Write(p []byte) (int, error) {
	if !c.link.isCut() {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.Conn.Write(p)
	}
	data, sentAt, healed := append([]byte(nil), p...), time.Now(), c.link.open()
	c.held.Go(func() {
		<-healed
		wait, next := firstRetransmit, sentAt
		for !next.After(time.Now()) {
			next = next.Add(wait)
			wait *= 2
		}
		time.Sleep(time.Until(next))
		c.mu.Lock()
		defer c.mu.Unlock()
		_, err := c.Conn.Write(data) // the receiver may have closed the connection
		c.link.l.note("bytes held up by the cut arrive at %s: %.40q, error: %v", c.RemoteAddr(), data, err)
	})
	return len(p), nil
}

// Read implements net.Conn. During a cut nothing arrives.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.link.open():
		return n, err
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Close implements net.Conn. Bytes that are held up are still delivered.
func (c *linkConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		go func() {
			c.held.Wait()
			_ = c.Conn.Close()
		}()
	})
	return nil
}
