//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	proxyBuffer = 32 << 10
	cutPoll     = 5 * time.Millisecond
)

// proxy is the network link to a worker. It can be cut in one direction, so that answers are held up, and closed while
// the worker is down.
type proxy struct {
	address string
	backend string

	mu       sync.Mutex
	listener net.Listener
	cut      bool
	open     map[net.Conn]bool
}

func newProxy(address, backend string) (*proxy, error) {
	p := &proxy{address: address, backend: backend, open: make(map[net.Conn]bool)}
	return p, p.listen()
}

// listen accepts connections until the proxy is closed. It may be called again after close.
func (p *proxy) listen() error {
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	p.mu.Lock()
	p.address, p.listener = listener.Addr().String(), listener
	p.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the listener is closed
			}
			go p.serve(conn)
		}
	}()
	return nil
}

// close refuses new connections and closes the open ones, as when the process behind the proxy ends.
func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for conn := range p.open {
		_ = conn.Close()
	}
	clear(p.open)
}

// setCut cuts the direction from the worker to its callers, or heals it. Answers are held up meanwhile and delivered
// later if the caller has kept the connection. A connection that is opened during a cut is never established.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

func (p *proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *proxy) serve(caller net.Conn) {
	defer func() { _ = caller.Close() }()
	if p.isCut() {
		_, _ = io.Copy(io.Discard, caller) // until the caller gives up
		return
	}
	worker, err := net.Dial("tcp", p.backend)
	if err != nil {
		return
	}
	defer func() { _ = worker.Close() }()
	p.mu.Lock()
	p.open[caller], p.open[worker] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.forward(caller, worker, false); done <- struct{}{} }()
	go func() { p.forward(worker, caller, true); done <- struct{}{} }()
	<-done
	p.mu.Lock()
	delete(p.open, caller)
	delete(p.open, worker)
	p.mu.Unlock()
}

func (p *proxy) forward(from, to net.Conn, isAnswer bool) {
	buf := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buf)
		for isAnswer && p.isCut() {
			time.Sleep(cutPoll)
		}
		if n > 0 {
			_, writeErr := to.Write(buf[:n])
			if writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
