package answerer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/messenger"
)

func TestJudge(t *testing.T) {
	once := messenger.Request{}
	idempotent := messenger.Request{Idempotent: true}
	tests := map[string]struct {
		exchange messenger.Exchange
		again    bool
		failed   bool
		outcome  messenger.Outcome
	}{
		"whole answer":                  {exchange: messenger.Exchange{Request: once, Kind: messenger.Whole, Answer: messenger.Answer{Status: 200}}, outcome: messenger.Answered},
		"whole refusal of the service":  {exchange: messenger.Exchange{Request: once, Kind: messenger.Whole, Answer: messenger.Answer{Status: 404}}, outcome: messenger.Answered},
		"server error":                  {exchange: messenger.Exchange{Request: idempotent, Kind: messenger.Whole, Answer: messenger.Answer{Status: 500}}, failed: true, outcome: messenger.Failed},
		"no byte sent":                  {exchange: messenger.Exchange{Request: once, Kind: messenger.Unsent}, again: true, failed: true},
		"full":                          {exchange: messenger.Exchange{Request: once, Kind: messenger.NotStarted, Reason: messenger.SlotsFull}, again: true},
		"leaving":                       {exchange: messenger.Exchange{Request: once, Kind: messenger.NotStarted, Reason: messenger.IsLeaving}, again: true},
		"revoked":                       {exchange: messenger.Exchange{Request: once, Kind: messenger.NotStarted, Reason: messenger.IsRevoked}, outcome: messenger.Refused},
		"started before":                {exchange: messenger.Exchange{Request: once, Kind: messenger.NotStarted, Reason: messenger.WasDuplicate}, outcome: messenger.Uncertain},
		"truncated, may run once":       {exchange: messenger.Exchange{Request: once, Kind: messenger.Cut}, failed: true, outcome: messenger.Uncertain},
		"truncated, idempotent":         {exchange: messenger.Exchange{Request: idempotent, Kind: messenger.Cut}, again: true, failed: true},
		"no answer before the deadline": {exchange: messenger.Exchange{Request: idempotent, Kind: messenger.Late}, failed: true, outcome: messenger.Uncertain},
		"answer over the bound":         {exchange: messenger.Exchange{Request: once, Kind: messenger.TooBig}, outcome: messenger.Failed},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			v := Judge(tc.exchange)
			must.Eq(t, tc.again, v.Again)
			must.Eq(t, tc.failed, v.Failed)
			must.Eq(t, tc.outcome, v.Answer.Outcome)
		})
	}
}

func TestAnswersOnce(t *testing.T) {
	now := time.Unix(0, 0)
	s, out := NewState(Config{}).Step(now, messenger.Open{ID: 7})
	must.SliceEmpty(t, out)
	end := messenger.Close{Request: messenger.Request{ID: 7}, Answer: messenger.Answer{Status: 503}}
	s, out = s.Step(now, end)
	must.Len(t, 1, out)
	must.Eq(t, messenger.Receiver, out[0].To)
	_, out = s.Step(now, end) // a late one goes to the log, to nobody's connection
	must.Len(t, 1, out)
	must.Eq(t, messenger.Reporter, out[0].To)
}
