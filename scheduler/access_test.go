package scheduler

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// teamConfig returns a version of the configuration in which each team has the key of its name.
func teamConfig(version int64, teams ...string) registrar.Config {
	c := registrar.Config{
		Version: version, Revision: registrar.ConfigRevision, Raw: []byte{byte(version)},
		Queues: []registrar.Queue{{Name: "a", Host: "h", Prefix: "/a/"}, {Name: "open", Host: "h", Prefix: "/open/", Public: true}},
	}
	for _, name := range teams {
		c.Teams = append(c.Teams, registrar.Team{Name: name, KeyDigests: [][]byte{registrar.KeyDigest(name)}})
	}
	return c
}

// newTeamCluster returns a simulated cluster without machines whose committed configuration is c.
func newTeamCluster(t *testing.T, c registrar.Config) *simCluster {
	w := newSimCluster(t, 1, nil, faults{})
	w.committed, _ = registrar.NewState().Apply(w.Now(), registrar.Command{Config: &c})
	w.sendView()
	return w
}

// keyCall returns a call about the job "j". Without a key, none is sent.
func keyCall(verb messenger.Operation, path, key string) messenger.JobCall {
	c := messenger.JobCall{Verb: verb, Host: "h", Path: path, ForwardsKey: true, Job: registrar.Job{ID: "j", Steps: []registrar.Step{{Count: 1}}}}
	if key != "" {
		c.KeyDigest = registrar.KeyDigest(key)
	}
	return c
}

// answerTo sends a call and returns its answer.
func (w *simCluster) answerTo(body any) messenger.JobAnswer {
	var answer messenger.JobAnswer
	w.call(body, func(a messenger.JobAnswer) { answer = a })
	w.RunFor(200 * time.Millisecond)
	return answer
}

// TestKeysOfTeams checks the leader's answers to calls about a job of team x, for each operation.
func TestKeysOfTeams(t *testing.T) {
	tests := map[string]struct {
		verb      messenger.Operation
		path, key string
		want      messenger.CallStatus
	}{
		"state":                            {messenger.GetJob, "/a/", "x", messenger.CallDone},
		"state, other team":                {messenger.GetJob, "/a/", "y", messenger.CallJobNotFound},
		"state, no key":                    {messenger.GetJob, "/a/", "", messenger.CallUnauthorized},
		"state, no key, public queue":      {messenger.GetJob, "/open/", "", messenger.CallJobNotFound},
		"state, no key, unknown route":     {messenger.GetJob, "/none/", "", messenger.CallQueueNotFound},
		"repeated submission":              {messenger.SubmitJob, "/a/", "x", messenger.CallDone},
		"submission, other team":           {messenger.SubmitJob, "/a/", "y", messenger.CallInvalid},
		"submission, no key":               {messenger.SubmitJob, "/a/", "", messenger.CallUnauthorized},
		"submission, no key, public queue": {messenger.SubmitJob, "/open/", "", messenger.CallInvalid},
		"cancellation":                     {messenger.CancelJob, "/a/", "x", messenger.CallDone},
		"cancellation, other team":         {messenger.CancelJob, "/a/", "y", messenger.CallJobNotFound},
		"cancellation, unknown key":        {messenger.CancelJob, "/a/", "z", messenger.CallUnauthorized},
		"pending jobs, other team":         {messenger.CountPending, "/a/", "y", messenger.CallDone},
		"pending jobs, no key":             {messenger.CountPending, "/a/", "", messenger.CallUnauthorized},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newTeamCluster(t, teamConfig(1, "x", "y"))
			w.call(keyCall(messenger.SubmitJob, "/a/", "x"), func(a messenger.JobAnswer) { must.EqOp(t, messenger.CallDone, a.Status) })
			must.EqOp(t, messenger.CallInvalid, w.answerTo(keyCall(messenger.SubmitJob, "/a/", "y")).Status) // before the first is committed
			must.EqOp(t, tt.want, w.answerTo(keyCall(tt.verb, tt.path, tt.key)).Status)
			j, _ := w.committed.Job("j")
			must.EqOp(t, "x", j.Team)
			must.EqOp(t, name == "cancellation", j.Outcome == registrar.Canceled)
		})
	}
}

