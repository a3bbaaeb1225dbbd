package claimer

import (
	"fmt"
	"time"

	"github.com/benbjohnson/immutable"

	"laburnumwind/messenger"
)

// Config describes the stage.
type Config struct {
	Entry      string        // name of this entry instance and of its run, for attempt IDs
	Wait       time.Duration // how long a claim may take before the request is refused
	Resend     time.Duration // time between two tries of the same proposal
	Grace      time.Duration // after the deadline of a claim, before it is looked into
	RetryAfter time.Duration
}

// WithDefaults fills in what is zero.
func (cfg Config) WithDefaults() Config {
	if cfg.Wait == 0 {
		cfg.Wait = 3 * time.Second
	}
	if cfg.Resend == 0 {
		cfg.Resend = 500 * time.Millisecond
	}
	if cfg.Grace == 0 {
		cfg.Grace = 2 * time.Second
	}
	if cfg.RetryAfter == 0 {
		cfg.RetryAfter = time.Second
	}
	return cfg
}

// Submit brings a command to the claims log.
type Submit struct {
	Ticket  uint64
	Command Command
}

// Submitted is what became of a command.
type Submitted struct {
	Ticket uint64
	Result Result
	Failed bool
}

// RegisterView is the present register, at its leader.
type RegisterView struct {
	Register Register
	Leads    bool
}

// Times between two ticks: with claims on their way or to look into, and without.
const (
	busyTick = 100 * time.Millisecond
	idleTick = time.Second
)

// settleTime is how long a settlement is tried; then the sweep finds its claim.
const settleTime = time.Minute

// pending is a command on its way.
type pending struct {
	ticket  uint64
	command Command
	request messenger.Request // of a claim
	began   time.Time
	sent    time.Time
}

// State is the immutable value of the stage.
type State struct {
	cfg      Config
	ticket   uint64
	pending  *immutable.SortedMap[uint64, pending]
	register Register
	leads    bool
	swept    *immutable.Map[string, time.Time]
}

// NewState returns a stage without claims. Tickets start at a number that no earlier run used.
func NewState(cfg Config, ticket uint64) State {
	return State{
		cfg:      cfg.WithDefaults(),
		ticket:   ticket,
		pending:  immutable.NewSortedMap[uint64, pending](nil),
		register: NewRegister(),
		swept:    immutable.NewMap[string, time.Time](nil),
	}
}

// WakeAt is when the stage wants its next tick.
func (s State) WakeAt(now time.Time) time.Time {
	every := idleTick
	if s.pending.Len() > 0 || s.swept.Len() > 0 || (s.leads && s.register.running.Len() > 0) {
		every = busyTick
	}
	return messenger.NextTick(now, every)
}

// AttemptID names an attempt of a request at its endpoint.
func AttemptID(entry string, r messenger.Request) string {
	return fmt.Sprintf("%s-%d-%d", entry, r.ID, r.Attempt)
}

// Step takes one message.
func (s State) Step(now time.Time, body any) (State, []messenger.Message) {
	t := &turn{state: s, now: now}
	switch m := body.(type) {
	case messenger.Claim:
		t.claim(m.Request)
	case Submitted:
		t.submitted(m)
	case messenger.Settle:
		t.settle(m.Request.Customer, m.Request.Key, AttemptID(s.cfg.Entry, m.Request), m.Answer)
	case messenger.Revoked:
		t.revoked(m)
	case RegisterView:
		t.state.register, t.state.leads = m.Register, m.Leads
	case messenger.Cancel:
		t.cancel(m.ID)
	case messenger.Tick:
		t.resend()
		t.sweep()
	}
	return t.state, t.Messages
}

type turn struct {
	messenger.Outbox
	state State
	now   time.Time
}

func (t *turn) claim(r messenger.Request) {
	c := Command{
		Kind:      Make,
		Customer:  r.Customer,
		Key:       r.Key,
		Digest:    r.Digest,
		AttemptID: AttemptID(t.state.cfg.Entry, r),
		Endpoint:  r.Endpoint,
		Deadline:  r.Deadline,
	}
	if r.Claimed {
		before := r
		before.Attempt--
		c.Kind = Again
		c.Previous = AttemptID(t.state.cfg.Entry, before)
	}
	t.submit(pending{command: c, request: r, began: t.now})
}

func (t *turn) submit(p pending) {
	t.state.ticket++
	p.ticket = t.state.ticket
	p.sent = t.now
	t.state.pending = t.state.pending.Set(p.ticket, p)
	t.Send(messenger.Claims, Submit{Ticket: p.ticket, Command: p.command})
}

func (t *turn) submitted(m Submitted) {
	p, ok := t.state.pending.Get(m.Ticket)
	if !ok || m.Failed { // a failed one is sent again
		return
	}
	t.state.pending = t.state.pending.Delete(m.Ticket)
	if p.command.Kind == SettleKey {
		return
	}
	if m.Result.Code == Granted {
		t.Send(messenger.Forwarder, messenger.Send{Request: p.request.WithClaim(p.request.Attempt)})
		return
	}
	t.close(p.request, t.denied(m.Result))
}

