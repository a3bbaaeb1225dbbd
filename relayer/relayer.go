// Package relayer forwards calls about jobs from an entry instance to the leader of the jobs
// group, the replication group whose nodes are the controllers.
package relayer

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"laburnumwind/encoder"
	"laburnumwind/messenger"
)

const (
	attemptTimeout = 600 * time.Millisecond  // timeout of one request to a controller
	pingTimeout    = 400 * time.Millisecond  // timeout of one ping, which may try several controllers
	pingInterval   = 400 * time.Millisecond  // interval between checks of the leader, which is pinged if it answered no call within this time
	pingSkipWindow = 300 * time.Millisecond  // a submission skips the ping if the leader answered within this time
	electionWait   = 1200 * time.Millisecond // maximum wait for a leader, such as during an election, before a submission is sent
	readyWindow    = time.Second             // this instance is ready if the leader answered within this time
	retryDelay     = 60 * time.Millisecond   // delay between rounds of attempts at all controllers
	retryAfter     = time.Second             // delay after which callers should retry if there is no leader
	// Time that a call needs at a leader: a batch interval of 15 ms and a commit, for which two disks sync in 4 to 9 ms
	// each, with room for a busy controller. A call is not sent if its caller waits for less, because it would probably
	// end in CallUncertain.
	minCallTime = 100 * time.Millisecond
)

// Config describes a relayer.
type Config struct {
	Seeds        []string // addresses of the controllers to contact first
	Client       *http.Client
	Clock        func() time.Time
	OnLeaderLost func(lost bool)  // called with true when Ready turns false, and with false when it turns true
	OnFailedCall func(FailedCall) // called for each call other than a ping that no controller answered; must not block

	OnAccessChange  func(fresh bool) // called when the copy of the access list becomes fresh or stale
	OnAccessInvalid func(error)      // called when an access list of the leader cannot be used
}

// FailedCall describes a call that no controller answered.
type FailedCall struct {
	JobID     string
	Uncertain bool   // a controller may have applied the call
	Reason    string // a phrase for the log
}

// Relayer forwards calls to the controller that leads and tracks the known controllers.
type Relayer struct {
	cfg         Config
	mu          sync.Mutex
	controllers []string                // addresses of the known controllers; those that did not answer are at the end
	leader      string                  // address of the presumed leader, or empty
	answeredAt  time.Time               // time of the leader's last answer
	clients     map[string]encoder.Jobs // by address of the controller
	access      accessCopy
	wasFresh    bool // the copy of the access list was fresh at the last report
	cancel      context.CancelFunc
	wg          sync.WaitGroup
}

