// Package authorizer decides whether a call is admitted to a queue by the key of its caller. The leader decides by the
// committed configuration. An entry instance refuses by its copy of the access list, and never admits by it.
package authorizer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"

	"github.com/rotisserie/eris"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// ErrList is returned for an access list that cannot be used.
var ErrList = eris.New("invalid access list")

// maxListBytes bounds the size of an access list. A longer one is not sent: at 2 Mbit/s, the answer to a ping that carries
// it could exceed the timeout of the ping (400 ms), on which the readiness of an instance depends.
const maxListBytes = 32 << 10

// Verdict is the decision on a call.
type Verdict uint8

// The verdicts.
const (
	Admitted   Verdict = iota + 1
	NoQueue            // no queue has the route
	NoKey              // the queue needs a key, and the caller sent none
	UnknownKey         // the queue needs a key, and no team has the caller's
	NotForward         // the queue needs a key, and the sender does not forward those of its callers
)

// String returns the reason for a refusal.
func (v Verdict) String() string {
	return [...]string{"none", "admitted", "no queue", "no key", "unknown key", "sender forwards no keys"}[v]
}

// Decision is the decision on a call. All other fields are zero unless the call is admitted.
type Decision struct {
	Verdict Verdict
	Queue   registrar.Queue
	Team    string // owner of a job that the call submits; empty: the queue is public, or there are no teams
	Caller  string // team that the key belongs to, also on a public queue; empty: no key of a team
}

// teamKey is the digest of a key and the name of its team.
type teamKey struct {
	digest []byte
	team   string
}

// Rules are the immutable rules of one configuration.
type Rules struct {
	config registrar.Config
	keys   []teamKey
	list   messenger.AccessList // zero: the configuration has no teams, or the list would be too long
}

// NewRules returns the rules of a configuration.
func NewRules(c registrar.Config) Rules {
	r := Rules{config: c}
	if len(c.Teams) == 0 {
		return r
	}
	size := 0
	for _, t := range c.Teams {
		for _, digest := range t.KeyDigests {
			r.keys = append(r.keys, teamKey{digest: digest, team: t.Name})
			r.list.KeyDigests = append(r.list.KeyDigests, digest)
			size += len(digest)
		}
	}
	for _, q := range c.Queues {
		r.list.Routes = append(r.list.Routes, messenger.AccessedRoute{Host: q.Host, Prefix: q.Prefix, Public: q.Public})
		size += len(q.Host) + len(q.Prefix)
	}
	if size > maxListBytes {
		r.list = messenger.AccessList{}
		return r
	}
	r.list.ID = contentID(r.list)
	return r
}

// FromList returns the rules of an access list. They decide as those of the configuration that the list was made from,
// but do not name teams. A list with an ID alone has no rules.
func FromList(l messenger.AccessList) (Rules, error) {
	if l.ID == "" {
		return Rules{}, fmt.Errorf("list has no ID: %w", ErrList)
	}
	team := registrar.Team{KeyDigests: l.KeyDigests}
	for _, digest := range l.KeyDigests {
		if len(digest) != sha256.Size {
			return Rules{}, fmt.Errorf("key digest of %d bytes: %w", len(digest), ErrList)
		}
	}
	c := registrar.Config{Teams: []registrar.Team{team}}
	for _, route := range l.Routes {
		c.Queues = append(c.Queues, registrar.Queue{Host: route.Host, Prefix: route.Prefix, Public: route.Public})
	}
	r := NewRules(c)
	r.list = l
	return r, nil
}

// AreOf reports whether the rules were made from the configuration with that version and revision.
func (r Rules) AreOf(c registrar.Config) bool {
	return r.config.Version == c.Version && r.config.Revision == c.Revision
}

// List returns the access list of the rules. Its ID is empty if the configuration has no teams or the list is too long
// to be sent.
func (r Rules) List() messenger.AccessList { return r.list }

// Decide returns the decision on a call. An unknown route precedes a missing key. If there are no teams, every call to a
// known route is admitted.
func (r Rules) Decide(c messenger.JobCall) Decision {
	queue, ok := r.config.Match(c.Host, c.Path)
	if !ok {
		return Decision{Verdict: NoQueue}
	}
	if len(r.config.Teams) == 0 {
		return Decision{Verdict: Admitted, Queue: queue}
	}
	team, known := r.teamOf(c.KeyDigest)
	switch {
	case queue.Public: // its callers need not send their key with every call, so its jobs belong to no team
		return Decision{Verdict: Admitted, Queue: queue, Caller: team}
	case known:
		return Decision{Verdict: Admitted, Queue: queue, Team: team, Caller: team}
	case !c.ForwardsKey:
		return Decision{Verdict: NotForward}
	case len(c.KeyDigest) == 0:
		return Decision{Verdict: NoKey}
	}
	return Decision{Verdict: UnknownKey}
}

// MayAccess reports whether a team may know of a job. Without teams, nobody can show that a job is theirs, so the jobs of
// former teams are visible to all callers.
func (r Rules) MayAccess(team string, j registrar.Job) bool {
	return len(r.config.Teams) == 0 || j.IsVisibleTo(team)
}

// teamOf returns the team with the key. It compares all digests in constant time, so that the response time does not
// help to guess one.
func (r Rules) teamOf(digest []byte) (string, bool) {
	found := -1
	if len(digest) == 0 {
		return "", false
	}
	for i, key := range r.keys {
		found = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(key.digest, digest), i, found)
	}
	if found < 0 {
		return "", false
	}
	return r.keys[found].team, true
}

// contentID returns a hash of the content of a list.
func contentID(l messenger.AccessList) string {
	h := sha256.New()
	writeNumber(h, len(l.KeyDigests))
	for _, digest := range l.KeyDigests {
		h.Write(digest)
	}
	for _, route := range l.Routes {
		for _, text := range []string{route.Host, route.Prefix} {
			writeNumber(h, len(text))
			h.Write([]byte(text))
		}
		public := 0
		if route.Public {
			public = 1
		}
		writeNumber(h, public)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// writeNumber adds a number to the hash. A hash never returns an error.
func writeNumber(h hash.Hash, n int) {
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(n)))
}
