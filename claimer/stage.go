package claimer

import (
	"fmt"
	"time"

	"github.com/benbjohnson/immutable"

	"laburnumwind/messenger"
)

// Config holds the settings of the stage.
type Config struct {
	// Entry is the prefix of the attempt IDs. It identifies the entry instance and the
	// present run of its process, so that no ID of an earlier run is used again.
	Entry string
	// Wait is how long a claim may take before its request is refused, and the
	// minimum time between two revocations of one attempt.
	Wait       time.Duration
	Resend     time.Duration // minimum time between two sends of a command that has no result
	Grace      time.Duration // time after the deadline of a claim before its attempt is revoked
	RetryAfter time.Duration // how long a refused caller should wait before it retries
}

// WithDefaults returns the settings with defaults in place of zero values.
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

// ProposeClaim proposes a command to the claims log.
type ProposeClaim struct {
	ProposalID uint64 // repeated in the ClaimProposalResult
	Command    Command
}

// ClaimProposalResult is the result of the ProposeClaim with the same ProposalID.
type ClaimProposalResult struct {
	ProposalID uint64
	Result     Result
	Failed     bool // no leader accepted the command, so it was not proposed
}

// ClaimsView gives the stage the claims. It is sent when this instance becomes
// the leader of the claims log, at each change while it leads, and when it stops
// leading.
type ClaimsView struct {
	Claims   Claims
	IsLeader bool
}

// Tick intervals of the stage: busy while commands are pending or claims may
// need a revocation, idle otherwise.
const (
	busyTickInterval = 100 * time.Millisecond
	idleTickInterval = time.Second
)

// settleTimeout is the maximum time for which the stage repeats a settlement that
// has no result. After that, the sweep of the leader settles the claim. It is also
// how long the time of a revocation is kept.
const settleTimeout = time.Minute

// pendingCommand is a command without a result.
type pendingCommand struct {
	proposalID uint64
	command    Command
	request    messenger.Request // the request of a claim; zero for a settlement
	startedAt  time.Time
	sentAt     time.Time
}

// State is the immutable state of the stage.
type State struct {
	cfg            Config
	lastProposalID uint64
	pending        *immutable.SortedMap[uint64, pendingCommand]
	claims         Claims
	isLeader       bool
	revokesSent    *immutable.Map[string, time.Time] // time of the last revocation of each attempt, by its ID
}

// NewState returns a stage without claims. Its proposal IDs count up from lastProposalID;
// they must differ from those of earlier runs, whose results may still arrive.
func NewState(cfg Config, lastProposalID uint64) State {
	return State{
		cfg:            cfg.WithDefaults(),
		lastProposalID: lastProposalID,
		pending:        immutable.NewSortedMap[uint64, pendingCommand](nil),
		claims:         NewClaims(),
		revokesSent:    immutable.NewMap[string, time.Time](nil),
	}
}

// WakeAt returns the time at which the stage needs its next tick.
func (s State) WakeAt(now time.Time) time.Time {
	interval := idleTickInterval
	if s.pending.Len() > 0 || s.revokesSent.Len() > 0 || (s.isLeader && s.claims.running.Len() > 0) {
		interval = busyTickInterval
	}
	return messenger.NextTick(now, interval)
}

// AttemptID returns the ID of a request's current attempt at its endpoint.
func AttemptID(entry string, r messenger.Request) string {
	return fmt.Sprintf("%s-%d-%d", entry, r.ID, r.Attempt)
}

// Step processes one message. It returns the next state and the messages to send.
func (s State) Step(now time.Time, body any) (State, []messenger.Message) {
	t := &transition{state: s, now: now}
	switch m := body.(type) {
	case messenger.ClaimKey:
		t.proposeClaim(m.Request)
	case ClaimProposalResult:
		t.handleResult(m)
	case messenger.CompleteClaim:
		t.proposeSettlement(m.Request.Customer, m.Request.Key, AttemptID(s.cfg.Entry, m.Request), m.Answer)
	case messenger.RevokeResult:
		t.handleRevoked(m)
	case ClaimsView:
		t.state.claims, t.state.isLeader = m.Claims, m.IsLeader
	case messenger.CallerDisconnected:
		t.handleDisconnect(m.ID)
	case messenger.Tick:
		t.resendPending()
		t.sweep()
	}
	return t.state, t.Messages
}

