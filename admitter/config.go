// Package admitter decides which requests may start, where, and which are refused at once.
// Each service has a guaranteed share of its pool; what is idle is lent.
package admitter

import "time"

// Config holds the bounds of an admitter.
type Config struct {
	Name       string        // of this entry instance
	MaxQueue   int           // requests of one customer and service that may wait
	UrgentWait time.Duration // an urgent request starts within this time or not at all
	RetryAfter time.Duration // hint of a refusal
	Tick       time.Duration // time between two looks at demand
	Policy     Policy
}

// Policy is the part of the decision that varies.
type Policy struct {
	Name    string
	Less    func(a, b Candidate) bool // whether a goes before b
	Shared  bool                      // services are held to their fair allocation
	Lends   bool                      // idle slots go to services of other pools
	Bounded bool                      // what cannot start in time is refused on arrival
}

// Candidate is the head of a queue that may go next.
type Candidate struct {
	Service      string
	ServiceRatio float64 // slots in use for each share
	Ratio        float64 // slots in use for each weight of the customer
	Arrived      time.Time
	Urgency      int
	LastPick     uint64
}

// WithDefaults fills in what is zero.
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

// FairShare serves the service and the customer that are furthest below their shares.
func FairShare() Policy {
	return Policy{Name: "fair share", Less: lessFair, Shared: true, Lends: true, Bounded: true}
}

// FirstCome serves requests as they came: a baseline.
func FirstCome() Policy {
	return Policy{Name: "first come", Less: func(a, b Candidate) bool { return a.Arrived.Before(b.Arrived) }, Lends: true}
}

// StrictPriority serves the most urgent first: a baseline.
func StrictPriority() Policy {
	return Policy{Name: "strict priority", Lends: true, Less: func(a, b Candidate) bool {
		if a.Urgency != b.Urgency {
			return a.Urgency < b.Urgency
		}
		return a.Arrived.Before(b.Arrived)
	}}
}

// StaticPartition gives every service its share of its own pool and nothing else: a baseline.
func StaticPartition() Policy {
	return Policy{Name: "static partition", Less: lessFair, Shared: true}
}

func lessFair(a, b Candidate) bool {
	if a.ServiceRatio != b.ServiceRatio {
		return a.ServiceRatio < b.ServiceRatio
	}
	if a.Ratio != b.Ratio {
		return a.Ratio < b.Ratio
	}
	return a.LastPick < b.LastPick
}
