// Package keeper holds the replicated declarations and the place of every instance.
// It decides nothing by clock or network: the log hands it commands in order.
package keeper

import "time"

// Pool is a set of instances that run the same services.
type Pool struct {
	Name     string
	Size     int  // wanted number of instances
	Spare    bool // takes instances that no other pool wants
	Lendable bool // idle slots may run services of other pools
}

// Service is a kind of work that a pool runs.
type Service struct {
	Name       string
	Pool       string
	Share      int  // guaranteed share of the slots, relative to the other services of the pool
	Idempotent bool // POST and PATCH may be repeated too
	MaxRun     time.Duration
}

// Budget is the availability that a customer is owed in each pool that runs its services.
type Budget struct {
	MaxDown  int           // instances of one pool that may be down at once, planned and unplanned together
	Downtime time.Duration // instance-time per pool that may be lost in one window; zero means no such bound
	Window   time.Duration // length of a window
}

// Customer sends requests.
type Customer struct {
	Name     string
	Token    string // SHA-256 of the bearer token, in hexadecimal
	Weight   int    // share among the customers of a service
	Services []string
	Budget   Budget
}

// Declarations is all that operators declare.
type Declarations struct {
	Pools     []Pool
	Services  []Service
	Customers []Customer
}

// Place is where an instance stands; it stands in exactly one.
type Place int

// The places of an instance.
const (
	Unknown     Place = iota
	Serving           // takes work of its pool
	Draining          // ends its work and takes no more
	Maintenance       // empty, and may be rebooted
	Spare             // belongs to no pool
	Quarantined       // put aside by an operator or by its failures
	Lost              // silent, and charged to its pool until it returns
)

// String is the name of the place in lower camel case.
func (p Place) String() string {
	names := [...]string{"unknown", "serving", "draining", "maintenance", "spare", "quarantined", "lost"}
	if p < 0 || int(p) >= len(names) {
		return names[Unknown]
	}
	return names[p]
}

// Instance is a worker and its place.
type Instance struct {
	Name        string
	Incarnation uint64 // raised at each start of the endpoint
	Zone        string
	Rack        string
	Slots       int
	Place       Place
	Pool        string // the pool that it serves or is charged to
	Target      string // the pool that it goes to after a drain; empty means maintenance
	Epoch       uint64 // raised by each change of place
	Since       time.Time
	Wave        uint64 // the wave that still has to maintain it, or zero
}

// IsDown tells whether the instance counts against the budgets of its pool.
func (i Instance) IsDown() bool {
	return i.Pool != "" && i.Place != Serving
}

// WithPlace returns the instance at another place, under the next epoch.
func (i Instance) WithPlace(now time.Time, place Place) Instance {
	i.Place = place
	i.Epoch++
	i.Since = now
	return i
}

// WithPool returns the instance charged to another pool.
func (i Instance) WithPool(pool string) Instance {
	i.Pool = pool
	i.Target = ""
	return i
}

// WithTarget returns the instance bound for another pool.
func (i Instance) WithTarget(pool string) Instance {
	i.Target = pool
	return i
}

// WithIncarnation returns the instance after a restart.
func (i Instance) WithIncarnation(incarnation uint64) Instance {
	i.Incarnation = incarnation
	return i
}

// WithWave returns the instance as part of a wave; zero takes it out.
func (i Instance) WithWave(id uint64) Instance {
	i.Wave = id
	return i
}

// WaveState is the progress of a wave.
type WaveState int

// The states of a wave.
const (
	NoWave WaveState = iota
	WaveRunning
	WaveStopped // by its own failures or by an operator
	WaveDone
)

// String is the name of the state.
func (s WaveState) String() string {
	return [...]string{"none", "running", "stopped", "done"}[s]
}

// Wave is a maintenance of many instances.
type Wave struct {
	ID        uint64
	State     WaveState
	Started   time.Time
	Ended     time.Time
	Total     int
	Done      int
	Failed    int
	MaxFailed int // failures at which the wave stops by itself
}

// Account is the downtime that a pool has spent in the present window of a customer.
type Account struct {
	Customer    string
	Pool        string
	WindowStart time.Time
	Spent       time.Duration // closed downtime; what is down now is added at each look
}
