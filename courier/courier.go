// Package courier carries messages between entry instances.
// A message that finds its ring full or its peer silent is dropped: every sender sends again.
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
)

const (
	ringSize      = 2048
	mostInBatch   = 64
	sendTimeout   = 2 * time.Second
	sendersOfPeer = 2 // so that one slow answer does not hold up the next batch
)

// Peer is another entry instance.
type Peer struct {
	Name string
	URL  string // of its peer listener
}

// Config describes the duties that send.
type Config struct {
	Name    string
	Peers   []Peer
	Client  *http.Client
	Dropped func(peer string)
	Sent    func(peer string, messages, bytes int)
	Cut     func(peer string) bool // for tests: whether nothing goes to or comes from a peer
}

// Courier sends to each peer on goroutines of its own.
type Courier struct {
	cfg    Config
	rings  map[string]*buffer.Ring[*encoder.Envelope]
	encode encoderOf
	cancel context.CancelFunc
	done   sync.WaitGroup
}

type encoderOf struct {
	declarations func(assembler.DeclarationsMessage) *encoder.GroupMessage
	claims       func(assembler.ClaimsMessage) *encoder.GroupMessage
}

// NewCourier starts the duties.
func NewCourier(cfg Config) *Courier {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Courier{
		cfg:    cfg,
		rings:  make(map[string]*buffer.Ring[*encoder.Envelope]),
		cancel: cancel,
		encode: encoderOf{
			declarations: encoder.DeclarationsCodec().FromMessage,
			claims:       encoder.ClaimsCodec().FromMessage,
		},
	}
	for _, p := range cfg.Peers {
		ring := buffer.NewRing[*encoder.Envelope](ringSize)
		c.rings[p.Name] = ring
		client := encoder.NewPeerProtobufClient(p.URL, cfg.Client)
		for range sendersOfPeer {
			c.done.Go(func() {
				for {
					first, err := ring.Take(ctx)
					if err != nil {
						return
					}
					batch := gather(ring, first)
					c.deliver(ctx, client, p.Name, batch)
				}
			})
		}
	}
	return c
}

// Send hands a message over: a group's message for one peer, or gossip for all.
func (c *Courier) Send(body any) {
	switch m := body.(type) {
	case assembler.DeclarationsMessage:
		c.put(m.To, &encoder.Envelope{Declarations: c.encode.declarations(m)})
	case assembler.ClaimsMessage:
		c.put(m.To, &encoder.Envelope{Claims: c.encode.claims(m)})
	case messenger.Gossip:
		envelope := &encoder.Envelope{Gossip: encoder.FromGossip(m)}
		for _, p := range c.cfg.Peers {
			c.put(p.Name, envelope)
		}
	}
}

// Stop ends the duties.
func (c *Courier) Stop() {
	c.cancel()
	c.done.Wait()
}

func (c *Courier) put(to string, e *encoder.Envelope) {
	ring, ok := c.rings[to]
	if !ok || !ring.TryPut(e) {
		c.cfg.Dropped(to)
	}
}

func gather(ring *buffer.Ring[*encoder.Envelope], first *encoder.Envelope) []*encoder.Envelope {
	batch := []*encoder.Envelope{first}
	for len(batch) < mostInBatch {
		next, ok := ring.TryTake()
		if !ok {
			break
		}
		batch = append(batch, next)
	}
	return batch
}

func (c *Courier) deliver(ctx context.Context, client encoder.Peer, to string, batch []*encoder.Envelope) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if c.cfg.Cut != nil && c.cfg.Cut(to) {
		c.cfg.Dropped(to)
		return
	}
	out := &encoder.Batch{From: c.cfg.Name, Envelopes: batch}
	_, err := client.Deliver(ctx, out)
	if err != nil {
		c.cfg.Dropped(to)
		return
	}
	c.cfg.Sent(to, len(batch), proto.Size(out))
}
