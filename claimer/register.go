// Package claimer ensures that a request with an idempotency key starts at most
// once, unless it is idempotent. Claims is the replicated state machine of the
// claims; State is the stage of an entry instance that proposes them.
package claimer

import (
	"fmt"
	"strings"
	"time"

	"github.com/benbjohnson/immutable"

	"laburnumwind/messenger"
)

const (
	// Retention is how long a key and its answer are kept after the claim.
	Retention = 24 * time.Hour
	// MaxKeptBody is the maximum size of an answer body kept for replay, in bytes.
	MaxKeptBody = 64 << 10
	// MaxTombstones is the maximum number of expired keys kept to refuse their
	// reuse. A key that contains a time needs no tombstone, since its time alone
	// shows that it has expired.
	MaxTombstones = 1 << 20
	// MaxKeySkew is how far the time in a key may be ahead of the log's time. It
	// allows for callers whose clocks are ahead.
	MaxKeySkew = 5 * time.Minute
	// MaxClaimDeadline is the maximum time from a claim to its deadline. After the
	// deadline the leader revokes the attempt at its endpoint, which returns the
	// outcome if the attempt has started. The deadline comes from the clock of the
	// entry instance, which may be wrong: without this bound, an instance whose clock
	// is a day ahead and that then fails would leave its key in progress for a day.
	// A deadline that is too early does no harm, since a revocation does not stop an
	// attempt that is already running.
	MaxClaimDeadline = 10 * time.Minute

	// maxExpiredPerCommand is the maximum number of claims that one command expires.
	// It bounds the work of a command. A command adds at most one claim, so the
	// queue of expired claims still gets shorter.
	maxExpiredPerCommand = 4
)

// ClaimState is the state of the request that claimed a key.
type ClaimState int

// The states of a claim.
const (
	InProgress ClaimState = iota + 1
	NotStarted            // no attempt has started or ever will; the key may be claimed again
	Settled               // the request ended with an answer
	Unknown               // an attempt may have run, so no other may start
	Expired               // the answer is deleted; the key is kept as a tombstone
)

// Claim is the record of an idempotency key.
type Claim struct {
	Customer  string
	Key       string
	Digest    string // hash of the request, to detect a key reused for another one
	State     ClaimState
	Attempt   int    // number of the attempt that holds the key, counted from 1
	AttemptID string // ID of the attempt at its endpoint
	Endpoint  messenger.Endpoint
	At        time.Time        // log time of the ClaimFirst command that was granted last
	Deadline  time.Time        // after it, the leader revokes the attempt or gets its outcome from the endpoint
	Answer    messenger.Answer // stored answer, if the claim is settled
	BodyKept  bool             // the body of the answer is stored, since it is no larger than MaxKeptBody
}

// Kind is the kind of a command.
type Kind int

// The kinds of command.
const (
	ClaimFirst Kind = iota + 1 // claims a key for the first attempt of a request
	ClaimRetry                 // claims a key for the next attempt, after one that did not start
	SettleKey                  // records the outcome of a request
)

// Command is one entry of the claims log.
type Command struct {
	Kind      Kind
	Customer  string
	Key       string
	Digest    string
	AttemptID string
	Previous  string // for ClaimRetry: ID of the attempt that did not start
	Endpoint  messenger.Endpoint
	Deadline  time.Time
	Answer    messenger.Answer // for SettleKey
}

// Code is the outcome of a command.
type Code int

// The outcomes of a command.
const (
	Granted        Code = iota + 1 // the key is claimed for the attempt, or the outcome is recorded
	StillRunning                   // another request with the key is in progress
	AlreadySettled                 // the result holds the answer
	OutcomeUnknown                 // an attempt with the key may have run
	DigestMismatch                 // the key was used for a request with another digest
	KeyExpired                     // the key is past its retention, or its time is too far ahead
	Stale                          // the attempt does not hold the key, or its outcome is already recorded
)

// Result is the outcome of a command, with the stored answer if there is one.
type Result struct {
	Code     Code
	Attempt  int
	Answer   messenger.Answer
	BodyKept bool
}

// Claims is the immutable state that the claims log produces.
type Claims struct {
	now         time.Time
	claims      *immutable.Map[string, Claim]      // by claimKey
	running     *immutable.SortedMap[string, bool] // claim keys of the claims in progress
	expiryQueue *immutable.List[string]            // claim keys in the order of their first claim
	tombstones  *immutable.List[string]            // claim keys of the expired claims, oldest first
	noExclusion bool                               // for experiments: a key that is already claimed is granted again
}

// NewClaims returns a state without claims.
func NewClaims() Claims {
	return Claims{
		claims:      immutable.NewMap[string, Claim](nil),
		running:     immutable.NewSortedMap[string, bool](nil),
		expiryQueue: immutable.NewList[string](),
		tombstones:  immutable.NewList[string](),
	}
}

