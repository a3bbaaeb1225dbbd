// Package emulator implements an endpoint for tests and demonstrations: an HTTP server
// that follows the endpoint contract (announcements, epochs, refusals and revocations),
// echoes each request and can inject faults. State implements the contract without I/O, so
// that package experimenter can run it on simulated time.
package emulator

import (
	"time"

	"github.com/benbjohnson/immutable"

	"laburnumwind/announcer"
	"laburnumwind/forwarder"
	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// outcomeRetention is the minimum time for which an attempt that is revoked or finished
// is kept, so that a duplicate or a revocation of it is recognized.
const outcomeRetention = time.Hour

// attempt is the recorded state of an attempt.
type attempt struct {
	state string                // StateRunning, StateFinished or StateRevoked of package forwarder
	reply forwarder.RevokeReply // outcome of a finished attempt
	at    time.Time             // time of the last change
}

// State is the immutable state of an endpoint under the endpoint contract.
type State struct {
	incarnation        uint64
	slots              int
	epoch              uint64
	instanceState      string
	pool               string
	running            int
	leaving            bool
	attempts           *immutable.Map[string, attempt] // by attempt ID
	attemptIDs         *immutable.List[string]         // keys of attempts in the order of arrival
	ignoreEpochs       bool                            // set in tests: epochs are not checked
	acceptWhileLeaving bool                            // set in tests: attempts are accepted while leaving
}

// NewState returns the state of an endpoint that has just started and belongs to no pool.
func NewState(incarnation uint64, slots int) State {
	return State{
		incarnation:   incarnation,
		slots:         slots,
		instanceState: keeper.Unknown.String(),
		attempts:      immutable.NewMap[string, attempt](nil),
		attemptIDs:    immutable.NewList[string](),
	}
}

// WithoutEpochs returns the state with the epoch check disabled. Tests use it to show
// that the check is needed.
func (s State) WithoutEpochs() State {
	s.ignoreEpochs = true
	return s
}

// WithoutRefusals returns the state of an endpoint that accepts attempts while it
// leaves. Tests use it to show that the refusal is needed.
func (s State) WithoutRefusals() State {
	s.acceptWhileLeaving = true
	return s
}

// Call holds the parameters of an attempt from an entry instance.
type Call struct {
	Attempt    string
	Instance   string
	Epoch      uint64
	AtMostOnce bool // a duplicate of the attempt must not start
	Deadline   time.Time
}

// Begin starts an attempt and returns an empty reason, or rejects it and returns the
// reason. A rejected attempt has not started and never will, unless the reason is
// DuplicateAttempt, which means that it has started before. The given instance is the
// instance of this endpoint; attempts for another instance are rejected. An attempt with a
// higher epoch makes the endpoint serve in that epoch, since the attempt may arrive before
// the announcement reply with that epoch.
func (s State) Begin(now time.Time, instance string, c Call) (State, messenger.NotStartedReason) {
	s = s.removeExpired(now)
	known, ok := s.attempts.Get(c.Attempt)
	switch {
	case s.leaving && !s.acceptWhileLeaving:
		return s, messenger.EndpointLeaving
	case c.Instance != instance || c.Epoch < s.epoch && !s.ignoreEpochs:
		return s, messenger.WrongEpoch
	case ok && known.state == forwarder.StateRevoked:
		return s, messenger.AttemptRevoked
	case ok && c.AtMostOnce:
		return s, messenger.DuplicateAttempt
	case c.Epoch > s.epoch:
		s.epoch = c.Epoch
		s.instanceState = keeper.Serving.String()
	case s.instanceState != keeper.Serving.String() && !s.ignoreEpochs:
		return s, messenger.WrongEpoch
	}
	if s.running >= s.slots {
		return s, messenger.SlotsFull
	}
	s.running++
	return s.withAttempt(now, c.Attempt, attempt{state: forwarder.StateRunning, at: now}), ""
}

// End records the outcome of an attempt and frees its slot.
func (s State) End(now time.Time, id string, reply forwarder.RevokeReply) State {
	s.running--
	reply.State = forwarder.StateFinished
	return s.withAttempt(now, id, attempt{state: forwarder.StateFinished, reply: reply, at: now})
}

// Revoke ensures that an attempt never starts, and returns its state. If the attempt has
// started already, it continues; once it has finished, the reply contains its outcome.
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

// WithReply returns the state after an entry instance's reply to an announcement. If the
// reply has the endpoint's incarnation and a newer epoch, the endpoint adopts the instance
// state, pool and epoch of the reply. A higher incarnation in the reply means that the clock,
// from which incarnations are taken, was set back since the last start. An endpoint that has
// recorded no attempts then takes an incarnation above it. Any other reply is ignored.
func (s State) WithReply(r announcer.Reply) State {
	if r.Incarnation > s.incarnation && s.attempts.Len() == 0 {
		s.incarnation = r.Incarnation + 1
		return s
	}
	if r.Incarnation != s.incarnation || r.Epoch <= s.epoch {
		return s
	}
	s.epoch = r.Epoch
	s.instanceState = r.State
	s.pool = r.Pool
	return s
}

// WithLeaving returns the state of an endpoint that shuts down: it accepts no new
// attempts.
func (s State) WithLeaving() State {
	s.leaving = true
	return s
}

// Running returns the number of slots in use.
func (s State) Running() int { return s.running }

// IsEmpty reports whether no attempt is running and, because the endpoint is leaving or
// draining, none will start in its current epoch.
func (s State) IsEmpty() bool {
	return s.running == 0 && (s.leaving || s.instanceState == keeper.Draining.String())
}

// withAttempt returns the state with an attempt added or replaced.
func (s State) withAttempt(now time.Time, id string, a attempt) State {
	_, known := s.attempts.Get(id)
	if !known {
		s.attemptIDs = s.attemptIDs.Append(id)
	}
	a.at = now
	s.attempts = s.attempts.Set(id, a)
	return s
}

// removeExpired removes attempts that have not changed for outcomeRetention, in the order
// of their arrival. It removes at most maxPerCall attempts to bound the work of a call, and
// stops at the first attempt that is running or has not expired.
func (s State) removeExpired(now time.Time) State {
	const maxPerCall = 2
	for range maxPerCall {
		if s.attemptIDs.Len() == 0 {
			return s
		}
		id := s.attemptIDs.Get(0)
		a, _ := s.attempts.Get(id)
		if a.state == forwarder.StateRunning || now.Sub(a.at) < outcomeRetention {
			return s
		}
		s.attemptIDs = s.attemptIDs.Slice(1, s.attemptIDs.Len())
		s.attempts = s.attempts.Delete(id)
	}
	return s
}

// Epoch returns the epoch that the endpoint holds.
func (s State) Epoch() uint64 { return s.epoch }
