package scheduler

import (
	"time"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// Recording of workers that do not answer. The record lets the next leader end their runs without counting a full lease.
// A new leader that finds no record counts a full lease, which exceeds the objective by the time from the last answer to
// the commit of the record: at most 2.5 s of the 3 s that the runs may take to end after the lease.
const (
	recordSilenceAfter   = 2 * time.Second        // a worker with runs is recorded after this time without an answer or a heartbeat; a hold at a busy worker fails within 1.7 s
	joinSilenceAfter     = time.Second            // a worker with a failed call is recorded with others after this time, so that a zone costs one or two log entries
	silenceCheckInterval = 750 * time.Millisecond // minimum time between two recordings
)

// seenSilence is the record of a silent worker, and when a committed view first showed it to this node.
type seenSilence struct {
	registrar.Silence
	at time.Time
}

// noteSilences notes when the committed state first showed each record of a silent worker. It is called on every node,
// so that a node that becomes leader knows how much of a lease has passed.
func (t *transition) noteSilences(next registrar.State) {
	if next.HasSilencesOf(t.committed) {
		return
	}
	seen := make(map[string]seenSilence)
	next.EachSilence(func(r registrar.Silence) {
		known, ok := t.silencesSeen[r.Worker]
		if !ok || known.Silence != r {
			known = seenSilence{Silence: r, at: t.now}
		}
		seen[r.Worker] = known
	})
	t.silencesSeen = seen
}

// inheritSilence returns a worker of the committed state at the start of this node's term. One whose silence is recorded
// gets no lease until the removal of the record is committed. Its leases end when the remaining time of the record has
// passed since this node first saw it, which was after the proposal. That time was measured on the clock of another
// node, so that drift is allowed for once more.
func (t *transition) inheritSilence(w worker, previousTerm uint64) worker {
	r, ok := t.committed.Silence(w.ID)
	if !ok {
		return w
	}
	w.leaseWithheld = true
	seen, ok := t.silencesSeen[w.ID]
	if !ok || seen.Silence != r || r.Incarnation != w.Incarnation || !t.committed.KeptSilences(previousTerm) {
		return w
	}
	at := seen.at.Add(time.Duration(float64(r.LeaseRemaining)*clockDriftFactor) + leaseMargin)
	if at.Before(w.leaseExpiresBy) {
		w.leaseExpiresBy = at
	}
	return w
}

// recordSilences proposes to record the workers with runs that do not answer, in one command. They get no lease from
// then on.
func (t *transition) recordSilences() {
	if t.now.Before(t.nextSilenceCheckAt) {
		return
	}
	var silent []worker
	due := false
	for _, w := range t.workers.All() {
		silence := t.now.Sub(w.lastSeenAt)
		if w.failedCalls == 0 || silence < joinSilenceAfter || w.leaseWithheld || w.departed || w.runs.Len() == 0 {
			continue
		}
		registered, ok := t.committed.Worker(w.ID)
		if !ok || registered.Incarnation != w.Incarnation {
			continue // it has no record: see registrar.State.Apply
		}
		silent = append(silent, w)
		due = due || silence > recordSilenceAfter
	}
	if !due {
		return
	}
	t.nextSilenceCheckAt = t.now.Add(silenceCheckInterval)
	records := make([]registrar.Silence, 0, len(silent))
	for _, w := range silent {
		records = append(records, registrar.Silence{
			Worker: w.ID, Incarnation: w.Incarnation, Term: t.term, Number: t.lastProposalID,
			LeaseRemaining: max(w.leaseExpiresBy.Sub(t.now), 0),
		})
		w.leaseWithheld = true
		t.setWorker(w)
		t.logDecision(messenger.Decision{Event: "leaseWithheld", Instance: w.ID, Pool: w.Pool, Candidates: w.runs.Len(), Age: t.now.Sub(w.lastSeenAt)})
	}
	t.propose(registrar.Command{Silences: records}, continuation{})
}

// endSilence proposes to remove the record of a worker that has answered again. The command registers the worker once
// more, which removes the record: instances of a version that does not know the records keep such a command whole.
func (t *transition) endSilence(id string) {
	w, _ := t.workers.Get(id)
	if !w.leaseWithheld || w.silenceEndProposed || w.departed {
		return
	}
	w.silenceEndProposed = true
	t.setWorker(w)
	t.propose(registrar.Command{Workers: []registrar.Worker{w.Worker}}, continuation{answeringWorker: id})
}

// handleSilenceEnd grants leases again to a worker that has answered, if the removal of its record is committed.
func (t *transition) handleSilenceEnd(id string, committed bool) {
	w, ok := t.workers.Get(id)
	if !ok || !w.silenceEndProposed {
		return
	}
	w.silenceEndProposed = false
	if committed {
		w.leaseWithheld = false
		t.logDecision(messenger.Decision{Event: "leaseResumed", Instance: id, Pool: w.Pool})
	}
	t.setWorker(w)
	t.sendHold(w)
}
