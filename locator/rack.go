// Package locator decides whether a task waits for a place in the rack of its data, or of the other tasks of its step,
// or starts elsewhere at once, where it takes longer (delay scheduling by expected cost). It forecasts when the runs in
// a rack leave room. All values are immutable and nothing is kept between two decisions.
package locator

import (
	"cmp"
	"slices"
	"time"

	"laburnumwind/registrar"
)

// Rack is a forecast of the free resources of the machines in one rack, from the present on.
type Rack struct {
	machines []Machine
}

// Machine is a forecast of the free resources of one machine.
type Machine struct {
	Name    string
	changes []change            // by time
	final   registrar.Resources // free after the last change
}

// change is an expected change of a machine's free resources. A start has negative amounts.
type change struct {
	after     time.Duration // from now
	resources registrar.Resources
}

// NewMachine returns a machine that is expected to stay as it is.
func NewMachine(name string, free registrar.Resources) Machine {
	return Machine{Name: name, final: free}
}

// Release is the expected release of resources by a run.
type Release struct {
	After     time.Duration // from now
	Resources registrar.Resources
}

// WithReleases returns the machine with expected releases of resources.
func (m Machine) WithReleases(releases []Release) Machine {
	changes := make([]change, 0, len(m.changes)+len(releases))
	changes = append(changes, m.changes...)
	for _, r := range releases {
		changes = append(changes, change{after: r.After, resources: r.Resources})
		m.final = m.final.Add(r.Resources)
	}
	slices.SortStableFunc(changes, func(a, b change) int { return cmp.Compare(a.after, b.after) })
	m.changes = merged(changes)
	return m
}

// merged merges the changes at the same time in place. There are then as many changes as times, although many equal tasks
// start and end together.
func merged(changes []change) []change {
	out := changes[:0]
	for _, c := range changes {
		if n := len(out); n > 0 && out[n-1].after == c.after {
			out[n-1].resources = out[n-1].resources.Add(c.resources)
			continue
		}
		out = append(out, c)
	}
	return out
}

// withCapacity returns the machine with a copy of its changes that has room for more of them.
func (m Machine) withCapacity(more int) Machine {
	m.changes = append(make([]change, 0, len(m.changes)+more), m.changes...)
	return m
}

// insert adds a change in place. The machine must hold the only copy of its changes.
func (m *Machine) insert(after time.Duration, resources registrar.Resources) {
	m.final = m.final.Add(resources)
	i := len(m.changes)
	for i > 0 && m.changes[i-1].after > after {
		i--
	}
	if i > 0 && m.changes[i-1].after == after {
		m.changes[i-1].resources = m.changes[i-1].resources.Add(resources)
		return
	}
	m.changes = slices.Insert(m.changes, i, change{after: after, resources: resources})
}

// insertStart adds a run in place that is expected to start and to end after the given times.
func (m *Machine) insertStart(start, end time.Duration, resources registrar.Resources) {
	if start > 0 {
		m.insert(start, registrar.Resources{}.Sub(resources))
	} else {
		m.final = m.final.Sub(resources)
	}
	m.insert(end, resources)
}

// earliest returns when the machine is expected to have room for a request from then on. It returns false if that is
// unknown. A gap before a later start is not used, since that start may come earlier than expected.
func (m Machine) earliest(request registrar.Resources) (time.Duration, bool) {
	free := m.final
	if !free.Fits(request) {
		return 0, false
	}
	for _, c := range slices.Backward(m.changes) {
		free = free.Sub(c.resources)
		if !free.Fits(request) {
			return c.after, true
		}
	}
	return 0, true
}

// NewRack returns the forecast of a rack with the given machines.
func NewRack(machines []Machine) Rack { return Rack{machines: machines} }

// Tasks are equal tasks of a step for which a rack is to have room.
type Tasks struct {
	Count    int
	Request  registrar.Resources                    // of each task
	RunTime  time.Duration                          // of each task, in this rack
	Together bool                                   // the tasks run at the same time, as those of a gang
	MayUse   func(machine string, planned int) bool // whether one more task may be added to those planned on a machine
}