// TestQueueBecomesPublic guards against jobs of a team that its own key does not find any more once their queue is public
// (review/14), and against jobs that callers without that key learn of or cancel. It also covers the other direction, keys
// that are replaced, and teams that leave and return.
func TestQueueBecomesPublic(t *testing.T) {
	private := func(version int64, teams ...string) registrar.Config { return teamConfig(version, teams...) }
	public := func(version int64, teams ...string) registrar.Config {
		c := teamConfig(version, teams...)
		c.Queues[0].Name, c.Queues[0].Public = "renamed", true
		return c
	}
	replacedKey := func(version int64) registrar.Config {
		c := public(version, "x", "y")
		c.Teams[0].KeyDigests = [][]byte{registrar.KeyDigest("x2")}
		return c
	}
	const found, missing, refused, invalid = messenger.CallDone, messenger.CallJobNotFound, messenger.CallUnauthorized, messenger.CallInvalid
	tests := map[string]struct {
		first           registrar.Config // under which the job is submitted
		submitter       string           // its key
		changes         []registrar.Config
		key             string
		want, repeating messenger.CallStatus // of the state and the cancellation, and of a repeated submission
	}{
		"own key":                           {private(1, "x", "y"), "x", []registrar.Config{public(2, "x", "y")}, "x", found, found},
		"key of another team":               {private(1, "x", "y"), "x", []registrar.Config{public(2, "x", "y")}, "y", missing, invalid},
		"no key":                            {private(1, "x", "y"), "x", []registrar.Config{public(2, "x", "y")}, "", missing, invalid},
		"unknown key":                       {private(1, "x", "y"), "x", []registrar.Config{public(2, "x", "y")}, "z", missing, invalid},
		"own key, private again":            {private(1, "x", "y"), "x", []registrar.Config{public(2, "x", "y"), private(3, "x", "y")}, "x", found, found},
		"key of another, private again":     {private(1, "x", "y"), "x", []registrar.Config{public(2, "x", "y"), private(3, "x", "y")}, "y", missing, invalid},
		"replaced key":                      {private(1, "x", "y"), "x", []registrar.Config{replacedKey(2)}, "x2", found, found},
		"key that was replaced":             {private(1, "x", "y"), "x", []registrar.Config{replacedKey(2)}, "x", missing, invalid},
		"the team has left":                 {private(1, "x", "y"), "x", []registrar.Config{public(2, "y")}, "x", missing, invalid},
		"the team has returned":             {private(1, "x", "y"), "x", []registrar.Config{public(2, "y"), public(3, "x", "y")}, "x", found, found},
		"public job, own key":               {public(1, "x", "y"), "x", nil, "x", found, found},
		"public job, no key":                {public(1, "x", "y"), "x", nil, "", found, found},
		"public job, private now":           {public(1, "x", "y"), "x", []registrar.Config{private(2, "x", "y")}, "x", found, found},
		"public job, private now, no key":   {public(1, "x", "y"), "x", []registrar.Config{private(2, "x", "y")}, "", refused, refused},
		"public job without a key, private": {public(1, "x", "y"), "", []registrar.Config{private(2, "x", "y")}, "y", found, found},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newTeamCluster(t, tt.first)
			must.EqOp(t, messenger.CallDone, w.answerTo(keyCall(messenger.SubmitJob, "/a/", tt.submitter)).Status)
			for _, c := range tt.changes {
				must.EqOp(t, messenger.CallDone, w.answerTo(messenger.PutConfig{Config: c}).Status)
			}
			w.changeLeader()
			must.EqOp(t, tt.repeating, w.answerTo(keyCall(messenger.SubmitJob, "/a/", tt.key)).Status)
			must.EqOp(t, tt.want, w.answerTo(keyCall(messenger.GetJob, "/a/", tt.key)).Status)
			must.EqOp(t, tt.want, w.answerTo(keyCall(messenger.CancelJob, "/a/", tt.key)).Status)
			j, _ := w.committed.Job("j")
			must.EqOp(t, tt.want == found, j.Outcome == registrar.Canceled)
		})
	}
}

