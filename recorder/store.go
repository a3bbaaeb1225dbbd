package recorder

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"laburnumwind/encoder"
	"laburnumwind/replicator"
)

// File modes that give access to the data folder only to the user that runs the daemon.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// StoreConfig configures a Store.
type StoreConfig[C, S, R any] struct {
	Folder    string
	Group     string // name of the files without extension
	Codec     encoder.Codec[C, S, R]
	Initial   replicator.StoredState[C, S] // state of a group that has neither a log nor a snapshot
	HasDiskID bool                         // the folder has a disk ID, so the log must exist
	SyncFile  func(*os.File) error         // makes the writes of a file durable; nil: (*os.File).Sync
}

// Store is the log and the snapshot of one group in a data folder.
type Store[C, S, R any] struct {
	cfg          StoreConfig[C, S, R]
	log          *os.File
	durableBytes int64  // length of the part of the log that is known to be on the disk
	unsynced     []byte // records that follow that part; the next sync writes them
	tailInvalid  bool   // the file may be longer than durableBytes, since a write or a sync has failed
}

// OpenStore opens the files of a group and returns the state on disk. If the group has
// neither a log nor a snapshot, OpenStore returns the initial state and, if that has a
// snapshot, writes it to disk. With HasDiskID set, it returns an error that wraps ErrCorrupt
// if there is no log, since a disk ID is written only after the logs on its disk: the term
// and the vote of the node would be lost with the log. OpenStore also returns such an error
// if a record of the log or the snapshot is corrupt.
func OpenStore[C, S, R any](cfg StoreConfig[C, S, R]) (*Store[C, S, R], replicator.StoredState[C, S], error) {
	if cfg.SyncFile == nil {
		cfg.SyncFile = (*os.File).Sync
	}
	s := &Store[C, S, R]{cfg: cfg}
	err := os.MkdirAll(cfg.Folder, folderMode)
	if err != nil {
		return nil, cfg.Initial, fmt.Errorf("create data folder: %w", err)
	}
	stored, found, err := s.load(cfg.Initial)
	if err != nil {
		return nil, cfg.Initial, fmt.Errorf("load %s: %w", cfg.Group, err)
	}
	if !found.log && cfg.HasDiskID {
		return nil, cfg.Initial, fmt.Errorf("%s is missing: %w", s.path("log"), ErrCorrupt)
	}
	if !found.log && !found.snapshot && stored.Snapshot.Index > 0 {
		err = s.rewrite(replicator.Write[C, S]{Term: stored.Term, Snapshot: &stored.Snapshot})
		if err != nil {
			return nil, cfg.Initial, fmt.Errorf("write initial snapshot of %s: %w", cfg.Group, err)
		}
		return s, stored, nil
	}
	s.log, err = os.OpenFile(s.path("log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, cfg.Initial, fmt.Errorf("open log: %w", err)
	}
	err = cfg.SyncFile(s.log) // a process that was killed may have left records that are not durable yet
	if err == nil {
		err = syncFolder(cfg.Folder, cfg.SyncFile)
	}
	if err != nil {
		return nil, cfg.Initial, fmt.Errorf("sync log of %s: %w", cfg.Group, errors.Join(err, s.log.Close()))
	}
	return s, stored, nil
}

func (s *Store[C, S, R]) path(extension string) string {
	return filepath.Join(s.cfg.Folder, s.cfg.Group+"."+extension)
}

// foundFiles tells which files of a group exist.
type foundFiles struct{ log, snapshot bool }

// load reads the snapshot and the log, and truncates a torn write at the end of the log.
// It reports which files the group has.
func (s *Store[C, S, R]) load(stored replicator.StoredState[C, S]) (replicator.StoredState[C, S], foundFiles, error) {
	var found foundFiles
	snapshot, err := os.ReadFile(s.path("snapshot"))
	if err == nil {
		found.snapshot = true
		stored, err = s.loadSnapshot(stored, snapshot)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return stored, found, fmt.Errorf("read snapshot: %w", err)
	}
	data, err := os.ReadFile(s.path("log"))
	if errors.Is(err, os.ErrNotExist) {
		return stored, found, nil
	}
	if err != nil {
		return stored, found, fmt.Errorf("read log: %w", err)
	}
	found.log = true
	payloads, validBytes, err := splitRecords(data)
	if err != nil {
		return stored, found, fmt.Errorf("%s at byte %d: %w", s.path("log"), validBytes, err)
	}
	if validBytes < len(data) {
		err = os.Truncate(s.path("log"), int64(validBytes))
		if err != nil {
			return stored, found, fmt.Errorf("truncate torn write: %w", err)
		}
	}
	s.durableBytes = int64(validBytes)
	var decodeErr error
	stored = stored.Replay(func(yield func(replicator.Write[C, S]) bool) {
		for _, p := range payloads {
			w, err := s.cfg.Codec.UnmarshalWrite(p)
			if err != nil {
				decodeErr = fmt.Errorf("decode log: %w", err)
				return
			}
			if !yield(w) {
				return
			}
		}
	})
	return stored, found, decodeErr
}

func (s *Store[C, S, R]) loadSnapshot(stored replicator.StoredState[C, S], data []byte) (replicator.StoredState[C, S], error) {
	payloads, validBytes, err := splitRecords(data)
	if err != nil || len(payloads) != 1 || validBytes != len(data) {
		return stored, fmt.Errorf("%s: %w", s.path("snapshot"), ErrCorrupt)
	}
	w, err := s.cfg.Codec.UnmarshalWrite(payloads[0])
	if err != nil {
		return stored, fmt.Errorf("decode: %w", err)
	}
	stored.Term, stored.VotedFor = w.Term, w.VotedFor
	if w.Snapshot != nil {
		stored.Snapshot = *w.Snapshot
	}
	stored.Entries = nil
	return stored, nil
}

// Append adds a write to those that the next sync appends to the log, or rewrites the snapshot and the
// log if the write has a snapshot.
func (s *Store[C, S, R]) Append(w replicator.Write[C, S]) error {
	if w.Snapshot != nil {
		err := s.rewrite(w)
		if err != nil {
			return fmt.Errorf("rewrite %s: %w", s.cfg.Group, err)
		}
		return nil
	}
	data, err := s.cfg.Codec.MarshalWrite(w)
	if err != nil {
		return fmt.Errorf("append to %s: %w", s.cfg.Group, err)
	}
	s.unsynced = append(s.unsynced, frameRecord(data)...)
	return nil
}

// Sync appends all added writes to the log and makes them durable. It appends them with a single write: of several, a
// power loss could keep a later one and lose an earlier one, which would read as corrupt. After a failed sync it is
// unknown what is on the disk, and the operating system may report the next sync as a success although the data is not.
// So Sync truncates the log to the part that is known to be durable, which is all that a restarted process may rely on,
// and the next call writes the rest again.
func (s *Store[C, S, R]) Sync() error {
	err := s.writeTail()
	if err != nil {
		s.tailInvalid = true
		return fmt.Errorf("sync %s: %w", s.cfg.Group, errors.Join(err, s.log.Truncate(s.durableBytes)))
	}
	s.durableBytes += int64(len(s.unsynced))
	s.unsynced, s.tailInvalid = nil, false
	return nil
}

// writeTail writes the unsynced records behind the durable part of the log and syncs them.
func (s *Store[C, S, R]) writeTail() error {
	if s.tailInvalid {
		err := s.log.Truncate(s.durableBytes)
		if err != nil {
			return fmt.Errorf("truncate log: %w", err)
		}
	}
	_, err := s.log.Write(s.unsynced)
	if err != nil {
		return fmt.Errorf("append to log: %w", err)
	}
	err = s.cfg.SyncFile(s.log)
	if err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	return nil
}

// Close closes the log file.
func (s *Store[C, S, R]) Close() error {
	err := s.log.Close()
	if err != nil {
		return fmt.Errorf("close %s: %w", s.cfg.Group, err)
	}
	return nil
}

// rewrite replaces the snapshot and then the log. A crash between the two leaves a log
// that begins before the snapshot; the next start skips the entries that the snapshot
// covers.
func (s *Store[C, S, R]) rewrite(w replicator.Write[C, S]) error {
	_, err := s.replaceRecord("snapshot", replicator.Write[C, S]{Term: w.Term, VotedFor: w.VotedFor, Snapshot: w.Snapshot})
	if err != nil {
		return fmt.Errorf("replace snapshot: %w", err)
	}
	n, err := s.replaceRecord("log", replicator.Write[C, S]{Term: w.Term, VotedFor: w.VotedFor, ReplaceFrom: w.ReplaceFrom, Entries: w.Entries})
	if err != nil {
		return fmt.Errorf("replace log: %w", err)
	}
	if s.log != nil {
		old := s.log
		s.log = nil // a failed close leaves the file closed too
		err = old.Close()
		if err != nil {
			return fmt.Errorf("close old log: %w", err)
		}
	}
	s.log, err = os.OpenFile(s.path("log"), os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return fmt.Errorf("open new log: %w", err)
	}
	s.durableBytes, s.unsynced, s.tailInvalid = int64(n), nil, false
	return nil
}

// replaceRecord replaces the content of a file with a single record and returns the length of that record.
func (s *Store[C, S, R]) replaceRecord(extension string, w replicator.Write[C, S]) (int, error) {
	data, err := s.cfg.Codec.MarshalWrite(w)
	if err != nil {
		return 0, fmt.Errorf("encode: %w", err)
	}
	record := frameRecord(data)
	return len(record), replaceFile(s.path(extension), record, s.cfg.SyncFile)
}

// ReplaceFile atomically replaces the content of a file: after a crash, the file holds
// either the old or the new content.
func ReplaceFile(path string, data []byte) error {
	return replaceFile(path, data, (*os.File).Sync)
}

func replaceFile(path string, data []byte, syncFile func(*os.File) error) error {
	tempPath := path + ".next"
	f, err := os.OpenFile(tempPath, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
	if err != nil {
		return fmt.Errorf("create %s: %w", tempPath, err)
	}
	_, err = f.Write(data)
	if err == nil {
		err = syncFile(f)
	}
	err = errors.Join(err, f.Close())
	if err != nil {
		return fmt.Errorf("write %s: %w", tempPath, err)
	}
	err = os.Rename(tempPath, path)
	if err != nil {
		return fmt.Errorf("rename to %s: %w", path, err)
	}
	return syncFolder(filepath.Dir(path), syncFile)
}

// syncFolder makes the creation and renaming of files in a folder durable.
func syncFolder(path string, syncFile func(*os.File) error) error {
	dir, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open folder: %w", err)
	}
	err = errors.Join(syncFile(dir), dir.Close())
	if err != nil {
		return fmt.Errorf("sync folder %s: %w", path, err)
	}
	return nil
}
