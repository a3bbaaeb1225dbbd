package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"laburnumwind/indexer"
	"laburnumwind/messenger"
	"laburnumwind/registrar"
)

// Timing and bounds of what is asked of the provider of machines.
const (
	listBusy   = 600 * time.Millisecond // between two lists while machines are on their way
	listIdle   = 1500 * time.Millisecond
	listStale  = 6 * time.Second        // no order rests on an older list
	listGrace  = 300 * time.Millisecond // after an order, before a list is believed to show its effect
	orderRetry = time.Second
	mostOrders = 32               // orders under way at the provider; more would only wait there
	goneAfter  = 20 * time.Second // a machine that no list names for so long is gone

	demandSpan  = 700 * time.Millisecond // over which arriving work is averaged
	demandRoom  = 1.1                    // processors wanted for each that arriving work keeps busy
	packing     = 0.9                    // share of a machine that tasks of mixed sizes fill
	taskLength  = time.Second            // of short tasks, by which a queue grows while machines are on their way
	surplusSpan = 800 * time.Millisecond // a pool has too much for so long before it gives machines up
	bootTime    = 4 * time.Second        // after an order a machine's worker may not be known yet
	crampedSpan = 3 * time.Second        // a lasting task waits so long for a worker before it is stopped for an upkeep all the same
	crampedRoom = 2                      // machines brought for lasting tasks that have nowhere to go: one for the next as well
	leastInPool = 2                      // machines kept in a pool that is in use
)

// machine is a machine as the leader sees it.
type machine struct {
	messenger.Machine
	out       bool      // an order is under way
	unsure    bool      // an order was not answered: only a later list tells
	orderedAt time.Time // of the last order
	leaving   string    // worker that was there when the provider took the last order; a list tells whether it went
	upkeepAt  time.Time // when its last upkeep began, if this leader ordered it
}

// demand is what a pool is asked for.
type demand struct {
	rate      float64   // processors that the arriving work keeps busy
	at        time.Time // of rate
	running   int       // processors in use, in thousandths
	wanted    int       // processors of what runs and what could start now, in thousandths
	late      int       // of wanted, for jobs that cannot be in time any more
	spread    int       // machines over which lasting tasks of one step go
	trend     trend     // of wanted
	turns     turns
	unplaced  bool      // a task finds no worker, whatever room there is
	crampedAt time.Time // when a lasting task last had nowhere to go before an upkeep
	surplusAt time.Time // since when the pool has more than it needs; zero: it has not
}

// WithWork returns the demand after work arrived, in processor seconds.
func (d demand) WithWork(now time.Time, work float64) demand {
	d.rate = d.rateAt(now) + work/demandSpan.Seconds()
	d.at = now
	return d
}

func (d demand) rateAt(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.rate * math.Exp(-now.Sub(d.at).Seconds()/demandSpan.Seconds())
}

// fleet is what the leader knows of the provider's machines and of the demand for them.
type fleet struct {
	machines indexer.Map[string, machine]
	open     bool // this node leads
	orders   int  // under way at the provider
	listing  bool
	listedAt time.Time // when the last list was asked for
	askedAt  time.Time
	since    time.Time // when this leader took over
	demands  map[string]demand
	reserved map[string]bool      // workers that get no new runs, because their machine is about to go
	due      map[string]bool      // workers whose machine is due for upkeep
	leaving  map[string]bool      // of these, workers whose machine was ordered to go
	absent   map[string]time.Time // machines of waves that no list names, since when
	denied   map[string]bool      // moves that the provider refused for good: machine and pool
}

func newFleet(now time.Time) fleet {
	return fleet{open: true, machines: indexer.NewMap[string, machine](), since: now}
}

// reserves tells whether a worker is kept free of new runs, because its machine is about to go.
func (f fleet) reserves(id string) bool { return f.reserved[id] }

func (f fleet) withMachine(m machine) fleet {
	f.machines = f.machines.With(m.Name, m)
	return f
}

func (f fleet) withDemand(pool string, d demand) fleet {
	f.demands = maps.Clone(f.demands)
	if f.demands == nil {
		f.demands = make(map[string]demand)
	}
	f.demands[pool] = d
	return f
}

// arrive notes the work of a job that was handed in.
func (t *turn) arrive(j registrar.Job) {
	work := 0.0
	for _, s := range j.Steps {
		if !s.Lasting {
			work += float64(s.Count) * float64(s.CPU) / 1000 * t.expected(j.Queue, s).Seconds()
		}
	}
	t.fleet = t.fleet.withDemand(j.Service, t.fleet.demands[j.Service].WithWork(t.now, work))
}