// TestRevokedKey checks that a key is refused as soon as the configuration without it is acknowledged, and that an added
// key is served then, also by the next leader. A deposed leader, which may hold the configuration before, answers nothing.
func TestRevokedKey(t *testing.T) {
	w := newTeamCluster(t, teamConfig(1, "x"))
	must.EqOp(t, messenger.CallDone, w.answerTo(keyCall(messenger.CountPending, "/a/", "x")).Status)
	list := w.answerTo(messenger.JobCall{Verb: messenger.Ping, ForwardsKey: true}).Access
	must.Eq(t, &messenger.AccessList{ID: list.ID}, w.answerTo(messenger.JobCall{Verb: messenger.Ping, ForwardsKey: true, AccessID: list.ID}).Access)
	must.Nil(t, w.answerTo(messenger.JobCall{Verb: messenger.Ping}).Access) // a sender of an older version
	deposed := w.state
	must.EqOp(t, messenger.CallDone, w.answerTo(messenger.PutConfig{Config: teamConfig(2, "y")}).Status)
	for range 2 {
		must.EqOp(t, messenger.CallUnauthorized, w.answerTo(keyCall(messenger.CountPending, "/a/", "x")).Status)
		must.EqOp(t, messenger.CallDone, w.answerTo(keyCall(messenger.CountPending, "/a/", "y")).Status)
		must.Len(t, 2, w.answerTo(messenger.JobCall{Verb: messenger.Ping, ForwardsKey: true, AccessID: list.ID}).Access.Routes)
		w.changeLeader()
	}
	_, out := deposed.Step(deposed.leaseEnd, messenger.Call{ID: 7, Body: keyCall(messenger.CountPending, "/a/", "x")})
	must.EqOp(t, messenger.CallNotReady, out[0].Body.(messenger.CallAnswer).Answer.Status)
}

// TestOlderRevision checks that a configuration of a snapshot that an older version wrote, without its teams, admits no
// call without a key: the leader decodes the document again.
func TestOlderRevision(t *testing.T) {
	tests := map[string]struct {
		decoded                     registrar.Config
		err                         error
		before, withoutKey, withKey messenger.CallStatus // before the commit, without a key; after it
	}{
		"document with teams":    {teamConfig(1, "x"), nil, messenger.CallNotReady, messenger.CallUnauthorized, messenger.CallDone},
		"document without teams": {teamConfig(1), nil, messenger.CallDone, messenger.CallDone, messenger.CallDone},
		"undecodable document":   {registrar.Config{}, errors.New("no teams"), messenger.CallNotReady, messenger.CallNotReady, messenger.CallNotReady},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			older := teamConfig(1)
			older.Revision = 0
			w := newTeamCluster(t, older)
			w.committed = registrar.FromSnapshot(w.committed.Snapshot())
			w.term++
			w.state = NewState(Config{DecodeConfig: func([]byte) (registrar.Config, error) { return tt.decoded, tt.err }}, w.term<<32)
			w.sendView()
			w.call(keyCall(messenger.CountPending, "/a/", ""), func(a messenger.JobAnswer) { must.EqOp(t, tt.before, a.Status) })
			w.RunFor(time.Second)
			must.EqOp(t, tt.withoutKey, w.answerTo(keyCall(messenger.CountPending, "/a/", "")).Status)
			must.EqOp(t, tt.withKey, w.answerTo(keyCall(messenger.CountPending, "/a/", "x")).Status)
			must.EqOp(t, messenger.CallDone, w.answerTo(messenger.PutConfig{Config: teamConfig(2, "y")}).Status)
			must.EqOp(t, messenger.CallDone, w.answerTo(keyCall(messenger.CountPending, "/a/", "y")).Status)
		})
	}
}
