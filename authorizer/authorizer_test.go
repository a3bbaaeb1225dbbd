package authorizer

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// testConfig has two teams, a queue that needs a key, and a public queue with a longer prefix.
var testConfig = registrar.Config{
	Queues: []registrar.Queue{{Name: "q", Host: "h", Prefix: "/q/"}, {Name: "open", Host: "h", Prefix: "/q/open/", Public: true}},
	Teams: []registrar.Team{
		{Name: "a", KeyDigests: [][]byte{registrar.KeyDigest("a1"), registrar.KeyDigest("a2")}},
		{Name: "b", KeyDigests: [][]byte{registrar.KeyDigest("b1")}},
	},
}

// TestDecide is the decision table of the leader. It also checks that an entry instance with the access list decides alike,
// so that it refuses no call that the leader would admit.
func TestDecide(t *testing.T) {
	tests := map[string]struct {
		path, key    string
		old, noTeams bool // the sender does not forward keys; the configuration has no teams
		want         Verdict
		queue, team  string
		caller       string
	}{
		"second key of a team":             {path: "/q/", key: "a2", want: Admitted, queue: "q", team: "a", caller: "a"},
		"key of another team":              {path: "/q/", key: "b1", want: Admitted, queue: "q", team: "b", caller: "b"},
		"no key":                           {path: "/q/", want: NoKey},
		"unknown key":                      {path: "/q/", key: "c1", want: UnknownKey},
		"unknown route without a key":      {path: "/x/", want: NoQueue},
		"unknown route with a key":         {path: "/x/", key: "a1", want: NoQueue},
		"public queue without a key":       {path: "/q/open/", want: Admitted, queue: "open"},
		"public queue with an unknown key": {path: "/q/open/", key: "c1", want: Admitted, queue: "open"},
		"public queue with a key":          {path: "/q/open/", key: "b1", want: Admitted, queue: "open", caller: "b"},
		"older sender":                     {path: "/q/", old: true, want: NotForward},
		"older sender, public queue":       {path: "/q/open/", old: true, want: Admitted, queue: "open"},
		"no teams, older sender":           {path: "/q/", old: true, noTeams: true, want: Admitted, queue: "q"},
		"no teams, unknown route":          {path: "/x/", noTeams: true, want: NoQueue},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c, config := messenger.JobCall{Host: "h", Path: tt.path, ForwardsKey: !tt.old}, testConfig
			if tt.key != "" {
				c.KeyDigest = registrar.KeyDigest(tt.key)
			}
			if tt.noTeams {
				config.Teams = nil
			}
			rules := NewRules(config)
			d := rules.Decide(c)
			must.Eq(t, []any{tt.want, tt.queue, tt.team, tt.caller}, []any{d.Verdict, d.Queue.Name, d.Team, d.Caller})
			must.EqOp(t, tt.noTeams, rules.List().ID == "")
			must.EqOp(t, tt.noTeams, rules.MayAccess("b", registrar.Job{Team: "a"}))
			if !tt.noTeams {
				copied, err := FromList(rules.List())
				must.NoError(t, err)
				must.EqOp(t, tt.want, copied.Decide(c).Verdict)
			}
		})
	}
}

// TestList checks that the ID changes with the content of the list only, and that no list is sent that is too long.
func TestList(t *testing.T) {
	list := func(change func(*registrar.Config)) string {
		c := testConfig
		change(&c)
		return NewRules(c).List().ID
	}
	id := NewRules(testConfig).List().ID
	must.EqOp(t, id, list(func(c *registrar.Config) {
		c.Version, c.Teams = 2, append([]registrar.Team{{Name: "c", Weight: 3}}, c.Teams...)
	}))
	must.NotEq(t, id, list(func(c *registrar.Config) { c.Teams = c.Teams[:1] }))
	must.NotEq(t, id, list(func(c *registrar.Config) { c.Queues = c.Queues[1:] }))
	must.EqOp(t, "", list(func(c *registrar.Config) { c.Queues = []registrar.Queue{{Host: strings.Repeat("h", maxListBytes)}} }))
}
