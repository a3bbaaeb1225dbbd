// Package courier sends messages to other entry instances and receives theirs. An exchange is one HTTP request
// to a peer, which carries a batch of messages, and its response, which may carry replies.
// Delivery is best effort: a message is dropped if its ring is full or its peer does not respond, and
// senders retransmit.
package courier

import (
	"context"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"laburnumwind/assembler"
	"laburnumwind/buffer"
	"laburnumwind/encoder"
	"laburnumwind/messenger"
	"laburnumwind/replicator"
)

const (
	urgentRingSize   = 2048 // maximum number of urgent messages queued for one peer
	deferredRingSize = 256  // maximum number of deferred messages queued for one peer
	maxBatchSize     = 64   // maximum number of messages in one request
	defaultTimeout   = 2 * time.Second

	retryDelay = 250 * time.Millisecond // delay after a failed exchange with a peer, so that connecting to a stopped peer uses little processor time
)

// BatchDelay is the time for which a deferred message is delayed, so that it is sent in one batch with later
// messages. With an exchange for each heartbeat, exchanges use 43 % of the processor time of an idle voter.
const BatchDelay = 20 * time.Millisecond

// Peer is the address of another entry instance.
type Peer struct {
	Name string
	URL  string // base URL of its peer listener
}

// Config configures a Courier.
type Config struct {
	Name          string
	Peers         []Peer
	Client        *http.Client
	OnDropped     func(peer string)                      // called when a message or a batch to a peer, or messages in its response, are dropped
	OnSent        func(peer string, messages, bytes int) // called after each successful exchange with the size of the request
	IsPartitioned func(peer string) bool                 // fault injection in tests: reports whether the link to a peer is cut; may be nil
	Replies       *Replies                               // collects the replies that go into the responses to peers; shared with the Inbox
	Receive       func([]*encoder.Envelope) error        // handles the messages in the response of a peer
	PeerURL       func(peer string) string               // base URL of a peer that is not in Peers; nil if there are no others
	Timeout       time.Duration                          // timeout of one exchange; zero means two seconds
}

