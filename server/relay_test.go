package server

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// relay carries connections to an address, and can cut them off: by refusing
// them, or silently, so that bytes go nowhere and nobody is told.
type relay struct {
	to     string
	listen net.Listener
	done   sync.WaitGroup

	mu     sync.Mutex
	cut    bool
	silent bool
	conns  []net.Conn
}

func newRelay(t *testing.T, to string) *relay {
	listen, err := net.Listen("tcp", freeAddress(t))
	must.NoError(t, err)
	r := &relay{to: to, listen: listen}
	r.done.Go(func() {
		for {
			conn, err := listen.Accept()
			if err != nil {
				return
			}
			r.done.Go(func() { r.carry(conn) })
		}
	})
	t.Cleanup(func() {
		must.NoError(t, listen.Close())
		r.set(false, false)
		r.done.Wait()
	})
	return r
}

// set cuts the relay off or opens it. All connections end, but for those that are cut off silently.
func (r *relay) set(cut, silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut, r.silent = cut, silent
	if silent {
		return
	}
	for _, c := range r.conns {
		_ = c.Close() // one that has ended is fine
	}
	r.conns = nil
}

func (r *relay) carry(in net.Conn) {
	r.mu.Lock()
	if r.cut && !r.silent {
		r.mu.Unlock()
		_ = in.Close() // that is the refusal
		return
	}
	r.conns = append(r.conns, in)
	r.mu.Unlock()
	out, err := net.Dial("tcp", r.to)
	if err != nil {
		_ = in.Close()
		return
	}
	r.mu.Lock()
	r.conns = append(r.conns, out)
	r.mu.Unlock()
	r.done.Go(func() { r.copy(in, out) })
	r.copy(out, in)
}

func (r *relay) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !r.drops() {
			_, err2 := to.Write(buf[:n])
			err = errors.Join(err, err2)
		}
		if err != nil {
			break
		}
	}
	if r.drops() {
		_, _ = io.Copy(io.Discard, from) // the other side must not see the end either
	}
	_ = to.Close() // both ends go together
	_ = from.Close()
}

func (r *relay) drops() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut && r.silent
}