// WithoutExclusion returns claims that grant keys that are already claimed.
// Experiments use it to show that the exclusion is needed.
func (g Claims) WithoutExclusion() Claims {
	g.noExclusion = true
	return g
}

// Len returns the number of keys, including tombstones.
func (g Claims) Len() int { return g.claims.Len() }

// Claim returns the claim of a customer's key.
func (g Claims) Claim(customer, key string) (Claim, bool) {
	return g.claims.Get(claimKey(customer, key))
}

// Running returns the claims in progress, sorted by customer and key.
func (g Claims) Running() []Claim {
	out := make([]Claim, 0, g.running.Len())
	for it := g.running.Iterator(); !it.Done(); {
		key, _, _ := it.Next()
		c, _ := g.claims.Get(key)
		out = append(out, c)
	}
	return out
}

// claimKey returns the key of a claim in the maps of Claims. Two customers may use the
// same idempotency key.
func claimKey(customer, key string) string { return customer + "\x00" + key }

// Apply returns the claims after one command, and the result of the command.
// now is the timestamp of the log entry. A timestamp before that of an earlier
// command is raised to it, since the clocks of two leaders may differ.
func (g Claims) Apply(now time.Time, c Command) (Claims, Result) {
	if now.Before(g.now) {
		now = g.now
	}
	g.now = now
	g = g.expire(now)
	existing, ok := g.claims.Get(claimKey(c.Customer, c.Key))
	switch c.Kind {
	case ClaimFirst:
		return g.claimFirst(now, c, existing, ok)
	case ClaimRetry:
		return g.claimRetry(c, existing, ok)
	case SettleKey:
		return g.settle(c, existing, ok)
	}
	return g, Result{Code: Stale}
}

// claimFirst claims a key for the first attempt of a request, unless the key is
// expired or another request claimed it.
func (g Claims) claimFirst(now time.Time, c Command, existing Claim, ok bool) (Claims, Result) {
	keyTime, hasTime := KeyTime(c.Key)
	if hasTime && (now.Sub(keyTime) > Retention || keyTime.Sub(now) > MaxKeySkew) {
		return g, Result{Code: KeyExpired}
	}
	if !ok {
		g.expiryQueue = g.expiryQueue.Append(claimKey(c.Customer, c.Key))
		return g.grant(now, c, Claim{At: now})
	}
	if g.noExclusion {
		return g.grant(now, c, existing)
	}
	if existing.State == Expired {
		return g, Result{Code: KeyExpired}
	}
	if existing.Digest != c.Digest {
		return g, Result{Code: DigestMismatch}
	}
	switch existing.State {
	case NotStarted:
		return g.grant(existing.At, c, existing) // the retention counts from the first claim, in the order of the expiry queue
	case Settled:
		return g, Result{Code: AlreadySettled, Answer: existing.Answer, BodyKept: existing.BodyKept}
	case Unknown:
		return g, Result{Code: OutcomeUnknown}
	}
	if existing.AttemptID == c.AttemptID { // the proposer sent the command again
		return g, Result{Code: Granted, Attempt: existing.Attempt}
	}
	return g, Result{Code: StillRunning}
}

// claimRetry claims a key for the next attempt of the request that holds it. The
// command names the attempt that did not start; if another attempt holds the key,
// the command is stale.
func (g Claims) claimRetry(c Command, existing Claim, ok bool) (Claims, Result) {
	if !ok || existing.State != InProgress {
		return g, Result{Code: Stale}
	}
	if existing.AttemptID == c.AttemptID {
		return g, Result{Code: Granted, Attempt: existing.Attempt}
	}
	if existing.AttemptID != c.Previous {
		return g, Result{Code: Stale}
	}
	return g.grant(existing.At, c, existing)
}

