package replicator

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestReplay checks that replaying a log gives the same state as applying its writes one by one.
func TestReplay(t *testing.T) {
	entry := func(index, term uint64) Entry[int] { return Entry[int]{Index: index, Term: term, Kind: CommandEntry} }
	tests := map[string][]Write[int, int]{
		"empty log":        {},
		"appended entries": {{Term: 1, ReplaceFrom: 1, Entries: []Entry[int]{entry(1, 1)}}, {Term: 1, ReplaceFrom: 2, Entries: []Entry[int]{entry(2, 1), entry(3, 1)}}},
		"tail replaced":    {{Term: 1, ReplaceFrom: 1, Entries: []Entry[int]{entry(1, 1), entry(2, 1)}}, {Term: 2, ReplaceFrom: 2, Entries: []Entry[int]{entry(2, 2)}}},
		"vote only":        {{Term: 1, ReplaceFrom: 1, Entries: []Entry[int]{entry(1, 1)}}, {Term: 4, VotedFor: "n2"}},
		"snapshot":         {{Term: 1, ReplaceFrom: 1, Entries: []Entry[int]{entry(1, 1), entry(2, 1)}}, {Term: 1, ReplaceFrom: 2, Entries: []Entry[int]{entry(2, 1)}, Snapshot: &Snapshot[int]{Index: 1, Term: 1}}},
	}
	for name, writes := range tests {
		t.Run(name, func(t *testing.T) {
			var oneByOne StoredState[int, int]
			for _, w := range writes {
				oneByOne = oneByOne.WithWrite(w)
			}
			replayed := StoredState[int, int]{}.Replay(slices.Values(writes))
			must.EqOp(t, oneByOne.Term, replayed.Term)
			must.EqOp(t, oneByOne.VotedFor, replayed.VotedFor)
			must.EqOp(t, oneByOne.Snapshot.Index, replayed.Snapshot.Index)
			must.Len(t, len(oneByOne.Entries), replayed.Entries)
			for i := range oneByOne.Entries {
				must.EqOp(t, oneByOne.Entries[i].Index, replayed.Entries[i].Index)
				must.EqOp(t, oneByOne.Entries[i].Term, replayed.Entries[i].Term)
			}
		})
	}
}

// TestApplyIsBounded checks that a node with many committed entries to apply does so in
// many short steps, and asks for the next step at once.
func TestApplyIsBounded(t *testing.T) {
	const length, maxPerStep = 1000, 64
	now := time.Unix(1_000_000, 0)
	stored := Bootstrap[int]([]Member{{Name: "n1", DiskID: "d1"}}, 0)
	for i := range length {
		stored.Entries = append(stored.Entries, Entry[int]{Index: uint64(i) + 2, Term: 1, Kind: CommandEntry, Command: 1})
	}
	cfg := Config[int, int, int]{
		Name: "n1", DiskID: "d1", MaxApplyPerStep: maxPerStep, CompactAfter: 10 * length,
		Apply: func(s int, _ time.Time, c int) (int, int) { return s + c, 0 },
	}
	s := NewState(now, cfg, stored)
	steps := 0
	for s.Machine() < length && steps < length {
		now = now.Add(2 * time.Second)
		var e Effects[int, int, int]
		s, e = s.Tick(now)
		must.LessEq(t, maxPerStep, e.Applied)
		if s.Machine() > 0 && s.Machine() < length {
			must.EqOp(t, now, s.WakeAt(now))
		}
		steps++
	}
	must.EqOp(t, length, s.Machine())
}
