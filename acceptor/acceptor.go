// Package acceptor applies the limits of package limiter to the listeners, servers and request bodies of a process.
package acceptor

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"laburnumwind/limiter"
)

// Reasons for which a request is refused or a connection is closed. They are parts of metric names.
const (
	ReasonBody        = "Body"        // the declared body does not fit the budget
	ReasonChunk       = "Chunk"       // the next part of a body of unknown length does not fit
	ReasonDecoding    = "Decoding"    // the request ended while its body waited to be decoded
	ReasonResponse    = "Response"    // the response does not fit
	ReasonConnections = "Connections" // too many connections are open
	ReasonStalled     = "Stalled"     // the connection made no progress and its bytes or its place were needed
)

// Config describes an Acceptor.
type Config struct {
	Limits    limiter.Limits
	Clock     func() time.Time
	Refuse    func(http.ResponseWriter)   // writes the refusal of a request; nil: Refuse
	OnRefused func(reason, client string) // called for each refused request and each connection that is closed; must not block
}

// Acceptor accounts for the connections and the request bytes of all listeners of a process.
type Acceptor struct {
	cfg         Config
	mu          sync.Mutex
	usage       limiter.Usage
	connections map[*connection]struct{}
	decoding    chan struct{}              // holds an element while a large document is decoded
	nextChoice  map[limiter.Need]time.Time // no connection can be closed for the need before this time
	candidates  []*connection              // scratch space of choose, like snapshot
	snapshot    []limiter.Connection
}

// NewAcceptor returns an Acceptor without connections.
func NewAcceptor(cfg Config) *Acceptor {
	if cfg.Refuse == nil {
		cfg.Refuse = Refuse
	}
	return &Acceptor{cfg: cfg, connections: make(map[*connection]struct{}), decoding: make(chan struct{}, 1), nextChoice: make(map[limiter.Need]time.Time)}
}

// phase is what a connection waits for.
type phase int32

const (
	phaseRequest phase = iota // the next request or the rest of its head
	phaseBody                 // the rest of a body
	phaseServing              // the process
	phaseWriting              // the client has to read a response
)

// connection is a connection of which the acceptor knows when it last made progress and how many bytes its request holds.
type connection struct {
	net.Conn
	acceptor *Acceptor
	group    limiter.Group
	refuse   func(http.ResponseWriter)
	shared   atomic.Bool  // carries HTTP/2 streams: a response may be written while other requests are served
	progress atomic.Int64 // clock time of the last bytes received or sent, Unix nanoseconds
	phase    atomic.Int32
	body     body // of the current request, if it is an HTTP/1 request

	// guarded by acceptor.mu
	held   int64 // bytes of class
	class  limiter.Class
	closed bool
}

func (c *connection) touch() { c.progress.Store(c.acceptor.cfg.Clock().UnixNano()) }

// Read receives bytes and records the progress.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.touch()
	}
	return n, err // net/http compares the error with io.EOF
}

// writePiece bounds the bytes of one write, so that a client that reads slowly makes progress in between.
const writePiece = 64 << 10

// Write sends bytes and records the progress after each piece.
func (c *connection) Write(p []byte) (int, error) {
	if !c.shared.Load() {
		c.phase.CompareAndSwap(int32(phaseServing), int32(phaseWriting))
	}
	c.touch()
	sent := 0
	for {
		n, err := c.Conn.Write(p[sent:min(len(p), sent+writePiece)])
		sent += n
		if err != nil {
			return sent, fmt.Errorf("write: %w", err)
		}
		c.touch()
		if sent == len(p) {
			return sent, nil
		}
	}
}

// CloseWrite ends the sending direction. net/http calls it before it closes a connection with unread data, so that the
// client can still read the response.
func (c *connection) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	err := tcp.CloseWrite()
	if err != nil {
		return fmt.Errorf("close for writing: %w", err)
	}
	return nil
}

// Close closes the connection and returns its place and its bytes.
func (c *connection) Close() error {
	c.acceptor.remove(c)
	err := c.Conn.Close()
	if err != nil {
		return fmt.Errorf("close: %w", err)
	}
	return nil
}

// remove returns what a connection holds. Further calls have no effect.
func (a *Acceptor) remove(c *connection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.removeLocked(c)
}

func (a *Acceptor) removeLocked(c *connection) {
	if c.closed {
		return
	}
	c.closed = true
	delete(a.connections, c)
	a.usage = a.usage.WithoutConnection(c.group).WithoutBytes(c.class, c.held)
	c.held = 0
}

// add accounts for a new connection. If there are too many, it closes the one that has been idle longest, or returns
// false.
func (a *Acceptor) add(c *connection) bool {
	a.mu.Lock()
	usage, ok := a.usage.WithConnection(a.cfg.Limits, c.group)
	var victim *connection
	if !ok {
		victim = a.choose(limiter.Need{Connection: true, Group: c.group})
		usage, ok = a.usage.WithConnection(a.cfg.Limits, c.group)
	}
	if ok {
		a.usage = usage
		a.connections[c] = struct{}{}
	}
	a.mu.Unlock()
	a.closeStalled(victim)
	return ok
}

