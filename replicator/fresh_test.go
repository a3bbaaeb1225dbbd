package replicator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestFreshness checks that a copy counts as fresh only once it holds what the leader had committed when the leader
// heard from the node.
func TestFreshness(t *testing.T) {
	type testMessage = Message[int, int, int]
	now := time.Unix(1_000_000, 0)
	entries := func(from, to uint64) []Entry[int] {
		var out []Entry[int]
		for i := from; i <= to; i++ {
			out = append(out, Entry[int]{Index: i, Term: 2, Kind: CommandEntry, Command: 1})
		}
		return out
	}
	appendTo := func(index, commit uint64, sent []Entry[int]) testMessage {
		m := testMessage{Kind: Append, From: "n1", To: "n4", Term: 2, Index: index, LogTerm: 2, Entries: sent, Commit: commit, LeaseHeld: true, EchoedSentAt: now}
		if index == 1 {
			m.LogTerm = 1
		}
		return m
	}
	tests := map[string]struct {
		messages []testMessage
		fresh    bool
	}{
		"no message":              {},
		"whole log":               {messages: []testMessage{appendTo(1, 10, entries(2, 10))}, fresh: true},
		"beginning of the log":    {messages: []testMessage{appendTo(1, 5002, entries(2, 10))}},
		"the rest of it follows":  {messages: []testMessage{appendTo(1, 20, entries(2, 10)), appendTo(10, 20, entries(11, 20))}, fresh: true},
		"the log grows meanwhile": {messages: []testMessage{appendTo(1, 20, entries(2, 10)), appendTo(10, 25, entries(11, 20))}, fresh: true},
		"snapshot without an echo of a lease": {messages: []testMessage{
			{Kind: InstallSnapshot, From: "n1", To: "n4", Term: 2, LeaseHeld: true, EchoedSentAt: now, Snapshot: &Snapshot[int]{Index: 9, Term: 2, Machine: 8}},
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			stored := Bootstrap[int]([]Member{{Name: "n1", DiskID: "d1"}, {Name: "n2", DiskID: "d2"}, {Name: "n3", DiskID: "d3"}}, 0)
			cfg := Config[int, int, int]{Name: "n4", Apply: func(s int, _ time.Time, c int) (int, int) { return s + c, 0 }}
			s := NewState(now, cfg, stored)
			for _, m := range tt.messages {
				s, _ = s.Receive(now, m)
			}
			must.EqOp(t, tt.fresh, s.IsFresh(now.Add(time.Millisecond)))
		})
	}
}
