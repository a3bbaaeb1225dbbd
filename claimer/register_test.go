package claimer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/messenger"
)

var start = time.UnixMilli(1_700_000_000_000)

// dated is a UUID of version 7 made at start.
const dated = "018bcfe5-6800-7000-8000-000000000000"

func make1(key, digest, attempt string) Command {
	return Command{Kind: Make, Customer: "c", Key: key, Digest: digest, AttemptID: attempt}
}

func settle(key, attempt string, outcome messenger.Outcome) Command {
	return Command{Kind: SettleKey, Customer: "c", Key: key, AttemptID: attempt, Answer: messenger.Answer{Outcome: outcome, Body: []byte("b")}}
}

type step struct {
	after   time.Duration
	command Command
}

func TestRegister(t *testing.T) {
	again := func(previous, attempt string) Command {
		return Command{Kind: Again, Customer: "c", Key: "k", AttemptID: attempt, Previous: previous}
	}
	tests := map[string]struct {
		steps   []step
		want    Code
		attempt int
	}{
		"first":                 {steps: []step{{command: make1("k", "d", "1")}}, want: Granted, attempt: 1},
		"sent again":            {steps: []step{{command: make1("k", "d", "1")}, {command: make1("k", "d", "1")}}, want: Granted, attempt: 1},
		"second entry instance": {steps: []step{{command: make1("k", "d", "1")}, {command: make1("k", "d", "2")}}, want: StillRunning},
		"different body":        {steps: []step{{command: make1("k", "d", "1")}, {command: make1("k", "e", "2")}}, want: WasMismatch},
		"answered":              {steps: []step{{command: make1("k", "d", "1")}, {command: settle("k", "1", messenger.Answered)}, {command: make1("k", "d", "2")}}, want: WasSettled},
		"not run":               {steps: []step{{command: make1("k", "d", "1")}, {command: settle("k", "1", messenger.Refused)}, {command: make1("k", "d", "2")}}, want: Granted, attempt: 2},
		"unknown":               {steps: []step{{command: make1("k", "d", "1")}, {command: settle("k", "1", messenger.Uncertain)}, {command: make1("k", "d", "2")}}, want: WasUnknown},
		"unknown is never not run": {
			steps: []step{{command: make1("k", "d", "1")}, {command: settle("k", "1", messenger.Uncertain)}, {command: settle("k", "1", messenger.Refused)}, {command: make1("k", "d", "2")}},
			want:  WasUnknown,
		},
		"next attempt":            {steps: []step{{command: make1("k", "d", "1")}, {command: again("1", "1b")}}, want: Granted, attempt: 2},
		"next of an old attempt":  {steps: []step{{command: make1("k", "d", "1")}, {command: again("1", "1b")}, {command: again("1", "1c")}}, want: Stale},
		"late settlement":         {steps: []step{{command: make1("k", "d", "1")}, {command: again("1", "1b")}, {command: settle("k", "1", messenger.Refused)}}, want: Stale},
		"expired answer":          {steps: []step{{command: make1("k", "d", "1")}, {command: settle("k", "1", messenger.Answered)}, {after: Retention + time.Second, command: make1("k", "d", "2")}}, want: WasExpired},
		"expired by its own time": {steps: []step{{after: Retention + time.Second, command: make1(dated, "d", "1")}}, want: WasExpired},
		"key of the future":       {steps: []step{{after: -KeySkew - time.Second, command: make1(dated, "d", "1")}}, want: WasExpired},
		"dated key in time":       {steps: []step{{after: time.Minute, command: make1(dated, "d", "1")}}, want: Granted, attempt: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewRegister()
			var r Result
			for _, s := range tc.steps {
				g, r = g.Apply(start.Add(s.after), s.command)
			}
			must.Eq(t, tc.want, r.Code)
			must.Eq(t, tc.attempt, r.Attempt)
			must.Eq(t, g.Image(), FromImage(g.Image()).Image())
		})
	}
}
