package courier

import (
	"sync"
	"time"

	"laburnumwind/buffer"
	"laburnumwind/encoder"
)

const (
	replyWait   = 20 * time.Millisecond // longest time that an exchange is held open for its replies
	mostReplies = 16
)

// Replies are the exchanges that peers have open here. What is for such a peer
// goes back in the answer to its batch, which saves an exchange of our own.
type Replies struct {
	mu   sync.Mutex
	open map[string]*buffer.Ring[*encoder.Envelope]
}

// NewReplies returns replies without an open exchange.
func NewReplies() *Replies {
	return &Replies{open: make(map[string]*buffer.Ring[*encoder.Envelope])}
}

// Open opens an exchange; false: the peer has one open.
func (r *Replies) Open(peer string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.open[peer]
	if ok {
		return false
	}
	r.open[peer] = buffer.NewRing[*encoder.Envelope](mostReplies)
	return true
}

// TryPut gives a message to the open exchange of a peer, if there is one with room.
func (r *Replies) TryPut(peer string, e *encoder.Envelope) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ring, ok := r.open[peer]
	return ok && ring.TryPut(e)
}

// Close ends the open exchange of a peer once it has n replies, or a while has
// passed, and returns what it has.
func (r *Replies) Close(peer string, n int) []*encoder.Envelope {
	r.mu.Lock()
	ring := r.open[peer]
	r.mu.Unlock()
	out := take(ring, n)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, peer)
	for {
		e, ok := ring.TryTake()
		if !ok {
			return out
		}
		out = append(out, e)
	}
}

func take(ring *buffer.Ring[*encoder.Envelope], n int) []*encoder.Envelope {
	timeout := time.NewTimer(replyWait)
	defer timeout.Stop()
	var out []*encoder.Envelope
	for len(out) < n {
		select {
		case e := <-ring.Out():
			out = append(out, e)
		case <-timeout.C:
			return out
		}
	}
	return out
}