// take accounts for n more bytes of the request on a connection. What the request holds already moves to the class. If
// the bytes do not fit, it closes connections that have stalled, or returns false.
func (a *Acceptor) take(c *connection, class limiter.Class, n int64) bool {
	for {
		a.mu.Lock()
		if c.closed {
			a.mu.Unlock()
			return false
		}
		usage, ok := a.usage.WithoutBytes(c.class, c.held).WithBytes(a.cfg.Limits, class, 0, c.held+n)
		if ok {
			a.usage = usage
			c.held += n
			c.class = class
			a.mu.Unlock()
			return true
		}
		var victim *connection
		if a.cfg.Limits.CanEverFit(c.held + n) {
			victim = a.choose(limiter.Need{Class: class})
		}
		a.mu.Unlock()
		if victim == nil {
			return false
		}
		a.closeStalled(victim)
	}
}

// begin notes that the process carries out the request on a connection, which is not closed for another from then on. It
// returns false if the connection has been closed already.
func (a *Acceptor) begin(c *connection) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.phase.Store(int32(phaseServing))
	return !c.closed
}

// release returns the bytes of the request on a connection.
func (a *Acceptor) release(c *connection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usage = a.usage.WithoutBytes(c.class, c.held)
	c.held = 0
}

// choose removes the connection to close and returns it, or nil. The caller holds the lock and closes the connection
// without it.
func (a *Acceptor) choose(need limiter.Need) *connection {
	now := a.cfg.Clock()
	if now.Before(a.nextChoice[need]) {
		return nil
	}
	a.candidates, a.snapshot = a.candidates[:0], a.snapshot[:0]
	for c := range a.connections {
		a.candidates = append(a.candidates, c)
		a.snapshot = append(a.snapshot, limiter.Connection{
			Progress: time.Unix(0, c.progress.Load()), Waiting: phase(c.phase.Load()) != phaseServing,
			Group: c.group, Held: c.held, Class: c.class,
		})
	}
	i, next := limiter.Stalled(now, a.cfg.Limits, a.snapshot, need)
	a.nextChoice[need] = next
	if i < 0 {
		return nil
	}
	victim := a.candidates[i]
	a.removeLocked(victim)
	return victim
}

func (a *Acceptor) closeStalled(c *connection) {
	if c == nil {
		return
	}
	_ = c.Conn.Close() // the server closes the connection too, and ignores the error
	a.cfg.OnRefused(ReasonStalled, c.RemoteAddr().String())
}

// ListenerConfig describes a listener.
type ListenerConfig struct {
	Group         limiter.Group
	ReceiveBuffer int                       // size of the receive buffer of a connection, in bytes; 0: that of the system
	Refuse        func(http.ResponseWriter) // writes the refusal of a request; nil: Config.Refuse
}

// listener accepts connections within the limits.
type listener struct {
	net.Listener
	acceptor *Acceptor
	cfg      ListenerConfig
}

// Listen returns a listener that accounts for its connections. It closes a new connection at once if there are too many
// and none of the others has been idle for long enough.
func (a *Acceptor) Listen(l net.Listener, cfg ListenerConfig) net.Listener {
	if cfg.Refuse == nil {
		cfg.Refuse = a.cfg.Refuse
	}
	return &listener{Listener: l, acceptor: a, cfg: cfg}
}

// Accept returns the next connection within the limits. It waits for nothing else.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err // net/http examines the error
		}
		c := &connection{Conn: raw, acceptor: l.acceptor, group: l.cfg.Group, refuse: l.cfg.Refuse}
		c.touch()
		if !l.acceptor.add(c) {
			_ = raw.Close() // nothing was received
			l.acceptor.cfg.OnRefused(ReasonConnections, raw.RemoteAddr().String())
			continue
		}
		tcp, ok := raw.(*net.TCPConn)
		if ok && l.cfg.ReceiveBuffer > 0 {
			_ = tcp.SetReadBuffer(l.cfg.ReceiveBuffer) // fails only if the connection has ended
		}
		return c, nil
	}
}

// trackState notes that a connection waits for a request. It is the ConnState function of a server.
func trackState(c net.Conn, state http.ConnState) {
	if state != http.StateActive && state != http.StateIdle {
		return
	}
	own := unwrap(c)
	if own != nil {
		own.phase.Store(int32(phaseRequest))
	}
}

// unwrap returns the connection below TLS, or nil.
func unwrap(c net.Conn) *connection {
	secure, ok := c.(*tls.Conn)
	if ok {
		c = secure.NetConn()
	}
	own, _ := c.(*connection) // nil if the listener is not one of an acceptor
	return own
}
