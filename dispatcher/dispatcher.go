// Package dispatcher carries the scheduler's orders to workers and to the provider of
// machines, and brings back what they answer. Orders to one worker may overtake each other.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"laburnumwind/buffer"
	"laburnumwind/messenger"
)

const (
	orderRing    = 512 // orders that may wait for one worker
	holdRing     = 4
	providerRing = 128
	senders      = 2 // orders under way at one worker
	providerCall = 4 // calls under way at the provider
	advisorRing  = 16
	advisorCall  = 2 // calls under way at the advisor, which takes those of one instance in turn
	idleAfter    = time.Minute
)

// Config describes a dispatcher. Its functions make one call each and bound its time themselves.
type Config struct {
	Clock   func() time.Time
	Order   func(context.Context, messenger.Order) messenger.OrderReply
	Hold    func(context.Context, messenger.Hold) messenger.HoldReply
	List    func(context.Context) messenger.MachineList
	Machine func(context.Context, messenger.MachineOrder) messenger.MachineReply
	Advise  func(context.Context, messenger.Advise) messenger.Advice
	Reply   func(body any)
	Dropped func(worker string) // is told of orders that found their ring full
}

// Dispatcher sends to each worker on goroutines of its own, so that one that hangs delays no other.
type Dispatcher struct {
	cfg      Config
	mu       sync.Mutex
	lanes    map[string]*lane
	provider *buffer.Ring[any]
	advisor  *buffer.Ring[messenger.Advise]
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// lane is what waits to go to one worker.
type lane struct {
	orders *buffer.Ring[messenger.Order]
	holds  *buffer.Ring[messenger.Hold]
	usedAt time.Time
}

func (l *lane) close() {
	l.orders.Close()
	l.holds.Close()
}

// NewDispatcher starts the duties that call the provider and the advisor. Workers get theirs with their first order.
func NewDispatcher(cfg Config) *Dispatcher {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Dispatcher{
		cfg:      cfg,
		lanes:    make(map[string]*lane),
		provider: buffer.NewRing[any](providerRing),
		advisor:  buffer.NewRing[messenger.Advise](advisorRing),
		ctx:      ctx,
		cancel:   cancel,
	}
	for range providerCall {
		d.done.Go(func() { serve(ctx, d.provider, d.callProvider) })
	}
	for range advisorCall {
		d.done.Go(func() { serve(ctx, d.advisor, d.callAdvisor) })
	}
	return d
}

// Put takes an order.
func (d *Dispatcher) Put(body any) {
	now := d.cfg.Clock()
	switch m := body.(type) {
	case messenger.Order:
		if !d.lane(now, m.Worker).orders.TryPut(m) {
			d.cfg.Dropped(m.Worker)
			d.cfg.Reply(messenger.OrderReply{Order: m, Verdict: messenger.NotSent})
		}
	case messenger.Hold:
		if !d.lane(now, m.Worker).holds.TryPut(m) {
			d.cfg.Dropped(m.Worker)
			d.cfg.Reply(messenger.HoldReply{Hold: m})
		}
	case messenger.Advise:
		if !d.advisor.TryPut(m) {
			d.cfg.Dropped("advisor")
			d.cfg.Reply(messenger.Advice{Advise: m})
		}
	default:
		if !d.provider.TryPut(body) {
			d.cfg.Dropped("provider")
			d.refuse(now, body)
		}
	}
}

// refuse answers a call for which there was no room, so that it is made again.
func (d *Dispatcher) refuse(now time.Time, body any) {
	switch m := body.(type) {
	case messenger.ListMachines:
		d.cfg.Reply(messenger.MachineList{SentAt: now, Received: now})
	case messenger.MachineOrder:
		d.cfg.Reply(messenger.MachineReply{Order: m, Refused: true, Reason: "no room", Received: now})
	}
}

// Stop ends all duties.
func (d *Dispatcher) Stop() {
	d.cancel()
	d.done.Wait()
}

func (d *Dispatcher) lane(now time.Time, worker string) *lane {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.lanes[worker]
	if !ok {
		d.closeIdle(now)
		l = &lane{orders: buffer.NewRing[messenger.Order](orderRing), holds: buffer.NewRing[messenger.Hold](holdRing)}
		d.lanes[worker] = l
		for range senders {
			d.done.Go(func() { serve(d.ctx, l.orders, d.callOrder) })
		}
		d.done.Go(func() { serve(d.ctx, l.holds, d.callHold) })
	}
	l.usedAt = now
	return l
}

// closeIdle ends the duties of workers that are gone.
func (d *Dispatcher) closeIdle(now time.Time) {
	for worker, l := range d.lanes {
		if now.Sub(l.usedAt) > idleAfter {
			l.close()
			delete(d.lanes, worker)
		}
	}
}

// serve takes what comes to a ring until that is closed.
func serve[T any](ctx context.Context, ring *buffer.Ring[T], call func(context.Context, T)) {
	for {
		item, err := ring.Take(ctx)
		if err != nil {
			return
		}
		call(ctx, item)
	}
}

// callOrder sends an order, unless the leader's lease ended while it waited.
func (d *Dispatcher) callOrder(ctx context.Context, o messenger.Order) {
	now := d.cfg.Clock()
	if now.After(o.NotAfter) {
		d.cfg.Reply(messenger.OrderReply{Order: o, Verdict: messenger.NotSent})
		return
	}
	d.cfg.Reply(d.cfg.Order(ctx, o))
}

func (d *Dispatcher) callHold(ctx context.Context, h messenger.Hold) {
	now := d.cfg.Clock()
	if now.After(h.NotAfter) {
		d.cfg.Reply(messenger.HoldReply{Hold: h})
		return
	}
	d.cfg.Reply(d.cfg.Hold(ctx, h))
}

func (d *Dispatcher) callProvider(ctx context.Context, body any) {
	switch m := body.(type) {
	case messenger.ListMachines:
		d.cfg.Reply(d.cfg.List(ctx))
	case messenger.MachineOrder:
		now := d.cfg.Clock()
		if now.After(m.NotAfter) {
			d.cfg.Reply(messenger.MachineReply{Order: m, Refused: true, Reason: "lease", Received: now})
			return
		}
		d.cfg.Reply(d.cfg.Machine(ctx, m))
	}
}

func (d *Dispatcher) callAdvisor(ctx context.Context, a messenger.Advise) {
	d.cfg.Reply(d.cfg.Advise(ctx, a))
}
