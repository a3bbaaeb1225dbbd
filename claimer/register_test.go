package claimer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/messenger"
)

var start = time.UnixMilli(1_700_000_000_000)

// datedKey is a UUID of version 7 that contains the time start.
const datedKey = "018bcfe5-6800-7000-8000-000000000000"

func claimCommand(key, digest, attempt string) Command {
	return Command{Kind: ClaimFirst, Customer: "c", Key: key, Digest: digest, AttemptID: attempt}
}

func settleCommand(key, attempt string, outcome messenger.Outcome) Command {
	return Command{Kind: SettleKey, Customer: "c", Key: key, AttemptID: attempt, Answer: messenger.Answer{Outcome: outcome, Body: []byte("b")}}
}

type step struct {
	after   time.Duration // log time of the command, from start
	command Command
}

// TestClaims checks the result of the last of several commands, and that a
// snapshot restores the claims.
func TestClaims(t *testing.T) {
	retryCommand := func(previous, attempt string) Command {
		return Command{Kind: ClaimRetry, Customer: "c", Key: "k", AttemptID: attempt, Previous: previous}
	}
	tests := map[string]struct {
		steps   []step
		want    Code
		attempt int
	}{
		"first claim":                      {steps: []step{{command: claimCommand("k", "d", "1")}}, want: Granted, attempt: 1},
		"repeated command":                 {steps: []step{{command: claimCommand("k", "d", "1")}, {command: claimCommand("k", "d", "1")}}, want: Granted, attempt: 1},
		"claim by a second entry instance": {steps: []step{{command: claimCommand("k", "d", "1")}, {command: claimCommand("k", "d", "2")}}, want: StillRunning},
		"other digest":                     {steps: []step{{command: claimCommand("k", "d", "1")}, {command: claimCommand("k", "e", "2")}}, want: DigestMismatch},
		"settled with an answer":           {steps: []step{{command: claimCommand("k", "d", "1")}, {command: settleCommand("k", "1", messenger.Answered)}, {command: claimCommand("k", "d", "2")}}, want: AlreadySettled},
		"settled as not started":           {steps: []step{{command: claimCommand("k", "d", "1")}, {command: settleCommand("k", "1", messenger.Refused)}, {command: claimCommand("k", "d", "2")}}, want: Granted, attempt: 2},
		"settled as unknown":               {steps: []step{{command: claimCommand("k", "d", "1")}, {command: settleCommand("k", "1", messenger.Uncertain)}, {command: claimCommand("k", "d", "2")}}, want: OutcomeUnknown},
		"unknown outcome never becomes not started": {
			steps: []step{{command: claimCommand("k", "d", "1")}, {command: settleCommand("k", "1", messenger.Uncertain)}, {command: settleCommand("k", "1", messenger.Refused)}, {command: claimCommand("k", "d", "2")}},
			want:  OutcomeUnknown,
		},
		"next attempt":                       {steps: []step{{command: claimCommand("k", "d", "1")}, {command: retryCommand("1", "1b")}}, want: Granted, attempt: 2},
		"retry after a superseded attempt":   {steps: []step{{command: claimCommand("k", "d", "1")}, {command: retryCommand("1", "1b")}, {command: retryCommand("1", "1c")}}, want: Stale},
		"settlement of a superseded attempt": {steps: []step{{command: claimCommand("k", "d", "1")}, {command: retryCommand("1", "1b")}, {command: settleCommand("k", "1", messenger.Refused)}}, want: Stale},
		"claim past its retention":           {steps: []step{{command: claimCommand("k", "d", "1")}, {command: settleCommand("k", "1", messenger.Answered)}, {after: Retention + time.Second, command: claimCommand("k", "d", "2")}}, want: KeyExpired},
		"key with a time past its retention": {steps: []step{{after: Retention + time.Second, command: claimCommand(datedKey, "d", "1")}}, want: KeyExpired},
		"key with a time too far ahead":      {steps: []step{{after: -MaxKeySkew - time.Second, command: claimCommand(datedKey, "d", "1")}}, want: KeyExpired},
		"key with a time ahead, past its retention": {
			steps: []step{{after: -4 * time.Minute, command: claimCommand(datedKey, "d", "1")}, {after: Retention - 4*time.Minute + time.Second, command: claimCommand(datedKey, "d", "2")}},
			want:  StillRunning,
		},
		"key behind one that was claimed again": {
			steps: []step{
				{command: claimCommand("front", "d", "1")},
				{command: claimCommand("k", "d", "2")},
				{after: time.Hour, command: settleCommand("front", "1", messenger.Refused)},
				{after: Retention - time.Hour, command: claimCommand("front", "d", "3")},
				{after: Retention + time.Hour, command: claimCommand("k", "d", "4")},
			},
			want: KeyExpired,
		},
		"key with a recent time": {steps: []step{{after: time.Minute, command: claimCommand(datedKey, "d", "1")}}, want: Granted, attempt: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewClaims()
			var r Result
			for _, s := range tc.steps {
				g, r = g.Apply(start.Add(s.after), s.command)
			}
			must.Eq(t, tc.want, r.Code)
			must.Eq(t, tc.attempt, r.Attempt)
			must.Eq(t, g.Snapshot(), FromSnapshot(g.Snapshot()).Snapshot())
		})
	}
}
