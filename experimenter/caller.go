package experimenter

import (
	"time"

	"laburnumwind/messenger"
)

// Submit sends a request to an entry instance. It returns nil if the instance is not running.
func (w *World) Submit(e *Entry, spec RequestSpec) *Call {
	if !e.alive {
		return nil
	}
	e.nextID++
	id := e.nextID
	if spec.Timeout == 0 {
		spec.Timeout = 10 * time.Second
	}
	c := &Call{RequestSpec: spec, Entry: e.Name, EntryRun: e.RunName(), ID: id, SentAt: w.Now()}
	w.Calls = append(w.Calls, c)
	e.calls[id] = c
	e.specs[id] = spec
	r := messenger.Request{
		ID:         id,
		Service:    spec.Service,
		Customer:   spec.Customer,
		Key:        spec.Key,
		Digest:     spec.Body,
		Method:     "POST",
		Path:       "/",
		Body:       []byte(spec.Body),
		Urgency:    spec.Urgency,
		Idempotent: spec.Idempotent,
	}
	r = r.WithTimes(e.now(), e.now().Add(spec.Timeout))
	e.step(e.run, messenger.Answerer, messenger.OpenRequest{ID: id})
	e.step(e.run, messenger.Admitter, messenger.RequestArrived{Request: r})
	return c
}

// Cancel disconnects the caller of an unanswered request.
func (w *World) Cancel(c *Call) {
	e := w.Entry(c.Entry)
	if c.Answered || c.Disconnected || e.RunName() != c.EntryRun {
		return
	}
	c.Disconnected = true
	w.countFault("caller gone")
	for _, to := range []messenger.Stage{messenger.Answerer, messenger.Admitter, messenger.Placer, messenger.Claimer} {
		e.step(e.run, to, messenger.CallerDisconnected{ID: c.ID})
	}
}

// deliverReply records the answer of a request and checks that it is the only one
// and carries the body of the request.
func (e *Entry) deliverReply(m messenger.Reply) {
	c, ok := e.calls[m.ID]
	if !ok {
		return
	}
	w := e.world
	delete(e.calls, m.ID)
	if c.Answered {
		w.reportViolation("request %d of %s was answered twice", m.ID, c.EntryRun)
	}
	c.Answered = true
	c.AnsweredAt = w.Now()
	c.Answer = m.Answer
	complete := m.Answer.Outcome == messenger.Answered || m.Answer.Reason == messenger.ServerError
	if complete && string(m.Answer.Body) != "done "+c.Body {
		w.reportViolation("request %d of %s with body %q got the answer %q", m.ID, c.EntryRun, c.Body, m.Answer.Body)
	}
}
