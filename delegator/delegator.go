// Package delegator distributes the leader's calls to workers and to the advisor over other
// instances, its delegates, which make the calls and return the answers. A leader on a small
// instance lacks the capacity to make all calls to a large fleet in addition to its decisions.
package delegator

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"laburnumwind/buffer"
	"laburnumwind/encoder"
	"laburnumwind/messenger"
)

const (
	ringSize     = 8192                   // maximum number of items that wait for one instance
	maxBatchSize = 512                    // maximum number of items sent at once
	batchDelay   = 4 * time.Millisecond   // wait for more items to the same instance before a batch is sent
	sendTimeout  = 500 * time.Millisecond // timeout of sending one batch
)

// item is a call or an answer that is sent to another instance. Exactly one pointer is set.
// The clocks of instances differ, so a deadline is sent as the remaining time.
type item struct {
	Order         *messenger.Order         `cbor:"1,keyasint,omitempty"`
	Hold          *messenger.Hold          `cbor:"2,keyasint,omitempty"`
	OrderReply    *messenger.OrderReply    `cbor:"3,keyasint,omitempty"`
	HoldReply     *messenger.HoldReply     `cbor:"4,keyasint,omitempty"`
	AdviceRequest *messenger.AdviceRequest `cbor:"7,keyasint,omitempty"`
	AdviceReply   *messenger.AdviceReply   `cbor:"8,keyasint,omitempty"`
	Remaining     time.Duration            `cbor:"5,keyasint,omitempty"` // time until NotAfter when the batch with the item is sent
	IssuedAt      int64                    `cbor:"6,keyasint,omitempty"` // time at which the leader issued the call, on the leader's clock, in Unix nanoseconds
}

// sentAt returns an item as it is sent at now: a call has the time left until its NotAfter.
func (i item) sentAt(now time.Time) item {
	switch {
	case i.Order != nil:
		i.Remaining = i.Order.NotAfter.Sub(now)
	case i.Hold != nil:
		i.Remaining = i.Hold.NotAfter.Sub(now)
	}
	return i
}

// Config describes a delegator.
type Config struct {
	Name        string // name of this instance, to which other instances return answers
	Client      *http.Client
	Clock       func() time.Time
	URL         func(instance string) string // returns the URL of an instance's peer listener
	Execute     func(body any)               // makes a call from this instance
	HandleReply func(body any)               // receives the answer to a call that this instance issued
	OnDropped   func(instance string)        // called when an item is dropped because the ring is full, or a batch because it cannot be sent
}

