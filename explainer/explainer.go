// Package explainer asks the leader of the jobs group what would become of a job, and writes the explanation as text.
package explainer

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"laburnumwind/encoder"
	"laburnumwind/messenger"
)

// The errors of Explain.
var (
	ErrNoLeader     = eris.New("no leader is known, or it has no valid leader lease")
	ErrOlderVersion = eris.New("the leader is of an older version that cannot explain jobs")
	ErrBusy         = eris.New("the leader is busy: it explains one job at a time and at most two a second")
	ErrNotReady     = eris.New("the leader has no configuration yet, or its leader lease has ended")
	ErrNoAnswer     = eris.New("the leader has not answered in time")
)

// maxRedirects is the number of controllers that are asked for the leader. A controller that does not lead names the one
// that it knows, which may have lost its leadership.
const maxRedirects = 3

// defaultTimeout is the time that an explanation may take. The scheduler answers it within a few placement passes.
const defaultTimeout = 3 * time.Second

// Config describes an Explainer.
type Config struct {
	Controller string       // address of the peer listener of any controller
	Client     *http.Client // nil: http.DefaultClient
}

// Explainer asks the leader for explanations.
type Explainer struct{ cfg Config }

// NewExplainer returns an explainer.
func NewExplainer(cfg Config) Explainer {
	if cfg.Client == nil {
		cfg.Client = http.DefaultClient
	}
	return Explainer{cfg: cfg}
}

// Explain returns what would become of the job of a call if it were submitted now. It first pings the leader, because an
// older version would leave the call unanswered.
func (e Explainer) Explain(ctx context.Context, call messenger.JobCall) (messenger.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	address, ping, err := e.findLeader(ctx)
	if err != nil {
		return messenger.Explanation{}, fmt.Errorf("find leader: %w", err)
	}
	switch {
	case ping.Status == messenger.CallNotReady:
		return messenger.Explanation{}, fmt.Errorf("ping %s: %w", address, ErrNoLeader)
	case !ping.Explains:
		return messenger.Explanation{}, fmt.Errorf("ping %s: %w", address, ErrOlderVersion)
	}
	call.Verb, call.ForwardsKey = messenger.ExplainJob, true
	a, reply, err := e.call(ctx, address, call)
	switch {
	case err != nil:
		return messenger.Explanation{}, fmt.Errorf("call leader: %w", err)
	case reply.GetNotLeading():
		return messenger.Explanation{}, fmt.Errorf("%s has lost the leadership: %w", address, ErrNoLeader)
	case a.Status == messenger.CallOverloaded:
		return messenger.Explanation{}, fmt.Errorf("%s, retry after %v: %w", address, a.RetryAfter, ErrBusy)
	case a.Status == messenger.CallNotReady:
		return messenger.Explanation{}, fmt.Errorf("%s: %w", address, ErrNotReady)
	case a.Explanation == nil:
		return messenger.Explanation{}, fmt.Errorf("%s: %w", address, ErrNoAnswer)
	}
	return *a.Explanation, nil
}

// findLeader pings controllers, beginning with the configured one, until one leads. It returns its address and its answer.
func (e Explainer) findLeader(ctx context.Context) (string, messenger.JobAnswer, error) {
	address := e.cfg.Controller
	for range maxRedirects {
		a, reply, err := e.call(ctx, address, messenger.JobCall{Verb: messenger.Ping})
		if err != nil {
			return "", a, err
		}
		if !reply.GetNotLeading() {
			return address, a, nil
		}
		if reply.GetLeader() == "" || reply.GetLeader() == address {
			break
		}
		address = reply.GetLeader()
	}
	return "", messenger.JobAnswer{}, ErrNoLeader
}

// call sends a call to a controller.
func (e Explainer) call(ctx context.Context, address string, call messenger.JobCall) (messenger.JobAnswer, *encoder.JobReply, error) {
	data, err := encoder.MarshalCBOR(call)
	if err != nil {
		return messenger.JobAnswer{}, nil, fmt.Errorf("encode call: %w", err)
	}
	reply, err := encoder.NewJobsProtobufClient("http://"+address, e.cfg.Client).Call(ctx, &encoder.JobCall{Call: data})
	if err != nil {
		return messenger.JobAnswer{}, nil, fmt.Errorf("controller %s: %w", address, err)
	}
	if reply.GetNotLeading() {
		return messenger.JobAnswer{}, reply, nil
	}
	a, err := encoder.UnmarshalCBOR[messenger.JobAnswer](reply.GetAnswer())
	if err != nil {
		return messenger.JobAnswer{}, nil, fmt.Errorf("decode answer of %s: %w", address, err)
	}
	return a, reply, nil
}
