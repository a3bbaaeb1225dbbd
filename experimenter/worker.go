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

// WorkerConfig describes a simulated endpoint.
type WorkerConfig struct {
	Name  string
	Zone  string
	Rack  string
	Slots int
}

// Worker is a simulated endpoint. It runs the contract of package emulator on
// simulated time.
type Worker struct {
	WorkerConfig
	Fail bool // every attempt fails after failDelay

	world       *World
	contract    emulator.State
	alive       bool
	leaving     bool
	LeftAt      time.Time
	incarnation uint64
	run         int
}

const (
	announceInterval = time.Second          // between announcements of an endpoint
	failDelay        = 5 * time.Millisecond // maximum run time of a failing attempt
	leaveGracePeriod = 2 * time.Second      // nothing may start on an endpoint later than this after it left
	statusOK         = 200
)

func (k *Worker) start() {
	k.alive = true
	k.leaving = false
	k.run++
	k.incarnation = uint64(k.world.Now().UnixNano())
	k.contract = k.world.cfg.AdjustContract(emulator.NewState(k.incarnation, k.Slots))
}

// Kill stops the endpoint and all attempts that it runs.
func (k *Worker) Kill() {
	if k.alive {
		k.world.countFault("worker killed")
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

// Leave stops accepting new attempts. Running attempts continue.
func (k *Worker) Leave() {
	if !k.alive || k.leaving {
		return
	}
	k.world.countFault("worker leaves")
	k.leaving = true
	k.LeftAt = k.world.Now()
	k.contract = k.contract.WithLeaving()
	k.announceOnce()
}

// announce sends an announcement now and every announceInterval after that.
func (k *Worker) announce() {
	k.announceOnce()
	k.world.After(announceInterval, k.announce)
}

func (k *Worker) announceOnce() {
	if !k.alive {
		return
	}
	w := k.world
	var zoneEntries []*Entry
	for _, e := range w.entries {
		if e.Zone == k.Zone && e.Alive() {
			zoneEntries = append(zoneEntries, e)
		}
	}
	if len(zoneEntries) == 0 {
		return
	}
	e := zoneEntries[w.random.IntN(len(zoneEntries))]
	announcement := k.announcement()
	run := k.run
	w.After(w.networkDelay(k.Zone, e.Zone), func() {
		e.step(e.run, messenger.Tracker, announcement)
		reply := e.announceReply(k.Name, announcement.Endpoint.Incarnation)
		w.After(w.networkDelay(k.Zone, e.Zone), func() {
			if k.alive && k.run == run {
				k.applyReply(reply)
			}
		})
	})
}

func (k *Worker) announcement() messenger.Announcement {
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
		return announcer.Reply{State: keeper.Unknown.String(), Incarnation: i.Incarnation}
	}
	return announcer.Reply{Incarnation: i.Incarnation, State: i.State.String(), Pool: i.Pool, Epoch: i.Epoch}
}

func (k *Worker) applyReply(r announcer.Reply) {
	before := k.contract.Epoch()
	k.contract = k.contract.WithReply(r)
	if k.contract.Epoch() == before {
		return
	}
	if r.State == keeper.Maintenance.String() {
		k.reboot()
		return
	}
	k.announceOnce()
}

func (k *Worker) reboot() {
	if k.contract.Running() > 0 {
		k.world.reportViolation("%s rebooted with %d attempts in progress", k.Name, k.contract.Running())
	}
	k.alive = false
	k.world.After(k.world.cfg.Reboot, k.Restart)
}

// sendAttempt sends an attempt to its endpoint and returns the answer to the entry instance.
func (w *World) sendAttempt(e *Entry, r messenger.Request) {
	run := e.run
	sentAt := w.Now()
	answered := false
	done := func(x messenger.AttemptResult) {
		if answered { // the attempt has already ended, or its deadline has passed
			return
		}
		answered = true
		x.Request = r
		x.Duration = w.Now().Sub(sentAt)
		e.step(run, messenger.Answerer, x)
	}
	spec := e.specs[r.ID]
	k := w.worker(r.Endpoint.Instance)
	if w.isPartitioned(e.Zone, k.Zone) || !k.alive || k.incarnation != r.Endpoint.Incarnation {
		w.After(w.networkDelay(e.Zone, k.Zone), func() { done(messenger.AttemptResult{Kind: messenger.RequestNotSent, InUse: -1}) })
		return
	}
	w.After(w.networkDelay(e.Zone, k.Zone), func() { k.startAttempt(e, r, spec, done) })
	w.After(r.Deadline.Sub(e.now()), func() { done(messenger.AttemptResult{Kind: messenger.ResponseTimeout, InUse: -1}) })
}

func (w *World) worker(name string) *Worker {
	for _, k := range w.workers {
		if k.Name == name {
			return k
		}
	}
	return nil
}

// startAttempt starts an attempt at the endpoint, or answers why it cannot start.
func (k *Worker) startAttempt(e *Entry, r messenger.Request, spec RequestSpec, answer func(messenger.AttemptResult)) {
	w := k.world
	done := func(x messenger.AttemptResult) {
		w.After(w.networkDelay(e.Zone, k.Zone), func() { answer(x) })
	}
	if !k.alive {
		done(messenger.AttemptResult{Kind: messenger.IncompleteResponse, InUse: -1})
		return
	}
	call := emulator.Call{
		Attempt:    claimer.AttemptID(e.RunName(), r),
		Instance:   r.Endpoint.Instance,
		Epoch:      r.Endpoint.Epoch,
		AtMostOnce: !r.Idempotent,
	}
	var reason messenger.NotStartedReason
	k.contract, reason = k.contract.Begin(w.Now(), k.Name, call)
	if reason != "" {
		done(messenger.AttemptResult{Kind: messenger.AttemptNotStarted, Reason: reason, InUse: k.contract.Running()})
		return
	}
	if k.leaving && w.Now().Sub(k.LeftAt) > leaveGracePeriod {
		w.reportViolation("%s started work %s after it left", k.Name, w.Now().Sub(k.LeftAt))
	}
	w.Starts = append(w.Starts, Start{
		At: w.Now(), Worker: k.Name, Attempt: call.Attempt, EntryRun: e.RunName(), Request: r.ID,
		Service: r.Service, Customer: r.Customer, Key: r.Key, AtMostOnce: call.AtMostOnce, Epoch: r.Endpoint.Epoch, Pool: r.Endpoint.Pool,
	})
	k.runAttempt(e, spec, call, done)
}

func (k *Worker) runAttempt(e *Entry, spec RequestSpec, call emulator.Call, done func(messenger.AttemptResult)) {
	w := k.world
	status, took := statusOK, spec.RunTime
	if k.Fail || spec.AlwaysFails {
		status, took = messenger.StatusServerError, min(failDelay, spec.RunTime)
	}
	run := k.run
	w.After(took, func() {
		if !k.alive || k.run != run {
			done(messenger.AttemptResult{Kind: messenger.IncompleteResponse, InUse: -1})
			return
		}
		body := []byte("done " + spec.Body)
		k.contract = k.contract.End(w.Now(), call.Attempt, forwarder.RevokeReply{Status: status, Body: body})
		if k.contract.IsEmpty() {
			k.announceOnce()
		}
		if w.isPartitioned(k.Zone, e.Zone) {
			done(messenger.AttemptResult{Kind: messenger.IncompleteResponse, InUse: -1})
			return
		}
		done(messenger.AttemptResult{
			Kind: messenger.CompleteResponse, InUse: k.contract.Running(),
			Answer: messenger.Answer{Status: status, Body: body},
		})
	})
}

func (w *World) revoke(e *Entry, m messenger.RevokeAttempt) {
	run := e.run
	k := w.worker(m.Endpoint.Instance)
	reply := func(out messenger.RevokeResult) {
		out.Attempt = m
		w.After(w.networkDelay(e.Zone, k.Zone), func() { e.step(run, messenger.Claimer, out) })
	}
	w.After(w.networkDelay(e.Zone, k.Zone), func() {
		if !k.alive || w.isPartitioned(e.Zone, k.Zone) {
			reply(messenger.RevokeResult{State: messenger.EndpointUnreachable})
			return
		}
		if k.incarnation != m.Endpoint.Incarnation {
			reply(messenger.RevokeResult{State: messenger.AttemptUnknown})
			return
		}
		var r forwarder.RevokeReply
		k.contract, r = k.contract.Revoke(w.Now(), m.ID)
		reply(revokeResult(r))
	})
}

func revokeResult(r forwarder.RevokeReply) messenger.RevokeResult {
	switch r.State {
	case forwarder.StateRevoked:
		return messenger.RevokeResult{State: messenger.AttemptNeverStarts}
	case forwarder.StateRunning:
		return messenger.RevokeResult{State: messenger.AttemptRunning}
	}
	return messenger.RevokeResult{State: messenger.AttemptFinished, Answer: messenger.EndpointAnswer(r.Status, nil, r.Body)}
}
