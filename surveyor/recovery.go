package surveyor

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"laburnumwind/assembler"
	"laburnumwind/claimer"
	"laburnumwind/encoder"
	"laburnumwind/messenger"
	"laburnumwind/recorder"
	"laburnumwind/replicator"
)

// Recovery is the result of restarting the only voter of a group: how long it takes until
// it leads and has applied its log.
type Recovery struct {
	Entries int           // commands written to the log
	Bytes   int64         // size of the log and the snapshot on disk
	Open    time.Duration // to open and read the files
	Apply   time.Duration // from then until all entries are applied; the election timeout passes in simulated time and is not included
}

const (
	recoveryBatch = 64 // proposals that are written and synced together
	voterName     = "v0"
	claimsGroup   = "claims"
)

type claimsStore = recorder.Store[claimer.Command, claimer.Claims, claimer.Result]

// MeasureRecovery writes claims and their settlements to a log on disk, as a voter does,
// and measures a restart of the voter. It returns an error if the restarted voter has not
// applied every entry.
func MeasureRecovery(entries int) (Recovery, error) {
	r := Recovery{Entries: entries}
	folder, err := os.MkdirTemp("", "laburnumlab-")
	if err != nil {
		return r, fmt.Errorf("create temporary folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }() // a leftover temporary folder does no harm
	now := time.Unix(1_800_000_000, 0)
	err = writeLog(now, folder, entries)
	if err != nil {
		return r, fmt.Errorf("write log: %w", err)
	}
	files, err := filepath.Glob(filepath.Join(folder, "*"))
	if err != nil {
		return r, fmt.Errorf("list files: %w", err)
	}
	for _, f := range files {
		info, err := os.Stat(f)
		if err != nil {
			return r, fmt.Errorf("stat file: %w", err)
		}
		r.Bytes += info.Size()
	}
	started := time.Now()
	store, stored, err := openClaims(folder)
	if err != nil {
		return r, err
	}
	defer func() { _ = store.Close() }() // nothing has been written since the last sync
	r.Open = time.Since(started)
	started = time.Now()
	node, err := startLeader(now.Add(time.Hour), store, stored)
	r.Apply = time.Since(started)
	if err == nil && node.Applied() < uint64(entries) {
		err = fmt.Errorf("applied %d of %d entries: %w", node.Applied(), entries, recorder.ErrCorrupt)
	}
	return r, err
}

// openClaims opens or creates the claims log in a folder.
func openClaims(folder string) (*claimsStore, assembler.ClaimsStoredState, error) {
	members := []replicator.Member{{Name: voterName, DiskID: recorder.InitialDiskID(voterName)}}
	first := replicator.Bootstrap[claimer.Command](members, claimer.NewClaims())
	store, stored, err := recorder.OpenStore(recorder.StoreConfig[claimer.Command, claimer.Claims, claimer.Result]{Folder: folder, Group: claimsGroup, Codec: encoder.ClaimsCodec(), Initial: first})
	if err != nil {
		return nil, stored, fmt.Errorf("open log: %w", err)
	}
	return store, stored, nil
}

// startLeader starts the only voter of a group, lets its election timeout pass and persists
// the writes of the election. It returns the node as leader.
func startLeader(now time.Time, store *claimsStore, stored assembler.ClaimsStoredState) (assembler.ClaimsState, error) {
	cfg := assembler.ClaimsConfig{Name: voterName, DiskID: recorder.InitialDiskID(voterName), Durable: true, Apply: claimer.Claims.Apply}
	node := replicator.NewState(now, cfg, stored)
	at := node.WakeAt(now)
	node, effects := node.Tick(at)
	return persist(at, store, node, effects.Write)
}

// persist appends and syncs a write and reports it to the node, and repeats this with the
// next write that the node requests. It ends when the node requests none, or after a write
// without entries.
func persist(now time.Time, store *claimsStore, node assembler.ClaimsState, w *replicator.Write[claimer.Command, claimer.Claims]) (assembler.ClaimsState, error) {
	for w != nil {
		err := store.Append(*w)
		if err == nil {
			err = store.Sync()
		}
		if err != nil {
			return node, fmt.Errorf("append to log: %w", err)
		}
		if len(w.Entries) == 0 {
			return node, nil
		}
		last := w.Entries[len(w.Entries)-1]
		var effects replicator.Effects[claimer.Command, claimer.Claims, claimer.Result]
		node, effects = node.Persisted(now, replicator.Persisted{Index: last.Index, Term: last.Term})
		w = effects.Write
	}
	return node, nil
}

// writeLog writes a log of a number of entries, recoveryBatch at a time, and closes it.
func writeLog(now time.Time, folder string, entries int) error {
	store, stored, err := openClaims(folder)
	if err != nil {
		return err
	}
	node, err := startLeader(now, store, stored)
	if err != nil {
		return err
	}
	for n := 0; n < entries; n += recoveryBatch {
		now = now.Add(time.Millisecond)
		var proposals []replicator.Proposal[claimer.Command]
		for k := n; k < min(n+recoveryBatch, entries); k++ {
			proposals = append(proposals, replicator.Proposal[claimer.Command]{ProposalID: uint64(k), Command: claimCommand(now, k)})
		}
		var effects replicator.Effects[claimer.Command, claimer.Claims, claimer.Result]
		node, effects = node.Propose(now, proposals...)
		node, err = persist(now, store, node, effects.Write)
		if err != nil {
			return err
		}
	}
	return store.Close()
}

// claimCommand returns a claim for an even k, and the settlement of that claim for
// the following odd k.
func claimCommand(now time.Time, k int) claimer.Command {
	c := claimer.Command{
		Kind: claimer.ClaimFirst, Customer: "school", Key: fmt.Sprintf("key-%d", k/2), Digest: "d", AttemptID: fmt.Sprintf("v0-run-%d", k/2),
		Endpoint: messenger.Endpoint{Instance: "worker-0001", Address: "10.0.0.1:8000"}, Deadline: now.Add(time.Minute),
	}
	if k%2 == 1 {
		c.Kind = claimer.SettleKey
		c.Answer = messenger.Answer{Outcome: messenger.Answered, Status: 200, Body: []byte("done")}
	}
	return c
}
