package courier

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"laburnumwind/encoder"
	"laburnumwind/messenger"
)

// Inbox takes what peers send. Its method is the twirp service Peer.
type Inbox struct {
	Put func(to messenger.Stage, body any) bool // false: no room, the message is lost
	Cut func(peer string) bool                  // for tests: whether nothing comes from a peer
}

// Deliver takes a batch of messages.
func (b *Inbox) Deliver(_ context.Context, batch *encoder.Batch) (*encoder.Ack, error) {
	if b.Cut != nil && b.Cut(batch.GetFrom()) {
		return nil, fmt.Errorf("from %s: %w", batch.GetFrom(), errCut)
	}
	for _, e := range batch.GetEnvelopes() {
		err := b.take(e)
		if err != nil {
			return nil, fmt.Errorf("from %s: %w", batch.GetFrom(), err)
		}
	}
	return &encoder.Ack{}, nil
}

func (b *Inbox) take(e *encoder.Envelope) error {
	if e.GetDeclarations() != nil {
		m, err := encoder.DeclarationsCodec().ToMessage(e.GetDeclarations())
		if err != nil {
			return fmt.Errorf("declarations: %w", err)
		}
		b.Put(messenger.Declarations, m)
	}
	if e.GetClaims() != nil {
		m, err := encoder.ClaimsCodec().ToMessage(e.GetClaims())
		if err != nil {
			return fmt.Errorf("claims: %w", err)
		}
		b.Put(messenger.Claims, m)
	}
	if e.GetGossip() != nil {
		b.Put(messenger.Tracker, encoder.ToGossip(e.GetGossip()))
	}
	return nil
}

var errCut = eris.New("cut off by settings")
