package placer

import (
	"time"

	"laburnumwind/messenger"
)

const (
	failWeight      = 0.2 // of the newest result in the running failure rate
	ejectRate       = 0.5 // failure rate at which an endpoint may be ejected
	ejectSamples    = 5   // results before an endpoint is judged
	ejectFraction   = 3   // at most one in this many endpoints of a pool is ejected
	firstEjection   = 10 * time.Second
	longestEjection = 5 * time.Minute
	probationRuns   = 3               // good results that end a probation
	staleLoad       = 3 * time.Second // age at which the load told by others no longer counts
	suspicion       = time.Second     // without work after a connection could not be made
)

// worker is an endpoint as this instance sees it.
type worker struct {
	endpoint messenger.Endpoint
	up       bool // in the present roster
	leaving  bool
	inFlight int // attempts of this instance
	others   int // slots in use by other instances, as last told
	toldAt   time.Time
	suspect  time.Time // no connection could be made, so it gets no work until then
	health   health
}

// health is how an endpoint's attempts went.
type health struct {
	rate         float64 // running failure rate
	samples      int
	ejectedUntil time.Time
	ejections    int
	probation    int // good results still needed
}

// room is the number of slots that are free as far as is known. Old news does
// not count: an instance that hears nothing would wait for ever, while the
// endpoint itself says when it is full.
func (w worker) room(now time.Time) int {
	room := w.endpoint.Slots - w.inFlight
	if now.Sub(w.toldAt) < staleLoad {
		room -= w.others
	}
	if w.endpoint.Connections > 0 {
		room = min(room, w.endpoint.Connections-w.inFlight)
	}
	if w.health.probation > 0 {
		room = min(room, 1-w.inFlight)
	}
	return room
}

func (w worker) isOpen(now time.Time) bool {
	barred := now.Before(w.health.ejectedUntil) || now.Before(w.suspect)
	return w.up && !w.leaving && !barred && w.room(now) > 0
}

func (w worker) used() float64 {
	return float64(w.inFlight+w.others) / float64(max(w.endpoint.Slots, 1))
}

func (w worker) withInFlight(n int) worker {
	w.inFlight = max(w.inFlight+n, 0)
	return w
}

// withInUse takes the endpoint's own word on the slots in use.
func (w worker) withInUse(now time.Time, inUse int) worker {
	w.toldAt = now
	w.others = max(inUse-w.inFlight, 0)
	return w
}

func (w worker) withSuspicion(now time.Time) worker {
	w.suspect = now.Add(suspicion)
	return w
}

func (w worker) withLeaving(leaving bool) worker {
	w.leaving = leaving
	return w
}

func (w worker) withHealth(h health) worker {
	w.health = h
	return w
}

func (h health) withResult(failed bool) health {
	sample := 0.0
	if failed {
		sample = 1
	}
	h.samples++
	h.rate += (sample - h.rate) * failWeight
	if failed {
		return h
	}
	if h.probation > 0 {
		h.probation--
	}
	if h.probation == 0 && h.rate < failWeight {
		h.ejections = 0
	}
	return h
}

// withForgiveness takes one failure back that was the job's fault.
func (h health) withForgiveness() health {
	h.rate = max(h.rate-failWeight, 0)
	return h
}

func (h health) withEjection(now time.Time) health {
	h.ejectedUntil = now.Add(min(firstEjection<<min(h.ejections, 8), longestEjection))
	h.ejections++
	h.rate = 0
	h.samples = 0
	h.probation = probationRuns
	return h
}

func (h health) isEjected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}
