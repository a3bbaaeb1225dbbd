package registrar

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Queue is a route: jobs that come by a host and a path prefix.
type Queue struct {
	Name       string        `cbor:"1,keyasint,omitempty"`
	Host       string        `cbor:"2,keyasint,omitempty"`
	Prefix     string        `cbor:"3,keyasint,omitempty"`
	Service    string        `cbor:"4,keyasint,omitempty"` // pool of workers that runs its tasks
	Priority   int           `cbor:"5,keyasint,omitempty"` // zero goes first
	Attempts   int           `cbor:"6,keyasint,omitempty"` // failed runs of one task that fail its job
	Stretch    float64       `cbor:"7,keyasint,omitempty"` // of the longest chain, for the objective
	Objective  time.Duration `cbor:"8,keyasint,omitempty"` // added to the stretched chain
	Advice     bool          `cbor:"9,keyasint,omitempty"` // a start needs a ticket of the advisor
	AdviceBase time.Duration `cbor:"10,keyasint,omitempty"`
	AdviceEach time.Duration `cbor:"11,keyasint,omitempty"`
	AdviceLife time.Duration `cbor:"12,keyasint,omitempty"` // how long a ticket is valid
}

// Pool is a service: machines that run the tasks of some queues.
type Pool struct {
	Name    string `cbor:"1,keyasint,omitempty"`
	Guards  bool   `cbor:"2,keyasint,omitempty"` // its workers reject what does not fit
	Standby bool   `cbor:"3,keyasint,omitempty"` // its machines are off and free of charge
	Health  string `cbor:"4,keyasint,omitempty"` // path of the health check
}

// Config is one version of the configuration.
type Config struct {
	Version int64   `cbor:"1,keyasint,omitempty"`
	Queues  []Queue `cbor:"2,keyasint,omitempty"`
	Pools   []Pool  `cbor:"3,keyasint,omitempty"`
	Raw     []byte  `cbor:"4,keyasint,omitempty"` // as the operator sent it
}

// Match returns the queue with the longest prefix of a path.
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

// Queue returns a queue by its name.
func (c Config) Queue(name string) (Queue, bool) {
	i := slices.IndexFunc(c.Queues, func(q Queue) bool { return q.Name == name })
	if i < 0 {
		return Queue{}, false
	}
	return c.Queues[i], true
}

// Pool returns a pool by its name.
func (c Config) Pool(name string) (Pool, bool) {
	i := slices.IndexFunc(c.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return Pool{}, false
	}
	return c.Pools[i], true
}

// Room is what a worker has or a task needs.
type Room struct {
	CPU    int `cbor:"1,keyasint,omitempty"` // thousandths of a core
	Memory int `cbor:"2,keyasint,omitempty"` // MiB
	GPU    int `cbor:"3,keyasint,omitempty"`
}

// Minus returns the room without another.
func (r Room) Minus(o Room) Room {
	return Room{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, GPU: r.GPU - o.GPU}
}

// Plus returns the room with another added.
func (r Room) Plus(o Room) Room {
	return Room{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, GPU: r.GPU + o.GPU}
}

// Max is the larger of two rooms in each kind.
func (r Room) Max(o Room) Room {
	return Room{CPU: max(r.CPU, o.CPU), Memory: max(r.Memory, o.Memory), GPU: max(r.GPU, o.GPU)}
}

// Holds tells whether a task of a size fits.
func (r Room) Holds(o Room) bool {
	return r.CPU >= o.CPU && r.Memory >= o.Memory && r.GPU >= o.GPU
}

// Times tells how many tasks of a size fit.
func (r Room) Times(o Room) int {
	times := math.MaxInt32
	for _, have := range []struct{ all, each int }{{r.CPU, o.CPU}, {r.Memory, o.Memory}, {r.GPU, o.GPU}} {
		if have.each > 0 {
			times = min(times, max(have.all, 0)/have.each)
		}
	}
	return times
}

// Room is what one task of a step needs. A task that fills takes no processors from the others.
func (s Step) Room() Room {
	if s.Fills {
		return Room{Memory: s.Memory, GPU: s.GPU}
	}
	return Room{CPU: s.CPU, Memory: s.Memory, GPU: s.GPU}
}

// Worker is one life of a machine in a pool.
type Worker struct {
	ID       string   `cbor:"1,keyasint,omitempty"`
	Life     int64    `cbor:"2,keyasint,omitempty"` // its start, Unix milliseconds
	Address  string   `cbor:"3,keyasint,omitempty"`
	Service  string   `cbor:"4,keyasint,omitempty"`
	Zone     string   `cbor:"5,keyasint,omitempty"`
	Labels   []string `cbor:"6,keyasint,omitempty"`
	Capacity Room     `cbor:"7,keyasint,omitempty"`
	Draining bool     `cbor:"8,keyasint,omitempty"`
}

// Equal tells whether two workers are the same in all that the register keeps.
func (w Worker) Equal(o Worker) bool {
	return w.ID == o.ID && w.Life == o.Life && w.Address == o.Address && w.Service == o.Service &&
		w.Zone == o.Zone && slices.Equal(w.Labels, o.Labels) && w.Capacity == o.Capacity && w.Draining == o.Draining
}

// Rack is the worker's rack: the last of its labels.
func (w Worker) Rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// Wave asks for upkeep of machines in time.
type Wave struct {
	ID       int64    `cbor:"1,keyasint,omitempty"`
	Machines []string `cbor:"2,keyasint,omitempty"`
	FinishBy int64    `cbor:"3,keyasint,omitempty"` // Unix nanoseconds
	Most     int      `cbor:"4,keyasint,omitempty"` // machines down for it at once
	Begun    []string `cbor:"5,keyasint,omitempty"` // machines whose upkeep was ordered
	Done     []string `cbor:"6,keyasint,omitempty"` // machines that are back
}

// IsComplete tells whether all machines have had their upkeep.
func (w Wave) IsComplete() bool { return len(w.Done) >= len(w.Machines) }

// Upkeep says how far a machine of a wave is.
type Upkeep struct {
	Wave    int64  `cbor:"1,keyasint,omitempty"`
	Machine string `cbor:"2,keyasint,omitempty"`
	Done    bool   `cbor:"3,keyasint,omitempty"` // false: about to begin
}
