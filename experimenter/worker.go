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
	Fail bool // every attempt fails, at the latest after failDelay

	cluster     *Cluster
	contract    emulator.State
	alive       bool // the process exists; false during a reboot
	leaving     bool
	LeftAt      time.Time // time of the last Leave
	incarnation uint64
	run         int // number of starts
}

const (
	announceInterval = time.Second          // between announcements of an endpoint
	failDelay        = 5 * time.Millisecond // maximum run time of a failing attempt
	leaveGracePeriod = 2 * time.Second      // after Leave; an attempt that starts later is a violation
	statusOK         = 200
)

// start starts the endpoint under a new incarnation, with no attempts.
func (w *Worker) start() {
	w.alive = true
	w.leaving = false
	w.run++
	w.incarnation = uint64(w.cluster.Now().UnixNano())
	w.contract = w.cluster.cfg.AdjustContract(emulator.NewState(w.incarnation, w.Slots))
}

// Kill stops the endpoint and all attempts that it runs.
func (w *Worker) Kill() {
	if w.alive {
		w.cluster.countFault("worker killed")
		w.alive = false
	}
}

// Restart starts an endpoint that does not run or has left, under a new incarnation.
func (w *Worker) Restart() {
	if !w.alive || w.leaving {
		w.start()
		w.announceOnce()
	}
}

// Leave stops accepting new attempts. Running attempts continue.
func (w *Worker) Leave() {
	if !w.alive || w.leaving {
		return
	}
	w.cluster.countFault("worker leaves")
	w.leaving = true
	w.LeftAt = w.cluster.Now()
	w.contract = w.contract.WithLeaving()
	w.announceOnce()
}

// announce sends an announcement now and every announceInterval after that.
func (w *Worker) announce() {
	w.announceOnce()
	w.cluster.After(announceInterval, w.announce)
}

// announceOnce sends an announcement to a random running entry instance of its zone and
// applies the reply.
func (w *Worker) announceOnce() {
	if !w.alive {
		return
	}
	cl := w.cluster
	var zoneEntries []*Entry
	for _, e := range cl.entries {
		if e.Zone == w.Zone && e.Alive() {
			zoneEntries = append(zoneEntries, e)
		}
	}
	if len(zoneEntries) == 0 {
		return
	}
	e := zoneEntries[cl.random.IntN(len(zoneEntries))]
	announcement := w.announcement()
	run := w.run
	cl.After(cl.networkDelay(w.Zone, e.Zone), func() {
		e.step(e.run, messenger.Tracker, announcement)
		reply := e.announceReply(w.Name, announcement.Endpoint.Incarnation)
		cl.After(cl.networkDelay(w.Zone, e.Zone), func() {
			if w.alive && w.run == run {
				w.applyReply(reply)
			}
		})
	})
}

func (w *Worker) announcement() messenger.Announcement {
	return messenger.Announcement{
		Endpoint: messenger.Endpoint{
			Instance:    w.Name,
			Incarnation: w.incarnation,
			Address:     w.Name,
			Zone:        w.Zone,
			Rack:        w.Rack,
			Slots:       w.Slots,
			Epoch:       w.contract.Epoch(),
		},
		InUse:   w.contract.Running(),
		Leaving: w.leaving,
		Empty:   w.contract.IsEmpty(),
	}
}

// announceReply returns the reply to an announcement, taken from the entry instance's view of
// the declarations. The reported state is unknown if the view lacks the endpoint or has
// another incarnation of it.
func (e *Entry) announceReply(name string, incarnation uint64) announcer.Reply {
	i, ok := e.view.State.Instance(name)
	if !ok || i.Incarnation != incarnation {
		return announcer.Reply{State: keeper.Unknown.String(), Incarnation: i.Incarnation}
	}
	return announcer.Reply{Incarnation: i.Incarnation, State: i.State.String(), Pool: i.Pool, Epoch: i.Epoch}
}

// applyReply applies the reply to an announcement. If the reply has a newer epoch, the
// endpoint reboots when its new state is maintenance, and otherwise announces the epoch at
// once.
func (w *Worker) applyReply(r announcer.Reply) {
	before := w.contract.Epoch()
	w.contract = w.contract.WithReply(r)
	if w.contract.Epoch() == before {
		return
	}
	if r.State == keeper.Maintenance.String() {
		w.reboot()
		return
	}
	w.announceOnce()
}

// reboot stops the endpoint and restarts it after Config.Reboot. Attempts in progress are a
// violation, because the endpoint must have been drained before.
func (w *Worker) reboot() {
	if w.contract.Running() > 0 {
		w.cluster.reportViolation("%s rebooted with %d attempts in progress", w.Name, w.contract.Running())
	}
	w.alive = false
	w.cluster.After(w.cluster.cfg.Reboot, w.Restart)
}