// denied is the answer to a request whose key was claimed before.
func (t *turn) denied(r Result) messenger.Answer {
	switch r.Code {
	case WasSettled:
		answer := r.Answer
		answer.Replayed = true
		if !r.Kept {
			answer.Reason = messenger.AnswerNotKept
		}
		return answer
	case WasUnknown:
		return messenger.Answer{Outcome: messenger.Uncertain, Reason: messenger.KeyUnknown, Status: messenger.StatusConflict}
	case WasMismatch:
		return messenger.Refusal(messenger.KeyMismatch, messenger.StatusUnprocessable, 0)
	case WasExpired:
		return messenger.Refusal(messenger.KeyExpired, messenger.StatusGone, 0)
	}
	return messenger.Refusal(messenger.KeyRunning, messenger.StatusConflict, t.state.cfg.RetryAfter)
}

// close ends a request of which this instance forwarded nothing under the claim.
func (t *turn) close(r messenger.Request, answer messenger.Answer) {
	t.Send(messenger.Placer, messenger.Done{Exchange: messenger.Exchange{Request: r, Kind: messenger.NotStarted, InUse: -1}})
	t.Send(messenger.Answerer, messenger.Close{Request: r, Answer: answer})
}

func (t *turn) settle(customer, key, attemptID string, answer messenger.Answer) {
	t.submit(pending{began: t.now, command: Command{
		Kind:      SettleKey,
		Customer:  customer,
		Key:       key,
		AttemptID: attemptID,
		Answer:    answer,
	}})
}

// resend tries again what was not answered, and gives up what took too long.
func (t *turn) resend() {
	for it := t.state.pending.Iterator(); !it.Done(); {
		_, p, _ := it.Next()
		if p.command.Kind == SettleKey {
			t.resendSettle(p)
			continue
		}
		late := t.now.Sub(p.began) > t.state.cfg.Wait || !t.now.Before(p.request.Deadline)
		if late {
			t.giveUp(p)
			continue
		}
		t.resendOne(p)
	}
}

func (t *turn) cancel(id uint64) {
	for it := t.state.pending.Iterator(); !it.Done(); {
		_, p, _ := it.Next()
		if p.command.Kind != SettleKey && p.request.ID == id {
			t.giveUp(p)
			return
		}
	}
}

func (t *turn) resendSettle(p pending) {
	if t.now.Sub(p.began) > settleTime {
		t.state.pending = t.state.pending.Delete(p.ticket)
		return
	}
	t.resendOne(p)
}

func (t *turn) resendOne(p pending) {
	if t.now.Sub(p.sent) < t.state.cfg.Resend {
		return
	}
	p.sent = t.now
	t.state.pending = t.state.pending.Set(p.ticket, p)
	t.Send(messenger.Claims, Submit{Ticket: p.ticket, Command: p.command})
}

// giveUp refuses a request whose claim is not known. Should it be granted yet,
// this instance never forwards it, and the settlement says so.
func (t *turn) giveUp(p pending) {
	t.state.pending = t.state.pending.Delete(p.ticket)
	answer := messenger.Refusal(messenger.NoQuorum, messenger.StatusUnavailable, t.state.cfg.RetryAfter)
	t.close(p.request, answer)
	t.settle(p.command.Customer, p.command.Key, p.command.AttemptID, answer)
	if p.command.Kind == Again {
		t.settle(p.command.Customer, p.command.Key, p.command.Previous, answer)
	}
}

// sweep looks into claims that should have ended: their entry instance may be gone.
func (t *turn) sweep() {
	if !t.state.leads {
		return
	}
	for _, c := range t.state.register.Running() {
		due := c.Deadline.Add(t.state.cfg.Grace)
		last, _ := t.state.swept.Get(c.AttemptID)
		if t.now.Before(due) || t.now.Sub(last) < t.state.cfg.Wait {
			continue
		}
		t.state.swept = t.state.swept.Set(c.AttemptID, t.now)
		t.Send(messenger.Forwarder, messenger.Revoke{
			Customer: c.Customer,
			Key:      c.Key,
			Attempt:  c.Attempt,
			ID:       c.AttemptID,
			Endpoint: c.Endpoint,
		})
	}
	t.forgetSwept()
}

func (t *turn) forgetSwept() {
	for it := t.state.swept.Iterator(); !it.Done(); {
		id, at, _ := it.Next()
		if t.now.Sub(at) > settleTime {
			t.state.swept = t.state.swept.Delete(id)
		}
	}
}

func (t *turn) revoked(m messenger.Revoked) {
	answer := m.Answer
	switch m.State {
	case messenger.NeverRun:
		answer = messenger.Refusal(messenger.Broken, messenger.StatusUnavailable, 0)
	case messenger.Forgotten:
		answer = messenger.Answer{Outcome: messenger.Uncertain, Reason: messenger.KeyUnknown, Status: messenger.StatusConflict}
	case messenger.Finished:
	default:
		return // asked again later
	}
	t.settle(m.Revoke.Customer, m.Revoke.Key, m.Revoke.ID, answer)
}
