package runner

import (
	"context"
	"fmt"
	"time"

	"laburnumwind/assembler"
	"laburnumwind/messenger"
)

// PipelineConfig configures a Pipeline.
type PipelineConfig struct {
	Node            *assembler.Node
	IOStages        map[messenger.Stage]func(body any) // message handlers of the stages that perform I/O; they must not block on a stage
	Clock           func() time.Time
	RequestCapacity int                      // capacity of the ring for new requests at the admitter and the scheduler, in messages
	ControlCapacity int                      // capacity of each stage's ring for all other messages
	OnRingFull      func(to messenger.Stage) // called when a message has to wait because the control ring of its stage is full

	OnPanic   func(stage messenger.Stage, err error) // called when a stage panics; its message is dropped and its state stays as it was
	OnFailure func(err error)                        // called when a stage panics again and again
}

// Pipeline runs each stage of a node on a goroutine of its own.
type Pipeline struct {
	duties map[messenger.Stage]*Duty[any]
	cfg    PipelineConfig
}

// NewPipeline returns a pipeline with a running goroutine for each stage of cfg.Node. Call Stop to end them.
func NewPipeline(cfg PipelineConfig) *Pipeline {
	p := &Pipeline{duties: make(map[messenger.Stage]*Duty[any]), cfg: cfg}
	started := make(chan struct{}) // closed when p.duties is complete; until then stages must not route messages
	for _, stage := range cfg.Node.Stages() {
		emit := func(messages []messenger.Message) {
			<-started
			for _, m := range messages {
				p.route(m)
			}
		}
		p.duties[stage.Name] = NewDuty(Config[any]{
			RequestCapacity: cfg.requestCapacity(stage.Name),
			ControlCapacity: cfg.ControlCapacity,
			WakeAt:          stage.WakeAt,
			Handle:          func(now time.Time, body any) { emit(stage.Step(now, body)) },
			Tick:            func(now time.Time) { emit(stage.Step(now, messenger.Tick{})) },
			Clock:           cfg.Clock,
			OnPanic:         func(err error) { cfg.OnPanic(stage.Name, err) },
			OnFailure:       func(err error) { cfg.OnFailure(fmt.Errorf("stage %d: %w", stage.Name, err)) },
		})
	}
	close(started)
	return p
}

// requestCapacity returns the capacity of a stage's ring for new requests. Only the admitter and the scheduler
// receive new requests.
func (cfg PipelineConfig) requestCapacity(stage messenger.Stage) int {
	if stage == messenger.Admitter || stage == messenger.Scheduler {
		return cfg.RequestCapacity
	}
	return 0
}

// route passes a message to its stage and blocks while the control ring of the stage is full. ControlCapacity
// should give room for all messages that the requests in progress can cause, so that stages do not normally
// block. A message to a stage that the node does not run is dropped.
func (p *Pipeline) route(m messenger.Message) {
	handle, ok := p.cfg.IOStages[m.To]
	if ok {
		handle(m.Body)
		return
	}
	d, ok := p.duties[m.To]
	if !ok {
		return
	}
	if d.Control.TryPut(m.Body) {
		return
	}
	p.cfg.OnRingFull(m.To)
	_ = d.Control.Put(context.Background(), m.Body) // fails only after Stop
}

// Offer passes a new request to a stage. It returns false if the request ring of the stage is full.
func (p *Pipeline) Offer(to messenger.Stage, body any) bool {
	return p.duties[to].Requests.TryPut(body)
}

// Send passes a message to a stage and blocks while its control ring is full.
func (p *Pipeline) Send(to messenger.Stage, body any) {
	_ = p.duties[to].Control.Put(context.Background(), body) // fails only after Stop
}

// TrySend passes a message that may be dropped, such as one from a peer, to a stage. It returns false if the
// control ring of the stage is full.
func (p *Pipeline) TrySend(to messenger.Stage, body any) bool {
	return p.duties[to].Control.TryPut(body)
}

// Stop ends all goroutines and waits for them. Queued messages are dropped. It closes all rings first, so that
// no goroutine remains blocked on the full ring of a stage that has already ended.
func (p *Pipeline) Stop() {
	for _, d := range p.duties {
		d.Control.Close()
		d.Requests.Close()
	}
	for _, d := range p.duties {
		d.Stop()
	}
}
