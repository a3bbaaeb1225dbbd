package recorder

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/encoder"
	"laburnumwind/keeper"
	"laburnumwind/replicator"
)

type (
	testStore = Store[keeper.Command, keeper.State, keeper.Result]
	testDisk  = replicator.Disk[keeper.Command, keeper.State]
	testWrite = replicator.Write[keeper.Command, keeper.State]
	testEntry = replicator.Entry[keeper.Command]
)

func emptyDisk() testDisk {
	return replicator.Bootstrap[keeper.Command]([]replicator.Member{{Name: "a", Disk: "a/first"}}, keeper.NewState())
}

func open(t *testing.T, folder string, identified bool) (*testStore, testDisk, error) {
	t.Helper()
	return OpenStore(folder, "group", encoder.DeclarationsCodec(), emptyDisk(), identified)
}

func entry(index uint64) testEntry {
	return testEntry{
		Index: index, Term: 2, At: time.Unix(100, 5), Kind: replicator.CommandOf, Origin: "a", Ticket: index,
		Command: keeper.Command{Kind: keeper.Register, Instance: keeper.Instance{Name: "w", Incarnation: index}},
	}
}

func TestStore(t *testing.T) {
	tests := map[string]struct {
		harm    func(t *testing.T, log string)
		want    []uint64 // indexes of the entries found
		wantErr error
	}{
		"whole": {harm: func(*testing.T, string) {}, want: []uint64{2, 3, 4}},
		"the last write is torn": {
			harm: func(t *testing.T, log string) { change(t, log, func(b []byte) []byte { return b[:len(b)-3] }) },
			want: []uint64{2, 3},
		},
		"a byte of the last record is flipped": {
			harm:    func(t *testing.T, log string) { change(t, log, func(b []byte) []byte { b[len(b)-2] ^= 1; return b }) },
			wantErr: ErrCorrupt,
		},
		"a byte of an early record is flipped": {
			harm: func(t *testing.T, log string) {
				change(t, log, func(b []byte) []byte { b[headerBytes+4] ^= 1; return b })
			},
			wantErr: ErrCorrupt,
		},
		"a length is flipped": {
			harm:    func(t *testing.T, log string) { change(t, log, func(b []byte) []byte { b[1] ^= 0x40; return b }) },
			wantErr: ErrCorrupt,
		},
		"the log is gone and the identity is not": {
			harm: func(t *testing.T, log string) {
				must.NoError(t, os.Remove(log))
				must.NoError(t, os.Remove(filepath.Join(filepath.Dir(log), "group.snapshot")))
			},
			wantErr: ErrCorrupt,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			s, _, err := open(t, folder, false)
			must.NoError(t, err)
			must.NoError(t, s.Append(testWrite{Term: 2, VotedFor: "a", From: 2, Entries: []testEntry{entry(2), entry(3)}}))
			must.NoError(t, s.Append(testWrite{Term: 2, VotedFor: "a", From: 4, Entries: []testEntry{entry(4)}}))
			must.NoError(t, s.Sync())
			must.NoError(t, s.Close())
			tc.harm(t, filepath.Join(folder, "group.log"))
			_, disk, err := open(t, folder, true)
			must.ErrorIs(t, err, tc.wantErr)
			if tc.wantErr != nil {
				return
			}
			var got []uint64
			for _, e := range disk.Entries {
				must.Eq(t, entry(e.Index).Command, e.Command)
				got = append(got, e.Index)
			}
			must.Eq(t, tc.want, got)
			must.Eq(t, uint64(2), disk.Term)
		})
	}
}

func TestStoreSnapshot(t *testing.T) {
	folder := t.TempDir()
	s, _, err := open(t, folder, false)
	must.NoError(t, err)
	state, _ := keeper.NewState().Apply(time.Unix(50, 0), keeper.Command{Kind: keeper.Register, Instance: keeper.Instance{Name: "w", Incarnation: 3}})
	snapshot := replicator.Snapshot[keeper.State]{Index: 9, Term: 2, Machine: state}
	must.NoError(t, s.Append(testWrite{Term: 2, Snapshot: &snapshot, From: 8, Entries: []testEntry{entry(8), entry(9), entry(10)}}))
	must.NoError(t, s.Append(testWrite{Term: 3, From: 11, Entries: []testEntry{entry(11)}}))
	must.NoError(t, s.Sync())
	must.NoError(t, s.Close())
	_, disk, err := open(t, folder, true)
	must.NoError(t, err)
	must.Eq(t, uint64(9), disk.Snapshot.Index)
	must.Eq(t, state.Image(), disk.Snapshot.Machine.Image())
	must.Len(t, 4, disk.Entries)
	must.Eq(t, uint64(3), disk.Term)
}

func change(t *testing.T, path string, harm func([]byte) []byte) {
	t.Helper()
	data, err := os.ReadFile(path)
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(path, harm(data), fileMode))
}

func FuzzSplit(f *testing.F) {
	f.Add(frame([]byte("a record")))
	f.Add(append(frame([]byte("one")), frame(nil)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		payloads, whole, err := split(data)
		if whole > len(data) {
			t.Fatalf("%d whole bytes of %d", whole, len(data))
		}
		if err != nil {
			return
		}
		n := 0
		for _, p := range payloads {
			n += headerBytes + len(p)
		}
		if n != whole {
			t.Fatalf("records of %d bytes in %d", n, whole)
		}
	})
}
