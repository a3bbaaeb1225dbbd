// Package delegator hands orders to workers, and questions to the advisor, on to other instances, which make
// the calls, and brings the answers back: the calls of a large fleet are more
// work than one small instance can do beside its decisions.
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
	ringSize    = 8192
	mostInBatch = 512
	gatherFor   = 4 * time.Millisecond // for others to the same instance, before a batch goes
	callTimeout = 500 * time.Millisecond
)

// item is one order or answer on its way. Exactly one pointer is set. Times
// mean nothing on another instance: a bound travels as what is left of it.
type item struct {
	Order      *messenger.Order      `cbor:"1,keyasint,omitempty"`
	Hold       *messenger.Hold       `cbor:"2,keyasint,omitempty"`
	OrderReply *messenger.OrderReply `cbor:"3,keyasint,omitempty"`
	HoldReply  *messenger.HoldReply  `cbor:"4,keyasint,omitempty"`
	Advise     *messenger.Advise     `cbor:"7,keyasint,omitempty"`
	Advice     *messenger.Advice     `cbor:"8,keyasint,omitempty"`
	Left       time.Duration         `cbor:"5,keyasint,omitempty"` // of an order's time
	At         int64                 `cbor:"6,keyasint,omitempty"` // when the leader gave it, by its own clock, Unix nanoseconds
}

// Config describes a delegator.
type Config struct {
	Name    string
	Client  *http.Client
	Clock   func() time.Time
	URL     func(instance string) string
	Local   func(body any) // makes a call here
	Decided func(body any) // takes an answer to an order of this instance
	Dropped func(instance string)
}

// Delegator sends to each instance on a goroutine of its own.
type Delegator struct {
	cfg    Config
	mu     sync.Mutex
	lanes  map[string]*buffer.Ring[item]
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// NewDelegator returns a delegator. Instances get their goroutines with the first item.
func NewDelegator(cfg Config) *Delegator {
	ctx, cancel := context.WithCancel(context.Background())
	return &Delegator{cfg: cfg, lanes: make(map[string]*buffer.Ring[item]), ctx: ctx, cancel: cancel}
}

// Stop ends all duties.
func (d *Delegator) Stop() {
	d.cancel()
	d.done.Wait()
}

// Put takes an order of this instance and makes the call here, or has it made.
func (d *Delegator) Put(body any) {
	now := d.cfg.Clock()
	switch m := body.(type) {
	case messenger.Order:
		if m.Via != "" {
			m.Origin = d.cfg.Name
			d.send(m.Via, item{Order: &m, Left: m.NotAfter.Sub(now), At: m.At.UnixNano()})
			return
		}
	case messenger.Hold:
		if m.Via != "" {
			m.Origin = d.cfg.Name
			d.send(m.Via, item{Hold: &m, Left: m.NotAfter.Sub(now), At: m.At.UnixNano()})
			return
		}
	case messenger.Advise:
		if m.Via != "" {
			m.Origin = d.cfg.Name
			d.send(m.Via, item{Advise: &m})
			return
		}
	}
	d.cfg.Local(body)
}

// Reply takes the answer to a call that was made here.
func (d *Delegator) Reply(body any) {
	switch m := body.(type) {
	case messenger.OrderReply:
		if m.Order.Origin != "" {
			d.send(m.Order.Origin, item{OrderReply: &m, At: m.Order.At.UnixNano()})
			return
		}
	case messenger.HoldReply:
		if m.Hold.Origin != "" {
			d.send(m.Hold.Origin, item{HoldReply: &m, At: m.Hold.At.UnixNano()})
			return
		}
	case messenger.Advice:
		if m.Advise.Origin != "" {
			d.send(m.Advise.Origin, item{Advice: &m})
			return
		}
	}
	d.cfg.Decided(body)
}

// TakeOrders makes calls for another instance.
func (d *Delegator) TakeOrders(batch *encoder.JobBatch) error {
	items, err := encoder.Unmarshal[[]item](batch.GetItems())
	if err != nil {
		return fmt.Errorf("read orders of %s: %w", batch.GetFrom(), err)
	}
	now := d.cfg.Clock()
	for _, i := range items {
		switch {
		case i.Order != nil:
			i.Order.NotAfter, i.Order.At = now.Add(i.Left), time.Unix(0, i.At)
			d.cfg.Local(*i.Order)
		case i.Hold != nil:
			i.Hold.NotAfter, i.Hold.At = now.Add(i.Left), time.Unix(0, i.At)
			d.cfg.Local(*i.Hold)
		case i.Advise != nil:
			d.cfg.Local(*i.Advise)
		}
	}
	return nil
}

// TakeReplies takes answers to orders of this instance.
func (d *Delegator) TakeReplies(batch *encoder.JobBatch) error {
	items, err := encoder.Unmarshal[[]item](batch.GetItems())
	if err != nil {
		return fmt.Errorf("read answers of %s: %w", batch.GetFrom(), err)
	}
	for _, i := range items {
		switch {
		case i.OrderReply != nil:
			i.OrderReply.Order.At = time.Unix(0, i.At)
			d.cfg.Decided(*i.OrderReply)
		case i.HoldReply != nil:
			i.HoldReply.Hold.At = time.Unix(0, i.At)
			d.cfg.Decided(*i.HoldReply)
		case i.Advice != nil:
			d.cfg.Decided(*i.Advice)
		}
	}
	return nil
}

func (d *Delegator) send(to string, i item) {
	if !d.lane(to).TryPut(i) {
		d.cfg.Dropped(to) // the leader gives it up after a while
	}
}

func (d *Delegator) lane(to string) *buffer.Ring[item] {
	d.mu.Lock()
	defer d.mu.Unlock()
	ring, ok := d.lanes[to]
	if ok {
		return ring
	}
	ring = buffer.NewRing[item](ringSize)
	d.lanes[to] = ring
	client := encoder.NewJobsProtobufClient(d.cfg.URL(to), d.cfg.Client)
	d.done.Go(func() { d.run(to, client, ring) })
	return ring
}

// run sends what comes to a ring. A batch that fails is dropped: the leader sends again what is still wanted.
func (d *Delegator) run(to string, client encoder.Jobs, ring *buffer.Ring[item]) {
	for {
		first, err := ring.Take(d.ctx)
		if err != nil {
			return
		}
		gather := time.NewTimer(gatherFor)
		select {
		case <-gather.C:
		case <-d.ctx.Done():
			gather.Stop()
			return
		}
		var orders, replies []item
		for next, ok := first, true; ok; next, ok = ring.TryTake() {
			if next.Order != nil || next.Hold != nil || next.Advise != nil {
				orders = append(orders, next)
			} else {
				replies = append(replies, next)
			}
			if len(orders)+len(replies) >= mostInBatch {
				break
			}
		}
		d.deliver(to, client.Dispatch, orders)
		d.deliver(to, client.Return, replies)
	}
}

func (d *Delegator) deliver(to string, call func(context.Context, *encoder.JobBatch) (*encoder.JobBatchAck, error), items []item) {
	if len(items) == 0 {
		return
	}
	data, err := encoder.Marshal(items)
	if err == nil {
		ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
		defer cancel()
		_, err = call(ctx, &encoder.JobBatch{From: d.cfg.Name, Items: data})
	}
	if err != nil {
		d.cfg.Dropped(to)
	}
}
