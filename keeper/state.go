package keeper

import (
	"cmp"
	"time"

	"github.com/benbjohnson/immutable"
)

// ChangeRetention is how long the result of a command with a change ID is kept to
// answer repeats of it.
const ChangeRetention = 24 * time.Hour

// State is the immutable state that the declarations log produces.
type State struct {
	revision        uint64
	now             time.Time // timestamp of the last command
	declarations    Declarations
	pools           *immutable.Map[string, Pool]
	services        *immutable.Map[string, Service]
	customers       *immutable.Map[string, Customer]
	tokens          *immutable.Map[string, string] // token digest to customer
	instances       *immutable.SortedMap[string, Instance]
	members         *immutable.Map[string, *immutable.SortedMap[string, Instance]] // pool to its instances by name; avoids a scan of all instances
	accounts        *immutable.SortedMap[string, Account]
	changes         *immutable.SortedMap[string, ChangeResult]
	wave            Wave
	noBudgetCheck   bool          // for experiments: budgets are not enforced
	noRevisionCheck bool          // for experiments: expected revisions are not checked
	noDeduplication bool          // for experiments: repeated change IDs are not detected
	meanMaintenance time.Duration // moving average of the duration of a maintenance; zero before the first
}

// NewState returns an empty state.
func NewState() State {
	return State{
		pools:     immutable.NewMap[string, Pool](nil),
		services:  immutable.NewMap[string, Service](nil),
		customers: immutable.NewMap[string, Customer](nil),
		tokens:    immutable.NewMap[string, string](nil),
		instances: immutable.NewSortedMap[string, Instance](nil),
		members:   immutable.NewMap[string, *immutable.SortedMap[string, Instance]](nil),
		accounts:  immutable.NewSortedMap[string, Account](nil),
		changes:   immutable.NewSortedMap[string, ChangeResult](nil),
	}
}

// WithoutRevisions returns the state without the check of expected revisions, so
// that the last write wins. Experiments use it to show that the check is needed.
func (s State) WithoutRevisions() State {
	s.noRevisionCheck = true
	return s
}

// WithoutDeduplication returns the state without the detection of repeated change IDs, so
// that a repeat is applied again. Experiments use it to show that the detection
// is needed.
func (s State) WithoutDeduplication() State {
	s.noDeduplication = true
	return s
}

// WithoutBudgets returns the state without the enforcement of budgets.
// Experiments use it to show that the enforcement is needed.
func (s State) WithoutBudgets() State {
	s.noBudgetCheck = true
	return s
}

// Revision returns the revision of the current declarations, or zero before the
// first.
func (s State) Revision() uint64 { return s.revision }

// Declarations returns the current declarations.
func (s State) Declarations() Declarations { return s.declarations }

// Wave returns the running wave, or the last one if none is running.
func (s State) Wave() Wave { return s.wave }

// Pool returns a pool by its name.
func (s State) Pool(name string) (Pool, bool) { return s.pools.Get(name) }

// Service returns a service by its name.
func (s State) Service(name string) (Service, bool) { return s.services.Get(name) }

// Customer returns a customer by its name.
func (s State) Customer(name string) (Customer, bool) { return s.customers.Get(name) }

// Instance returns an instance by its name.
func (s State) Instance(name string) (Instance, bool) { return s.instances.Get(name) }

// CustomerByToken returns the customer whose token has the given digest.
func (s State) CustomerByToken(digest string) (Customer, bool) {
	name, ok := s.tokens.Get(digest)
	if !ok {
		return Customer{}, false
	}
	return s.customers.Get(name)
}

// Instances returns all instances, sorted by name.
func (s State) Instances() []Instance {
	return values(s.instances)
}

// PoolInstances returns the instances of a pool, sorted by name.
func (s State) PoolInstances(pool string) []Instance {
	return values(s.poolMembers(pool))
}

func (s State) poolMembers(pool string) *immutable.SortedMap[string, Instance] {
	members, ok := s.members.Get(pool)
	if !ok {
		return immutable.NewSortedMap[string, Instance](nil)
	}
	return members
}

// WithInstance returns the state with an instance added or replaced.
func (s State) WithInstance(i Instance) State {
	old, ok := s.instances.Get(i.Name)
	if ok && old.Pool != i.Pool {
		s.members = s.members.Set(old.Pool, s.poolMembers(old.Pool).Delete(i.Name))
	}
	s.members = s.members.Set(i.Pool, s.poolMembers(i.Pool).Set(i.Name, i))
	s.instances = s.instances.Set(i.Name, i)
	return s
}

// WithWave returns the state with another wave.
func (s State) WithWave(w Wave) State {
	s.wave = w
	return s
}

// WithDeclarations returns the state with other declarations, under the next revision.
func (s State) WithDeclarations(d Declarations) State {
	s.revision++
	s.declarations = d
	pools := immutable.NewMapBuilder[string, Pool](nil)
	for _, p := range d.Pools {
		pools.Set(p.Name, p)
	}
	services := immutable.NewMapBuilder[string, Service](nil)
	for _, v := range d.Services {
		services.Set(v.Name, v)
	}
	customers := immutable.NewMapBuilder[string, Customer](nil)
	tokens := immutable.NewMapBuilder[string, string](nil)
	for _, c := range d.Customers {
		customers.Set(c.Name, c)
		tokens.Set(c.Token, c.Name)
	}
	s.pools = pools.Map()
	s.services = services.Map()
	s.customers = customers.Map()
	s.tokens = tokens.Map()
	return s
}

// Snapshot is the state in exported fields, as it is written to the snapshots of
// the log. The switches for experiments are not part of it.
type Snapshot struct {
	Revision        uint64
	Now             time.Time
	Declarations    Declarations
	Instances       []Instance
	Accounts        []Account
	Changes         []ChangeResult
	Wave            Wave
	MeanMaintenance time.Duration
}

// Snapshot returns a snapshot of the state, with each list sorted by key.
func (s State) Snapshot() Snapshot {
	return Snapshot{
		Revision:        s.revision,
		Now:             s.now,
		Declarations:    s.declarations,
		Instances:       s.Instances(),
		Accounts:        values(s.accounts),
		Changes:         values(s.changes),
		Wave:            s.wave,
		MeanMaintenance: s.meanMaintenance,
	}
}

// FromSnapshot returns the state that a snapshot holds.
func FromSnapshot(snapshot Snapshot) State {
	s := NewState()
	if snapshot.Revision > 0 {
		s = s.WithDeclarations(snapshot.Declarations)
	}
	s.revision = snapshot.Revision
	s.now = snapshot.Now
	s.wave = snapshot.Wave
	s.meanMaintenance = snapshot.MeanMaintenance
	for _, i := range snapshot.Instances {
		s = s.WithInstance(i)
	}
	for _, a := range snapshot.Accounts {
		s.accounts = s.accounts.Set(accountKey(a.Customer, a.Pool), a)
	}
	for _, c := range snapshot.Changes {
		s.changes = s.changes.Set(c.Change, c)
	}
	return s
}

func accountKey(customer, pool string) string {
	return customer + "\x00" + pool
}

func values[K cmp.Ordered, V any](m *immutable.SortedMap[K, V]) []V {
	out := make([]V, 0, m.Len())
	for it := m.Iterator(); !it.Done(); {
		_, v, _ := it.Next()
		out = append(out, v)
	}
	return out
}