// Delegator sends calls and answers to other instances. It uses one goroutine for each instance,
// so that an instance that hangs does not delay the others.
type Delegator struct {
	cfg    Config
	mu     sync.Mutex
	rings  map[string]*buffer.Ring[item]
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewDelegator returns a delegator. It starts the goroutine for an instance with the first
// item to that instance.
func NewDelegator(cfg Config) *Delegator {
	ctx, cancel := context.WithCancel(context.Background())
	return &Delegator{cfg: cfg, rings: make(map[string]*buffer.Ring[item]), ctx: ctx, cancel: cancel}
}

// Stop ends all goroutines and waits for them.
func (d *Delegator) Stop() {
	d.cancel()
	d.wg.Wait()
}

// Put passes a call to the instance that its Delegate field names, or makes the call from this
// instance if the field is empty.
func (d *Delegator) Put(body any) {
	switch m := body.(type) {
	case messenger.Order:
		if m.Delegate != "" {
			m.Origin = d.cfg.Name
			d.enqueue(m.Delegate, item{Order: &m, IssuedAt: m.At.UnixNano()})
			return
		}
	case messenger.Hold:
		if m.Delegate != "" {
			m.Origin = d.cfg.Name
			d.enqueue(m.Delegate, item{Hold: &m, IssuedAt: m.At.UnixNano()})
			return
		}
	case messenger.AdviceRequest:
		if m.Delegate != "" {
			m.Origin = d.cfg.Name
			d.enqueue(m.Delegate, item{AdviceRequest: &m})
			return
		}
	}
	d.cfg.Execute(body)
}

// Reply passes on the answer to a call that this instance made: to the instance that
// issued the call, or to HandleReply if that is this instance.
func (d *Delegator) Reply(body any) {
	switch m := body.(type) {
	case messenger.OrderReply:
		if m.Order.Origin != "" {
			m.Order.Payload, m.Order.Checkpoint, m.Order.Ticket = "", "", "" // the instance that issued the order knows them
			d.enqueue(m.Order.Origin, item{OrderReply: &m, IssuedAt: m.Order.At.UnixNano()})
			return
		}
	case messenger.HoldReply:
		if m.Hold.Origin != "" {
			d.enqueue(m.Hold.Origin, item{HoldReply: &m, IssuedAt: m.Hold.At.UnixNano()})
			return
		}
	case messenger.AdviceReply:
		if m.Request.Origin != "" {
			d.enqueue(m.Request.Origin, item{AdviceReply: &m})
			return
		}
	}
	d.cfg.HandleReply(body)
}

// HandleOrders makes the calls in a batch from another instance. It returns an error if the
// batch cannot be decoded.
func (d *Delegator) HandleOrders(batch *encoder.JobBatch) error {
	items, err := encoder.UnmarshalCBOR[[]item](batch.GetItems())
	if err != nil {
		return fmt.Errorf("decode orders from %s: %w", batch.GetFrom(), err)
	}
	now := d.cfg.Clock()
	for _, i := range items {
		switch {
		case i.Order != nil:
			i.Order.NotAfter, i.Order.At = now.Add(i.Remaining), time.Unix(0, i.IssuedAt)
			d.cfg.Execute(*i.Order)
		case i.Hold != nil:
			i.Hold.NotAfter, i.Hold.At = now.Add(i.Remaining), time.Unix(0, i.IssuedAt)
			d.cfg.Execute(*i.Hold)
		case i.AdviceRequest != nil:
			d.cfg.Execute(*i.AdviceRequest)
		}
	}
	return nil
}

// HandleReplies passes the answers in a batch from another instance to HandleReply. It returns
// an error if the batch cannot be decoded.
func (d *Delegator) HandleReplies(batch *encoder.JobBatch) error {
	items, err := encoder.UnmarshalCBOR[[]item](batch.GetItems())
	if err != nil {
		return fmt.Errorf("decode answers from %s: %w", batch.GetFrom(), err)
	}
	for _, i := range items {
		switch {
		case i.OrderReply != nil:
			i.OrderReply.Order.At = time.Unix(0, i.IssuedAt)
			d.cfg.HandleReply(*i.OrderReply)
		case i.HoldReply != nil:
			i.HoldReply.Hold.At = time.Unix(0, i.IssuedAt)
			d.cfg.HandleReply(*i.HoldReply)
		case i.AdviceReply != nil:
			d.cfg.HandleReply(*i.AdviceReply)
		}
	}
	return nil
}

// enqueue adds an item to the ring of an instance, or drops it if the ring is full.
func (d *Delegator) enqueue(to string, i item) {
	if !d.ringOf(to).TryPut(i) {
		d.cfg.OnDropped(to) // the leader abandons the call after a timeout
	}
}

// ringOf returns the ring of an instance and starts its goroutine if there is none yet.
func (d *Delegator) ringOf(to string) *buffer.Ring[item] {
	d.mu.Lock()
	defer d.mu.Unlock()
	ring, ok := d.rings[to]
	if ok {
		return ring
	}
	ring = buffer.NewRing[item](ringSize)
	d.rings[to] = ring
	client := encoder.NewJobsProtobufClient(d.cfg.URL(to), d.cfg.Client)
	d.wg.Go(func() { d.sendLoop(to, client, ring) })
	return ring
}

// sendLoop sends the items of a ring, calls and answers in separate batches, until the delegator
// stops. A batch that cannot be sent is dropped, because the leader retries the calls that it
// still needs.
func (d *Delegator) sendLoop(to string, client encoder.Jobs, ring *buffer.Ring[item]) {
	for {
		first, err := ring.Take(d.ctx)
		if err != nil {
			return
		}
		delay := time.NewTimer(batchDelay)
		select {
		case <-delay.C:
		case <-d.ctx.Done():
			delay.Stop()
			return
		}
		var orders, replies []item
		now := d.cfg.Clock()
		for next, ok := first, true; ok; next, ok = ring.TryTake() {
			if next.Order != nil || next.Hold != nil || next.AdviceRequest != nil {
				orders = append(orders, next.sentAt(now))
			} else {
				replies = append(replies, next)
			}
			if len(orders)+len(replies) >= maxBatchSize {
				break
			}
		}
		d.sendBatch(to, client.Dispatch, orders)
		d.sendBatch(to, client.Return, replies)
	}
}

func (d *Delegator) sendBatch(to string, send func(context.Context, *encoder.JobBatch) (*encoder.JobBatchAck, error), items []item) {
	if len(items) == 0 {
		return
	}
	data, err := encoder.MarshalCBOR(items)
	if err == nil {
		ctx, cancel := context.WithTimeout(d.ctx, sendTimeout)
		defer cancel()
		_, err = send(ctx, &encoder.JobBatch{From: d.cfg.Name, Items: data})
	}
	if err != nil {
		d.cfg.OnDropped(to)
	}
}
