package answerer

import "laburnumwind/messenger"

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
		return Verdict{Answer: messenger.Answer{Outcome: messenger.Failed, Reason: messenger.AnswerTooBig, Status: messenger.StatusBadGateway}}
	case messenger.Late:
		return Verdict{Failed: true, Answer: broken(messenger.TimedOut, messenger.StatusGatewayTimeout)}
	}
	if r.Idempotent {
		return Verdict{Again: true, Failed: true}
	}
	return Verdict{Failed: true, Answer: broken(messenger.Broken, messenger.StatusBadGateway)}
}

func judgeWhole(a messenger.Answer) Verdict {
	answer := messenger.WholeAnswer(a.Status, a.Header, a.Body)
	return Verdict{Failed: answer.Outcome == messenger.Failed, Answer: answer}
}

func judgeNotStarted(x messenger.Exchange) Verdict {
	switch x.Reason {
	case messenger.IsRevoked:
		return Verdict{Answer: messenger.Refusal(messenger.Broken, messenger.StatusUnavailable, 0)}
	case messenger.WasDuplicate:
		return Verdict{Answer: broken(messenger.Broken, messenger.StatusBadGateway)}
	}
	return Verdict{Again: true}
}

// broken is the answer to an attempt that was sent and of which no whole answer came.
func broken(reason messenger.Reason, status int) messenger.Answer {
	return messenger.Answer{Outcome: messenger.Uncertain, Reason: reason, Status: status}
}