// takeMachines takes the provider's list.
func (t *turn) takeMachines(l messenger.MachineList) {
	t.fleet.listing = false
	if !l.OK || !t.fleet.open {
		return
	}
	t.fleet.listedAt = l.SentAt
	next := indexer.NewMap[string, machine]()
	for _, listed := range l.Machines {
		m, _ := t.fleet.machines.Get(listed.Name)
		m = t.confirmLeft(m, listed, l.SentAt)
		if m.out || l.SentAt.Before(m.orderedAt.Add(listGrace)) {
			next = next.With(m.Name, m) // the list may be older than the order
			continue
		}
		m.Machine = listed
		m.unsure = false
		if _, ok := t.fleet.absent[listed.Name]; ok {
			t.fleet.absent = maps.Clone(t.fleet.absent)
			delete(t.fleet.absent, listed.Name)
		}
		next = next.With(listed.Name, m)
	}
	t.fleet.machines = next
}

// takeMachineReply takes the provider's answer to an order.
func (t *turn) takeMachineReply(r messenger.MachineReply) {
	if !t.fleet.open || r.Order.Fence != t.term {
		return
	}
	m, ok := t.fleet.machines.Get(r.Order.Machine)
	if !ok {
		return
	}
	m.out = false
	m.unsure = !r.OK && !r.Refused
	t.tell(messenger.Decision{What: "machineOrdered", Instance: m.Name, Pool: r.Order.Pool, Reason: replyWord(r)})
	if r.OK {
		m = t.machineTaken(m, r)
	}
	if r.Refused && r.Reason == "" && r.Order.Wave == 0 {
		t.fleet.denied = maps.Clone(t.fleet.denied)
		if t.fleet.denied == nil {
			t.fleet.denied = make(map[string]bool)
		}
		t.fleet.denied[m.Name+" "+r.Order.Pool] = true
	}
	t.fleet = t.fleet.withMachine(m)
}

func replyWord(r messenger.MachineReply) string {
	switch {
	case r.OK:
		return "done"
	case r.Refused:
		return "refused: " + r.Reason
	}
	return "not answered"
}

// machineTaken notes that the provider took an order. It also takes one that was
// carried out before, perhaps for an earlier leader, so only the next list tells
// whether the machine's worker went.
func (t *turn) machineTaken(m machine, r messenger.MachineReply) machine {
	m.orderedAt, m.leaving = t.now, m.Worker
	t.fleet.askedAt = time.Time{}
	if r.Order.Wave == 0 {
		m.State, m.Pool = messenger.MachineMoving, r.Order.Pool
		return m
	}
	m.State, m.upkeepAt = messenger.MachineUpkeep, t.now
	t.propose(registrar.Command{Upkeep: []registrar.Upkeep{{Wave: r.Order.Wave, Machine: m.Name, Done: true}}}, waiting{})
	return m
}

// confirmLeft settles the runs of a machine's worker once a list shows that it went.
func (t *turn) confirmLeft(m machine, listed messenger.Machine, sent time.Time) machine {
	if m.leaving == "" || m.out || sent.Before(m.orderedAt) {
		return m
	}
	went := listed.State != messenger.MachineUp || listed.Worker != m.leaving
	if !went {
		if !sent.Before(m.orderedAt.Add(listGrace)) {
			m.leaving = "" // the order had been carried out before
		}
		return m
	}
	w, ok := t.workers.Get(m.leaving)
	if ok {
		t.settleAll(w, "its machine left")
		w, _ = t.workers.Get(w.ID)
		w.Draining, w.left, w.listedAt = true, true, time.Time{}
		t.set(w)
	}
	m.leaving = ""
	return m
}

// tendFleet asks for lists, and orders upkeep and moves.
func (t *turn) tendFleet() {
	if !t.fleet.open {
		return
	}
	every := listIdle
	for _, m := range t.fleet.machines.All() {
		if m.State != messenger.MachineUp || m.unsure {
			every = listBusy
		}
	}
	if !t.fleet.listing && t.now.Sub(t.fleet.askedAt) >= every {
		t.fleet.listing, t.fleet.askedAt = true, t.now
		t.Send(messenger.Provider, messenger.ListMachines{})
	}
	fresh := !t.fleet.listedAt.IsZero() && t.now.Sub(t.fleet.listedAt) < listStale
	if !fresh {
		return
	}
	t.fleet.reserved, t.fleet.leaving, t.fleet.due = make(map[string]bool), make(map[string]bool), make(map[string]bool)
	t.fleet.orders = 0
	for _, m := range t.fleet.machines.All() {
		if m.out {
			t.fleet.orders++
		}
		if (m.out || m.unsure) && m.Worker != "" {
			t.fleet.reserved[m.Worker], t.fleet.leaving[m.Worker] = true, true
		}
		if m.leaving != "" {
			t.fleet.reserved[m.leaving], t.fleet.leaving[m.leaving] = true, true
		}
	}
	t.view.EachWave(t.tendWave)
	t.balance()
}

