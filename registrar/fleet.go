package registrar

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Queue receives the jobs that are submitted to a host under a path prefix.
type Queue struct {
	Name                string        `cbor:"1,keyasint,omitempty"`
	Host                string        `cbor:"2,keyasint,omitempty"`
	Prefix              string        `cbor:"3,keyasint,omitempty"`
	Pool                string        `cbor:"4,keyasint,omitempty"`  // pool of workers that runs its tasks
	Priority            int           `cbor:"5,keyasint,omitempty"`  // zero is the most urgent
	Attempts            int           `cbor:"6,keyasint,omitempty"`  // number of failed runs of one task at which its job fails
	Stretch             float64       `cbor:"7,keyasint,omitempty"`  // a job should complete within max(Stretch, 1) times the expected run time of its longest chain of steps, plus Objective
	Objective           time.Duration `cbor:"8,keyasint,omitempty"`  // see Stretch
	Advice              bool          `cbor:"9,keyasint,omitempty"`  // a run starts only with a ticket from the advisor
	AdviceDecisionTime  time.Duration `cbor:"10,keyasint,omitempty"` // time that the advisor needs for one decision
	AdviceTimePerWorker time.Duration `cbor:"11,keyasint,omitempty"` // additional time for each worker in the request
	TicketValidity      time.Duration `cbor:"12,keyasint,omitempty"` // how long a ticket of the advisor is valid
	Public              bool          `cbor:"13,keyasint,omitempty"` // calls need no key, also if there are teams
}

// Team is a group of callers that share keys, a limit and a share of the capacity. The platform calls a team a tenant.
type Team struct {
	Name       string    `cbor:"1,keyasint,omitempty"`
	KeyDigests [][]byte  `cbor:"2,keyasint,omitempty"` // SHA-256 of each key
	Weight     float64   `cbor:"3,keyasint,omitempty"` // share of the capacity when it is short, relative to the other teams
	Limit      Resources `cbor:"4,keyasint,omitempty"` // what the team may have running in all pools together; zero: no limit
}

// Pool is a set of machines that run the tasks of one or more queues. The platform calls a pool a service.
type Pool struct {
	Name            string `cbor:"1,keyasint,omitempty"`
	RejectsOverload bool   `cbor:"2,keyasint,omitempty"` // its workers reject a run that needs more resources than they have free
	Standby         bool   `cbor:"3,keyasint,omitempty"` // its machines are powered off and cost nothing
	HealthPath      string `cbor:"4,keyasint,omitempty"` // path of the health check
}

// Config is one version of the configuration.
type Config struct {
	Version int64   `cbor:"1,keyasint,omitempty"`
	Queues  []Queue `cbor:"2,keyasint,omitempty"`
	Pools   []Pool  `cbor:"3,keyasint,omitempty"`
	Raw     []byte  `cbor:"4,keyasint,omitempty"` // the configuration as the operator sent it

	Teams    []Team `cbor:"5,keyasint,omitempty"` // empty: calls need no key
	Revision int    `cbor:"6,keyasint,omitempty"` // of the decoder that derived the other fields from Raw; zero: one that ignored teams
}

// Match returns the queue of the host whose prefix is the longest that matches the path.
// It returns false if no queue matches.
func (c Config) Match(host, path string) (Queue, bool) {
	var best Queue
	found := false
	for _, q := range c.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (!found || len(q.Prefix) > len(best.Prefix)) {
			best, found = q, true
		}
	}
	return best, found
}

// Queue returns the queue with the given name, or false if there is none.
func (c Config) Queue(name string) (Queue, bool) {
	i := slices.IndexFunc(c.Queues, func(q Queue) bool { return q.Name == name })
	if i < 0 {
		return Queue{}, false
	}
	return c.Queues[i], true
}

// Team returns the team with the given name, or false if there is none.
func (c Config) Team(name string) (Team, bool) {
	i := slices.IndexFunc(c.Teams, func(t Team) bool { return t.Name == name })
	if i < 0 {
		return Team{}, false
	}
	return c.Teams[i], true
}

// Pool returns the pool with the given name, or false if there is none.
func (c Config) Pool(name string) (Pool, bool) {
	i := slices.IndexFunc(c.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return Pool{}, false
	}
	return c.Pools[i], true
}

// Resources is an amount of resources: the capacity of a worker or the request of a task.
type Resources struct {
	CPU    int `cbor:"1,keyasint,omitempty" json:"cpu"`    // thousandths of a core
	Memory int `cbor:"2,keyasint,omitempty" json:"memory"` // MiB
	GPU    int `cbor:"3,keyasint,omitempty" json:"gpu"`
}