// transition collects the next state and the messages to send while one message is
// processed.
type transition struct {
	messenger.Outbox
	state State
	now   time.Time
}

// proposeClaim claims the key of a request for its current attempt.
func (t *transition) proposeClaim(r messenger.Request) {
	c := Command{
		Kind:      ClaimFirst,
		Customer:  r.Customer,
		Key:       r.Key,
		Digest:    r.Digest,
		AttemptID: AttemptID(t.state.cfg.Entry, r),
		Endpoint:  r.Endpoint,
		Deadline:  r.Deadline,
	}
	if r.Claimed {
		previous := r
		previous.Attempt--
		c.Kind = ClaimRetry
		c.Previous = AttemptID(t.state.cfg.Entry, previous)
	}
	t.propose(pendingCommand{command: c, request: r, startedAt: t.now})
}

func (t *transition) propose(p pendingCommand) {
	t.state.lastProposalID++
	p.proposalID = t.state.lastProposalID
	p.sentAt = t.now
	t.state.pending = t.state.pending.Set(p.proposalID, p)
	t.Send(messenger.Claims, ProposeClaim{ProposalID: p.proposalID, Command: p.command})
}

// handleResult forwards the attempt of a granted claim, and answers the request if
// the claim was not granted.
func (t *transition) handleResult(m ClaimProposalResult) {
	p, ok := t.state.pending.Get(m.ProposalID)
	if !ok || m.Failed { // a failed command is sent again by resendPending
		return
	}
	t.state.pending = t.state.pending.Delete(m.ProposalID)
	if p.command.Kind == SettleKey {
		return
	}
	if m.Result.Code == Granted {
		t.Send(messenger.Forwarder, messenger.SendAttempt{Request: p.request.WithClaim(p.request.Attempt)})
		return
	}
	t.closeNotStarted(p.request, t.denialAnswer(m.Result))
}

// denialAnswer returns the answer to a request whose claim was not granted.
func (t *transition) denialAnswer(r Result) messenger.Answer {
	switch r.Code {
	case AlreadySettled:
		answer := r.Answer
		answer.Replayed = true
		if !r.BodyKept {
			answer.Reason = messenger.AnswerNotStored
		}
		return answer
	case OutcomeUnknown:
		return messenger.Answer{Outcome: messenger.Uncertain, Reason: messenger.KeyUnknown, Status: messenger.StatusConflict}
	case DigestMismatch:
		return messenger.Refusal(messenger.KeyMismatch, messenger.StatusUnprocessableEntity, 0)
	case KeyExpired:
		return messenger.Refusal(messenger.KeyExpired, messenger.StatusGone, 0)
	}
	return messenger.Refusal(messenger.KeyInProgress, messenger.StatusConflict, t.state.cfg.RetryAfter)
}

// closeNotStarted answers a request whose attempt was not forwarded, and reports to
// the placer that the attempt did not start.
func (t *transition) closeNotStarted(r messenger.Request, answer messenger.Answer) {
	t.Send(messenger.Placer, messenger.RequestDone{Result: messenger.AttemptResult{Request: r, Kind: messenger.AttemptNotStarted, InUse: -1}})
	t.Send(messenger.Answerer, messenger.CloseRequest{Request: r, Answer: answer})
}

// proposeSettlement records the outcome of an attempt in the claims.
func (t *transition) proposeSettlement(customer, key, attemptID string, answer messenger.Answer) {
	t.propose(pendingCommand{startedAt: t.now, command: Command{
		Kind:      SettleKey,
		Customer:  customer,
		Key:       key,
		AttemptID: attemptID,
		Answer:    answer,
	}})
}

// resendPending sends commands without a result again, and abandons those that
// have timed out.
func (t *transition) resendPending() {
	for it := t.state.pending.Iterator(); !it.Done(); {
		_, p, _ := it.Next()
		if p.command.Kind == SettleKey {
			t.resendSettlement(p)
			continue
		}
		timedOut := t.now.Sub(p.startedAt) > t.state.cfg.Wait || !t.now.Before(p.request.Deadline)
		if timedOut {
			t.abandonClaim(p)
			continue
		}
		t.resendIfDue(p)
	}
}

