// Package operator serves what operators ask: declarations, moves, waves and the state that holds.
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
	proposalWait = 10 * time.Second       // before an operator is told that the outcome is unknown
	resendAfter  = 500 * time.Millisecond // between two tries of a proposal
	watchWait    = 30 * time.Second       // longest wait of one Get
)

// Config describes the operators' service.
type Config struct {
	Name    string
	Zone    string
	Ticket  uint64 // where tickets start; no other proposer of this node uses higher ones
	Clock   func() time.Time
	Propose func(messenger.Propose)
	Explain func(request uint64, instance string) []string
}

// Operator is the twirp service Operator.
type Operator struct {
	cfg     Config
	ticket  atomic.Uint64
	mu      sync.Mutex
	view    messenger.View
	version uint64
	changed chan struct{} // closed at the next view
	waiting map[uint64]chan messenger.Proposed
}

// NewOperator returns a service that knows no declarations yet.
func NewOperator(cfg Config) *Operator {
	o := &Operator{
		cfg:     cfg,
		view:    messenger.View{State: keeper.NewState()},
		changed: make(chan struct{}),
		waiting: make(map[uint64]chan messenger.Proposed),
	}
	o.ticket.Store(cfg.Ticket)
	return o
}

// Take takes messages of the node: views and outcomes of proposals.
func (o *Operator) Take(body any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch m := body.(type) {
	case messenger.View:
		o.view = m
		o.version++
		close(o.changed)
		o.changed = make(chan struct{})
	case messenger.Proposed:
		ch, ok := o.waiting[m.Ticket]
		if ok {
			delete(o.waiting, m.Ticket)
			ch <- m // has room for one
		}
	}
}

// View is the present view of the declarations.
func (o *Operator) View() messenger.View {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.view
}

// Apply replaces the declarations.
func (o *Operator) Apply(ctx context.Context, in *encoder.ApplyRequest) (*encoder.Outcome, error) {
	d, err := encoder.ToDeclarations(in.GetDeclarations())
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

// Move drains, quarantines or releases one instance.
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
	i, ok := o.View().State.Instance(in.GetInstance())
	if !ok {
		return nil, twirp.NotFoundError("no instance " + in.GetInstance())
	}
	c.Instance = i
	return o.propose(ctx, c)
}

// Maintain starts or stops a wave.
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

// propose sends a command until its outcome is known. Under one change ID it
// has one outcome, however often it is sent.
func (o *Operator) propose(ctx context.Context, c keeper.Command) (*encoder.Outcome, error) {
	if c.ChangeID == "" {
		return nil, twirp.InvalidArgumentError("changeId", "is empty")
	}
	ctx, cancel := context.WithTimeout(ctx, proposalWait)
	defer cancel()
	for {
		p, ok := o.tryOnce(ctx, c)
		if ok {
			r := p.Result
			return &encoder.Outcome{Code: r.Code.String(), Revision: r.Revision, Epoch: r.Epoch, Reason: r.Reason}, nil
		}
		if ctx.Err() != nil {
			return nil, twirp.NewError(twirp.Unavailable, "no majority of the voters answered; send the same change ID again to learn the outcome")
		}
	}
}

func (o *Operator) tryOnce(ctx context.Context, c keeper.Command) (messenger.Proposed, bool) {
	ticket := o.ticket.Add(1)
	ch := make(chan messenger.Proposed, 1)
	o.mu.Lock()
	o.waiting[ticket] = ch
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		delete(o.waiting, ticket)
		o.mu.Unlock()
	}()
	o.cfg.Propose(messenger.Propose{Ticket: ticket, Command: c})
	timer := time.NewTimer(resendAfter)
	defer timer.Stop()
	for {
		select {
		case p := <-ch:
			if !p.Failed {
				return p, true
			}
			ch = nil // no leader now: wait before the next try
		case <-timer.C:
			return messenger.Proposed{}, false
		case <-ctx.Done():
			return messenger.Proposed{}, false
		}
	}
}

// Get returns what holds, at once or after the next change.
func (o *Operator) Get(ctx context.Context, in *encoder.GetRequest) (*encoder.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait)
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

func (o *Operator) status(view messenger.View, version uint64, pool string) *encoder.Status {
	now := o.cfg.Clock()
	s := view.State
	out := &encoder.Status{
		Name:         o.cfg.Name,
		Zone:         o.cfg.Zone,
		Leader:       view.Leader,
		Leads:        view.Leads,
		Fresh:        view.Fresh,
		Votes:        view.Votes,
		Revision:     s.Revision(),
		Version:      version,
		Declarations: encoder.FromDeclarations(s.Declarations()),
		Wave:         encoder.FromWave(s.Wave()),
	}
	for _, c := range out.Declarations.Customers {
		c.TokenSha256 = "" // no use to an operator who reads
	}
	for _, i := range s.Instances() {
		if pool == "" || i.Pool == pool {
			out.Instances = append(out.Instances, encoder.FromInstance(i))
		}
	}
	for _, p := range s.Declarations().Pools {
		if pool != "" && p.Name != pool {
			continue
		}
		for _, standing := range s.Standings(now, p.Name) {
			out.Standings = append(out.Standings, encoder.FromStanding(standing))
		}
	}
	out.Waiting = waiting(now, s)
	return out
}

// waiting says why the instances of a running wave are not drained yet.
func waiting(now time.Time, s keeper.State) []*encoder.Waiting {
	if s.Wave().State != keeper.WaveRunning {
		return nil
	}
	var out []*encoder.Waiting
	for _, i := range s.Instances() {
		if i.Wave != s.Wave().ID {
			continue
		}
		reason := "is " + i.Place.String()
		if i.Place == keeper.Serving {
			reason = s.DrainRefusal(now, i)
		}
		out = append(out, &encoder.Waiting{Instance: i.Name, Reason: reason})
	}
	return out
}

// Explain returns the last decisions about a request or an instance.
func (o *Operator) Explain(_ context.Context, in *encoder.ExplainRequest) (*encoder.Explanation, error) {
	return &encoder.Explanation{Lines: o.cfg.Explain(in.GetRequest(), in.GetInstance())}, nil
}
