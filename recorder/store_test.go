package recorder

import (
	"encoding/binary"
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
	testStore       = Store[keeper.Command, keeper.State, keeper.Result]
	testStoreConfig = StoreConfig[keeper.Command, keeper.State, keeper.Result]
	testStoredState = replicator.StoredState[keeper.Command, keeper.State]
	testWrite       = replicator.Write[keeper.Command, keeper.State]
	testEntry       = replicator.Entry[keeper.Command]
)

func initialState() testStoredState {
	return replicator.Bootstrap[keeper.Command]([]replicator.Member{{Name: "a", DiskID: "a/first"}}, keeper.NewState())
}

func openStore(t *testing.T, folder string, hasDiskID bool) (*testStore, testStoredState, error) {
	t.Helper()
	return OpenStore(testStoreConfig{Folder: folder, Group: "group", Codec: encoder.DeclarationsCodec(), Initial: initialState(), HasDiskID: hasDiskID})
}

func entry(index uint64) testEntry {
	return testEntry{
		Index: index, Term: 2, At: time.Unix(100, 5), Kind: replicator.CommandEntry, Origin: "a", ProposalID: index,
		Command: keeper.Command{Kind: keeper.Register, Instance: keeper.Instance{Name: "w", Incarnation: index}},
	}
}

// TestStore checks the state read back from an intact and from a damaged log: a torn last write is
// truncated, and any other damage is reported as corrupt.
func TestStore(t *testing.T) {
	tests := map[string]struct {
		damage  func(t *testing.T, log string)
		want    []uint64 // indexes of the entries read back
		wantErr error
	}{
		"intact log": {damage: func(*testing.T, string) {}, want: []uint64{2, 3, 4}},
		"last write torn": {
			damage: func(t *testing.T, log string) { edit(t, log, func(b []byte) []byte { return b[:len(b)-3] }) },
			want:   []uint64{2, 3},
		},
		"bit of the last record flipped": {
			damage:  func(t *testing.T, log string) { edit(t, log, func(b []byte) []byte { b[len(b)-2] ^= 1; return b }) },
			wantErr: ErrCorrupt,
		},
		"bit of an early payload flipped": {
			damage: func(t *testing.T, log string) {
				edit(t, log, func(b []byte) []byte {
					second := headerBytes + int(binary.LittleEndian.Uint32(b)) // the log begins with the record of the bootstrap
					b[second+headerBytes+4] ^= 1
					return b
				})
			},
			wantErr: ErrCorrupt,
		},
		"bit of a length flipped": {
			damage:  func(t *testing.T, log string) { edit(t, log, func(b []byte) []byte { b[1] ^= 0x40; return b }) },
			wantErr: ErrCorrupt,
		},
		"log missing beside a disk ID and a snapshot": {
			damage:  func(t *testing.T, log string) { must.NoError(t, os.Remove(log)) },
			wantErr: ErrCorrupt,
		},
		"files missing, disk ID present": {
			damage: func(t *testing.T, log string) {
				must.NoError(t, os.Remove(log))
				must.NoError(t, os.Remove(filepath.Join(filepath.Dir(log), "group.snapshot")))
			},
			wantErr: ErrCorrupt,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			s, _, err := openStore(t, folder, false)
			must.NoError(t, err)
			must.NoError(t, s.Append(testWrite{Term: 2, VotedFor: "a", ReplaceFrom: 2, Entries: []testEntry{entry(2), entry(3)}}))
			must.NoError(t, s.Append(testWrite{Term: 2, VotedFor: "a", ReplaceFrom: 4, Entries: []testEntry{entry(4)}}))
			must.NoError(t, s.Sync())
			must.NoError(t, s.Close())
			tc.damage(t, filepath.Join(folder, "group.log"))
			_, stored, err := openStore(t, folder, true)
			must.ErrorIs(t, err, tc.wantErr)
			if tc.wantErr != nil {
				return
			}
			var got []uint64
			for _, e := range stored.Entries {
				must.Eq(t, entry(e.Index).Command, e.Command)
				got = append(got, e.Index)
			}
			must.Eq(t, tc.want, got)
			must.Eq(t, uint64(2), stored.Term)
		})
	}
}

// TestStoreSnapshot checks that a snapshot, the entries in the same write and a later write are
// read back.
func TestStoreSnapshot(t *testing.T) {
	folder := t.TempDir()
	s, _, err := openStore(t, folder, false)
	must.NoError(t, err)
	state, _ := keeper.NewState().Apply(time.Unix(50, 0), keeper.Command{Kind: keeper.Register, Instance: keeper.Instance{Name: "w", Incarnation: 3}})
	snapshot := replicator.Snapshot[keeper.State]{Index: 9, Term: 2, Machine: state}
	must.NoError(t, s.Append(testWrite{Term: 2, Snapshot: &snapshot, ReplaceFrom: 8, Entries: []testEntry{entry(8), entry(9), entry(10)}}))
	must.NoError(t, s.Append(testWrite{Term: 3, ReplaceFrom: 11, Entries: []testEntry{entry(11)}}))
	must.NoError(t, s.Sync())
	must.NoError(t, s.Close())
	_, stored, err := openStore(t, folder, true)
	must.NoError(t, err)
	must.Eq(t, uint64(9), stored.Snapshot.Index)
	must.Eq(t, state.Snapshot(), stored.Snapshot.Machine.Snapshot())
	must.Len(t, 4, stored.Entries)
	must.Eq(t, uint64(3), stored.Term)
}

func edit(t *testing.T, path string, modify func([]byte) []byte) {
	t.Helper()
	data, err := os.ReadFile(path)
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(path, modify(data), fileMode))
}

// FuzzSplit checks that splitRecords does not panic, whatever the data, and that without an error the
// records that it returns are as long as the number of valid bytes.
func FuzzSplit(f *testing.F) {
	f.Add(frameRecord([]byte("a record")))
	f.Add(append(frameRecord([]byte("one")), frameRecord(nil)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		payloads, validBytes, err := splitRecords(data)
		if validBytes > len(data) {
			t.Fatalf("splitRecords found %d valid bytes in %d bytes", validBytes, len(data))
		}
		if err != nil {
			return
		}
		n := 0
		for _, p := range payloads {
			n += headerBytes + len(p)
		}
		if n != validBytes {
			t.Fatalf("records have %d bytes, splitRecords returned %d valid bytes", n, validBytes)
		}
	})
}
