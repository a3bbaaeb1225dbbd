package recorder

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/assembler"
	"laburnumwind/buffer"
	"laburnumwind/keeper"
	"laburnumwind/replicator"
)

type (
	testMessage  = replicator.Message[keeper.Command, keeper.State, keeper.Result]
	testRecorder = Recorder[keeper.Command, keeper.State, keeper.Result]
)

// TestNothingIsSentBeforeSync checks that replies are sent and entries are reported as
// persisted only after a sync, and never if the disk is full or gone.
func TestNothingIsSentBeforeSync(t *testing.T) {
	tests := map[string]struct {
		damage func(t *testing.T, s *testStore)
		want   error
	}{
		"working disk": {damage: func(*testing.T, *testStore) {}},
		"full disk": {want: syscall.ENOSPC, damage: func(t *testing.T, s *testStore) {
			devFull, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
			must.NoError(t, err)
			must.NoError(t, s.log.Close())
			s.log = devFull
		}},
		"disk gone": {want: os.ErrClosed, damage: func(t *testing.T, s *testStore) {
			must.NoError(t, s.log.Close())
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			store, _, err := openStore(t, t.TempDir(), false)
			must.NoError(t, err)
			tc.damage(t, store)
			sent := buffer.NewRing[testMessage](4)
			persisted := buffer.NewRing[replicator.Persisted](4)
			failed := buffer.NewRing[error](4)
			r := NewRecorder(Config[keeper.Command, keeper.State, keeper.Result]{
				Store:       store,
				Send:        func(m testMessage) { sent.TryPut(m) },
				OnPersisted: func(p replicator.Persisted) { persisted.TryPut(p) },
				OnSync:      func(int, time.Duration) {},
				OnDiskError: func(err error) { failed.TryPut(err) },
				OnFailure:   func(err error) { failed.TryPut(err) },
			})
			putEntry(r, 2)
			if tc.want == nil {
				must.Eq(t, "b", (<-sent.Out()).To)
				must.Eq(t, replicator.Persisted{Index: 2, Term: 2}, <-persisted.Out())
				r.Stop()
				must.NoError(t, store.Close())
				return
			}
			must.ErrorIs(t, <-failed.Out(), tc.want)
			putEntry(r, 3)
			r.Stop()
			_, ok := sent.TryTake()
			must.False(t, ok, must.Sprint("a reply was sent without a sync"))
			_, ok = persisted.TryTake()
			must.False(t, ok, must.Sprint("an unsynced write was reported as persisted"))
		})
	}
}

// putEntry queues a write of one entry together with a reply that must wait for its sync.
func putEntry(r *testRecorder, index uint64) {
	r.Put(assembler.Write[keeper.Command, keeper.State, keeper.Result]{
		Write:     &testWrite{Term: 2, ReplaceFrom: index, Entries: []testEntry{entry(index)}},
		AfterSync: []testMessage{{Kind: replicator.AppendReply, To: "b"}},
	})
}

// TestFullDisk checks that a write to a full disk waits until there is room and is then
// written completely.
func TestFullDisk(t *testing.T) {
	folder := t.TempDir()
	store, _, err := openStore(t, folder, false)
	must.NoError(t, err)
	log := store.log
	store.log, err = os.OpenFile("/dev/full", os.O_WRONLY, 0)
	must.NoError(t, err)
	var fullReports []bool
	cfg := Config[keeper.Command, keeper.State, keeper.Result]{Store: store, OnDiskError: func(err error) {
		fullReports = append(fullReports, err != nil)
		store.log = log
	}}
	must.NoError(t, store.Append(testWrite{Term: 2, ReplaceFrom: 2, Entries: []testEntry{entry(2)}}))
	must.NoError(t, Retry(t.Context(), cfg.OnDiskError, store.Sync))
	must.Eq(t, []bool{true, false}, fullReports)
	must.NoError(t, store.Close())
	_, stored, err := openStore(t, folder, true)
	must.NoError(t, err)
	must.Len(t, 1, stored.Entries)
}
