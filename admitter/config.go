// Package admitter performs admission control. It queues requests, admits them
// to a pool when the limits of their service and customer allow it, and refuses
// those that cannot start in time. Each service has a guaranteed share of its
// pool; idle slots are lent to other services.
package admitter

import "time"

// Config configures an admitter.
type Config struct {
	Name       string        // name of this entry instance
	MaxQueue   int           // maximum number of queued requests per customer and service
	UrgentWait time.Duration // maximum queueing time of an urgent request; it is refused after that
	RetryAfter time.Duration // Retry-After hint sent with a refusal
	Tick       time.Duration // interval at which demand is sampled and limits are recomputed
	Policy     Policy
}

// Policy holds the parts of the admission decision that vary.
type Policy struct {
	Name             string
	Less             func(a, b Candidate) bool // reports whether a is admitted before b
	EnforcesShares   bool                      // limits services to their fair allocation
	LendsIdleSlots   bool                      // lends idle slots to services of other pools
	RefusesOnArrival bool                      // refuses a request on arrival if its estimated wait is too long
}

// Candidate is the request at the head of a queue that may be admitted next.
type Candidate struct {
	Service       string
	ServiceRatio  float64 // slots that the service uses in the pool, divided by its share
	CustomerRatio float64 // slots that the customer uses for the service, divided by its weight
	Arrived       time.Time
	Urgency       int    // from 0 (most urgent) to 7 (least urgent)
	LastAdmission uint64 // sequence number of the last request admitted from the queue; zero if none was
}

// WithDefaults returns the configuration with defaults for all fields that are zero.
func (cfg Config) WithDefaults() Config {
	if cfg.MaxQueue == 0 {
		cfg.MaxQueue = 1000
	}
	if cfg.UrgentWait == 0 {
		cfg.UrgentWait = 1600 * time.Millisecond
	}
	if cfg.RetryAfter == 0 {
		cfg.RetryAfter = time.Second
	}
	if cfg.Tick == 0 {
		cfg.Tick = 100 * time.Millisecond
	}
	if cfg.Policy.Less == nil {
		cfg.Policy = FairShare()
	}
	return cfg
}

// FairShare returns the policy that admits the service and the customer with
// the lowest use in proportion to their shares.
func FairShare() Policy {
	return Policy{Name: "fair share", Less: fairShareLess, EnforcesShares: true, LendsIdleSlots: true, RefusesOnArrival: true}
}

// FirstCome returns a baseline policy that admits requests in the order of their arrival.
func FirstCome() Policy {
	return Policy{Name: "first come", Less: func(a, b Candidate) bool { return a.Arrived.Before(b.Arrived) }, LendsIdleSlots: true}
}

// StrictPriority returns a baseline policy that admits the most urgent request first.
func StrictPriority() Policy {
	return Policy{Name: "strict priority", LendsIdleSlots: true, Less: func(a, b Candidate) bool {
		if a.Urgency != b.Urgency {
			return a.Urgency < b.Urgency
		}
		return a.Arrived.Before(b.Arrived)
	}}
}

// StaticPartition returns a baseline policy that limits every service to its
// share of its own pool and lends nothing.
func StaticPartition() Policy {
	return Policy{Name: "static partition", Less: fairShareLess, EnforcesShares: true}
}

// fairShareLess orders by the lowest use in proportion to the share, first of the
// service and then of the customer. It breaks ties by the least recent admission.
func fairShareLess(a, b Candidate) bool {
	if a.ServiceRatio != b.ServiceRatio {
		return a.ServiceRatio < b.ServiceRatio
	}
	if a.CustomerRatio != b.CustomerRatio {
		return a.CustomerRatio < b.CustomerRatio
	}
	return a.LastAdmission < b.LastAdmission
}
