package relayer

import (
	"fmt"
	"time"

	"laburnumwind/authorizer"
	"laburnumwind/messenger"
)

// accessWindow is how long the copy of the access list is used after the sending of the ping that confirmed it. It is
// below the time within which an added key has to be served, config_apply_ms (2,500 ms).
const accessWindow = time.Second

// accessCopy is this instance's immutable copy of the access list. Calls are refused by it, and never admitted.
type accessCopy struct {
	id          string // empty: there is no copy
	rules       authorizer.Rules
	confirmedAt time.Time // when the last ping was sent of which the answer told the state of the list
	expected    bool      // the leader has refused a call or sent a list, so there are teams
}

// isFresh reports whether the copy may be used at now.
func (c accessCopy) isFresh(now time.Time) bool {
	return c.id != "" && now.Sub(c.confirmedAt) < accessWindow
}

// withAnswer returns the copy after the answer to a ping that was sent at the given time, in which list is nil if the
// leader has none. An answer to an earlier ping than the one that last confirmed the copy is ignored: it may be older.
func (c accessCopy) withAnswer(sentAt time.Time, list *messenger.AccessList) (accessCopy, error) {
	if sentAt.Before(c.confirmedAt) {
		return c, nil
	}
	if list == nil {
		return accessCopy{confirmedAt: sentAt}, nil
	}
	if list.ID != "" && list.ID == c.id {
		c.confirmedAt = sentAt
		return c, nil
	}
	if len(list.KeyDigests) == 0 && len(list.Routes) == 0 {
		return c, nil // confirms a copy that has been replaced since the ping was sent
	}
	rules, err := authorizer.FromList(*list)
	if err != nil {
		return accessCopy{confirmedAt: sentAt, expected: true}, fmt.Errorf("access list %.40q: %w", list.ID, err)
	}
	return accessCopy{id: list.ID, rules: rules, confirmedAt: sentAt, expected: true}, nil
}

// Refuses reports whether the leader would refuse the call for the lack of a valid key. It returns false if the copy of the
// access list does not tell or is not fresh, so that the leader decides.
func (r *Relayer) Refuses(call messenger.JobCall) bool {
	r.mu.Lock()
	c := r.access
	r.mu.Unlock()
	if c.id == "" {
		return false
	}
	now := r.cfg.Clock()
	if !c.isFresh(now) {
		r.reportFreshness(now)
		return false
	}
	verdict := c.rules.Decide(call).Verdict
	return verdict == authorizer.NoKey || verdict == authorizer.UnknownKey
}

// accessID returns the ID of the copy of the access list, or an empty string if there is none.
func (r *Relayer) accessID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.access.id
}

// needsAccess reports whether the copy of the access list has to be confirmed by a ping, also if the leader answers other
// calls. Without teams, it never has to.
func (r *Relayer) needsAccess() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.access.expected && r.cfg.Clock().Sub(r.access.confirmedAt) >= pingInterval/2
}

// updateAccess takes the state of the access list from the leader's answer to a call that was sent at the given time.
func (r *Relayer) updateAccess(sentAt time.Time, call messenger.JobCall, a messenger.JobAnswer) {
	if call.Verb == messenger.Ping && a.Status == messenger.CallDone {
		r.reportFreshness(r.cfg.Clock()) // the copy may have been stale until now
		r.mu.Lock()
		next, err := r.access.withAnswer(sentAt, a.Access)
		r.access = next
		r.mu.Unlock()
		if err != nil {
			r.cfg.OnAccessInvalid(err)
		}
		r.reportFreshness(r.cfg.Clock())
	}
	if a.Status == messenger.CallUnauthorized {
		r.mu.Lock()
		r.access.expected = true
		r.mu.Unlock()
	}
}

// reportFreshness reports if the copy of the access list has become fresh or stale since the last report.
func (r *Relayer) reportFreshness(now time.Time) {
	r.mu.Lock()
	fresh := r.access.isFresh(now)
	changed := fresh != r.wasFresh
	r.wasFresh = fresh
	r.mu.Unlock()
	if changed {
		r.cfg.OnAccessChange(fresh)
	}
}
