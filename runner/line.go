package runner

import (
	"context"
	"time"

	"laburnumwind/assembler"
	"laburnumwind/messenger"
)

// LineConfig configures a Line.
type LineConfig struct {
	Node     *assembler.Node
	Edges    map[messenger.Stage]func(body any) // message handlers of the edges; they must not block on a stage
	Clock    func() time.Time
	Requests int                      // capacity of the ring for new requests at the admitter and the scheduler, in messages
	Control  int                      // capacity of each stage's ring for all other messages
	Dropped  func(to messenger.Stage) // called when a message has to wait because the control ring of its stage is full
}

// Line runs each stage of a node on a goroutine of its own.
type Line struct {
	duties map[messenger.Stage]*Duty[any]
	cfg    LineConfig
}

// NewLine returns a line with a running goroutine for each stage of cfg.Node. Call Stop to end them.
func NewLine(cfg LineConfig) *Line {
	l := &Line{duties: make(map[messenger.Stage]*Duty[any]), cfg: cfg}
	started := make(chan struct{})
	for _, stage := range cfg.Node.Stages() {
		emit := func(messages []messenger.Message) {
			<-started
			for _, m := range messages {
				l.route(m)
			}
		}
		l.duties[stage.Name] = NewDuty(Config[any]{
			RequestCapacity: cfg.requestCapacity(stage.Name),
			ControlCapacity: cfg.Control,
			WakeAt:          stage.WakeAt,
			Handle:          func(now time.Time, body any) { emit(stage.Step(now, body)) },
			Tick:            func(now time.Time) { emit(stage.Step(now, messenger.Tick{})) },
			Clock:           cfg.Clock,
		})
	}
	close(started)
	return l
}

// requestCapacity returns the capacity of a stage's ring for new requests. Only the admitter and the scheduler
// receive new requests.
func (cfg LineConfig) requestCapacity(stage messenger.Stage) int {
	if stage == messenger.Admitter || stage == messenger.Scheduler {
		return cfg.Requests
	}
	return 0
}

// route passes a message to its edge or stage and blocks while the ring of the stage is full. The control
// rings have room for all messages that the requests in progress can cause, so stages do not normally block.
func (l *Line) route(m messenger.Message) {
	edge, ok := l.cfg.Edges[m.To]
	if ok {
		edge(m.Body)
		return
	}
	d, ok := l.duties[m.To]
	if !ok {
		return
	}
	if d.Control.TryPut(m.Body) {
		return
	}
	l.cfg.Dropped(m.To)
	_ = d.Control.Put(context.Background(), m.Body) // fails only after Stop
}

// Offer passes a new request to a stage. It returns false if the request ring of the stage is full.
func (l *Line) Offer(to messenger.Stage, body any) bool {
	return l.duties[to].Requests.TryPut(body)
}

// Send passes a message to a stage and blocks while its control ring is full.
func (l *Line) Send(to messenger.Stage, body any) {
	_ = l.duties[to].Control.Put(context.Background(), body) // fails only after Stop
}

// TrySend passes a message that may be dropped, such as one from a peer, to a stage. It returns false if the
// control ring of the stage is full.
func (l *Line) TrySend(to messenger.Stage, body any) bool {
	return l.duties[to].Control.TryPut(body)
}

// Stop ends all goroutines and waits for them. Queued messages are dropped.
func (l *Line) Stop() {
	for _, d := range l.duties {
		d.Control.Close()
		d.Requests.Close()
	}
	for _, d := range l.duties {
		d.Stop()
	}
}
