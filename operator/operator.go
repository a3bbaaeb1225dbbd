// Package operator implements the API of an entry instance for operators, the people who
// run the fleet: it changes declarations, moves instances, controls maintenance waves and
// returns the current state.
package operator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"

	"laburnumwind/encoder"
	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

const (
	proposalTimeout = 10 * time.Second       // after this, the call fails and its outcome is unknown
	retryInterval   = 500 * time.Millisecond // between two attempts to propose the same command
	maxWatchWait    = 30 * time.Second       // maximum time that one Get waits for a change
)

// Config describes the operators' service.
type Config struct {
	Name           string // name of the entry instance
	Zone           string // availability zone of the entry instance
	LastProposalID uint64 // proposal IDs count up from here; they must differ from those of the planner and of earlier runs of this node, because the results of those proposals arrive here too
	Clock          func() time.Time
	Propose        func(messenger.ProposeDeclarations)            // sends a proposal; its result comes to Handle
	Explain        func(request uint64, instance string) []string // returns the recent decisions about a request or an instance
}

// Operator implements the Twirp service Operator.
type Operator struct {
	cfg            Config
	lastProposalID atomic.Uint64
	mu             sync.Mutex
	view           messenger.DeclarationsView                           // the last view
	version        uint64                                               // counts views, so that a Get can wait for the next one
	changed        chan struct{}                                        // closed and replaced when the next view arrives
	pending        map[uint64]chan messenger.DeclarationsProposalResult // proposals without an outcome, by ID
}

// NewOperator returns an Operator. Its declarations are empty until the first view arrives.
func NewOperator(cfg Config) *Operator {
	o := &Operator{
		cfg:     cfg,
		view:    messenger.DeclarationsView{State: keeper.NewState()},
		changed: make(chan struct{}),
		pending: make(map[uint64]chan messenger.DeclarationsProposalResult),
	}
	o.lastProposalID.Store(cfg.LastProposalID)
	return o
}

// Handle handles a message from another stage: a view of the declarations or the outcome
// of a proposal.
func (o *Operator) Handle(body any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch m := body.(type) {
	case messenger.DeclarationsView:
		o.view = m
		o.version++
		close(o.changed)
		o.changed = make(chan struct{})
	case messenger.DeclarationsProposalResult:
		ch, ok := o.pending[m.ProposalID]
		if ok {
			delete(o.pending, m.ProposalID)
			ch <- m // doesn't block: the channel has a buffer of one
		}
	}
}

// View returns the current view of the declarations.
func (o *Operator) View() messenger.DeclarationsView {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.view
}

// Apply replaces the declarations if they still have the revision of the request. Otherwise
// the outcome is a conflict.
func (o *Operator) Apply(ctx context.Context, in *encoder.ApplyRequest) (*encoder.Outcome, error) {
	d, err := encoder.DecodeDeclarations(in.GetDeclarations())
	if err != nil {
		return nil, twirp.InvalidArgumentError("declarations", err.Error())
	}
	return o.propose(ctx, keeper.Command{
		Kind:         keeper.Apply,
		Proposer:     in.GetOperator(),
		ChangeID:     in.GetChangeId(),
		Declarations: d,
		Revision:     in.GetRevision(),
	})
}

// Move drains, quarantines or releases one instance. It fails with NotFound if there is
// no such instance.
func (o *Operator) Move(ctx context.Context, in *encoder.MoveRequest) (*encoder.Outcome, error) {
	c := keeper.Command{Proposer: in.GetOperator(), ChangeID: in.GetChangeId(), Target: in.GetTarget()}
	switch in.GetAction() {
	case "drain":
		c.Kind = keeper.Drain
	case "quarantine":
		c.Kind = keeper.Quarantine
	case "release":
		c.Kind = keeper.Release
	default:
		return nil, twirp.InvalidArgumentError("action", "must be drain, quarantine or release")
	}
	instance, ok := o.View().State.Instance(in.GetInstance())
	if !ok {
		return nil, twirp.NotFoundError("no instance " + in.GetInstance())
	}
	c.Instance = instance
	return o.propose(ctx, c)
}

// Maintain starts or stops a maintenance wave, which is a rolling maintenance of the fleet.
func (o *Operator) Maintain(ctx context.Context, in *encoder.WaveRequest) (*encoder.Outcome, error) {
	c := keeper.Command{Proposer: in.GetOperator(), ChangeID: in.GetChangeId(), MaxFailed: int(in.GetMaxFailed()), Wave: in.GetWave()}
	switch in.GetAction() {
	case "start":
		c.Kind = keeper.StartWave
	case "stop":
		c.Kind = keeper.StopWave
	default:
		return nil, twirp.InvalidArgumentError("action", "must be start or stop")
	}
	return o.propose(ctx, c)
}

