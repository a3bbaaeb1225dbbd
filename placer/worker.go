package placer

import (
	"time"

	"laburnumwind/messenger"
)

const (
	failureSmoothing   = 0.2              // weight of the newest result in the moving average of the failure rate
	minEjectionRate    = 0.5              // minimum failure rate at which an endpoint may be ejected
	minEjectionSamples = 5                // minimum number of results before an endpoint may be ejected
	ejectionDivisor    = 3                // at most 1/ejectionDivisor of the endpoints of a pool, but at least one, may be ejected at a time; the last one left is never ejected
	initialEjection    = 10 * time.Second // doubles with each ejection in a row
	maxEjection        = 5 * time.Minute
	probationSuccesses = 3               // successful results that end a probation
	loadTTL            = 3 * time.Second // age after which a load report is ignored
	connectBackoff     = time.Second     // time without new attempts after a failure to connect, since retries would fail at once too
)

// endpointState is the state of an endpoint as this entry instance knows it.
type endpointState struct {
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

// freeSlots returns the number of slots that this entry instance assumes to be free. Load
// reports older than loadTTL are ignored: without reports, an entry instance
// could otherwise wait forever, and a full endpoint rejects the attempt anyway.
// If the endpoint announced a maximum number of connections, that limits the
// attempts too. An endpoint on probation gets one attempt at a time.
func (e endpointState) freeSlots(now time.Time) int {
	free := e.endpoint.Slots - e.inFlight
	if now.Sub(e.loadAt) < loadTTL {
		free -= e.othersInUse
	}
	if e.endpoint.Connections > 0 {
		free = min(free, e.endpoint.Connections-e.inFlight)
	}
	if e.health.probationLeft > 0 {
		free = min(free, 1-e.inFlight)
	}
	return free
}

// isEligible reports whether the endpoint may get another attempt now.
func (e endpointState) isEligible(now time.Time) bool {
	excluded := now.Before(e.health.ejectedUntil) || now.Before(e.noConnectUntil)
	return e.up && !e.leaving && !excluded && e.freeSlots(now) > 0
}

// utilization returns the fraction of the slots that are in use.
func (e endpointState) utilization() float64 {
	return float64(e.inFlight+e.othersInUse) / float64(max(e.endpoint.Slots, 1))
}

func (e endpointState) withInFlight(delta int) endpointState {
	e.inFlight = max(e.inFlight+delta, 0)
	return e
}

// withInUse records the number of slots in use as reported by the endpoint.
func (e endpointState) withInUse(now time.Time, inUse int) endpointState {
	e.loadAt = now
	e.othersInUse = max(inUse-e.inFlight, 0)
	return e
}

// withConnectFailure withholds new attempts for connectBackoff.
func (e endpointState) withConnectFailure(now time.Time) endpointState {
	e.noConnectUntil = now.Add(connectBackoff)
	return e
}

func (e endpointState) withLeaving(leaving bool) endpointState {
	e.leaving = leaving
	return e
}

func (e endpointState) withHealth(h health) endpointState {
	e.health = h
	return e
}

// withResult adds a result to the failure rate. A success counts towards the end
// of a probation. The success that ends the probation, and each later one, resets
// the number of ejections if the failure rate is below failureSmoothing, the
// weight of a single failure.
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

// withoutFailure removes one failure that was caused by a poison request from the
// failure rate. It subtracts the weight of a newest result, even if newer results
// have reduced the weight of that failure since.
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