// Reserve returns the forecast with tasks added at the earliest times at which there is room for them, and the time
// until the last of them starts. It returns false, and the forecast as it was, if there is no known time for all.
// Tasks that are considered later are thus expected to wait longer, which bounds the number of waiting tasks by the
// rate at which the rack completes runs.
func (r Rack) Reserve(t Tasks) (Rack, time.Duration, bool) {
	v := newReservation(r, t)
	for range t.Count {
		if !v.add() {
			return r, 0, false
		}
	}
	return v.rack(), v.last(), true
}

// Starts returns the times until Reserve expects the tasks to start, in their order. It returns fewer times than tasks if
// those of the others are not known.
func (r Rack) Starts(t Tasks) []time.Duration {
	v := newReservation(r, t)
	for range t.Count {
		if !v.add() {
			break
		}
	}
	return v.starts
}

// reservation is a forecast to which tasks are added one after another.
type reservation struct {
	tasks    Tasks
	machines []reservedMachine
	starts   []time.Duration // of the tasks added so far, which never decrease
}

// reservedMachine is a machine with the number of tasks that are added to it and the time of the next one.
type reservedMachine struct {
	Machine
	planned int
	next    time.Duration
	hasNext bool // there is a known time for one more task
}

func newReservation(r Rack, t Tasks) *reservation {
	v := &reservation{tasks: t, machines: make([]reservedMachine, len(r.machines)), starts: make([]time.Duration, 0, t.Count)}
	for i, m := range r.machines {
		v.machines[i] = reservedMachine{Machine: m}
		v.machines[i].findNext(t)
	}
	return v
}

// findNext updates the time of the next task. Only the machine to which a task was added has another one.
func (m *reservedMachine) findNext(t Tasks) {
	m.next, m.hasNext = 0, false
	if t.MayUse(m.Name, m.planned) {
		m.next, m.hasNext = m.earliest(t.Request)
	}
}

// add adds one task at the earliest time. It returns false if there is no known time for it.
func (v *reservation) add() bool {
	var best *reservedMachine
	for i := range v.machines {
		m := &v.machines[i]
		if m.hasNext && (best == nil || m.next < best.next) {
			best = m
		}
	}
	if best == nil {
		return false
	}
	if best.planned == 0 {
		best.Machine = best.withCapacity(2)
	}
	best.planned++
	v.starts = append(v.starts, best.next)
	if v.tasks.Together { // its place must not be counted twice
		best.final = best.final.Sub(v.tasks.Request)
	} else {
		best.insertStart(best.next, best.next+v.tasks.RunTime, v.tasks.Request)
	}
	best.findNext(v.tasks)
	return true
}

// last returns the time until the last task starts.
func (v *reservation) last() time.Duration {
	if len(v.starts) == 0 {
		return 0
	}
	return v.starts[len(v.starts)-1]
}

// rack returns the forecast with the tasks.
func (v *reservation) rack() Rack {
	machines := make([]Machine, len(v.machines))
	for i, m := range v.machines {
		if v.tasks.Together && m.planned > 0 {
			m.insert(v.last()+v.tasks.RunTime, v.tasks.Request.Times(m.planned))
		}
		machines[i] = m.Machine
	}
	return Rack{machines: machines}
}

// Start is a run that starts now.
type Start struct {
	Machine   string
	RunTime   time.Duration
	Resources registrar.Resources
}

// WithStarts returns the forecast with runs that start now on machines of the rack. It ignores the runs on others.
func (r Rack) WithStarts(starts []Start) Rack {
	byMachine := make(map[string][]Start)
	for _, s := range starts {
		byMachine[s.Machine] = append(byMachine[s.Machine], s)
	}
	machines := slices.Clone(r.machines)
	for i, m := range machines {
		if started := byMachine[m.Name]; len(started) > 0 {
			machines[i] = m.withStarts(started)
		}
	}
	return Rack{machines: machines}
}

// withStarts returns the machine with runs that start now.
func (m Machine) withStarts(starts []Start) Machine {
	releases := make([]Release, 0, len(starts))
	for _, s := range starts {
		m.final = m.final.Sub(s.Resources)
		releases = append(releases, Release{After: s.RunTime, Resources: s.Resources})
	}
	return m.WithReleases(releases)
}
