package answerer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/messenger"
)

// TestEvaluate guards against retries that could run a request twice.
func TestEvaluate(t *testing.T) {
	nonIdempotent := messenger.Request{}
	idempotent := messenger.Request{Idempotent: true}
	tests := map[string]struct {
		result         messenger.AttemptResult
		retry          bool
		endpointFailed bool
		outcome        messenger.Outcome
	}{
		"complete answer":                     {result: messenger.AttemptResult{Request: nonIdempotent, Kind: messenger.CompleteResponse, Answer: messenger.Answer{Status: 200}}, outcome: messenger.Answered},
		"complete answer with a client error": {result: messenger.AttemptResult{Request: nonIdempotent, Kind: messenger.CompleteResponse, Answer: messenger.Answer{Status: 404}}, outcome: messenger.Answered},
		"server error":                        {result: messenger.AttemptResult{Request: idempotent, Kind: messenger.CompleteResponse, Answer: messenger.Answer{Status: 500}}, endpointFailed: true, outcome: messenger.Failed},
		"request not sent":                    {result: messenger.AttemptResult{Request: nonIdempotent, Kind: messenger.RequestNotSent}, retry: true, endpointFailed: true},
		"all slots in use":                    {result: messenger.AttemptResult{Request: nonIdempotent, Kind: messenger.AttemptNotStarted, Reason: messenger.SlotsFull}, retry: true},
		"endpoint leaving":                    {result: messenger.AttemptResult{Request: nonIdempotent, Kind: messenger.AttemptNotStarted, Reason: messenger.EndpointLeaving}, retry: true},
		"attempt revoked":                     {result: messenger.AttemptResult{Request: nonIdempotent, Kind: messenger.AttemptNotStarted, Reason: messenger.AttemptRevoked}, outcome: messenger.Refused},
		"attempt already started":             {result: messenger.AttemptResult{Request: nonIdempotent, Kind: messenger.AttemptNotStarted, Reason: messenger.DuplicateAttempt}, outcome: messenger.Uncertain},
		"incomplete response, not idempotent": {result: messenger.AttemptResult{Request: nonIdempotent, Kind: messenger.IncompleteResponse}, endpointFailed: true, outcome: messenger.Uncertain},
		"incomplete response, idempotent":     {result: messenger.AttemptResult{Request: idempotent, Kind: messenger.IncompleteResponse}, retry: true, endpointFailed: true},
		"no answer before the deadline":       {result: messenger.AttemptResult{Request: idempotent, Kind: messenger.ResponseTimeout}, endpointFailed: true, outcome: messenger.Uncertain},
		"answer too large":                    {result: messenger.AttemptResult{Request: nonIdempotent, Kind: messenger.ResponseTooLarge}, outcome: messenger.Failed},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			decision := Evaluate(tc.result)
			must.Eq(t, tc.retry, decision.Retry)
			must.Eq(t, tc.endpointFailed, decision.EndpointFailed)
			must.Eq(t, tc.outcome, decision.Answer.Outcome)
		})
	}
}

// TestAnswersOnce guards against a second answer to a request.
func TestAnswersOnce(t *testing.T) {
	now := time.Unix(0, 0)
	s, out := NewState(Config{}).Step(now, messenger.OpenRequest{ID: 7})
	must.SliceEmpty(t, out)
	closeMessage := messenger.CloseRequest{Request: messenger.Request{ID: 7}, Answer: messenger.Answer{Status: 503}}
	s, out = s.Step(now, closeMessage)
	must.Len(t, 1, out)
	must.Eq(t, messenger.Receiver, out[0].To)
	_, out = s.Step(now, closeMessage) // the second answer is only logged
	must.Len(t, 1, out)
	must.Eq(t, messenger.Reporter, out[0].To)
}