// NewRelayer returns a relayer and starts the goroutine that pings the leader when no other
// call was answered within pingInterval, or when the copy of the access list has to be confirmed.
func NewRelayer(cfg Config) *Relayer {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relayer{cfg: cfg, controllers: slices.Clone(cfg.Seeds), clients: make(map[string]encoder.Jobs), cancel: cancel}
	r.wg.Go(func() {
		ticker := time.NewTicker(pingInterval)
		defer ticker.Stop()
		wasReady := false
		for {
			if !r.answeredWithin(pingInterval) || r.needsAccess() {
				pingCtx, cancelPing := context.WithTimeout(ctx, pingTimeout)
				r.ping(pingCtx)
				cancelPing()
			}
			r.reportFreshness(cfg.Clock())
			if isReady := r.Ready(); isReady != wasReady {
				wasReady = isReady
				cfg.OnLeaderLost(!wasReady)
			}
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	})
	return r
}

// Stop ends the goroutine and waits for it.
func (r *Relayer) Stop() {
	r.cancel()
	r.wg.Wait()
}

// Ready reports whether the leader answered within readyWindow.
func (r *Relayer) Ready() bool { return r.answeredWithin(readyWindow) }

// answeredWithin reports whether the leader's last answer is less than d ago.
func (r *Relayer) answeredWithin(d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.answeredAt.IsZero() && r.cfg.Clock().Sub(r.answeredAt) < d
}

// AddSeeds adds controllers by address.
func (r *Relayer) AddSeeds(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range seeds {
		if !slices.Contains(r.controllers, s) {
			r.controllers = append(slices.Clone(r.controllers), s)
		}
	}
}

// Call sends a call to the leader and returns its answer. It tries the controllers in turn until
// ctx ends, and may send a call more than once, because the ID of a job makes calls idempotent.
// The answer is CallNotReady or CallOverloaded only if no controller can have applied the call.
// It is CallUncertain if a controller may have applied the call but did not answer, or answered
// that it is uncertain.
func (r *Relayer) Call(ctx context.Context, call messenger.JobCall) messenger.JobAnswer {
	data, err := encoder.MarshalCBOR(call)
	if err != nil {
		return messenger.JobAnswer{Status: messenger.CallInvalid}
	}
	if call.Verb == messenger.SubmitJob && !r.answeredWithin(pingSkipWindow) && !r.findLeader(ctx) {
		return r.failedAnswer(call, false, "no leader answered a ping")
	}
	uncertain := false
	for {
		for _, address := range r.candidates() {
			if call.Verb != messenger.Ping && !uncertain && !hasTime(ctx) {
				return r.failedAnswer(call, false, "too little time is left to send it")
			}
			sentAt := r.cfg.Clock()
			answer, certain := r.attempt(ctx, address, data)
			r.updateAccess(sentAt, call, answer)
			if uncertain && call.Verb == messenger.SubmitJob && refusesSubmission(answer.Status) {
				return r.failedAnswer(call, true, "refused after an attempt without an answer")
			}
			refused := answer.Status == messenger.CallNotReady || answer.Status == messenger.CallOverloaded
			if answer.Status != 0 && !refused && answer.Status != messenger.CallUncertain {
				return answer
			}
			uncertain = uncertain || !certain || answer.Status == messenger.CallUncertain
			if refused && !uncertain {
				return answer // if uncertain, a controller may have applied the call in an earlier attempt
			}
			if ctx.Err() != nil {
				return r.failedAnswer(call, uncertain, "no controller answered in time")
			}
		}
		delay := time.NewTimer(retryDelay)
		select {
		case <-delay.C:
		case <-ctx.Done():
			delay.Stop()
			return r.failedAnswer(call, uncertain, "no leader answered in time")
		}
	}
}

// refusesSubmission reports whether the status is a refusal by the configuration or the fleet, which may have changed since
// an earlier attempt: it does not tell that the earlier attempt was refused too.
func refusesSubmission(s messenger.CallStatus) bool {
	return s == messenger.CallUnauthorized || s == messenger.CallQueueNotFound || s == messenger.CallInvalid
}

// hasTime reports whether a call that is sent now can be answered before ctx ends.
func hasTime(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() == nil && (!ok || time.Until(deadline) >= minCallTime)
}

// findLeader pings until the leader answers, for at most electionWait and while enough time remains
// for the submission. Call does this before a submission, so that a partition or an election in
// progress does not leave it uncertain whether the job was accepted.
func (r *Relayer) findLeader(ctx context.Context) bool {
	wait := electionWait
	deadline, ok := ctx.Deadline()
	if ok {
		wait = min(wait, time.Until(deadline)-minCallTime) // not positive: the context has ended, and Call gets no answer
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return r.ping(ctx).Status == messenger.CallDone
}

// ping calls the leader with the ID of the access list that this instance holds.
func (r *Relayer) ping(ctx context.Context) messenger.JobAnswer {
	return r.Call(ctx, messenger.JobCall{Verb: messenger.Ping, ForwardsKey: true, AccessID: r.accessID()})
}

// failedAnswer returns the answer to a call that no controller answered.
func (r *Relayer) failedAnswer(call messenger.JobCall, uncertain bool, reason string) messenger.JobAnswer {
	if call.Verb != messenger.Ping {
		r.cfg.OnFailedCall(FailedCall{JobID: call.Job.ID, Uncertain: uncertain, Reason: reason})
	}
	if uncertain {
		return messenger.JobAnswer{Status: messenger.CallUncertain}
	}
	return messenger.JobAnswer{Status: messenger.CallNotReady, RetryAfter: retryAfter}
}

// candidates returns the controllers in the order in which they are tried, the presumed leader first.
func (r *Relayer) candidates() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := slices.Clone(r.controllers)
	i := slices.Index(out, r.leader)
	if i > 0 {
		out[0], out[i] = out[i], out[0]
	}
	if r.leader != "" && i < 0 {
		out = slices.Insert(out, 0, r.leader)
	}
	return out
}

// attempt sends a call to one controller. The answer is zero if the controller did not answer or
// does not lead, and CallNotReady if the presumed leader refused the call before it read the body. The second result is false if there is no answer and the controller may have
// applied the call, because a connection was obtained on which it may have been sent.
func (r *Relayer) attempt(ctx context.Context, address string, data []byte) (messenger.JobAnswer, bool) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// The transport only asks for another connection if it has sent nothing on the previous one.
		GetConn: func(string) { connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	reply, err := r.client(address).Call(ctx, &encoder.JobCall{Call: data})
	if encoder.IsNotCarriedOut(err) { // another controller that leads can still answer
		refusal := messenger.JobAnswer{}
		if r.presumes(address) {
			refusal = messenger.JobAnswer{Status: messenger.CallNotReady, RetryAfter: retryAfter}
		}
		return refusal, true
	}
	if err != nil {
		r.demote(address)
		return messenger.JobAnswer{}, !connected.Load()
	}
	r.update(address, reply)
	if reply.GetNotLeading() {
		return messenger.JobAnswer{}, true
	}
	answer, err := encoder.UnmarshalCBOR[messenger.JobAnswer](reply.GetAnswer())
	if err != nil {
		return messenger.JobAnswer{}, false
	}
	return answer, true
}

func (r *Relayer) client(address string) encoder.Jobs {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.clients[address]
	if !ok {
		c = encoder.NewJobsProtobufClient("http://"+address, r.cfg.Client)
		r.clients[address] = c
	}
	return c
}

// presumes reports whether the controller is the presumed leader.
func (r *Relayer) presumes(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader == address
}

// demote moves a controller that does not answer to the end of the list. It is no longer
// presumed to be the leader.
func (r *Relayer) demote(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader == address {
		r.leader = ""
	}
	i := slices.Index(r.controllers, address)
	if i >= 0 {
		r.controllers = append(slices.Delete(slices.Clone(r.controllers), i, i+1), address)
	}
}

// update records the members that a controller's reply names, and the leader: the controller
// itself or, if it does not lead, the one that the reply names.
func (r *Relayer) update(address string, reply *encoder.JobReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range reply.GetMembers() {
		if !slices.Contains(r.controllers, m) {
			r.controllers = append(slices.Clone(r.controllers), m)
		}
	}
	if reply.GetNotLeading() {
		r.leader = reply.GetLeader()
		return
	}
	r.leader = address
	r.answeredAt = r.cfg.Clock()
}
