package answerer

import "laburnumwind/messenger"

// The statuses of answers for attempts that broke.
const (
	statusServerError    = 500
	statusBadGateway     = 502
	statusUnavailable    = 503
	statusGatewayTimeout = 504
)

// Verdict says what to do after an attempt.
type Verdict struct {
	Again  bool             // the request may be placed again
	Failed bool             // counts against the endpoint
	Answer messenger.Answer // if it may not
}

// Judge says whether an attempt may be followed by another: only if it provably
// did not start, or if the request is idempotent.
func Judge(x messenger.Exchange) Verdict {
	r := x.Request
	switch x.Kind {
	case messenger.Whole:
		return judgeWhole(x.Answer)
	case messenger.NotStarted:
		return judgeNotStarted(x)
	case messenger.Unsent:
		return Verdict{Again: true, Failed: true}
	case messenger.TooBig:
		return Verdict{Answer: messenger.Answer{Outcome: messenger.Failed, Reason: messenger.AnswerTooBig, Status: statusBadGateway}}
	case messenger.Late:
		return Verdict{Failed: true, Answer: broken(messenger.TimedOut, statusGatewayTimeout)}
	}
	if r.Idempotent {
		return Verdict{Again: true, Failed: true}
	}
	return Verdict{Failed: true, Answer: broken(messenger.Broken, statusBadGateway)}
}

func judgeWhole(answer messenger.Answer) Verdict {
	answer.Outcome = messenger.Answered
	if answer.Status < statusServerError {
		return Verdict{Answer: answer}
	}
	answer.Outcome = messenger.Failed
	answer.Reason = messenger.ServerError
	return Verdict{Failed: true, Answer: answer}
}

func judgeNotStarted(x messenger.Exchange) Verdict {
	switch x.Reason {
	case messenger.IsRevoked:
		return Verdict{Answer: messenger.Refusal(messenger.Broken, statusUnavailable, 0)}
	case messenger.WasDuplicate:
		return Verdict{Answer: broken(messenger.Broken, statusBadGateway)}
	}
	return Verdict{Again: true}
}

// broken is the answer to an attempt that was sent and of which no whole answer came.
func broken(reason messenger.Reason, status int) messenger.Answer {
	return messenger.Answer{Outcome: messenger.Uncertain, Reason: reason, Status: status}
}
