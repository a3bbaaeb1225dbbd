package experimenter

import (
	"time"

	"laburnumwind/announcer"
	"laburnumwind/claimer"
	"laburnumwind/emulator"
	"laburnumwind/forwarder"
	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// WorkerConfig describes an endpoint.
type WorkerConfig struct {
	Name  string
	Zone  string
	Rack  string
	Slots int
}

// Worker is an endpoint: the stand-in's contract on fake time.
type Worker struct {
	WorkerConfig
	Fail bool // it fails everything at once

	world       *World
	contract    emulator.State
	alive       bool
	leaving     bool
	LeftAt      time.Time
	incarnation uint64
	run         int
}

const (
	announceEvery = time.Second
	failTime      = 5 * time.Millisecond
	leaveBound    = 2 * time.Second // after which nothing starts on an endpoint that leaves
	statusOK      = 200
)

func (k *Worker) start() {
	k.alive = true
	k.leaving = false
	k.run++
	k.incarnation = uint64(k.world.Now().UnixNano())
	k.contract = k.world.cfg.Contract(emulator.NewState(k.incarnation, k.Slots))
}

// Kill ends the endpoint and all that it runs.
func (k *Worker) Kill() {
	if k.alive {
		k.world.fault("worker killed")
		k.alive = false
	}
}

// Restart starts a killed endpoint under a new incarnation.
func (k *Worker) Restart() {
	if !k.alive || k.leaving {
		k.start()
		k.announceOnce()
	}
}

// Leave takes no new work any more; what runs goes on.
func (k *Worker) Leave() {
	if !k.alive || k.leaving {
		return
	}
	k.world.fault("worker leaves")
	k.leaving = true
	k.LeftAt = k.world.Now()
	k.contract = k.contract.WithLeaving()
	k.announceOnce()
}

// announce tells an entry instance of the zone, again and again.
func (k *Worker) announce() {
	k.announceOnce()
	k.world.After(announceEvery, k.announce)
}

func (k *Worker) announceOnce() {
	if !k.alive {
		return
	}
	w := k.world
	var near []*Entry
	for _, e := range w.entries {
		if e.Zone == k.Zone && e.Alive() {
			near = append(near, e)
		}
	}
	if len(near) == 0 {
		return
	}
	e := near[w.random.IntN(len(near))]
	word := k.word()
	run := k.run
	w.After(w.delay(k.Zone, e.Zone), func() {
		e.step(e.run, messenger.Tracker, word)
		reply := e.announceReply(k.Name, word.Endpoint.Incarnation)
		w.After(w.delay(k.Zone, e.Zone), func() {
			if k.alive && k.run == run {
				k.adopt(reply)
			}
		})
	})
}

func (k *Worker) word() messenger.Announcement {
	return messenger.Announcement{
		Endpoint: messenger.Endpoint{
			Instance:    k.Name,
			Incarnation: k.incarnation,
			Address:     k.Name,
			Zone:        k.Zone,
			Rack:        k.Rack,
			Slots:       k.Slots,
			Epoch:       k.contract.Epoch(),
		},
		InUse:   k.contract.Running(),
		Leaving: k.leaving,
		Empty:   k.contract.IsEmpty(),
	}
}

func (e *Entry) announceReply(name string, incarnation uint64) announcer.Reply {
	i, ok := e.view.State.Instance(name)
	if !ok || i.Incarnation != incarnation {
		return announcer.Reply{Place: keeper.Unknown.String(), Incarnation: i.Incarnation}
	}
	return announcer.Reply{Incarnation: i.Incarnation, Place: i.Place.String(), Pool: i.Pool, Epoch: i.Epoch}
}

func (k *Worker) adopt(r announcer.Reply) {
	before := k.contract.Epoch()
	k.contract = k.contract.Adopt(r)
	if k.contract.Epoch() == before {
		return
	}
	if r.Place == keeper.Maintenance.String() {
		k.reboot()
		return
	}
	k.announceOnce()
}

func (k *Worker) reboot() {
	if k.contract.Running() > 0 {
		k.world.breaks("%s reboots with %d attempts in progress", k.Name, k.contract.Running())
	}
	k.alive = false
	k.world.After(k.world.cfg.Reboot, k.Restart)
}

// carry takes an attempt to its endpoint and its answer back.
func (w *World) carry(e *Entry, r messenger.Request) {
	run := e.run
	began := w.Now()
	answered := false
	done := func(x messenger.Exchange) {
		if answered { // the attempt was given up at its deadline, or ended before
			return
		}
		answered = true
		x.Request = r
		x.Took = w.Now().Sub(began)
		e.step(run, messenger.Answerer, x)
	}
	job := e.jobs[r.ID]
	k := w.worker(r.Endpoint.Instance)
	if w.isCut(e.Zone, k.Zone) || !k.alive || k.incarnation != r.Endpoint.Incarnation {
		w.After(w.delay(e.Zone, k.Zone), func() { done(messenger.Exchange{Kind: messenger.Unsent, InUse: -1}) })
		return
	}
	w.After(w.delay(e.Zone, k.Zone), func() { k.begin(e, r, job, done) })
	w.After(r.Deadline.Sub(e.now()), func() { done(messenger.Exchange{Kind: messenger.Late, InUse: -1}) })
}

func (w *World) worker(name string) *Worker {
	for _, k := range w.workers {
		if k.Name == name {
			return k
		}
	}
	return nil
}

// begin runs an attempt at the endpoint.
func (k *Worker) begin(e *Entry, r messenger.Request, job Job, answer func(messenger.Exchange)) {
	w := k.world
	done := func(x messenger.Exchange) {
		w.After(w.delay(e.Zone, k.Zone), func() { answer(x) })
	}
	if !k.alive {
		done(messenger.Exchange{Kind: messenger.Cut, InUse: -1})
		return
	}
	call := emulator.Call{
		Attempt:  claimer.AttemptID(e.RunName(), r),
		Instance: r.Endpoint.Instance,
		Epoch:    r.Endpoint.Epoch,
		Once:     !r.Idempotent,
	}
	var reason messenger.NotStartedReason
	k.contract, reason = k.contract.Begin(w.Now(), k.Name, call)
	if reason != "" {
		done(messenger.Exchange{Kind: messenger.NotStarted, Reason: reason, InUse: k.contract.Running()})
		return
	}
	if k.leaving && w.Now().Sub(k.LeftAt) > leaveBound {
		w.breaks("%s started work %s after it left", k.Name, w.Now().Sub(k.LeftAt))
	}
	w.Starts = append(w.Starts, Start{
		At: w.Now(), Worker: k.Name, Attempt: call.Attempt, Entry: e.RunName(), Request: r.ID,
		Service: r.Service, Customer: r.Customer, Key: r.Key, Once: call.Once, Epoch: r.Endpoint.Epoch, Pool: r.Endpoint.Pool,
	})
	k.work(e, job, call, done)
}

func (k *Worker) work(e *Entry, job Job, call emulator.Call, done func(messenger.Exchange)) {
	w := k.world
	status, took := statusOK, job.Run
	if k.Fail || job.Bad {
		status, took = messenger.StatusServerError, min(failTime, job.Run)
	}
	run := k.run
	w.After(took, func() {
		if !k.alive || k.run != run {
			done(messenger.Exchange{Kind: messenger.Cut, InUse: -1})
			return
		}
		body := []byte("done " + job.Body)
		k.contract = k.contract.End(w.Now(), call.Attempt, forwarder.RevokeReply{Status: status, Body: body})
		if k.contract.IsEmpty() {
			k.announceOnce()
		}
		if w.isCut(k.Zone, e.Zone) {
			done(messenger.Exchange{Kind: messenger.Cut, InUse: -1})
			return
		}
		done(messenger.Exchange{
			Kind: messenger.Whole, InUse: k.contract.Running(),
			Answer: messenger.Answer{Status: status, Body: body},
		})
	})
}

func (w *World) revoke(e *Entry, m messenger.Revoke) {
	run := e.run
	k := w.worker(m.Endpoint.Instance)
	reply := func(out messenger.Revoked) {
		out.Revoke = m
		w.After(w.delay(e.Zone, k.Zone), func() { e.step(run, messenger.Claimer, out) })
	}
	w.After(w.delay(e.Zone, k.Zone), func() {
		if !k.alive || w.isCut(e.Zone, k.Zone) {
			reply(messenger.Revoked{State: messenger.Unreachable})
			return
		}
		if k.incarnation != m.Endpoint.Incarnation {
			reply(messenger.Revoked{State: messenger.Forgotten})
			return
		}
		var r forwarder.RevokeReply
		k.contract, r = k.contract.Revoke(w.Now(), m.ID)
		reply(revoked(r))
	})
}

func revoked(r forwarder.RevokeReply) messenger.Revoked {
	switch r.State {
	case forwarder.StateRevoked:
		return messenger.Revoked{State: messenger.NeverRun}
	case forwarder.StateRunning:
		return messenger.Revoked{State: messenger.Running}
	}
	return messenger.Revoked{State: messenger.Finished, Answer: messenger.WholeAnswer(r.Status, nil, r.Body)}
}
