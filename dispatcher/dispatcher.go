// Package dispatcher sends the scheduler's orders to workers and to the provider of machines,
// sends its requests to the advisor, and returns the answers. Several goroutines send the orders
// to one worker, so a later order may arrive before an earlier one.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"laburnumwind/buffer"
	"laburnumwind/messenger"
	"laburnumwind/recoverer"
)

const (
	orderRingSize    = 512         // maximum number of orders that wait for one worker
	holdRingSize     = 4           // maximum number of lease renewals that wait for one worker
	providerRingSize = 128         // maximum number of calls that wait for the provider
	sendersPerWorker = 2           // goroutines that send orders to one worker
	maxProviderCalls = 4           // maximum number of concurrent calls to the provider
	advisorRingSize  = 16          // maximum number of requests that wait for the advisor
	maxAdvisorCalls  = 2           // maximum number of concurrent calls to the advisor, which handles the calls of one instance one at a time
	idleTimeout      = time.Minute // minimum time without calls after which a worker's goroutines end
)

// Config describes a dispatcher. SendOrder, SendHold, ListMachines, OrderMachine and AskAdvisor
// make one call each and must limit its duration themselves.
type Config struct {
	Clock        func() time.Time
	SendOrder    func(context.Context, messenger.Order) messenger.OrderReply
	SendHold     func(context.Context, messenger.Hold) messenger.HoldReply
	ListMachines func(context.Context) messenger.MachineList
	OrderMachine func(context.Context, messenger.MachineOrder) messenger.MachineReply
	AskAdvisor   func(context.Context, messenger.AdviceRequest) messenger.AdviceReply
	Reply        func(body any)    // receives the answers
	OnPanic      func(err error)   // called when a call panics; its answer is missing, as if it had been lost
	OnDropped    func(name string) // called with the worker, "advisor" or "provider" when a call to it is dropped because its ring is full
}

