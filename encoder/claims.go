package encoder

import (
	"time"

	"laburnumwind/claimer"
	"laburnumwind/messenger"
)

func encodeAnswer(a messenger.Answer) *Answer {
	return &Answer{
		Outcome:    int32(a.Outcome),
		Reason:     string(a.Reason),
		Status:     int32(a.Status),
		Header:     convertAll(a.Header, func(f messenger.Field) *Field { return &Field{Name: f.Name, Value: []byte(f.Value)} }),
		Body:       a.Body,
		RetryAfter: int64(a.RetryAfter),
	}
}

func decodeAnswer(a *Answer) messenger.Answer {
	return messenger.Answer{
		Outcome:    messenger.Outcome(a.GetOutcome()),
		Reason:     messenger.Reason(a.GetReason()),
		Status:     int(a.GetStatus()),
		Header:     convertAll(a.GetHeader(), func(f *Field) messenger.Field { return messenger.Field{Name: f.GetName(), Value: string(f.GetValue())} }),
		Body:       a.GetBody(),
		RetryAfter: time.Duration(a.GetRetryAfter()),
	}
}

func encodeEndpoint(e messenger.Endpoint) *Endpoint {
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

func decodeEndpoint(e *Endpoint) messenger.Endpoint {
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

func encodeClaimCommand(c claimer.Command) *ClaimCommand {
	return &ClaimCommand{
		Kind:      int32(c.Kind),
		Customer:  c.Customer,
		Key:       c.Key,
		Digest:    c.Digest,
		AttemptId: c.AttemptID,
		Previous:  c.Previous,
		Endpoint:  encodeEndpoint(c.Endpoint),
		Deadline:  encodeTime(c.Deadline),
		Answer:    encodeAnswer(c.Answer),
	}
}

func decodeClaimCommand(c *ClaimCommand) claimer.Command {
	return claimer.Command{
		Kind:      claimer.Kind(c.GetKind()),
		Customer:  c.GetCustomer(),
		Key:       c.GetKey(),
		Digest:    c.GetDigest(),
		AttemptID: c.GetAttemptId(),
		Previous:  c.GetPrevious(),
		Endpoint:  decodeEndpoint(c.GetEndpoint()),
		Deadline:  decodeTime(c.GetDeadline()),
		Answer:    decodeAnswer(c.GetAnswer()),
	}
}

func encodeClaimResult(r claimer.Result) *ClaimResult {
	return &ClaimResult{Code: int32(r.Code), Attempt: int64(r.Attempt), Answer: encodeAnswer(r.Answer), Kept: r.BodyKept}
}

func decodeClaimResult(r *ClaimResult) claimer.Result {
	return claimer.Result{
		Code:     claimer.Code(r.GetCode()),
		Attempt:  int(r.GetAttempt()),
		Answer:   decodeAnswer(r.GetAnswer()),
		BodyKept: r.GetKept(),
	}
}

func encodeClaim(c claimer.Claim) *Claim {
	return &Claim{
		Customer:  c.Customer,
		Key:       c.Key,
		Digest:    c.Digest,
		State:     int32(c.State),
		Attempt:   int64(c.Attempt),
		AttemptId: c.AttemptID,
		Endpoint:  encodeEndpoint(c.Endpoint),
		At:        encodeTime(c.At),
		Deadline:  encodeTime(c.Deadline),
		Answer:    encodeAnswer(c.Answer),
		Kept:      c.BodyKept,
	}
}

func decodeClaim(c *Claim) claimer.Claim {
	return claimer.Claim{
		Customer:  c.GetCustomer(),
		Key:       c.GetKey(),
		Digest:    c.GetDigest(),
		State:     claimer.ClaimState(c.GetState()),
		Attempt:   int(c.GetAttempt()),
		AttemptID: c.GetAttemptId(),
		Endpoint:  decodeEndpoint(c.GetEndpoint()),
		At:        decodeTime(c.GetAt()),
		Deadline:  decodeTime(c.GetDeadline()),
		Answer:    decodeAnswer(c.GetAnswer()),
		BodyKept:  c.GetKept(),
	}
}

// encodeClaims encodes a snapshot of the replicated claims. The protobuf type of the snapshot is RegisterImage.
func encodeClaims(claims claimer.Claims) *RegisterImage {
	snapshot := claims.Snapshot()
	return &RegisterImage{
		Now:        encodeTime(snapshot.Now),
		Claims:     convertAll(snapshot.Claims, encodeClaim),
		Tombstones: convertAll(snapshot.Tombstones, encodeClaim),
	}
}

func decodeClaims(snapshot *RegisterImage) claimer.Claims {
	return claimer.FromSnapshot(claimer.Snapshot{
		Now:        decodeTime(snapshot.GetNow()),
		Claims:     convertAll(snapshot.GetClaims(), decodeClaim),
		Tombstones: convertAll(snapshot.GetTombstones(), decodeClaim),
	})
}
