// Package answerer decides after each attempt whether the request may be retried,
// and sends at most one answer to each request, and none if its caller has disconnected.
package answerer

import (
	"time"

	"github.com/benbjohnson/immutable"

	"laburnumwind/messenger"
)

// Config configures an answerer.
type Config struct {
	RetryIncomplete bool // for experiments: treats an attempt with an incomplete response as not sent, so that it is retried
}

// State is the immutable state of an answerer.
type State struct {
	cfg        Config
	unanswered *immutable.Map[uint64, bool] // IDs of the requests without an answer whose callers are connected
}

// NewState returns an answerer without requests.
func NewState(cfg Config) State {
	return State{cfg: cfg, unanswered: immutable.NewMap[uint64, bool](nil)}
}

// Step handles one message and returns the new state and the messages to send.
func (s State) Step(_ time.Time, body any) (State, []messenger.Message) {
	switch m := body.(type) {
	case messenger.OpenRequest:
		s.unanswered = s.unanswered.Set(m.ID, true)
	case messenger.CallerDisconnected:
		s.unanswered = s.unanswered.Delete(m.ID)
	case messenger.CloseRequest:
		return s.reply(m.Request.ID, m.Answer)
	case messenger.AttemptResult:
		return s.handleAttemptResult(m)
	}
	return s, nil
}

// reply sends the answer to a request. If the request is already answered or its
// caller has disconnected, reply drops the answer and logs that.
func (s State) reply(id uint64, answer messenger.Answer) (State, []messenger.Message) {
	_, ok := s.unanswered.Get(id)
	if !ok {
		return s, []messenger.Message{{To: messenger.Reporter, Body: messenger.Decision{
			Stage:   messenger.Answerer,
			Event:   "late answer",
			Request: id,
			Reason:  "the request is already answered or canceled",
		}}}
	}
	s.unanswered = s.unanswered.Delete(id)
	return s, []messenger.Message{{To: messenger.Receiver, Body: messenger.Reply{ID: id, Answer: answer}}}
}

// handleAttemptResult handles the end of an attempt. It returns the request to the
// placer for a retry, or answers it and completes its claim.
func (s State) handleAttemptResult(x messenger.AttemptResult) (State, []messenger.Message) {
	if s.cfg.RetryIncomplete && x.Kind == messenger.IncompleteResponse {
		x.Kind = messenger.RequestNotSent
	}
	decision := Evaluate(x)
	if decision.Retry {
		if x.Kind == messenger.IncompleteResponse || x.Kind == messenger.ResponseTimeout {
			x.Request = x.Request.WithUnansweredAttempt()
		}
		return s, []messenger.Message{{To: messenger.Placer, Body: messenger.RetryRequest{Result: x, EndpointFailed: decision.EndpointFailed}}}
	}
	out := []messenger.Message{{To: messenger.Placer, Body: messenger.RequestDone{Result: x, EndpointFailed: decision.EndpointFailed}}}
	if x.Request.Claimed {
		out = append(out, messenger.Message{To: messenger.Claimer, Body: messenger.CompleteClaim{Request: x.Request, Answer: decision.Answer}})
	}
	s, replies := s.reply(x.Request.ID, decision.Answer)
	return s, append(replies, out...)
}
