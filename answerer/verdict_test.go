package answerer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/messenger"
)

func TestEvaluate(t *testing.T) {
	nonIdempotent := messenger.Request{}
	idempotent := messenger.Request{Idempotent: true}
	tests := map[string]struct {
		exchange messenger.Exchange
		retry    bool
		failed   bool
		outcome  messenger.Outcome
	}{
		"complete answer":                     {exchange: messenger.Exchange{Request: nonIdempotent, Kind: messenger.Whole, Answer: messenger.Answer{Status: 200}}, outcome: messenger.Answered},
		"complete answer with a client error": {exchange: messenger.Exchange{Request: nonIdempotent, Kind: messenger.Whole, Answer: messenger.Answer{Status: 404}}, outcome: messenger.Answered},
		"server error":                        {exchange: messenger.Exchange{Request: idempotent, Kind: messenger.Whole, Answer: messenger.Answer{Status: 500}}, failed: true, outcome: messenger.Failed},
		"request not sent":                    {exchange: messenger.Exchange{Request: nonIdempotent, Kind: messenger.Unsent}, retry: true, failed: true},
		"all slots in use":                    {exchange: messenger.Exchange{Request: nonIdempotent, Kind: messenger.NotStarted, Reason: messenger.SlotsFull}, retry: true},
		"endpoint leaving":                    {exchange: messenger.Exchange{Request: nonIdempotent, Kind: messenger.NotStarted, Reason: messenger.IsLeaving}, retry: true},
		"attempt revoked":                     {exchange: messenger.Exchange{Request: nonIdempotent, Kind: messenger.NotStarted, Reason: messenger.IsRevoked}, outcome: messenger.Refused},
		"attempt already started":             {exchange: messenger.Exchange{Request: nonIdempotent, Kind: messenger.NotStarted, Reason: messenger.WasDuplicate}, outcome: messenger.Uncertain},
		"truncated, not idempotent":           {exchange: messenger.Exchange{Request: nonIdempotent, Kind: messenger.Cut}, failed: true, outcome: messenger.Uncertain},
		"truncated, idempotent":               {exchange: messenger.Exchange{Request: idempotent, Kind: messenger.Cut}, retry: true, failed: true},
		"no answer before the deadline":       {exchange: messenger.Exchange{Request: idempotent, Kind: messenger.Late}, failed: true, outcome: messenger.Uncertain},
		"answer too large":                    {exchange: messenger.Exchange{Request: nonIdempotent, Kind: messenger.TooBig}, outcome: messenger.Failed},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			decision := Evaluate(tc.exchange)
			must.Eq(t, tc.retry, decision.Retry)
			must.Eq(t, tc.failed, decision.Failed)
			must.Eq(t, tc.outcome, decision.Answer.Outcome)
		})
	}
}

func TestAnswersOnce(t *testing.T) {
	now := time.Unix(0, 0)
	s, out := NewState(Config{}).Step(now, messenger.Open{ID: 7})
	must.SliceEmpty(t, out)
	closeMessage := messenger.Close{Request: messenger.Request{ID: 7}, Answer: messenger.Answer{Status: 503}}
	s, out = s.Step(now, closeMessage)
	must.Len(t, 1, out)
	must.Eq(t, messenger.Receiver, out[0].To)
	_, out = s.Step(now, closeMessage) // the second answer is only logged
	must.Len(t, 1, out)
	must.Eq(t, messenger.Reporter, out[0].To)
}
