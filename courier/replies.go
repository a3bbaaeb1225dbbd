package courier

import (
	"sync"
	"time"

	"laburnumwind/buffer"
	"laburnumwind/encoder"
)

const (
	replyWait  = 20 * time.Millisecond // maximum time for which an exchange is kept open to collect replies
	maxReplies = 16                    // maximum number of replies in one response
)

// Replies collects messages for peers whose exchange with this instance is still open. They are sent in the
// response of that exchange, which saves an exchange in the other direction.
type Replies struct {
	mu   sync.Mutex
	open map[string]*buffer.Ring[*encoder.Envelope]
}

// NewReplies returns a Replies without open exchanges.
func NewReplies() *Replies {
	return &Replies{open: make(map[string]*buffer.Ring[*encoder.Envelope])}
}

// Open opens the exchange of a peer. It returns false if the peer already has one open.
func (r *Replies) Open(peer string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.open[peer]
	if ok {
		return false
	}
	r.open[peer] = buffer.NewRing[*encoder.Envelope](maxReplies)
	return true
}

// TryPut adds a message to the open exchange of a peer. It returns false if there is none or if it is full.
func (r *Replies) TryPut(peer string, e *encoder.Envelope) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ring, ok := r.open[peer]
	return ok && ring.TryPut(e)
}

// Close waits at most replyWait for n replies in the exchange of a peer, which must be open. It then closes the
// exchange and returns its replies, which may be fewer or more than n.
func (r *Replies) Close(peer string, n int) []*encoder.Envelope {
	r.mu.Lock()
	ring := r.open[peer]
	r.mu.Unlock()
	replies := collect(ring, n)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, peer)
	for {
		e, ok := ring.TryTake()
		if !ok {
			return replies
		}
		replies = append(replies, e)
	}
}

// collect takes n replies from a ring, or those that arrive within replyWait.
func collect(ring *buffer.Ring[*encoder.Envelope], n int) []*encoder.Envelope {
	timer := time.NewTimer(replyWait)
	defer timer.Stop()
	var replies []*encoder.Envelope
	for len(replies) < n {
		select {
		case e := <-ring.Out():
			replies = append(replies, e)
		case <-timer.C:
			return replies
		}
	}
	return replies
}
