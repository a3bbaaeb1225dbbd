package encoder

import (
	"time"

	"laburnumwind/claimer"
	"laburnumwind/messenger"
)

func fromAnswer(a messenger.Answer) *Answer {
	return &Answer{
		Outcome:    int32(a.Outcome),
		Reason:     string(a.Reason),
		Status:     int32(a.Status),
		Header:     each(a.Header, func(f messenger.Field) *Field { return &Field{Name: f.Name, Value: f.Value} }),
		Body:       a.Body,
		RetryAfter: int64(a.RetryAfter),
	}
}

func toAnswer(a *Answer) messenger.Answer {
	return messenger.Answer{
		Outcome:    messenger.Outcome(a.GetOutcome()),
		Reason:     messenger.Reason(a.GetReason()),
		Status:     int(a.GetStatus()),
		Header:     each(a.GetHeader(), func(f *Field) messenger.Field { return messenger.Field{Name: f.GetName(), Value: f.GetValue()} }),
		Body:       a.GetBody(),
		RetryAfter: time.Duration(a.GetRetryAfter()),
	}
}

func fromEndpoint(e messenger.Endpoint) *Endpoint {
	return &Endpoint{
		Instance:    e.Instance,
		Incarnation: e.Incarnation,
		Address:     e.Address,
		Zone:        e.Zone,
		Rack:        e.Rack,
		Slots:       int64(e.Slots),
		Connections: int64(e.Connections),
		Epoch:       e.Epoch,
		Pool:        e.Pool,
	}
}

func toEndpoint(e *Endpoint) messenger.Endpoint {
	return messenger.Endpoint{
		Instance:    e.GetInstance(),
		Incarnation: e.GetIncarnation(),
		Address:     e.GetAddress(),
		Zone:        e.GetZone(),
		Rack:        e.GetRack(),
		Slots:       int(e.GetSlots()),
		Connections: int(e.GetConnections()),
		Epoch:       e.GetEpoch(),
		Pool:        e.GetPool(),
	}
}

func fromClaimCommand(c claimer.Command) *ClaimCommand {
	return &ClaimCommand{
		Kind:      int32(c.Kind),
		Customer:  c.Customer,
		Key:       c.Key,
		Digest:    c.Digest,
		AttemptId: c.AttemptID,
		Previous:  c.Previous,
		Endpoint:  fromEndpoint(c.Endpoint),
		Deadline:  fromTime(c.Deadline),
		Answer:    fromAnswer(c.Answer),
	}
}

func toClaimCommand(c *ClaimCommand) claimer.Command {
	return claimer.Command{
		Kind:      claimer.Kind(c.GetKind()),
		Customer:  c.GetCustomer(),
		Key:       c.GetKey(),
		Digest:    c.GetDigest(),
		AttemptID: c.GetAttemptId(),
		Previous:  c.GetPrevious(),
		Endpoint:  toEndpoint(c.GetEndpoint()),
		Deadline:  toTime(c.GetDeadline()),
		Answer:    toAnswer(c.GetAnswer()),
	}
}

func fromClaimResult(r claimer.Result) *ClaimResult {
	return &ClaimResult{Code: int32(r.Code), Attempt: int64(r.Attempt), Answer: fromAnswer(r.Answer), Kept: r.Kept}
}

func toClaimResult(r *ClaimResult) claimer.Result {
	return claimer.Result{
		Code:    claimer.Code(r.GetCode()),
		Attempt: int(r.GetAttempt()),
		Answer:  toAnswer(r.GetAnswer()),
		Kept:    r.GetKept(),
	}
}

func fromClaim(c claimer.Claim) *Claim {
	return &Claim{
		Customer:  c.Customer,
		Key:       c.Key,
		Digest:    c.Digest,
		State:     int32(c.State),
		Attempt:   int64(c.Attempt),
		AttemptId: c.AttemptID,
		Endpoint:  fromEndpoint(c.Endpoint),
		At:        fromTime(c.At),
		Deadline:  fromTime(c.Deadline),
		Answer:    fromAnswer(c.Answer),
		Kept:      c.Kept,
	}
}

func toClaim(c *Claim) claimer.Claim {
	return claimer.Claim{
		Customer:  c.GetCustomer(),
		Key:       c.GetKey(),
		Digest:    c.GetDigest(),
		State:     claimer.ClaimState(c.GetState()),
		Attempt:   int(c.GetAttempt()),
		AttemptID: c.GetAttemptId(),
		Endpoint:  toEndpoint(c.GetEndpoint()),
		At:        toTime(c.GetAt()),
		Deadline:  toTime(c.GetDeadline()),
		Answer:    toAnswer(c.GetAnswer()),
		Kept:      c.GetKept(),
	}
}

func fromRegister(g claimer.Register) *RegisterImage {
	img := g.Image()
	return &RegisterImage{
		Now:        fromTime(img.Now),
		Claims:     each(img.Claims, fromClaim),
		Tombstones: each(img.Tombstones, fromClaim),
	}
}

func toRegister(img *RegisterImage) claimer.Register {
	return claimer.FromImage(claimer.Image{
		Now:        toTime(img.GetNow()),
		Claims:     each(img.GetClaims(), toClaim),
		Tombstones: each(img.GetTombstones(), toClaim),
	})
}