// Courier sends messages to each peer from two goroutines: one for urgent messages and one for those that
// are delayed for batching.
type Courier struct {
	cfg     Config
	mu      sync.Mutex
	queues  map[string]peerQueue
	encode  groupEncoders
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// peerQueue holds the messages that are queued for one peer.
type peerQueue struct {
	peer     Peer
	client   encoder.Peer
	urgent   *buffer.Ring[*encoder.Envelope]
	deferred *buffer.Ring[*encoder.Envelope] // heartbeats and load updates, which are delayed for batching
}

// groupEncoders holds the function that encodes the messages of each replicated group.
type groupEncoders struct {
	declarations func(assembler.DeclarationsMessage) *encoder.GroupMessage
	claims       func(assembler.ClaimsMessage) *encoder.GroupMessage
	jobs         func(assembler.JobsMessage) *encoder.GroupMessage
}

// NewCourier returns a courier with running goroutines for the peers of cfg. Call Stop to end them.
func NewCourier(cfg Config) *Courier {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Courier{
		cfg:    cfg,
		queues: make(map[string]peerQueue),
		ctx:    ctx,
		cancel: cancel,
		encode: groupEncoders{
			declarations: encoder.DeclarationsCodec().EncodeMessage,
			claims:       encoder.ClaimsCodec().EncodeMessage,
			jobs:         encoder.JobsCodec().EncodeMessage,
		},
	}
	for _, p := range cfg.Peers {
		c.addPeer(p)
	}
	return c
}

// addPeer creates the queue of a peer and starts its goroutines.
func (c *Courier) addPeer(p Peer) peerQueue {
	q := peerQueue{
		peer:     p,
		client:   encoder.NewPeerProtobufClient(p.URL, c.cfg.Client),
		urgent:   buffer.NewRing[*encoder.Envelope](urgentRingSize),
		deferred: buffer.NewRing[*encoder.Envelope](deferredRingSize),
	}
	c.queues[p.Name] = q
	// Urgent messages have only one goroutine: with two, messages overtook each other, and followers rejected those
	// that arrived out of order. Some can still overtake each other, because the goroutine for deferred messages
	// fills its batches with urgent ones.
	c.running.Go(func() { c.run(c.ctx, q, q.urgent, 0) })
	c.running.Go(func() { c.run(c.ctx, q, q.deferred, BatchDelay) })
	return q
}

// queueFor returns the queue of a peer. It creates one for an unknown peer if cfg.PeerURL is set and the courier is not stopped.
func (c *Courier) queueFor(to string) (peerQueue, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.queues[to]
	if !ok && c.cfg.PeerURL != nil && c.ctx.Err() == nil {
		return c.addPeer(Peer{Name: to, URL: c.cfg.PeerURL(to)}), true
	}
	return q, ok
}

// run sends the messages of a ring until ctx ends. After the first message it waits for the given delay and
// then sends one batch with the messages queued in both rings of the peer.
func (c *Courier) run(ctx context.Context, q peerQueue, ring *buffer.Ring[*encoder.Envelope], delay time.Duration) {
	for {
		first, err := ring.Take(ctx)
		if err != nil {
			return
		}
		sleep(ctx, delay)
		batch := fillBatch(q.deferred, fillBatch(q.urgent, []*encoder.Envelope{first}))
		if !c.deliver(ctx, q, batch) {
			sleep(ctx, retryDelay)
		}
	}
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d == 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Send queues a message: a message of a replicated group for its receiver, or gossip for all peers in
// cfg.Peers. Bodies of other types are ignored. Send does not block.
func (c *Courier) Send(body any) {
	switch m := body.(type) {
	case assembler.DeclarationsMessage:
		c.enqueue(m.To, &encoder.Envelope{Declarations: c.encode.declarations(m)}, deliveryModeOf(m))
	case assembler.ClaimsMessage:
		c.enqueue(m.To, &encoder.Envelope{Claims: c.encode.claims(m)}, deliveryModeOf(m))
	case assembler.JobsMessage:
		c.enqueue(m.To, &encoder.Envelope{Jobs: c.encode.jobs(m)}, deliveryModeOf(m))
	case messenger.Gossip:
		envelope := &encoder.Envelope{Gossip: encoder.EncodeGossip(m)}
		mode := deferred
		if m.Urgent {
			mode = urgent
		}
		for _, p := range c.cfg.Peers {
			c.enqueue(p.Name, envelope, mode)
		}
	}
}

// Stop cancels all exchanges and waits for the goroutines to end. Queued messages are dropped.
func (c *Courier) Stop() {
	c.cancel()
	c.running.Wait()
}

// deliveryMode is the delivery mode of a message.
type deliveryMode int

const (
	urgent   deliveryMode = iota // sent without delay
	deferred                     // delayed for batching
	reply                        // sent in the response to an open exchange of the receiver if there is one with room, otherwise as an urgent message
)

// deliveryModeOf returns the delivery mode of a message of a replicated group.
func deliveryModeOf[C, S, R any](m replicator.Message[C, S, R]) deliveryMode {
	switch {
	case m.HeartbeatOnly:
		return deferred
	case m.Kind == replicator.AppendReply:
		return reply
	}
	return urgent
}

// enqueue queues a message for a peer, or adds it to the peer's open exchange if it is a reply. It drops the
// message if there is no room or the peer is unknown.
func (c *Courier) enqueue(to string, e *encoder.Envelope, mode deliveryMode) {
	q, ok := c.queueFor(to)
	if !ok {
		c.cfg.OnDropped(to)
		return
	}
	if mode == reply && c.cfg.Replies.TryPut(to, e) {
		return
	}
	ring := q.urgent
	if mode == deferred {
		ring = q.deferred
	}
	if !ring.TryPut(e) {
		c.cfg.OnDropped(to)
	}
}

// fillBatch appends queued messages to a batch until the ring is empty or the batch is full.
func fillBatch(ring *buffer.Ring[*encoder.Envelope], batch []*encoder.Envelope) []*encoder.Envelope {
	for len(batch) < maxBatchSize {
		next, ok := ring.TryTake()
		if !ok {
			break
		}
		batch = append(batch, next)
	}
	return batch
}

// deliver sends a batch to a peer and handles the messages in the response.
// It reports whether the exchange succeeded.
func (c *Courier) deliver(ctx context.Context, q peerQueue, batch []*encoder.Envelope) bool {
	to := q.peer.Name
	timeout := c.cfg.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if c.cfg.IsPartitioned != nil && c.cfg.IsPartitioned(to) {
		c.cfg.OnDropped(to)
		return false
	}
	request := &encoder.Batch{From: c.cfg.Name, Envelopes: batch}
	response, err := q.client.Deliver(ctx, request)
	if err != nil {
		c.cfg.OnDropped(to)
		return false
	}
	c.cfg.OnSent(to, len(batch), proto.Size(request))
	err = c.cfg.Receive(response.GetEnvelopes())
	if err != nil {
		c.cfg.OnDropped(to)
	}
	return true
}
