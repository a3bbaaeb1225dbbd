package recorder

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/buffer"
	"laburnumwind/encoder"
	"laburnumwind/keeper"
	"laburnumwind/replicator"
)

// failingDisk fails the syncs whose numbers are listed, counted from 1.
type failingDisk struct {
	fails map[int]bool
	syncs int
}

func (d *failingDisk) sync(f *os.File) error {
	d.syncs++
	if d.fails[d.syncs] {
		return fmt.Errorf("sync %s: %w", f.Name(), syscall.EIO)
	}
	return f.Sync()
}

// openFailing returns a store whose syncs fail as listed, counted from after it was opened.
func openFailing(t *testing.T, folder string, fails ...int) *testStore {
	t.Helper()
	d := &failingDisk{}
	s, _, err := OpenStore(testStoreConfig{Folder: folder, Group: "group", Codec: encoder.DeclarationsCodec(), Initial: initialState(), SyncFile: d.sync})
	must.NoError(t, err)
	d.syncs, d.fails = 0, make(map[int]bool)
	for _, n := range fails {
		d.fails[n] = true
	}
	return s
}

// entriesOnDisk returns the indexes of the entries that a restarted process reads.
func entriesOnDisk(t *testing.T, folder string) []uint64 {
	t.Helper()
	s, stored, err := openStore(t, folder, true)
	must.NoError(t, err)
	must.NoError(t, s.Close())
	var indexes []uint64
	for _, e := range stored.Entries {
		indexes = append(indexes, e.Index)
	}
	return indexes
}

// TestFailedSync guards against a voter that ends when a sync fails, and against one that goes on with writes that never
// reached the disk: the operating system reports the next sync as a success without them.
func TestFailedSync(t *testing.T) {
	write := func(index uint64) testWrite {
		return testWrite{Term: 2, ReplaceFrom: index, Entries: []testEntry{entry(index)}}
	}
	snapshot := func(index uint64) testWrite {
		w := write(index)
		w.Snapshot = &replicator.Snapshot[keeper.State]{Index: index - 1, Term: 2, Machine: keeper.NewState()}
		return w
	}
	tests := map[string]struct {
		fails    []int
		batches  [][]testWrite
		restarts []uint64 // entries that a process reads which is restarted after the last failed sync
		want     []uint64
	}{
		"no failure":                    {batches: [][]testWrite{{write(2)}, {write(3), write(4)}}, want: []uint64{2, 3, 4}},
		"once":                          {fails: []int{2}, batches: [][]testWrite{{write(2)}, {write(3), write(4)}}, restarts: []uint64{2}, want: []uint64{2, 3, 4}},
		"twice":                         {fails: []int{2, 3}, batches: [][]testWrite{{write(2)}, {write(3), write(4)}}, restarts: []uint64{2}, want: []uint64{2, 3, 4}},
		"the first sync":                {fails: []int{1}, batches: [][]testWrite{{write(2)}, {write(3)}}, want: []uint64{2, 3}},
		"in two batches":                {fails: []int{1, 3, 4}, batches: [][]testWrite{{write(2)}, {write(3)}}, restarts: []uint64{2}, want: []uint64{2, 3}},
		"of a snapshot":                 {fails: []int{2}, batches: [][]testWrite{{write(2)}, {snapshot(3)}, {write(4)}}, restarts: []uint64{2}, want: []uint64{3, 4}},
		"after a snapshot":              {fails: []int{6}, batches: [][]testWrite{{snapshot(3)}, {write(4)}}, restarts: []uint64{3}, want: []uint64{3, 4}},
		"of the log's new folder entry": {fails: []int{5}, batches: [][]testWrite{{write(2)}, {snapshot(3)}, {write(4)}}, restarts: []uint64{3}, want: []uint64{3, 4}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			s := openFailing(t, folder, tt.fails...)
			var read []uint64
			try := func(f func() error) {
				for f() != nil {
					must.NoError(t, WriteDiskID(folder, "d"))
					copied := t.TempDir()
					must.NoError(t, os.CopyFS(copied, os.DirFS(folder)))
					read = entriesOnDisk(t, copied)
				}
			}
			for _, batch := range tt.batches {
				for _, w := range batch {
					try(func() error { return s.Append(w) })
				}
				try(s.Sync)
			}
			must.NoError(t, s.Close())
			must.Eq(t, tt.restarts, read)
			must.Eq(t, tt.want, entriesOnDisk(t, folder))
		})
	}
}