// grant claims a key for the next attempt after that of the existing claim.
func (g Claims) grant(at time.Time, c Command, existing Claim) (Claims, Result) {
	claim := Claim{
		Customer:  c.Customer,
		Key:       c.Key,
		Digest:    c.Digest,
		State:     InProgress,
		Attempt:   existing.Attempt + 1,
		AttemptID: c.AttemptID,
		Endpoint:  c.Endpoint,
		At:        at,
		Deadline:  earlier(c.Deadline, g.now.Add(MaxClaimDeadline)),
	}
	g = g.withClaim(claim)
	return g, Result{Code: Granted, Attempt: claim.Attempt}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// settle records the outcome of the attempt that holds a key. A refused attempt
// did not start, so the key may be claimed again. If the outcome was recorded as
// unknown before, an attempt may have run, and a refusal is ignored.
func (g Claims) settle(c Command, existing Claim, ok bool) (Claims, Result) {
	unsettled := existing.State == InProgress || existing.State == Unknown
	if !ok || existing.AttemptID != c.AttemptID || !unsettled {
		return g, Result{Code: Stale}
	}
	switch c.Answer.Outcome {
	case messenger.Refused:
		if existing.State == Unknown {
			return g, Result{Code: Stale}
		}
		existing.State = NotStarted
	case messenger.Uncertain:
		existing.State = Unknown
	default:
		existing.State = Settled
		existing.Answer = c.Answer
		existing.BodyKept = len(c.Answer.Body) <= MaxKeptBody
		if !existing.BodyKept {
			existing.Answer.Body = nil
		}
	}
	return g.withClaim(existing), Result{Code: Granted, Attempt: existing.Attempt}
}

func (g Claims) withClaim(c Claim) Claims {
	key := claimKey(c.Customer, c.Key)
	g.claims = g.claims.Set(key, c)
	if c.State == InProgress {
		g.running = g.running.Set(key, true)
	} else {
		g.running = g.running.Delete(key)
	}
	return g
}

// expire expires the oldest claims that are past their retention. The claims behind
// a key whose time is ahead expire after it, at most MaxKeySkew late.
func (g Claims) expire(now time.Time) Claims {
	for range maxExpiredPerCommand {
		if g.expiryQueue.Len() == 0 {
			return g
		}
		key := g.expiryQueue.Get(0)
		c, ok := g.claims.Get(key)
		if ok && now.Sub(c.retainedFrom()) <= Retention {
			return g
		}
		g.expiryQueue = g.expiryQueue.Slice(1, g.expiryQueue.Len())
		g = g.expireClaim(key, c)
	}
	return g
}

// retainedFrom returns the time from which the retention of a claim counts: its first claim or, if that is later,
// the time in its key. The claim is kept as long as claimFirst accepts its key.
func (c Claim) retainedFrom() time.Time {
	keyTime, hasTime := KeyTime(c.Key)
	if hasTime && keyTime.After(c.At) {
		return keyTime
	}
	return c.At
}

// expireClaim deletes the claim of a key that contains a time, since claimFirst
// refuses such a key once its time is past the retention. Any other key is kept as
// a tombstone.
func (g Claims) expireClaim(key string, c Claim) Claims {
	g.running = g.running.Delete(key)
	_, hasTime := KeyTime(c.Key)
	if hasTime {
		g.claims = g.claims.Delete(key)
		return g
	}
	g.claims = g.claims.Set(key, Claim{Customer: c.Customer, Key: c.Key, State: Expired, At: c.At})
	g.tombstones = g.tombstones.Append(key)
	if g.tombstones.Len() > MaxTombstones {
		g.claims = g.claims.Delete(g.tombstones.Get(0))
		g.tombstones = g.tombstones.Slice(1, g.tombstones.Len())
	}
	return g
}

// KeyTime returns the time that a key contains if it is a UUID of version 7, and
// false for any other key.
func KeyTime(key string) (time.Time, bool) {
	const length, versionIndex = 36, 14
	if len(key) != length || key[8] != '-' || key[13] != '-' || key[versionIndex] != '7' {
		return time.Time{}, false
	}
	var ms int64
	_, err := fmt.Sscanf(strings.ToLower(key[:8]+key[9:13]), "%x", &ms)
	if err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(ms), true
}

// Snapshot holds the claims in exported fields, as they are written to the snapshots of
// the log. The switch for experiments is not part of it.
type Snapshot struct {
	Now        time.Time
	Claims     []Claim // in the order of their first claim
	Tombstones []Claim // oldest first
}

// Snapshot returns a snapshot of the claims.
func (g Claims) Snapshot() Snapshot {
	snapshot := Snapshot{Now: g.now}
	for it := g.expiryQueue.Iterator(); !it.Done(); {
		_, key := it.Next()
		c, ok := g.claims.Get(key)
		if ok {
			snapshot.Claims = append(snapshot.Claims, c)
		}
	}
	for it := g.tombstones.Iterator(); !it.Done(); {
		_, key := it.Next()
		c, _ := g.claims.Get(key)
		snapshot.Tombstones = append(snapshot.Tombstones, c)
	}
	return snapshot
}

// FromSnapshot returns the claims that a snapshot holds.
func FromSnapshot(snapshot Snapshot) Claims {
	g := NewClaims()
	g.now = snapshot.Now
	for _, c := range snapshot.Claims {
		g.expiryQueue = g.expiryQueue.Append(claimKey(c.Customer, c.Key))
		g = g.withClaim(c)
	}
	for _, c := range snapshot.Tombstones {
		key := claimKey(c.Customer, c.Key)
		g.claims = g.claims.Set(key, c)
		g.tombstones = g.tombstones.Append(key)
	}
	return g
}