// handleDisconnect abandons the pending claim of a request whose caller has
// disconnected.
func (t *transition) handleDisconnect(id uint64) {
	for it := t.state.pending.Iterator(); !it.Done(); {
		_, p, _ := it.Next()
		if p.command.Kind != SettleKey && p.request.ID == id {
			t.abandonClaim(p)
			return
		}
	}
}

func (t *transition) resendSettlement(p pendingCommand) {
	if t.now.Sub(p.startedAt) > settleTimeout {
		t.state.pending = t.state.pending.Delete(p.proposalID)
		return
	}
	t.resendIfDue(p)
}

func (t *transition) resendIfDue(p pendingCommand) {
	if t.now.Sub(p.sentAt) < t.state.cfg.Resend {
		return
	}
	p.sentAt = t.now
	t.state.pending = t.state.pending.Set(p.proposalID, p)
	t.Send(messenger.Claims, ProposeClaim{ProposalID: p.proposalID, Command: p.command})
}

// abandonClaim refuses a request whose claim has no result yet. The attempt is not
// forwarded even if the log grants the claim later, so a settlement records that it
// did not start. If the log does not grant the claim of a retry, the previous
// attempt still holds the key. It did not start either, and a second settlement
// records that.
func (t *transition) abandonClaim(p pendingCommand) {
	t.state.pending = t.state.pending.Delete(p.proposalID)
	answer := messenger.Refusal(messenger.NoQuorum, messenger.StatusServiceUnavailable, t.state.cfg.RetryAfter)
	t.closeNotStarted(p.request, answer)
	t.proposeSettlement(p.command.Customer, p.command.Key, p.command.AttemptID, answer)
	if p.command.Kind == ClaimRetry {
		t.proposeSettlement(p.command.Customer, p.command.Key, p.command.Previous, answer)
	}
}

// sweep revokes the attempts of claims that are past their deadline, since the
// entry instance that made the claims may have failed. Only the leader sweeps.
func (t *transition) sweep() {
	if !t.state.isLeader {
		return
	}
	for _, c := range t.state.claims.Running() {
		due := c.Deadline.Add(t.state.cfg.Grace)
		lastSent, _ := t.state.revokesSent.Get(c.AttemptID)
		if t.now.Before(due) || t.now.Sub(lastSent) < t.state.cfg.Wait {
			continue
		}
		t.state.revokesSent = t.state.revokesSent.Set(c.AttemptID, t.now)
		t.Send(messenger.Forwarder, messenger.RevokeAttempt{
			Customer: c.Customer,
			Key:      c.Key,
			Attempt:  c.Attempt,
			ID:       c.AttemptID,
			Endpoint: c.Endpoint,
		})
	}
	t.pruneRevokesSent()
}

// pruneRevokesSent forgets revocations older than settleTimeout.
func (t *transition) pruneRevokesSent() {
	for it := t.state.revokesSent.Iterator(); !it.Done(); {
		id, sentAt, _ := it.Next()
		if t.now.Sub(sentAt) > settleTimeout {
			t.state.revokesSent = t.state.revokesSent.Delete(id)
		}
	}
}

// handleRevoked settles a claim with the state of its attempt at the endpoint.
func (t *transition) handleRevoked(m messenger.RevokeResult) {
	answer := m.Answer
	switch m.State {
	case messenger.AttemptNeverStarts:
		answer = messenger.Refusal(messenger.ConnectionFailed, messenger.StatusServiceUnavailable, 0)
	case messenger.AttemptUnknown:
		answer = messenger.Answer{Outcome: messenger.Uncertain, Reason: messenger.KeyUnknown, Status: messenger.StatusConflict}
	case messenger.AttemptFinished:
	default:
		return // running or unreachable; a later sweep revokes it again
	}
	t.proposeSettlement(m.Attempt.Customer, m.Attempt.Key, m.Attempt.ID, answer)
}