// Sub returns r minus o, for each kind of resource. The result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, GPU: r.GPU - o.GPU}
}

// Add returns the sum of two amounts, for each kind of resource.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, GPU: r.GPU + o.GPU}
}

// Max returns the larger of two amounts, for each kind of resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), Memory: max(r.Memory, o.Memory), GPU: max(r.GPU, o.GPU)}
}

// Fits reports whether a task with the request o fits into r.
func (r Resources) Fits(o Resources) bool {
	return r.CPU >= o.CPU && r.Memory >= o.Memory && r.GPU >= o.GPU
}

// CountFitting returns how many tasks with the request o fit into r, or math.MaxInt32 if o is zero.
func (r Resources) CountFitting(o Resources) int {
	n := math.MaxInt32
	for _, kind := range []struct{ available, needed int }{{r.CPU, o.CPU}, {r.Memory, o.Memory}, {r.GPU, o.GPU}} {
		if kind.needed > 0 {
			n = min(n, max(kind.available, 0)/kind.needed)
		}
	}
	return n
}

// Request returns the resource request of one task of the step. A best-effort task uses only
// idle processors and so requests none.
func (s Step) Request() Resources {
	if s.BestEffort {
		return Resources{Memory: s.Memory, GPU: s.GPU}
	}
	return Resources{CPU: s.CPU, Memory: s.Memory, GPU: s.GPU}
}

// Worker is the process that runs the tasks on a machine. A restart makes it a new incarnation.
type Worker struct {
	ID          string    `cbor:"1,keyasint,omitempty"`
	Incarnation int64     `cbor:"2,keyasint,omitempty"` // start time in Unix milliseconds, which changes with each restart
	Address     string    `cbor:"3,keyasint,omitempty"`
	Pool        string    `cbor:"4,keyasint,omitempty"`
	Zone        string    `cbor:"5,keyasint,omitempty"`
	Labels      []string  `cbor:"6,keyasint,omitempty"`
	Capacity    Resources `cbor:"7,keyasint,omitempty"`
	Draining    bool      `cbor:"8,keyasint,omitempty"`
}

// Equal reports whether two workers have the same value in every field.
func (w Worker) Equal(o Worker) bool {
	return w.ID == o.ID && w.Incarnation == o.Incarnation && w.Address == o.Address && w.Pool == o.Pool &&
		w.Zone == o.Zone && slices.Equal(w.Labels, o.Labels) && w.Capacity == o.Capacity && w.Draining == o.Draining
}

// Rack returns the worker's rack, which is the last of its labels. It returns an empty string if there are no labels.
func (w Worker) Rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// MachineOrder is an order to the provider for a machine: a move or a maintenance.
type MachineOrder struct {
	Machine     string `cbor:"1,keyasint,omitempty"`
	Pool        string `cbor:"2,keyasint,omitempty"` // target pool of a move; empty: maintenance
	Worker      string `cbor:"3,keyasint,omitempty"` // worker on the machine, which the order ends; empty: none is known
	Incarnation int64  `cbor:"4,keyasint,omitempty"` // of that worker
}

// LastOrder is the last order to the provider for a machine.
type LastOrder struct {
	MachineOrder
	At time.Time // when its intent was committed
}

// Wave is a rolling maintenance of machines with a deadline.
type Wave struct {
	ID       int64    `cbor:"1,keyasint,omitempty"`
	Machines []string `cbor:"2,keyasint,omitempty"`
	FinishBy int64    `cbor:"3,keyasint,omitempty"` // Unix nanoseconds; in a command: nanoseconds from its acceptance
	MaxDown  int      `cbor:"4,keyasint,omitempty"` // maximum number of machines down for maintenance at once
	Started  []string `cbor:"5,keyasint,omitempty"` // machines whose maintenance was ordered, including those in Done
	Done     []string `cbor:"6,keyasint,omitempty"` // machines that are up again after their maintenance
}

// IsComplete reports whether the maintenance of all machines is done.
func (w Wave) IsComplete() bool { return len(w.Done) >= len(w.Machines) }

// MachineMaintenance records the progress of the maintenance of one machine of a wave.
type MachineMaintenance struct {
	Wave    int64  `cbor:"1,keyasint,omitempty"`
	Machine string `cbor:"2,keyasint,omitempty"`
	Done    bool   `cbor:"3,keyasint,omitempty"` // false: the maintenance is about to be ordered
}