// tendWave begins upkeep of machines that are due, idle ones first.
func (t *turn) tendWave(w registrar.Wave) {
	if w.IsComplete() {
		return
	}
	free := w.Most
	var due []machine
	var gone []registrar.Upkeep
	for _, name := range w.Machines {
		m, ok := t.fleet.machines.Get(name)
		done := slices.Contains(w.Done, name)
		switch {
		case !ok:
			if !done && t.isGoneMachine(name) {
				gone = append(gone, registrar.Upkeep{Wave: w.ID, Machine: name, Done: true})
			}
		case t.isDown(m):
			free--
		case !done && m.State == messenger.MachineUp && !m.out && t.isSettled(m) && t.now.Sub(m.orderedAt) > orderRetry:
			due = append(due, m)
		}
	}
	if len(gone) > 0 {
		t.propose(registrar.Command{Upkeep: gone}, waiting{})
	}
	for _, m := range due {
		t.fleet.due[m.Worker] = true
	}
	slices.SortStableFunc(due, func(a, b machine) int { return t.load(a) - t.load(b) })
	for _, m := range due {
		if free <= 0 || t.fleet.orders >= mostOrders {
			return
		}
		free--
		t.beginUpkeep(w, m)
	}
}

// isGoneMachine tells whether a machine has not been listed for so long that it does not come back.
func (t *turn) isGoneMachine(name string) bool {
	since, ok := t.fleet.absent[name]
	if !ok {
		t.fleet.absent = maps.Clone(t.fleet.absent)
		if t.fleet.absent == nil {
			t.fleet.absent = make(map[string]time.Time)
		}
		t.fleet.absent[name] = t.now
		return false
	}
	return t.now.Sub(since) > goneAfter
}

// isDown tells whether a machine is, or may be, away for upkeep.
func (t *turn) isDown(m machine) bool {
	if m.out || m.unsure || m.State == messenger.MachineUpkeep || m.State == messenger.MachineDown {
		return true
	}
	return !m.upkeepAt.IsZero() && t.now.Sub(m.upkeepAt) < t.cfg.Upkeep+listGrace
}

// load is what an upkeep of a machine would disturb.
func (t *turn) load(m machine) int {
	w, ok := t.workers.Get(m.Worker)
	if !ok {
		return 0
	}
	n := 0
	for _, r := range w.runs {
		n += 10
		if r.lasting {
			n += 1000
		}
	}
	return n
}

// beginUpkeep orders a machine's upkeep if nothing but interruptible work is on it; else it gets no new runs.
func (t *turn) beginUpkeep(wave registrar.Wave, m machine) {
	pool, _ := t.view.Config().Pool(m.Pool)
	if !pool.Standby {
		w, ok := t.workers.Get(m.Worker)
		if !ok || w.left || w.misses > 0 || t.now.Sub(w.answeredAt) > staleAfter {
			return // the list may name a worker that is gone, and another may be there
		}
		t.fleet.reserved[w.ID] = true
		if !t.mayGoElsewhere(w) {
			return
		}
		if !t.mayEnd(w) {
			t.evacuate(w)
			return
		}
		if slices.ContainsFunc(w.runs, func(r run) bool { return !r.lasting }) {
			return
		}
	}
	t.orderMachine(m, messenger.MachineOrder{Machine: m.Name, Wave: wave.ID})
}

// orderMachine asks something of the provider, once it is durable that it does:
// a later leader leaves the machine alone until the order is surely over.
func (t *turn) orderMachine(m machine, o messenger.MachineOrder) {
	m.out, m.orderedAt = true, t.now
	t.fleet = t.fleet.withMachine(m)
	t.fleet.orders++
	if m.Worker != "" {
		t.fleet.reserved[m.Worker], t.fleet.leaving[m.Worker] = true, true
	}
	c := registrar.Command{Ordered: []string{m.Name}}
	if o.Wave != 0 {
		c.Upkeep = []registrar.Upkeep{{Wave: o.Wave, Machine: m.Name}}
	}
	t.propose(c, waiting{order: o})
}