// propose sends a command repeatedly until its outcome is known. The change ID makes it
// idempotent: however often it is sent, it has one outcome. After proposalTimeout,
// propose fails with Unavailable, and the outcome is unknown.
func (o *Operator) propose(ctx context.Context, c keeper.Command) (*encoder.Outcome, error) {
	if c.ChangeID == "" {
		return nil, twirp.InvalidArgumentError("changeId", "is empty")
	}
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	for {
		proposed, ok := o.proposeOnce(ctx, c)
		if ok {
			result := proposed.Result
			return &encoder.Outcome{Code: result.Code.String(), Revision: result.Revision, Epoch: result.Epoch, Reason: result.Reason}, nil
		}
		if ctx.Err() != nil {
			return nil, twirp.NewError(twirp.Unavailable, "no majority of the voters answered; send the same change ID again to learn the outcome")
		}
	}
}

// proposeOnce sends a command and waits for its outcome. It returns false if there is no
// outcome within retryInterval.
func (o *Operator) proposeOnce(ctx context.Context, c keeper.Command) (messenger.DeclarationsProposalResult, bool) {
	proposalID := o.lastProposalID.Add(1)
	ch := make(chan messenger.DeclarationsProposalResult, 1)
	o.mu.Lock()
	o.pending[proposalID] = ch
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		delete(o.pending, proposalID)
		o.mu.Unlock()
	}()
	o.cfg.Propose(messenger.ProposeDeclarations{ProposalID: proposalID, Command: c})
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	for {
		select {
		case proposed := <-ch:
			if !proposed.Failed {
				return proposed, true
			}
			ch = nil // no leader accepted the proposal; a nil channel never receives, so the loop waits for the timer before the next attempt
		case <-timer.C:
			return messenger.DeclarationsProposalResult{}, false
		case <-ctx.Done():
			return messenger.DeclarationsProposalResult{}, false
		}
	}
}

// Get returns the current state once its version is above in.After. It waits at most
// maxWatchWait for that, and then returns the state as it is.
func (o *Operator) Get(ctx context.Context, in *encoder.GetRequest) (*encoder.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, maxWatchWait)
	defer cancel()
	for {
		o.mu.Lock()
		view, version, changed := o.view, o.version, o.changed
		o.mu.Unlock()
		if version > in.GetAfter() || ctx.Err() != nil {
			return o.status(view, version, in.GetPool()), nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// status returns the status message for a view. If pool is not empty, the message contains
// only the instances and budgets of that pool.
func (o *Operator) status(view messenger.DeclarationsView, version uint64, pool string) *encoder.Status {
	now := o.cfg.Clock()
	state := view.State
	status := &encoder.Status{
		Name:         o.cfg.Name,
		Zone:         o.cfg.Zone,
		Leader:       view.Leader,
		Leads:        view.IsLeader,
		Fresh:        view.IsFresh,
		Votes:        view.IsVoter,
		Revision:     state.Revision(),
		Version:      version,
		Declarations: encoder.EncodeDeclarations(state.Declarations()),
		Wave:         encoder.EncodeWave(state.Wave()),
	}
	for _, customer := range status.Declarations.Customers {
		customer.TokenSha256 = "" // operators do not need the digests of customers' tokens
	}
	for _, instance := range state.Instances() {
		if pool == "" || instance.Pool == pool {
			status.Instances = append(status.Instances, encoder.EncodeInstance(instance))
		}
	}
	for _, declared := range state.Declarations().Pools {
		if pool != "" && declared.Name != pool {
			continue
		}
		for _, budget := range state.BudgetStatuses(now, declared.Name) {
			status.Standings = append(status.Standings, encoder.EncodeStanding(budget))
		}
	}
	status.Waiting = waitingInstances(now, state)
	return status
}

// waitingInstances returns the instances whose maintenance in the running wave is not complete,
// each with the reason. For a serving instance, the reason is what prevents its drain; for any
// other, it is the state of the instance.
func waitingInstances(now time.Time, state keeper.State) []*encoder.Waiting {
	if state.Wave().State != keeper.WaveRunning {
		return nil
	}
	var out []*encoder.Waiting
	for _, instance := range state.Instances() {
		if instance.Wave != state.Wave().ID {
			continue
		}
		reason := "is " + instance.State.String()
		if instance.State == keeper.Serving {
			reason = state.DrainRefusal(now, instance)
		}
		out = append(out, &encoder.Waiting{Instance: instance.Name, Reason: reason})
	}
	return out
}

// Explain returns the last decisions about a request or an instance.
func (o *Operator) Explain(_ context.Context, in *encoder.ExplainRequest) (*encoder.Explanation, error) {
	return &encoder.Explanation{Lines: o.cfg.Explain(in.GetRequest(), in.GetInstance())}, nil
}
