package placer

import (
	"time"

	"laburnumwind/messenger"
)

const (
	failureSmoothing   = 0.2              // weight of the newest result in the moving average of the failure rate
	minEjectionRate    = 0.5              // minimum failure rate at which an endpoint may be ejected
	minEjectionSamples = 5                // minimum number of results before an endpoint may be ejected
	ejectionDivisor    = 3                // at most one in this many endpoints of a pool is ejected at a time; one may always be
	initialEjection    = 10 * time.Second // doubles with each ejection in a row
	maxEjection        = 5 * time.Minute
	probationSuccesses = 3               // successful results that end a probation
	loadTTL            = 3 * time.Second // age after which a load report is ignored
	connectBackoff     = time.Second     // time without new attempts after a failure to connect, since retries would fail at once too
)

// worker is the state of an endpoint as this entry instance knows it.
type worker struct {
	endpoint       messenger.Endpoint
	up             bool      // among the available endpoints
	leaving        bool      // announced its departure; gets no new attempts
	inFlight       int       // attempts of this entry instance that have not ended
	othersInUse    int       // slots that other entry instances use, as last reported
	loadAt         time.Time // time of the last load report
	noConnectUntil time.Time // gets no new attempts until this time, because a connection failed
	health         health
}

// health holds the outlier detection state of an endpoint.
type health struct {
	failureRate   float64 // moving average
	samples       int     // results since the last ejection
	ejectedUntil  time.Time
	ejections     int // ejections in a row; sets the length of the next one
	probationLeft int // successful results until the probation ends
}

// freeSlots returns the number of slots that are free as far as is known. Load
// reports older than loadTTL are ignored: without reports, an entry instance
// could otherwise wait forever, and a full endpoint rejects the attempt anyway.
// The connections that the endpoint accepts limit the attempts too, if it states
// their number. A worker on probation gets one attempt at a time.
func (w worker) freeSlots(now time.Time) int {
	free := w.endpoint.Slots - w.inFlight
	if now.Sub(w.loadAt) < loadTTL {
		free -= w.othersInUse
	}
	if w.endpoint.Connections > 0 {
		free = min(free, w.endpoint.Connections-w.inFlight)
	}
	if w.health.probationLeft > 0 {
		free = min(free, 1-w.inFlight)
	}
	return free
}

// isAvailable reports whether the worker may get another attempt.
func (w worker) isAvailable(now time.Time) bool {
	excluded := now.Before(w.health.ejectedUntil) || now.Before(w.noConnectUntil)
	return w.up && !w.leaving && !excluded && w.freeSlots(now) > 0
}

// utilization returns the fraction of the slots that are in use.
func (w worker) utilization() float64 {
	return float64(w.inFlight+w.othersInUse) / float64(max(w.endpoint.Slots, 1))
}

func (w worker) withInFlight(delta int) worker {
	w.inFlight = max(w.inFlight+delta, 0)
	return w
}

// withInUse records the number of slots in use as reported by the endpoint.
func (w worker) withInUse(now time.Time, inUse int) worker {
	w.loadAt = now
	w.othersInUse = max(inUse-w.inFlight, 0)
	return w
}

// withConnectFailure withholds new attempts for connectBackoff.
func (w worker) withConnectFailure(now time.Time) worker {
	w.noConnectUntil = now.Add(connectBackoff)
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

// withResult adds a result to the failure rate. A success counts towards the end
// of a probation. A success after it resets the number of ejections if the
// failure rate is below failureSmoothing, the weight of a single failure.
func (h health) withResult(failed bool) health {
	sample := 0.0
	if failed {
		sample = 1
	}
	h.samples++
	h.failureRate += (sample - h.failureRate) * failureSmoothing
	if failed {
		return h
	}
	if h.probationLeft > 0 {
		h.probationLeft--
	}
	if h.probationLeft == 0 && h.failureRate < failureSmoothing {
		h.ejections = 0
	}
	return h
}

// withoutFailure removes one failure that was caused by a bad job from the
// failure rate. It removes the weight that the failure had when it was new.
func (h health) withoutFailure() health {
	h.failureRate = max(h.failureRate-failureSmoothing, 0)
	return h
}

// withEjection ejects the endpoint for a time that doubles with each ejection in
// a row, up to maxEjection. A probation follows. The exponent is limited to 8, so
// that the duration cannot overflow.
func (h health) withEjection(now time.Time) health {
	h.ejectedUntil = now.Add(min(initialEjection<<min(h.ejections, 8), maxEjection))
	h.ejections++
	h.failureRate = 0
	h.samples = 0
	h.probationLeft = probationSuccesses
	return h
}

func (h health) isEjected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}
