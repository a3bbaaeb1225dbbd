// Package keeper is the replicated state machine of the declarations and of the
// lifecycle state of every instance. It is deterministic: its state depends only
// on the commands in the log and their timestamps, never on a clock or the network.
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

// Budget is the disruption budget of a customer. It applies separately to each
// pool that runs one of the customer's services.
type Budget struct {
	MaxDown  int           // maximum number of instances of a pool that are down at once, planned or not; zero means no budget
	Downtime time.Duration // maximum downtime in a window, summed over the instances of a pool; zero means unlimited
	Window   time.Duration // length of a window; less than a minute counts as a minute
}

// Customer is a client that may send requests to the services listed for it.
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

// InstanceState is the lifecycle state of an instance. On the wire and in the
// tables of laburnumctl it is called the place of the instance.
type InstanceState int

// The lifecycle states of an instance.
const (
	Unknown     InstanceState = iota // zero value; no registered instance has it
	Serving                          // accepts work of its pool
	Draining                         // finishes its work and accepts no more
	Maintenance                      // has no work and may be rebooted
	Spare                            // has no pool
	Quarantined                      // put out of service by an operator until it is released
	Lost                             // stopped announcing itself or did not return from maintenance in time; counts as down in its pool until it returns
)

// String returns the name of the state in lower camel case.
func (s InstanceState) String() string {
	names := [...]string{"unknown", "serving", "draining", "maintenance", "spare", "quarantined", "lost"}
	if s < 0 || int(s) >= len(names) {
		return names[Unknown]
	}
	return names[s]
}

// Instance is a worker instance with its lifecycle state and its pool.
type Instance struct {
	Name        string
	Incarnation uint64 // increases at each start of the endpoint
	Zone        string
	Rack        string
	Slots       int
	State       InstanceState
	Pool        string    // pool that it serves; while it is down, the pool whose budgets its downtime is charged to
	Target      string    // pool that it joins after a drain; empty means maintenance
	Epoch       uint64    // fencing token, incremented at each change of state or pool and at each new incarnation
	Since       time.Time // time of the last change of state, or of a later charge of downtime
	Wave        uint64    // wave in which its maintenance is pending, or zero
}

// IsDown reports whether the instance counts as down against the budgets of its pool.
func (i Instance) IsDown() bool {
	return i.Pool != "" && i.State != Serving
}

// WithState returns the instance in another lifecycle state, under the next epoch.
func (i Instance) WithState(now time.Time, state InstanceState) Instance {
	i.State = state
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

// String returns the state as one word.
func (s WaveState) String() string {
	return [...]string{"none", "running", "stopped", "done"}[s]
}

// Wave is a rolling maintenance of all instances that have a pool and are not
// quarantined.
type Wave struct {
	ID        uint64
	State     WaveState
	Started   time.Time
	Ended     time.Time
	Total     int // number of instances at the start of the wave
	Done      int // number of instances that returned from their maintenance
	Failed    int // number of instances that did not return in time
	MaxFailed int // the wave stops when more instances than this have failed
}

// Account is the downtime charged to a customer's budget in a pool in one window.
type Account struct {
	Customer    string
	Pool        string
	WindowStart time.Time
	Spent       time.Duration // downtime charged so far; that of an instance still down is charged only up to Instance.Since
}
