// Package answerer judges how attempts went and answers every request once.
package answerer

import (
	"time"

	"github.com/benbjohnson/immutable"

	"laburnumwind/messenger"
)

// Config describes an answerer.
type Config struct {
	Hopeful bool // for proofs: an attempt of which no answer came counts as one that did not start
}

// State is the immutable value of an answerer.
type State struct {
	cfg  Config
	open *immutable.Map[uint64, bool] // requests without an answer
}

// NewState returns an answerer without requests.
func NewState(cfg Config) State {
	return State{cfg: cfg, open: immutable.NewMap[uint64, bool](nil)}
}

// Step takes one message.
func (s State) Step(_ time.Time, body any) (State, []messenger.Message) {
	switch m := body.(type) {
	case messenger.Open:
		s.open = s.open.Set(m.ID, true)
	case messenger.Cancel:
		s.open = s.open.Delete(m.ID)
	case messenger.Close:
		return s.reply(m.Request.ID, m.Answer)
	case messenger.Exchange:
		return s.exchange(m)
	}
	return s, nil
}

func (s State) reply(id uint64, answer messenger.Answer) (State, []messenger.Message) {
	_, ok := s.open.Get(id)
	if !ok {
		return s, []messenger.Message{{To: messenger.Reporter, Body: messenger.Decision{
			Stage:   messenger.Answerer,
			What:    "late answer",
			Request: id,
			Reason:  "nobody waits for it any more",
		}}}
	}
	s.open = s.open.Delete(id)
	return s, []messenger.Message{{To: messenger.Receiver, Body: messenger.Reply{ID: id, Answer: answer}}}
}

func (s State) exchange(x messenger.Exchange) (State, []messenger.Message) {
	if s.cfg.Hopeful && x.Kind == messenger.Cut {
		x.Kind = messenger.Unsent
	}
	v := Judge(x)
	if v.Again {
		if x.Kind == messenger.Cut || x.Kind == messenger.Late {
			x.Request = x.Request.WithBreak()
		}
		return s, []messenger.Message{{To: messenger.Placer, Body: messenger.Replace{Exchange: x, Failed: v.Failed}}}
	}
	out := []messenger.Message{{To: messenger.Placer, Body: messenger.Done{Exchange: x, Failed: v.Failed}}}
	if x.Request.Claimed {
		out = append(out, messenger.Message{To: messenger.Claimer, Body: messenger.Settle{Request: x.Request, Answer: v.Answer}})
	}
	s, replies := s.reply(x.Request.ID, v.Answer)
	return s, append(replies, out...)
}
