package courier

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"laburnumwind/encoder"
	"laburnumwind/messenger"
)

// Inbox receives the messages of peers. It implements the twirp service Peer.
type Inbox struct {
	Put           func(to messenger.Stage, body any) bool // passes a message to a stage; false if its ring is full and the message is dropped
	IsPartitioned func(peer string) bool                  // fault injection in tests: reports whether the link from a peer is cut; may be nil

	Replies *Replies // collects the replies that go into the responses to peers; shared with the Courier
}

// Deliver handles a batch of messages. If the batch contains heartbeats and no other message of a replicated
// group, the response carries the replies that are ready within replyWait, unless an earlier exchange of the
// same peer is still open.
func (b *Inbox) Deliver(_ context.Context, batch *encoder.Batch) (*encoder.Ack, error) {
	if b.IsPartitioned != nil && b.IsPartitioned(batch.GetFrom()) {
		return nil, fmt.Errorf("deliver batch from %s: %w", batch.GetFrom(), errPartitioned)
	}
	count := countHeartbeats(batch)
	opened := count > 0 && b.Replies.Open(batch.GetFrom())
	err := b.ReceiveAll(batch.GetEnvelopes())
	response := &encoder.Ack{}
	if opened {
		response.Envelopes = b.Replies.Close(batch.GetFrom(), count)
	}
	if err != nil {
		return nil, fmt.Errorf("deliver batch from %s: %w", batch.GetFrom(), err)
	}
	return response, nil
}

// countHeartbeats returns the number of heartbeats in a batch. It returns zero if the batch contains any other
// message of a replicated group: the reply to a heartbeat is immediate, but that to another message may have to
// wait for a disk sync.
func countHeartbeats(batch *encoder.Batch) int {
	n := 0
	for _, e := range batch.GetEnvelopes() {
		for _, m := range []*encoder.GroupMessage{e.GetDeclarations(), e.GetClaims(), e.GetJobs()} {
			if m == nil {
				continue
			}
			if !m.GetBeat() {
				return 0
			}
			n++
		}
	}
	return n
}

// ReceiveAll decodes messages of a peer and passes them to their stages. A message is dropped if the ring of its
// stage is full. ReceiveAll stops at the first message that cannot be decoded and returns its error.
func (b *Inbox) ReceiveAll(envelopes []*encoder.Envelope) error {
	for _, e := range envelopes {
		err := b.receiveOne(e)
		if err != nil {
			return err
		}
	}
	return nil
}

// receiveOne decodes a message and passes it to its stage.
func (b *Inbox) receiveOne(e *encoder.Envelope) error {
	if e.GetDeclarations() != nil {
		m, err := encoder.DeclarationsCodec().DecodeMessage(e.GetDeclarations())
		if err != nil {
			return fmt.Errorf("declarations group: %w", err)
		}
		b.Put(messenger.Declarations, m)
	}
	if e.GetClaims() != nil {
		m, err := encoder.ClaimsCodec().DecodeMessage(e.GetClaims())
		if err != nil {
			return fmt.Errorf("claims group: %w", err)
		}
		b.Put(messenger.Claims, m)
	}
	if e.GetJobs() != nil {
		m, err := encoder.JobsCodec().DecodeMessage(e.GetJobs())
		if err != nil {
			return fmt.Errorf("jobs group: %w", err)
		}
		b.Put(messenger.Jobs, m)
	}
	if e.GetGossip() != nil {
		b.Put(messenger.Tracker, encoder.DecodeGossip(e.GetGossip()))
	}
	return nil
}

var errPartitioned = eris.New("link is cut by fault injection")
