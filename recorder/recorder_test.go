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

// TestNothingGoesBeforeItIsSynced checks what a voter's disk lets go: replies and
// the news of a sync after it, and nothing at all once it is full or unplugged.
func TestNothingGoesBeforeItIsSynced(t *testing.T) {
	tests := map[string]struct {
		harm func(t *testing.T, s *testStore)
		want error
	}{
		"a good disk": {harm: func(*testing.T, *testStore) {}},
		"a full disk": {want: syscall.ENOSPC, harm: func(t *testing.T, s *testStore) {
			full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
			must.NoError(t, err)
			must.NoError(t, s.log.Close())
			s.log = full
		}},
		"a disk that is gone": {want: os.ErrClosed, harm: func(t *testing.T, s *testStore) {
			must.NoError(t, s.log.Close())
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			store, _, err := open(t, t.TempDir(), false)
			must.NoError(t, err)
			tc.harm(t, store)
			sent := buffer.NewRing[testMessage](4)
			persisted := buffer.NewRing[replicator.Persisted](4)
			failed := buffer.NewRing[error](4)
			r := NewRecorder(Config[keeper.Command, keeper.State, keeper.Result]{
				Store:     store,
				Send:      func(m testMessage) { sent.TryPut(m) },
				Persisted: func(p replicator.Persisted) { persisted.TryPut(p) },
				Synced:    func(int, time.Duration) {},
				Full:      func(err error) { failed.TryPut(err) },
				Failed:    func(err error) { failed.TryPut(err) },
			})
			put(r, 2)
			if tc.want == nil {
				must.Eq(t, "b", (<-sent.Out()).To)
				must.Eq(t, replicator.Persisted{Index: 2, Term: 2}, <-persisted.Out())
				r.Stop()
				must.NoError(t, store.Close())
				return
			}
			must.ErrorIs(t, <-failed.Out(), tc.want)
			put(r, 3)
			r.Stop()
			_, ok := sent.TryTake()
			must.False(t, ok, must.Sprint("a reply went out without a sync"))
			_, ok = persisted.TryTake()
			must.False(t, ok, must.Sprint("a write counts as synced"))
		})
	}
}

func put(r *testRecorder, index uint64) {
	r.Put(assembler.Write[keeper.Command, keeper.State, keeper.Result]{
		Write:  &testWrite{Term: 2, From: index, Entries: []testEntry{entry(index)}},
		Synced: []testMessage{{Kind: replicator.AppendReply, To: "b"}},
	})
}

// TestFullDisk checks that a write to a full disk waits for room and is then there whole.
func TestFullDisk(t *testing.T) {
	folder := t.TempDir()
	store, _, err := open(t, folder, false)
	must.NoError(t, err)
	log := store.log
	store.log, err = os.OpenFile("/dev/full", os.O_WRONLY, 0)
	must.NoError(t, err)
	var told []bool
	cfg := Config[keeper.Command, keeper.State, keeper.Result]{Store: store, Full: func(err error) {
		told = append(told, err != nil)
		store.log = log
	}}
	must.NoError(t, appendWhenRoom(t.Context(), cfg, testWrite{Term: 2, From: 2, Entries: []testEntry{entry(2)}}))
	must.Eq(t, []bool{true, false}, told)
	must.NoError(t, store.Close())
	_, disk, err := open(t, folder, true)
	must.NoError(t, err)
	must.Len(t, 1, disk.Entries)
}
