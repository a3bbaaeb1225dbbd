// Package claimer sees to it that a keyed request that is not idempotent starts at most once.
// Register is the replicated record of the claims; State is the stage that makes them.
package claimer

import (
	"fmt"
	"strings"
	"time"

	"github.com/benbjohnson/immutable"

	"laburnumwind/messenger"
)

const (
	// Retention is how long a key and its answer are kept.
	Retention = 24 * time.Hour
	// MaxKept is the largest answer body that is kept for a repeat, in bytes.
	MaxKept = 64 << 10
	// MaxTombstones is how many expired keys without a time in them are remembered.
	MaxTombstones = 1 << 20
	// KeySkew is how far the clock of a caller may be ahead.
	KeySkew = 5 * time.Minute
	// AskAfter is when a claim is looked into at the latest. Its deadline is by the
	// clock of its entry instance, which may be wrong; asking an endpoint that
	// still runs it does no harm.
	AskAfter = 10 * time.Minute

	expirePerCommand = 4
)

// ClaimState is what is known of the request that claimed a key.
type ClaimState int

// The states of a claim.
const (
	InProgress ClaimState = iota + 1
	NotRun                // no attempt started or ever will: the key may be claimed again
	Settled               // with an answer
	Unknown               // an attempt may have run; none is ever started again
	Expired               // the answer is forgotten, the key is not
)

// Claim is the record of a key.
type Claim struct {
	Customer  string
	Key       string
	Digest    string
	State     ClaimState
	Attempt   int
	AttemptID string // the name of the attempt at its endpoint
	Endpoint  messenger.Endpoint
	At        time.Time
	Deadline  time.Time
	Answer    messenger.Answer
	Kept      bool // the answer's body was small enough to be kept
}

// Kind tells what a command asks for.
type Kind int

// The kinds of command.
const (
	Make      Kind = iota + 1 // claims a key for a first attempt
	Again                     // claims the next attempt, since the last one did not start
	SettleKey                 // records what the request came to
)

// Command is one entry of the claims log.
type Command struct {
	Kind      Kind
	Customer  string
	Key       string
	Digest    string
	AttemptID string
	Previous  string // of Again: the attempt that did not start
	Endpoint  messenger.Endpoint
	Deadline  time.Time
	Answer    messenger.Answer // of SettleKey
}

// Code is the outcome of a command.
type Code int

// The outcomes of a command.
const (
	Granted Code = iota + 1
	StillRunning
	WasSettled
	WasUnknown
	WasMismatch
	WasExpired
	Stale // another attempt holds the key
)

// Result is what a command came to.
type Result struct {
	Code    Code
	Attempt int
	Answer  messenger.Answer
	Kept    bool
}

// Register is the immutable value of the claims log.
type Register struct {
	now        time.Time
	claims     *immutable.Map[string, Claim]
	running    *immutable.SortedMap[string, bool]
	order      *immutable.List[string] // keys by their first claim, for expiry
	tombstones *immutable.List[string]
	anyClaim   bool // for proofs: every claim is granted
}

// NewRegister returns an empty register.
func NewRegister() Register {
	return Register{
		claims:     immutable.NewMap[string, Claim](nil),
		running:    immutable.NewSortedMap[string, bool](nil),
		order:      immutable.NewList[string](),
		tombstones: immutable.NewList[string](),
	}
}

// WithoutExclusion returns the register with its mechanism off, to show that it is needed.
func (g Register) WithoutExclusion() Register {
	g.anyClaim = true
	return g
}

// Len is the number of keys that are remembered.
func (g Register) Len() int { return g.claims.Len() }

// Claim returns the record of a key.
func (g Register) Claim(customer, key string) (Claim, bool) {
	return g.claims.Get(claimKey(customer, key))
}

// Running returns the claims in progress.
func (g Register) Running() []Claim {
	out := make([]Claim, 0, g.running.Len())
	for it := g.running.Iterator(); !it.Done(); {
		key, _, _ := it.Next()
		c, _ := g.claims.Get(key)
		out = append(out, c)
	}
	return out
}

func claimKey(customer, key string) string { return customer + "\x00" + key }

// Apply is the register after one command. The time is the log's.
func (g Register) Apply(now time.Time, c Command) (Register, Result) {
	if now.Before(g.now) {
		now = g.now
	}
	g.now = now
	g = g.expire(now)
	known, ok := g.claims.Get(claimKey(c.Customer, c.Key))
	switch c.Kind {
	case Make:
		return g.makeClaim(now, c, known, ok)
	case Again:
		return g.claimAgain(c, known, ok)
	case SettleKey:
		return g.settle(c, known, ok)
	}
	return g, Result{Code: Stale}
}