// sendAttempt sends an attempt to its endpoint and returns the answer to the entry instance,
// which gets a timeout if there is no answer by the deadline.
func (cl *Cluster) sendAttempt(e *Entry, r messenger.Request) {
	run := e.run
	sentAt := cl.Now()
	answered := false
	done := func(x messenger.AttemptResult) {
		if answered { // the attempt has already ended, or its deadline has passed
			return
		}
		answered = true
		x.Request = r
		x.Duration = cl.Now().Sub(sentAt)
		e.step(run, messenger.Answerer, x)
	}
	spec := e.specs[r.ID]
	w := cl.worker(r.Endpoint.Instance)
	if cl.isPartitioned(e.Zone, w.Zone) || !w.alive || w.incarnation != r.Endpoint.Incarnation {
		cl.After(cl.networkDelay(e.Zone, w.Zone), func() { done(messenger.AttemptResult{Kind: messenger.RequestNotSent, InUse: -1}) })
		return
	}
	cl.After(cl.networkDelay(e.Zone, w.Zone), func() { w.startAttempt(e, r, spec, done) })
	cl.After(r.Deadline.Sub(e.now()), func() { done(messenger.AttemptResult{Kind: messenger.ResponseTimeout, InUse: -1}) })
}

func (cl *Cluster) worker(name string) *Worker {
	for _, w := range cl.workers {
		if w.Name == name {
			return w
		}
	}
	return nil
}

// startAttempt starts an attempt at the endpoint. If the endpoint refuses the attempt, the
// answer holds the reason; if the endpoint has stopped, the answer is incomplete.
func (w *Worker) startAttempt(e *Entry, r messenger.Request, spec RequestSpec, answer func(messenger.AttemptResult)) {
	cl := w.cluster
	done := func(x messenger.AttemptResult) {
		cl.After(cl.networkDelay(e.Zone, w.Zone), func() { answer(x) })
	}
	if !w.alive {
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
	w.contract, reason = w.contract.Begin(cl.Now(), w.Name, call)
	if reason != "" {
		done(messenger.AttemptResult{Kind: messenger.AttemptNotStarted, Reason: reason, InUse: w.contract.Running()})
		return
	}
	if w.leaving && cl.Now().Sub(w.LeftAt) > leaveGracePeriod {
		cl.reportViolation("%s started work %s after it left", w.Name, cl.Now().Sub(w.LeftAt))
	}
	cl.Starts = append(cl.Starts, Start{
		At: cl.Now(), Worker: w.Name, Attempt: call.Attempt, EntryRun: e.RunName(), Request: r.ID,
		Service: r.Service, Customer: r.Customer, Key: r.Key, AtMostOnce: call.AtMostOnce, Epoch: r.Endpoint.Epoch, Pool: r.Endpoint.Pool,
	})
	w.runAttempt(e, spec, call, done)
}

// runAttempt answers when the run time of an attempt has passed. The answer is incomplete
// if the endpoint has stopped, restarted or been partitioned from the entry instance by then.
func (w *Worker) runAttempt(e *Entry, spec RequestSpec, call emulator.Call, done func(messenger.AttemptResult)) {
	cl := w.cluster
	status, runTime := statusOK, spec.RunTime
	if w.Fail || spec.AlwaysFails {
		status, runTime = messenger.StatusServerError, min(failDelay, spec.RunTime)
	}
	run := w.run
	cl.After(runTime, func() {
		if !w.alive || w.run != run {
			done(messenger.AttemptResult{Kind: messenger.IncompleteResponse, InUse: -1})
			return
		}
		body := []byte("done " + spec.Body)
		w.contract = w.contract.End(cl.Now(), call.Attempt, forwarder.RevokeReply{Status: status, Body: body})
		if w.contract.IsEmpty() {
			w.announceOnce()
		}
		if cl.isPartitioned(w.Zone, e.Zone) {
			done(messenger.AttemptResult{Kind: messenger.IncompleteResponse, InUse: -1})
			return
		}
		done(messenger.AttemptResult{
			Kind: messenger.CompleteResponse, InUse: w.contract.Running(),
			Answer: messenger.Answer{Status: status, Body: body},
		})
	})
}

// revoke sends the revocation of an attempt to its endpoint and returns the result to the
// entry instance.
func (cl *Cluster) revoke(e *Entry, m messenger.RevokeAttempt) {
	run := e.run
	w := cl.worker(m.Endpoint.Instance)
	reply := func(out messenger.RevokeResult) {
		out.Attempt = m
		cl.After(cl.networkDelay(e.Zone, w.Zone), func() { e.step(run, messenger.Claimer, out) })
	}
	cl.After(cl.networkDelay(e.Zone, w.Zone), func() {
		if !w.alive || cl.isPartitioned(e.Zone, w.Zone) {
			reply(messenger.RevokeResult{State: messenger.EndpointUnreachable})
			return
		}
		if w.incarnation != m.Endpoint.Incarnation {
			reply(messenger.RevokeResult{State: messenger.AttemptUnknown})
			return
		}
		var r forwarder.RevokeReply
		w.contract, r = w.contract.Revoke(cl.Now(), m.ID)
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
