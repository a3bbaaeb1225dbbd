package experimenter

import (
	"time"

	"laburnumwind/messenger"
)

// Submit sends a request to an entry instance. It returns nil if the instance has crashed.
func (cl *Cluster) Submit(e *Entry, spec RequestSpec) *Call {
	if !e.running {
		return nil
	}
	e.lastRequestID++
	id := e.lastRequestID
	if spec.Timeout == 0 {
		spec.Timeout = 10 * time.Second
	}
	c := &Call{RequestSpec: spec, Entry: e.Name, EntryRun: e.RunName(), ID: id, SentAt: cl.Now()}
	cl.Calls = append(cl.Calls, c)
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
func (cl *Cluster) Cancel(c *Call) {
	e := cl.Entry(c.Entry)
	if c.Answered || c.Disconnected || e.RunName() != c.EntryRun {
		return
	}
	c.Disconnected = true
	cl.countFault("caller disconnected")
	for _, to := range []messenger.Stage{messenger.Answerer, messenger.Admitter, messenger.Placer, messenger.Claimer} {
		e.step(e.run, to, messenger.CallerDisconnected{ID: c.ID})
	}
}

// deliverReply records the answer of a request and checks that it is the only one, and that the body of a complete
// answer is "done " and the body of the request.
func (e *Entry) deliverReply(m messenger.Reply) {
	c, ok := e.calls[m.ID]
	if !ok {
		return
	}
	cl := e.cluster
	if c.Answered {
		cl.reportViolation("request %d of %s was answered twice", m.ID, c.EntryRun)
	}
	c.Answered = true
	c.AnsweredAt = cl.Now()
	c.Answer = m.Answer
	complete := m.Answer.Outcome == messenger.Answered || m.Answer.Reason == messenger.ServerError
	if complete && string(m.Answer.Body) != "done "+c.Body {
		cl.reportViolation("request %d of %s with body %q got an answer with body %q", m.ID, c.EntryRun, c.Body, m.Answer.Body)
	}
}
