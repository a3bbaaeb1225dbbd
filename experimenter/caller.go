package experimenter

import (
	"time"

	"laburnumwind/messenger"
)

// Submit sends a request to an entry instance; nil if it is not there.
func (w *World) Submit(e *Entry, job Job) *Call {
	if !e.alive {
		return nil
	}
	e.nextID++
	id := e.nextID
	if job.Wait == 0 {
		job.Wait = 10 * time.Second
	}
	c := &Call{Job: job, Entry: e.Name, EntryRun: e.RunName(), ID: id, SentAt: w.Now()}
	w.Calls = append(w.Calls, c)
	e.calls[id] = c
	e.jobs[id] = job
	r := messenger.Request{
		ID:         id,
		Service:    job.Service,
		Customer:   job.Customer,
		Key:        job.Key,
		Digest:     job.Body,
		Method:     "POST",
		Path:       "/",
		Body:       []byte(job.Body),
		Urgency:    job.Urgency,
		Idempotent: job.Idempotent,
	}
	r = r.WithTimes(e.now(), e.now().Add(job.Wait))
	e.step(e.run, messenger.Answerer, messenger.Open{ID: id})
	e.step(e.run, messenger.Admitter, messenger.Arrive{Request: r})
	return c
}

// Cancel lets the caller of a request go away.
func (w *World) Cancel(c *Call) {
	e := w.Entry(c.Entry)
	if c.Answered || c.Gone || e.RunName() != c.EntryRun {
		return
	}
	c.Gone = true
	w.fault("caller gone")
	for _, to := range []messenger.Stage{messenger.Answerer, messenger.Admitter, messenger.Placer, messenger.Claimer} {
		e.step(e.run, to, messenger.Cancel{ID: c.ID})
	}
}

// reply brings an answer to its caller.
func (e *Entry) reply(m messenger.Reply) {
	c, ok := e.calls[m.ID]
	if !ok {
		return
	}
	w := e.world
	delete(e.calls, m.ID)
	if c.Answered {
		w.breaks("request %d of %s was answered twice", m.ID, c.EntryRun)
	}
	c.Answered = true
	c.AnswerAt = w.Now()
	c.Answer = m.Answer
	whole := m.Answer.Outcome == messenger.Answered || m.Answer.Reason == messenger.ServerError
	if whole && string(m.Answer.Body) != "done "+c.Body {
		w.breaks("request %d of %s with body %q got the answer %q", m.ID, c.EntryRun, c.Body, m.Answer.Body)
	}
}
