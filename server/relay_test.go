package server

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// tcpProxy forwards connections to an address and simulates a network partition:
// it either closes connections, or, as a blackhole, keeps them open and drops all
// bytes silently.
type tcpProxy struct {
	target   string
	listener net.Listener
	wg       sync.WaitGroup

	mu          sync.Mutex
	partitioned bool
	blackhole   bool
	conns       []net.Conn
}

func newTCPProxy(t *testing.T, target string) *tcpProxy {
	listener, err := net.Listen("tcp", freeAddress(t))
	must.NoError(t, err)
	p := &tcpProxy{target: target, listener: listener}
	p.wg.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.wg.Go(func() { p.forward(conn) })
		}
	})
	t.Cleanup(func() {
		must.NoError(t, listener.Close())
		p.setPartition(false, false)
		p.wg.Wait()
	})
	return p
}

// setPartition starts or ends a partition. It closes all open connections, unless
// the partition is a blackhole, which leaves them open.
func (p *tcpProxy) setPartition(partitioned, blackhole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned, p.blackhole = partitioned, blackhole
	if blackhole {
		return
	}
	for _, conn := range p.conns {
		_ = conn.Close() // it may be closed already
	}
	p.conns = nil
}

// forward opens a connection to the target and copies the bytes in both directions between
// it and downstream. During a partition that isn't a blackhole, it closes downstream at once.
func (p *tcpProxy) forward(downstream net.Conn) {
	p.mu.Lock()
	if p.partitioned && !p.blackhole {
		p.mu.Unlock()
		_ = downstream.Close()
		return
	}
	p.conns = append(p.conns, downstream)
	p.mu.Unlock()
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = downstream.Close()
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, upstream)
	p.mu.Unlock()
	p.wg.Go(func() { p.copyBytes(downstream, upstream) })
	p.copyBytes(upstream, downstream)
}

// copyBytes copies the bytes of one direction until an error, or drops them in a blackhole.
func (p *tcpProxy) copyBytes(dst, src net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 && !p.dropsBytes() {
			_, writeErr := dst.Write(buffer[:n])
			err = errors.Join(err, writeErr)
		}
		if err != nil {
			break
		}
	}
	if p.dropsBytes() {
		_, _ = io.Copy(io.Discard, src) // drops the rest if dst failed; returns at once if src has ended
	}
	_ = dst.Close() // closes both directions
	_ = src.Close()
}

func (p *tcpProxy) dropsBytes() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.partitioned && p.blackhole
}
