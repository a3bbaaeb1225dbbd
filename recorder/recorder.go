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

// ringSize is the capacity of the write queue of one recorder. Put blocks when it is full.
const ringSize = 4096

// diskRetryInterval is the time between two attempts to write to a disk that is full or fails.
const diskRetryInterval = 200 * time.Millisecond

// isRetryable reports whether the same write may succeed later: the disk is full, or it failed.
func isRetryable(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EIO)
}

// Config configures the recorder of one group.
type Config[C, S, R any] struct {
	Store       *Store[C, S, R]
	Send        func(replicator.Message[C, S, R])    // called with each message of a queued write, after this write and all earlier ones are synced
	OnPersisted func(replicator.Persisted)           // called with the last entry of a batch after the sync, if the batch has entries
	OnSync      func(writes int, took time.Duration) // called after each sync with the number of writes and the time taken to write and sync them
	OnDiskError func(error)                          // called with the error when the disk is full or fails, and with nil once it works again
	OnFailure   func(error)                          // called on an error that is not retryable, or if Stop is called while the disk is full or fails; the recorder has stopped and the voter must stop too
}

// Recorder writes the log of one group on its own goroutine. All writes that are queued
// when it is ready form a batch and are synced together.
type Recorder[C, S, R any] struct {
	ring   *buffer.Ring[assembler.Write[C, S, R]]
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// NewRecorder starts the goroutine that writes the log.
func NewRecorder[C, S, R any](cfg Config[C, S, R]) *Recorder[C, S, R] {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Recorder[C, S, R]{ring: buffer.NewRing[assembler.Write[C, S, R]](ringSize), cancel: cancel}
	r.done.Go(func() {
		for {
			first, err := r.ring.Take(ctx)
			if err != nil {
				return
			}
			batch := r.collectBatch(first)
			err = writeBatch(ctx, cfg, batch)
			if err != nil {
				cfg.OnFailure(err)
				return
			}
		}
	})
	return r
}

// Put queues a write. It blocks while the queue is full, which is backpressure.
func (r *Recorder[C, S, R]) Put(w assembler.Write[C, S, R]) {
	_ = r.ring.Put(context.Background(), w) // fails only after Stop
}

// Stop rejects further writes and returns once the queued ones are written. If the disk is
// full or fails, it drops the queued writes.
func (r *Recorder[C, S, R]) Stop() {
	r.ring.Close()
	r.cancel()
	r.done.Wait()
}

// collectBatch returns the given write and all queued ones.
func (r *Recorder[C, S, R]) collectBatch(first assembler.Write[C, S, R]) []assembler.Write[C, S, R] {
	batch := []assembler.Write[C, S, R]{first}
	for {
		next, ok := r.ring.TryTake()
		if !ok {
			return batch
		}
		batch = append(batch, next)
	}
}

// Retry calls write again and again while the disk is full or fails, until ctx ends. It reports the first such error to
// onDiskError, and nil once the disk works again. In the meantime the voter acknowledges nothing, and the other voters
// continue without it. If the voter stopped instead, it would be restarted and stop again as long as the disk does not
// work.
func Retry(ctx context.Context, onDiskError func(error), write func() error) error {
	reported := false
	for {
		err := write()
		if !isRetryable(err) {
			if reported && err == nil {
				onDiskError(nil)
			}
			return err
		}
		if !reported {
			onDiskError(err)
			reported = true
		}
		timer := time.NewTimer(diskRetryInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return err
		}
	}
}

// writeBatch appends the writes of a batch, syncs them together and then sends the messages
// that depend on them.
func writeBatch[C, S, R any](ctx context.Context, cfg Config[C, S, R], batch []assembler.Write[C, S, R]) error {
	start := time.Now()
	writes := 0
	var last replicator.Persisted
	for _, w := range batch {
		if w.Write == nil {
			continue
		}
		writes++
		err := Retry(ctx, cfg.OnDiskError, func() error { return cfg.Store.Append(*w.Write) })
		if err != nil {
			return err
		}
		n := len(w.Write.Entries)
		if n > 0 {
			last = replicator.Persisted{Index: w.Write.Entries[n-1].Index, Term: w.Write.Entries[n-1].Term}
		}
	}
	if writes > 0 {
		err := Retry(ctx, cfg.OnDiskError, cfg.Store.Sync)
		if err != nil {
			return err
		}
		cfg.OnSync(writes, time.Since(start))
	}
	for _, w := range batch {
		for _, m := range w.AfterSync {
			cfg.Send(m)
		}
	}
	if last.Index > 0 {
		cfg.OnPersisted(last)
	}
	return nil
}
