package scheduler

import (
	"time"

	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// handleDeparture handles the notice of a worker that is shutting down. The notice names no incarnation, and a
// partition can hold it up until the next process of the worker has registered. So it ends no runs by itself: the
// worker is asked for a report at once, and gets no starts until it has sent one. See resolveDeparture.
func (t *transition) handleDeparture(callID uint64, d messenger.Departure) {
	err := registrar.ValidateWorkerID(d.Worker)
	if err != nil {
		t.refuseInvalid(callID, messenger.Decision{Event: "departureInvalid", Reason: err.Error()})
		return
	}
	t.answerCall(callID, messenger.JobAnswer{Status: messenger.CallDone})
	w, ok := t.workers.Get(d.Worker)
	if !ok || w.departed {
		return
	}
	t.logDecision(messenger.Decision{Event: "departureNoticed", Instance: w.ID, Pool: w.Pool, Reason: drainStatus(w.Draining)})
	w.departureNoticedAt, w.nextHoldAt = t.now, t.now
	t.setWorker(w)
	t.sendHold(w)
}

// resolveDeparture decides what a reply to a hold says about a notice of the worker's departure. The worker has shut
// down if it has no process at its address any more. A report shows that the notice came from an earlier process, or
// that the worker has yet to end: one that drains may, so its notice stands.
func (t *transition) resolveDeparture(m messenger.HoldReply) {
	w, _ := t.workers.Get(m.Hold.Worker)
	if w.departureNoticedAt.IsZero() || w.departed || m.Hold.At.Before(w.departureNoticedAt) {
		return
	}
	if m.Refused || m.WrongWorker {
		t.removeDeparted(w)
		return
	}
	if m.OK && !w.Draining {
		t.logDecision(messenger.Decision{Event: "departureRefuted", Instance: w.ID, Pool: w.Pool, Age: t.now.Sub(w.departureNoticedAt)})
		w.departureNoticedAt = time.Time{}
		t.setWorker(w)
	}
}

// removeDeparted proposes the ends of all runs of a worker that has shut down, its removal, and the departure of its
// incarnation, so that a late heartbeat does not bring it back.
func (t *transition) removeDeparted(w worker) {
	t.proposeAllEnds(w, "departed")
	w, _ = t.workers.Get(w.ID)
	w.Draining, w.departed, w.reportRequestedAt = true, true, time.Time{}
	t.setWorker(w)
	c := registrar.Command{RemovedWorkers: []string{w.ID}}
	if w.Incarnation > 0 {
		c.Departures = []registrar.Departure{{Worker: w.ID, Incarnation: w.Incarnation}}
	}
	t.propose(c, continuation{})
}

// endUnresponsive ends the runs of a worker whose lease has expired, and removes it if it had announced its departure.
func (t *transition) endUnresponsive(w worker) {
	if !w.departureNoticedAt.IsZero() && !w.departed {
		t.removeDeparted(w)
		return
	}
	if w.runs.Len() > 0 {
		t.proposeAllEnds(w, "its lease has ended")
	}
}