func (g Register) makeClaim(now time.Time, c Command, known Claim, ok bool) (Register, Result) {
	at, dated := KeyTime(c.Key)
	if dated && (now.Sub(at) > Retention || at.Sub(now) > KeySkew) {
		return g, Result{Code: WasExpired}
	}
	if !ok {
		g.order = g.order.Append(claimKey(c.Customer, c.Key))
		return g.grant(now, c, Claim{At: now})
	}
	if g.anyClaim {
		return g.grant(now, c, known)
	}
	if known.State == Expired {
		return g, Result{Code: WasExpired}
	}
	if known.Digest != c.Digest {
		return g, Result{Code: WasMismatch}
	}
	switch known.State {
	case NotRun:
		return g.grant(now, c, known)
	case Settled:
		return g, Result{Code: WasSettled, Answer: known.Answer, Kept: known.Kept}
	case Unknown:
		return g, Result{Code: WasUnknown}
	}
	if known.AttemptID == c.AttemptID { // the proposer lost the answer and asks again
		return g, Result{Code: Granted, Attempt: known.Attempt}
	}
	return g, Result{Code: StillRunning}
}

func (g Register) claimAgain(c Command, known Claim, ok bool) (Register, Result) {
	if !ok || known.State != InProgress {
		return g, Result{Code: Stale}
	}
	if known.AttemptID == c.AttemptID {
		return g, Result{Code: Granted, Attempt: known.Attempt}
	}
	if known.AttemptID != c.Previous {
		return g, Result{Code: Stale}
	}
	return g.grant(known.At, c, known)
}

func (g Register) grant(at time.Time, c Command, known Claim) (Register, Result) {
	claim := Claim{
		Customer:  c.Customer,
		Key:       c.Key,
		Digest:    c.Digest,
		State:     InProgress,
		Attempt:   known.Attempt + 1,
		AttemptID: c.AttemptID,
		Endpoint:  c.Endpoint,
		At:        at,
		Deadline:  earlier(c.Deadline, g.now.Add(AskAfter)),
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

func (g Register) settle(c Command, known Claim, ok bool) (Register, Result) {
	open := known.State == InProgress || known.State == Unknown
	if !ok || known.AttemptID != c.AttemptID || !open {
		return g, Result{Code: Stale}
	}
	switch c.Answer.Outcome {
	case messenger.Refused:
		if known.State == Unknown {
			return g, Result{Code: Stale}
		}
		known.State = NotRun
	case messenger.Uncertain:
		known.State = Unknown
	default:
		known.State = Settled
		known.Answer = c.Answer
		known.Kept = len(c.Answer.Body) <= MaxKept
		if !known.Kept {
			known.Answer.Body = nil
		}
	}
	return g.withClaim(known), Result{Code: Granted, Attempt: known.Attempt}
}

func (g Register) withClaim(c Claim) Register {
	key := claimKey(c.Customer, c.Key)
	g.claims = g.claims.Set(key, c)
	if c.State == InProgress {
		g.running = g.running.Set(key, true)
	} else {
		g.running = g.running.Delete(key)
	}
	return g
}

// expire forgets answers after their retention. A key with a time in it can be
// refused by that; of any other key the bare name is kept.
func (g Register) expire(now time.Time) Register {
	for range expirePerCommand {
		if g.order.Len() == 0 {
			return g
		}
		key := g.order.Get(0)
		c, ok := g.claims.Get(key)
		if ok && now.Sub(c.At) <= Retention {
			return g
		}
		g.order = g.order.Slice(1, g.order.Len())
		g = g.withoutAnswer(key, c)
	}
	return g
}

func (g Register) withoutAnswer(key string, c Claim) Register {
	g.running = g.running.Delete(key)
	_, dated := KeyTime(c.Key)
	if dated {
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

// KeyTime is the time inside a key that is a UUID of version 7.
func KeyTime(key string) (time.Time, bool) {
	const length, version = 36, 14
	if len(key) != length || key[8] != '-' || key[13] != '-' || key[version] != '7' {
		return time.Time{}, false
	}
	var ms int64
	_, err := fmt.Sscanf(strings.ToLower(key[:8]+key[9:13]), "%x", &ms)
	if err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(ms), true
}

// Image is the whole register in plain fields, oldest claims first.
type Image struct {
	Now        time.Time
	Claims     []Claim
	Tombstones []Claim
}

// Image returns the whole register in plain fields.
func (g Register) Image() Image {
	img := Image{Now: g.now}
	for it := g.order.Iterator(); !it.Done(); {
		_, key := it.Next()
		c, ok := g.claims.Get(key)
		if ok {
			img.Claims = append(img.Claims, c)
		}
	}
	for it := g.tombstones.Iterator(); !it.Done(); {
		_, key := it.Next()
		c, _ := g.claims.Get(key)
		img.Tombstones = append(img.Tombstones, c)
	}
	return img
}

// FromImage is the inverse of Register.Image.
func FromImage(img Image) Register {
	g := NewRegister()
	g.now = img.Now
	for _, c := range img.Claims {
		g.order = g.order.Append(claimKey(c.Customer, c.Key))
		g = g.withClaim(c)
	}
	for _, c := range img.Tombstones {
		key := claimKey(c.Customer, c.Key)
		g.claims = g.claims.Set(key, c)
		g.tombstones = g.tombstones.Append(key)
	}
	return g
}
