package answerer

import "laburnumwind/messenger"

// RetryDecision says what to do after an attempt.
type RetryDecision struct {
	Retry  bool             // the request may be placed again
	Failed bool             // the attempt counts as a failure of the endpoint
	Answer messenger.Answer // answer to the caller; zero if Retry is set
}

// Evaluate decides whether a request may be retried after an attempt. It may only
// if the attempt provably did not start, or if the request is idempotent and its
// deadline has not passed. A complete answer is final, also if it is an error.
func Evaluate(x messenger.AttemptResult) RetryDecision {
	r := x.Request
	switch x.Kind {
	case messenger.CompleteResponse:
		return evaluateAnswer(x.Answer)
	case messenger.AttemptNotStarted:
		return evaluateNotStarted(x)
	case messenger.RequestNotSent:
		return RetryDecision{Retry: true, Failed: true}
	case messenger.ResponseTooLarge:
		return RetryDecision{Answer: messenger.Answer{Outcome: messenger.Failed, Reason: messenger.AnswerTooLarge, Status: messenger.StatusBadGateway}}
	case messenger.ResponseTimeout:
		return RetryDecision{Failed: true, Answer: uncertainAnswer(messenger.EndpointTimeout, messenger.StatusGatewayTimeout)}
	}
	if r.Idempotent {
		return RetryDecision{Retry: true, Failed: true}
	}
	return RetryDecision{Failed: true, Answer: uncertainAnswer(messenger.ConnectionFailed, messenger.StatusBadGateway)}
}

func evaluateAnswer(a messenger.Answer) RetryDecision {
	answer := messenger.EndpointAnswer(a.Status, a.Header, a.Body)
	return RetryDecision{Failed: answer.Outcome == messenger.Failed, Answer: answer}
}

func evaluateNotStarted(x messenger.AttemptResult) RetryDecision {
	switch x.Reason {
	case messenger.AttemptRevoked:
		return RetryDecision{Answer: messenger.Refusal(messenger.ConnectionFailed, messenger.StatusServiceUnavailable, 0)}
	case messenger.DuplicateAttempt:
		return RetryDecision{Answer: uncertainAnswer(messenger.ConnectionFailed, messenger.StatusBadGateway)}
	}
	return RetryDecision{Retry: true}
}

// uncertainAnswer returns the answer to a request that was sent to an endpoint
// and may have run, but has no complete answer.
func uncertainAnswer(reason messenger.Reason, status int) messenger.Answer {
	return messenger.Answer{Outcome: messenger.Uncertain, Reason: reason, Status: status}
}