// Dispatcher calls each worker on separate goroutines, so that a worker that hangs does not
// delay the others.
type Dispatcher struct {
	cfg      Config
	mu       sync.Mutex
	queues   map[string]*workerQueue
	provider *buffer.Ring[any]
	advisor  *buffer.Ring[messenger.AdviceRequest]
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// workerQueue holds the orders and lease renewals that wait for one worker.
type workerQueue struct {
	orders   *buffer.Ring[messenger.Order]
	holds    *buffer.Ring[messenger.Hold]
	lastUsed time.Time
}

func (q *workerQueue) close() {
	q.orders.Close()
	q.holds.Close()
}

// NewDispatcher starts the goroutines that call the provider and the advisor. Those of a
// worker start with the first call to it.
func NewDispatcher(cfg Config) *Dispatcher {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Dispatcher{
		cfg:      cfg,
		queues:   make(map[string]*workerQueue),
		provider: buffer.NewRing[any](providerRingSize),
		advisor:  buffer.NewRing[messenger.AdviceRequest](advisorRingSize),
		ctx:      ctx,
		cancel:   cancel,
	}
	for range maxProviderCalls {
		d.wg.Go(func() { serve(ctx, d, d.provider, d.callProvider) })
	}
	for range maxAdvisorCalls {
		d.wg.Go(func() { serve(ctx, d, d.advisor, d.callAdvisor) })
	}
	return d
}

// Put enqueues a call. If the ring is full, Put replies at once that the call was not made, so
// that the scheduler can retry it.
func (d *Dispatcher) Put(body any) {
	now := d.cfg.Clock()
	switch m := body.(type) {
	case messenger.Order:
		if !d.queueOf(now, m.Worker).orders.TryPut(m) {
			d.cfg.OnDropped(m.Worker)
			d.cfg.Reply(messenger.OrderReply{Order: m, Verdict: messenger.NotSent})
		}
	case messenger.Hold:
		if !d.queueOf(now, m.Worker).holds.TryPut(m) {
			d.cfg.OnDropped(m.Worker)
			d.cfg.Reply(messenger.HoldReply{Hold: m})
		}
	case messenger.AdviceRequest:
		if !d.advisor.TryPut(m) {
			d.cfg.OnDropped("advisor")
			d.cfg.Reply(messenger.AdviceReply{Request: m})
		}
	default:
		if !d.provider.TryPut(body) {
			d.cfg.OnDropped("provider")
			d.refuse(now, body)
		}
	}
}

// refuse replies that a call to the provider was not made because the ring is full.
func (d *Dispatcher) refuse(now time.Time, body any) {
	switch m := body.(type) {
	case messenger.ListMachines:
		d.cfg.Reply(messenger.MachineList{SentAt: now, Received: now})
	case messenger.MachineOrder:
		d.cfg.Reply(messenger.MachineReply{Order: m, Refused: true, Reason: "queue full", Received: now})
	}
}

// Stop ends all goroutines and waits for them.
func (d *Dispatcher) Stop() {
	d.cancel()
	d.wg.Wait()
}

// queueOf returns the queue of a worker and starts its goroutines if there is none yet.
func (d *Dispatcher) queueOf(now time.Time, worker string) *workerQueue {
	d.mu.Lock()
	defer d.mu.Unlock()
	q, ok := d.queues[worker]
	if !ok {
		d.closeIdle(now)
		q = &workerQueue{orders: buffer.NewRing[messenger.Order](orderRingSize), holds: buffer.NewRing[messenger.Hold](holdRingSize)}
		d.queues[worker] = q
		for range sendersPerWorker {
			d.wg.Go(func() { serve(d.ctx, d, q.orders, d.sendOrder) })
		}
		d.wg.Go(func() { serve(d.ctx, d, q.holds, d.sendHold) })
	}
	q.lastUsed = now
	return q
}

// closeIdle ends the goroutines of workers that got no call for idleTimeout, for example because
// the worker no longer exists. It runs only when a call to a worker without a queue arrives.
func (d *Dispatcher) closeIdle(now time.Time) {
	for worker, q := range d.queues {
		if now.Sub(q.lastUsed) > idleTimeout {
			q.close()
			delete(d.queues, worker)
		}
	}
}

// serve makes the calls of a ring one after the other until the ring is closed or ctx ends.
func serve[T any](ctx context.Context, d *Dispatcher, ring *buffer.Ring[T], call func(context.Context, T)) {
	for {
		item, err := ring.Take(ctx)
		if err != nil {
			return
		}
		err = recoverer.Do(func() { call(ctx, item) })
		if err != nil {
			d.cfg.OnPanic(err)
		}
	}
}

// sendOrder sends an order unless the leader's lease ended while the order waited.
func (d *Dispatcher) sendOrder(ctx context.Context, o messenger.Order) {
	now := d.cfg.Clock()
	if now.After(o.NotAfter) {
		d.cfg.Reply(messenger.OrderReply{Order: o, Verdict: messenger.NotSent})
		return
	}
	d.cfg.Reply(d.cfg.SendOrder(ctx, o))
}

// sendHold renews the lease of a worker unless the leader's own lease ended while the call waited.
func (d *Dispatcher) sendHold(ctx context.Context, h messenger.Hold) {
	now := d.cfg.Clock()
	if now.After(h.NotAfter) {
		d.cfg.Reply(messenger.HoldReply{Hold: h})
		return
	}
	d.cfg.Reply(d.cfg.SendHold(ctx, h))
}

func (d *Dispatcher) callProvider(ctx context.Context, body any) {
	switch m := body.(type) {
	case messenger.ListMachines:
		d.cfg.Reply(d.cfg.ListMachines(ctx))
	case messenger.MachineOrder:
		now := d.cfg.Clock()
		if now.After(m.NotAfter) {
			d.cfg.Reply(messenger.MachineReply{Order: m, Refused: true, Reason: "lease", Received: now})
			return
		}
		d.cfg.Reply(d.cfg.OrderMachine(ctx, m))
	}
}

func (d *Dispatcher) callAdvisor(ctx context.Context, a messenger.AdviceRequest) {
	d.cfg.Reply(d.cfg.AskAdvisor(ctx, a))
}