// TestRecorderGoesOn checks that a recorder whose disk fails for a while reports this once, sends nothing meanwhile, and
// then goes on.
func TestRecorderGoesOn(t *testing.T) {
	tests := map[string]struct{ fails []int }{
		"one sync fails":    {fails: []int{1}},
		"three syncs fail":  {fails: []int{1, 2, 3}},
		"a later one fails": {fails: []int{2}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			store := openFailing(t, folder, tt.fails...)
			events := buffer.NewRing[string](16)
			r := NewRecorder(Config[keeper.Command, keeper.State, keeper.Result]{
				Store:       store,
				Send:        func(m testMessage) { events.TryPut("sent to " + m.To) },
				OnPersisted: func(p replicator.Persisted) { events.TryPut(fmt.Sprint("persisted ", p.Index)) },
				OnSync:      func(int, time.Duration) {},
				OnDiskError: func(err error) { events.TryPut(fmt.Sprint("disk fails: ", err != nil)) },
				OnFailure:   func(err error) { events.TryPut(err.Error()) },
			})
			var want []string
			for index := uint64(2); index <= 3; index++ {
				if (index == 2) == (tt.fails[0] == 1) {
					want = append(want, "disk fails: true", "disk fails: false")
				}
				want = append(want, "sent to b", fmt.Sprint("persisted ", index))
				putEntry(r, index)
				for len(events.Out()) < len(want) {
					time.Sleep(time.Millisecond)
				}
			}
			r.Stop()
			must.NoError(t, store.Close())
			var got []string
			for range len(want) {
				got = append(got, <-events.Out())
			}
			must.Eq(t, want, got)
			must.EqOp(t, 0, len(events.Out()))
			must.NoError(t, WriteDiskID(folder, "d"))
			must.Eq(t, []uint64{2, 3}, entriesOnDisk(t, folder))
			must.FileExists(t, filepath.Join(folder, "group.log"))
		})
	}
}

// TestPowerLossInABatch guards against a log that cannot be read after a power loss, because a later write of a batch was
// on the disk and an earlier one was not: whatever is left of the last batch, the log is readable up to it.
func TestPowerLossInABatch(t *testing.T) {
	folder := t.TempDir()
	s := openFailing(t, folder)
	must.NoError(t, s.Append(testWrite{Term: 2, ReplaceFrom: 2, Entries: []testEntry{entry(2)}}))
	must.NoError(t, s.Sync())
	must.NoError(t, WriteDiskID(folder, "d"))
	before, err := os.ReadFile(filepath.Join(folder, "group.log"))
	must.NoError(t, err)
	for index := uint64(3); index <= 6; index++ {
		must.NoError(t, s.Append(testWrite{Term: 2, ReplaceFrom: index, Entries: []testEntry{entry(index)}}))
		now, err := os.ReadFile(filepath.Join(folder, "group.log"))
		must.NoError(t, err)
		must.EqOp(t, len(before), len(now), must.Sprint("a write of the batch has reached the file before its sync"))
	}
	must.NoError(t, s.Sync())
	must.NoError(t, s.Close())
	after, err := os.ReadFile(filepath.Join(folder, "group.log"))
	must.NoError(t, err)
	for kept := len(before); kept <= len(after); kept++ {
		must.NoError(t, os.WriteFile(filepath.Join(folder, "group.log"), after[:kept], fileMode))
		must.GreaterEq(t, 1, len(entriesOnDisk(t, folder)))
	}
}
