// Package keeper is the replicated state machine of the declarations and of the
// place of every instance. It is deterministic: its state depends only on the
// commands in the log and their timestamps, never on a clock or the network.
package keeper

import "time"

// Pool is a set of instances that run the same services.
type Pool struct {
	Name     string
	Size     int  // desired number of instances
	Spare    bool // takes the instances that no other pool needs
	Lendable bool // idle slots may run services of other pools
}

// Service is a named kind of work that the instances of a pool run.
type Service struct {
	Name       string
	Pool       string
	Share      int           // guaranteed share of the slots, relative to the other services of the pool
	Idempotent bool          // requests with POST or PATCH may be retried too
	MaxRun     time.Duration // maximum run time of a request; zero means up to its deadline
}

// Budget is the disruption budget of a customer. It holds separately in each
// pool that runs one of the customer's services.
type Budget struct {
	MaxDown  int           // maximum number of instances down at once in a pool, planned or not; zero means no budget
	Downtime time.Duration // maximum downtime in a window, summed over the instances of a pool; zero means unlimited
	Window   time.Duration // length of a window; less than a minute counts as a minute
}

// Customer is a client that may send requests to its services.
type Customer struct {
	Name     string
	Token    string // SHA-256 of the bearer token, in hexadecimal
	Weight   int    // share of the slots of a service, relative to its other customers
	Services []string
	Budget   Budget
}

// Declarations is the desired configuration, as operators declare it.
type Declarations struct {
	Pools     []Pool
	Services  []Service
	Customers []Customer
}

// Place is the lifecycle state of an instance; an instance has exactly one.
type Place int

// The places of an instance.
const (
	Unknown     Place = iota
	Serving           // accepts work of its pool
	Draining          // finishes its work and accepts no more
	Maintenance       // has no work and may be rebooted
	Spare             // has no pool
	Quarantined       // put out of service by an operator until it is released
	Lost              // sends no announcements; counts as down in its pool until it returns
)

// String returns the name of the place in lower camel case.
func (p Place) String() string {
	names := [...]string{"unknown", "serving", "draining", "maintenance", "spare", "quarantined", "lost"}
	if p < 0 || int(p) >= len(names) {
		return names[Unknown]
	}
	return names[p]
}

// Instance is a worker instance and its place.
type Instance struct {
	Name        string
	Incarnation uint64 // increases at each start of the endpoint
	Zone        string
	Rack        string
	Slots       int
	Place       Place
	Pool        string    // pool that it serves, or whose budgets its downtime is charged to
	Target      string    // pool that it joins after a drain; empty means maintenance
	Epoch       uint64    // fencing token, incremented at each change of place
	Since       time.Time // time of the last change of place, or of the last charge of downtime
	Wave        uint64    // wave in which its maintenance is pending, or zero
}

// IsDown reports whether the instance counts as down against the budgets of its pool.
func (i Instance) IsDown() bool {
	return i.Pool != "" && i.Place != Serving
}

// WithPlace returns the instance with another place and the next epoch.
func (i Instance) WithPlace(now time.Time, place Place) Instance {
	i.Place = place
	i.Epoch++
	i.Since = now
	return i
}

// WithPool returns the instance in another pool, without a target pool.
func (i Instance) WithPool(pool string) Instance {
	i.Pool = pool
	i.Target = ""
	return i
}

// WithTarget returns the instance with another target pool.
func (i Instance) WithTarget(pool string) Instance {
	i.Target = pool
	return i
}

// WithIncarnation returns the instance with another incarnation.
func (i Instance) WithIncarnation(incarnation uint64) Instance {
	i.Incarnation = incarnation
	return i
}

// WithWave returns the instance as part of a wave, or of no wave if id is zero.
func (i Instance) WithWave(id uint64) Instance {
	i.Wave = id
	return i
}

// WaveState is the state of a wave.
type WaveState int

// The states of a wave.
const (
	NoWave WaveState = iota
	WaveRunning
	WaveStopped // after too many failures or by an operator
	WaveDone
)

// String returns the name of the state.
func (s WaveState) String() string {
	return [...]string{"none", "running", "stopped", "done"}[s]
}

// Wave is a rolling maintenance of all instances.
type Wave struct {
	ID        uint64
	State     WaveState
	Started   time.Time
	Ended     time.Time
	Total     int
	Done      int
	Failed    int
	MaxFailed int // the wave stops when more instances than this have failed
}

// Account is the downtime charged to a customer's budget in a pool in one window.
type Account struct {
	Customer    string
	Pool        string
	WindowStart time.Time
	Spent       time.Duration // charged so far; the downtime of instances that are down now is added when read
}
