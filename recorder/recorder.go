package recorder

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"laburnumwind/assembler"
	"laburnumwind/buffer"
	"laburnumwind/replicator"
)

// ringSize is how many writes may wait for the disk.
const ringSize = 4096

// fullRetry is the time between two attempts to write to a full disk.
const fullRetry = 200 * time.Millisecond

// Config describes the duty that writes one group's log.
type Config[C, S, R any] struct {
	Store     *Store[C, S, R]
	Send      func(replicator.Message[C, S, R]) // what may go after the sync
	Persisted func(replicator.Persisted)
	Synced    func(writes int, took time.Duration) // is told of each sync
	Full      func(error)                          // is told that the disk is full, and with nil that it has room again
	Failed    func(error)                          // the disk can no longer be written: the voter must stop
}

// Recorder writes one group's log on a goroutine of its own. What waits
// together is synced together.
type Recorder[C, S, R any] struct {
	ring   *buffer.Ring[assembler.Write[C, S, R]]
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// NewRecorder starts the duty.
func NewRecorder[C, S, R any](cfg Config[C, S, R]) *Recorder[C, S, R] {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Recorder[C, S, R]{ring: buffer.NewRing[assembler.Write[C, S, R]](ringSize), cancel: cancel}
	r.done.Go(func() {
		for {
			first, err := r.ring.Take(ctx)
			if err != nil {
				return
			}
			batch := r.gather(first)
			err = writeBatch(ctx, cfg, batch)
			if err != nil {
				cfg.Failed(err)
				return
			}
		}
	})
	return r
}

// Put hands a write over, and waits while the disk is behind.
func (r *Recorder[C, S, R]) Put(w assembler.Write[C, S, R]) {
	_ = r.ring.Put(context.Background(), w) // fails only once the recorder is stopped
}

// Stop ends the duty.
func (r *Recorder[C, S, R]) Stop() {
	r.ring.Close()
	r.cancel()
	r.done.Wait()
}

func (r *Recorder[C, S, R]) gather(first assembler.Write[C, S, R]) []assembler.Write[C, S, R] {
	batch := []assembler.Write[C, S, R]{first}
	for {
		next, ok := r.ring.TryTake()
		if !ok {
			return batch
		}
		batch = append(batch, next)
	}
}

// appendWhenRoom waits while the disk is full: the voter acknowledges nothing
// meanwhile, and the others go on without it.
func appendWhenRoom[C, S, R any](ctx context.Context, cfg Config[C, S, R], w replicator.Write[C, S]) error {
	told := false
	for {
		err := cfg.Store.Append(w)
		if !errors.Is(err, syscall.ENOSPC) {
			if told && err == nil {
				cfg.Full(nil)
			}
			return err
		}
		if !told {
			cfg.Full(err)
			told = true
		}
		wait := time.NewTimer(fullRetry)
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return err
		}
	}
}

func writeBatch[C, S, R any](ctx context.Context, cfg Config[C, S, R], batch []assembler.Write[C, S, R]) error {
	began := time.Now()
	writes := 0
	var last replicator.Persisted
	for _, w := range batch {
		if w.Write == nil {
			continue
		}
		writes++
		err := appendWhenRoom(ctx, cfg, *w.Write)
		if err != nil {
			return err
		}
		n := len(w.Write.Entries)
		if n > 0 {
			last = replicator.Persisted{Index: w.Write.Entries[n-1].Index, Term: w.Write.Entries[n-1].Term}
		}
	}
	if writes > 0 {
		err := cfg.Store.Sync()
		if err != nil {
			return err
		}
		cfg.Synced(writes, time.Since(began))
	}
	for _, w := range batch {
		for _, m := range w.Synced {
			cfg.Send(m)
		}
	}
	if last.Index > 0 {
		cfg.Persisted(last)
	}
	return nil
}
