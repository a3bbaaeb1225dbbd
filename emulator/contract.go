// Package emulator is a stand-in for an endpoint: it keeps the endpoints' contract and has fault switches.
package emulator

import (
	"time"

	"github.com/benbjohnson/immutable"

	"laburnumwind/announcer"
	"laburnumwind/forwarder"
	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// retention is how long the outcome of an attempt is kept.
const retention = time.Hour

// attempt is what the endpoint knows of an attempt.
type attempt struct {
	state string // one of the states of a forwarder.RevokeReply
	reply forwarder.RevokeReply
	at    time.Time
}

// State is the immutable value of an endpoint's contract.
type State struct {
	incarnation uint64
	slots       int
	epoch       uint64
	place       string
	pool        string
	running     int
	leaving     bool
	attempts    *immutable.Map[string, attempt]
	order       *immutable.List[string]
	anyEpoch    bool // for proofs: epochs are not looked at
	obliging    bool // for proofs: work is taken while leaving
}

// NewState returns an endpoint that just started and belongs to no pool yet.
func NewState(incarnation uint64, slots int) State {
	return State{
		incarnation: incarnation,
		slots:       slots,
		place:       keeper.Unknown.String(),
		attempts:    immutable.NewMap[string, attempt](nil),
		order:       immutable.NewList[string](),
	}
}

// WithoutEpochs returns the endpoint with its mechanism off, to show that it is needed.
func (s State) WithoutEpochs() State {
	s.anyEpoch = true
	return s
}

// WithoutRefusals returns the endpoint with its mechanism off: it takes work while it leaves.
func (s State) WithoutRefusals() State {
	s.obliging = true
	return s
}

// Call is what an entry instance says with an attempt.
type Call struct {
	Attempt  string
	Instance string
	Epoch    uint64
	Once     bool // it must not start twice
	Deadline time.Time
}

// Begin starts an attempt, or says why it does not start and never will.
func (s State) Begin(now time.Time, instance string, c Call) (State, messenger.NotStartedReason) {
	s = s.forget(now)
	known, ok := s.attempts.Get(c.Attempt)
	switch {
	case s.leaving && !s.obliging:
		return s, messenger.IsLeaving
	case c.Instance != instance || c.Epoch < s.epoch && !s.anyEpoch:
		return s, messenger.WrongEpoch
	case ok && known.state == forwarder.StateRevoked:
		return s, messenger.IsRevoked
	case ok && c.Once:
		return s, messenger.WasDuplicate
	case c.Epoch > s.epoch:
		s.epoch = c.Epoch
		s.place = keeper.Serving.String()
	case s.place != keeper.Serving.String() && !s.anyEpoch:
		return s, messenger.WrongEpoch
	}
	if s.running >= s.slots {
		return s, messenger.SlotsFull
	}
	s.running++
	return s.withAttempt(now, c.Attempt, attempt{state: forwarder.StateRunning, at: now}), ""
}

// End records the outcome of an attempt.
func (s State) End(now time.Time, id string, reply forwarder.RevokeReply) State {
	s.running--
	reply.State = forwarder.StateFinished
	return s.withAttempt(now, id, attempt{state: forwarder.StateFinished, reply: reply, at: now})
}

// Revoke makes sure that an attempt never starts, or tells what it came to.
func (s State) Revoke(now time.Time, id string) (State, forwarder.RevokeReply) {
	known, ok := s.attempts.Get(id)
	if !ok {
		known = attempt{state: forwarder.StateRevoked, at: now}
		s = s.withAttempt(now, id, known)
	}
	reply := known.reply
	reply.State = known.state
	reply.Incarnation = s.incarnation
	return s, reply
}

// Adopt takes what an entry instance says of the endpoint's place.
func (s State) Adopt(r announcer.Reply) State {
	if r.Incarnation > s.incarnation && s.attempts.Len() == 0 {
		s.incarnation = r.Incarnation + 1 // the clock went back since the last start
		return s
	}
	if r.Incarnation != s.incarnation || r.Epoch <= s.epoch {
		return s
	}
	s.epoch = r.Epoch
	s.place = r.Place
	s.pool = r.Pool
	return s
}

// WithLeaving returns the endpoint taking no new work.
func (s State) WithLeaving() State {
	s.leaving = true
	return s
}

// Running is the number of slots in use.
func (s State) Running() int { return s.running }

// IsEmpty tells whether nothing is in progress and nothing will be under this epoch.
func (s State) IsEmpty() bool {
	return s.running == 0 && (s.leaving || s.place == keeper.Draining.String())
}

func (s State) withAttempt(now time.Time, id string, a attempt) State {
	_, known := s.attempts.Get(id)
	if !known {
		s.order = s.order.Append(id)
	}
	a.at = now
	s.attempts = s.attempts.Set(id, a)
	return s
}

// forget drops outcomes after their retention, a few at each call.
func (s State) forget(now time.Time) State {
	const atOnce = 2
	for range atOnce {
		if s.order.Len() == 0 {
			return s
		}
		id := s.order.Get(0)
		a, _ := s.attempts.Get(id)
		if a.state == forwarder.StateRunning || now.Sub(a.at) < retention {
			return s
		}
		s.order = s.order.Slice(1, s.order.Len())
		s.attempts = s.attempts.Delete(id)
	}
	return s
}

// Epoch is the epoch that the endpoint holds.
func (s State) Epoch() uint64 { return s.epoch }