// isSettled tells whether orders that an earlier leader gave about a machine are surely over.
func (t *turn) isSettled(m machine) bool {
	at := t.view.OrderedAt(m.Name)
	return at.After(t.fleet.since) || t.now.Sub(at) > t.cfg.MachineLease
}

// mayEnd tells whether all lasting tasks on a worker may be ended now: of none
// of their steps more tasks would be away than it may miss.
func (t *turn) mayEnd(w worker) bool {
	for _, r := range w.runs {
		if !r.lasting {
			continue
		}
		j, ok := t.view.Job(r.task.Job)
		if !ok || j.Outcome != registrar.Active || !j.Steps[r.task.Step].HasMayMiss {
			continue
		}
		if t.awayWithout(j, r.task, w.ID) > j.Steps[r.task.Step].MayMiss {
			return false
		}
	}
	return true
}

// evacuate stops one lasting task that may be away now, so that it starts elsewhere.
func (t *turn) evacuate(w worker) {
	for _, r := range w.runs {
		j, ok := t.view.Job(r.task.Job)
		if !ok || !r.lasting || r.stopping || r.ending || !r.committed || j.Outcome != registrar.Active {
			continue
		}
		if t.awayWithout(j, r.task, "") < j.Steps[r.task.Step].MayMiss {
			t.stop(w, r, "its machine is due for upkeep")
			return
		}
	}
}

// mayGoElsewhere tells whether a worker's lasting tasks find another worker, or
// have waited long enough for one: the pool gets a machine for them.
func (t *turn) mayGoElsewhere(w worker) bool {
	found := true
	for _, r := range w.runs {
		j, ok := t.view.Job(r.task.Job)
		if r.lasting && ok && j.Outcome == registrar.Active && !t.hasOther(w, j.Steps[r.task.Step], r) {
			found = false
		}
	}
	if found {
		return true
	}
	d := t.fleet.demands[w.Service]
	d.crampedAt = t.now
	t.fleet = t.fleet.withDemand(w.Service, d)
	if w.crampedAt.IsZero() {
		w.crampedAt = t.now
		t.set(w)
	}
	return t.now.Sub(w.crampedAt) > crampedSpan
}

// hasOther tells whether another worker of the pool, whose machine stays, has
// room for a lasting task once the short ones there have ended: it goes before others.
func (t *turn) hasOther(w worker, step registrar.Step, r run) bool {
	for _, other := range t.workers.All() {
		if other.Service != w.Service || other.ID == w.ID || !other.takesStarts(t.now) || t.fleet.reserves(other.ID) || t.fleet.due[other.ID] {
			continue
		}
		free := other.Capacity.Minus(other.lastingRoom())
		if free.Holds(r.room) && other.meets(step) && other.runsOf(r.task) < hardLimit(step) {
			return true
		}
	}
	return false
}

// lastingRoom is what a worker's lasting tasks take.
func (w worker) lastingRoom() registrar.Room {
	room := registrar.Room{}
	for _, r := range w.runs {
		if r.lasting {
			room = room.Plus(r.room)
		}
	}
	return room
}

// runsOf is the number of a worker's runs of the step that a task belongs to.
func (w worker) runsOf(task registrar.TaskName) int {
	n := 0
	for _, r := range w.runs {
		if r.task.Job == task.Job && r.task.K == task.K && r.task.Step == task.Step {
			n++
		}
	}
	return n
}

// awayWithout is how many tasks of a step would be away without a worker.
func (t *turn) awayWithout(j registrar.Job, name registrar.TaskName, without string) int {
	o, ok := j.Occurrence(name.K)
	if !ok {
		return 0
	}
	away := 0
	for index, task := range o.Steps[name.Step] {
		w, ok := t.workers.Get(task.Worker)
		at := -1
		if ok {
			at = w.find(registrar.TaskName{Job: name.Job, K: name.K, Step: name.Step, Index: index})
		}
		atWork := task.Phase == registrar.Running && at >= 0 && task.Worker != without && t.isAtWork(w, w.runs[at])
		if !atWork {
			away++
		}
	}
	return away
}

// isAtWork tells whether a lasting run serves, by a recent list of a worker that stays.
func (t *turn) isAtWork(w worker, r run) bool {
	return r.listed && r.percent >= 100 && !r.stopping && !r.ending && !w.Draining && !t.fleet.leaving[w.ID] && t.now.Sub(w.answeredAt) < staleAfter
}
