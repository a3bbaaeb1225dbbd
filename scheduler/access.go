package scheduler

import (
	"laburnumwind/authorizer"
	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// currentAccess returns the access rules of the committed configuration. They are made anew only for another
// configuration.
func (t *transition) currentAccess() authorizer.Rules {
	config := t.committed.Config()
	if !t.access.AreOf(config) {
		t.access = authorizer.NewRules(config)
	}
	return t.access
}

// ping answers a ping. An instance that forwards keys gets the access list if it holds a different one, and its ID alone
// if it holds the current one. Without a list in the answer, it must not use the one that it holds: an older version
// answers so, which does not know the list.
func (t *transition) ping(callID uint64, c messenger.JobCall) {
	a := messenger.JobAnswer{Status: messenger.CallDone, Explains: true}
	if c.ForwardsKey && !t.isWithheld() {
		list := t.currentAccess().List()
		switch {
		case list.ID == "":
		case list.ID == c.AccessID:
			a.Access = &messenger.AccessList{ID: list.ID}
		default:
			a.Access = &list
		}
	}
	t.answerCall(callID, a)
}

// authorize returns the queue of a call and the team of its caller. It answers the call and returns false if the call is
// not admitted.
func (t *transition) authorize(callID uint64, c messenger.JobCall) (authorizer.Decision, bool) {
	d := t.currentAccess().Decide(c)
	switch d.Verdict {
	case authorizer.Admitted:
		return d, true
	case authorizer.NoQueue:
		t.answerCall(callID, messenger.JobAnswer{Status: messenger.CallQueueNotFound})
		return d, false
	case authorizer.NotForward: // the caller may have sent a valid key to the instance of the older version
		t.answerCall(callID, messenger.JobAnswer{Status: messenger.CallNotReady, RetryAfter: retryAfter})
	default:
		t.answerCall(callID, messenger.JobAnswer{Status: messenger.CallUnauthorized})
	}
	t.logDecision(messenger.Decision{Event: "keyRefused", Job: c.Job.ID, Reason: d.Verdict.String()})
	return d, false
}

// job returns a committed job, or false if it does not exist for the team.
func (t *transition) job(id, team string) (registrar.Job, bool) {
	j, ok := t.committed.Job(id)
	if !ok || !t.currentAccess().MayAccess(team, j) {
		return registrar.Job{}, false
	}
	return j, true
}

// decodeOlderConfig proposes the committed configuration again if an older revision decoded it, which may have ignored its
// teams. Calls that need the configuration are not ready until then if the document has teams or cannot be decoded:
// without its teams, they would be admitted without a key.
func (t *transition) decodeOlderConfig() {
	t.withheldVersion = 0
	config := t.committed.Config()
	if t.cfg.DecodeConfig == nil || !config.NeedsDecoding() {
		return
	}
	decoded, err := t.cfg.DecodeConfig(config.Raw)
	if err != nil {
		t.withheldVersion = config.Version
		t.logDecision(messenger.Decision{Event: "configUndecodable", Reason: err.Error()})
		return
	}
	if len(decoded.Teams) > 0 {
		t.withheldVersion = config.Version
	}
	t.logDecision(messenger.Decision{Event: "configDecodedAgain", Candidates: len(decoded.Teams)})
	t.propose(registrar.Command{Config: &decoded}, continuation{})
}

// isWithheld reports whether the committed configuration lacks the teams of its document: see decodeOlderConfig.
func (t *transition) isWithheld() bool {
	config := t.committed.Config()
	return config.Version == t.withheldVersion && config.NeedsDecoding()
}
