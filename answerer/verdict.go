package answerer

import "laburnumwind/messenger"

// RetryDecision is the decision on a request after an attempt.
type RetryDecision struct {
	Retry          bool             // the request may be retried
	EndpointFailed bool             // the attempt counts as a failure of the endpoint in outlier detection
	Answer         messenger.Answer // answer to the caller; zero if Retry is set
}

// Evaluate decides whether a request is retried after an attempt. A retry is safe
// only if the attempt provably did not start, or if the request is idempotent. An
// attempt that timed out is not retried, because the deadline of the request has
// passed. A complete answer is final, even if it is an error.
func Evaluate(x messenger.AttemptResult) RetryDecision {
	r := x.Request
	switch x.Kind {
	case messenger.CompleteResponse:
		return evaluateAnswer(x.Answer)
	case messenger.AttemptNotStarted:
		return evaluateNotStarted(x)
	case messenger.RequestNotSent:
		return RetryDecision{Retry: true, EndpointFailed: true}
	case messenger.ResponseTooLarge:
		return RetryDecision{Answer: messenger.Answer{Outcome: messenger.Failed, Reason: messenger.AnswerTooLarge, Status: messenger.StatusBadGateway}}
	case messenger.ResponseTimeout:
		return RetryDecision{EndpointFailed: true, Answer: uncertainAnswer(messenger.EndpointTimeout, messenger.StatusGatewayTimeout)}
	}
	if r.Idempotent {
		return RetryDecision{Retry: true, EndpointFailed: true}
	}
	return RetryDecision{EndpointFailed: true, Answer: uncertainAnswer(messenger.ConnectionFailed, messenger.StatusBadGateway)}
}

// evaluateAnswer returns the decision on a complete answer.
func evaluateAnswer(a messenger.Answer) RetryDecision {
	answer := messenger.EndpointAnswer(a.Status, a.Header, a.Body)
	return RetryDecision{EndpointFailed: answer.Outcome == messenger.Failed, Answer: answer}
}

// evaluateNotStarted returns the decision on an attempt that did not start. A
// revoked attempt is not retried, because its claim is settled with the same
// refusal. A duplicate is not retried, because an earlier attempt with the same ID
// has started and its result is unknown here.
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
