package forwarder

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"laburnumwind/messenger"
)

// PathRevoke is the URL path at which an endpoint accepts revocations.
const PathRevoke = "/laburnum/v1/revoke"

const (
	revokeTimeout  = 2 * time.Second // for one revocation, with its reply
	maxRevokeReply = 1 << 20         // maximum size of a reply, in bytes
)

// RevokeRequest asks an endpoint to make sure that an attempt never starts.
type RevokeRequest struct {
	Attempt string `json:"attempt"`
}

// States of an attempt in a RevokeReply.
const (
	StateRevoked  = "revoked" // it has not started and never will
	StateRunning  = "running"
	StateFinished = "finished" // the reply contains the answer
	StateUnknown  = "unknown"  // the endpoint has restarted since, or no longer keeps the state
)

// RevokeReply is the endpoint's answer to a RevokeRequest: the state of the attempt.
type RevokeReply struct {
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`      // of the endpoint, which changes when it restarts
	Status      int    `json:"status,omitempty"` // HTTP status of the answer; like the fields below, set only for a finished attempt
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// revoke asks an endpoint to revoke an attempt. If the request fails or the reply is invalid,
// the state of the result is its zero value, EndpointUnreachable.
func (f *Forwarder) revoke(ctx context.Context, m messenger.RevokeAttempt) messenger.RevokeResult {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	result := messenger.RevokeResult{Attempt: m}
	request, err := sling.New().Post("http://"+m.Endpoint.Address+PathRevoke).
		BodyJSON(RevokeRequest{Attempt: m.ID}).
		Set("Authorization", "Bearer "+f.cfg.Token).
		Request()
	if err != nil {
		return result
	}
	response, err := f.cfg.Client.Do(request.WithContext(ctx))
	if err != nil {
		return result
	}
	defer func() { _ = response.Body.Close() }()
	var reply RevokeReply
	err = json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxRevokeReply)).Decode(&reply)
	if err != nil || response.StatusCode != http.StatusOK {
		return result
	}
	result.State = toRevokeState(m, reply)
	if result.State == messenger.AttemptFinished {
		result.Answer = replyAnswer(reply)
	}
	return result
}

// toRevokeState returns the state of an attempt from an endpoint's reply. An endpoint with
// another incarnation has restarted since, so it has no record of the attempt.
func toRevokeState(m messenger.RevokeAttempt, reply RevokeReply) messenger.AttemptState {
	if reply.Incarnation != m.Endpoint.Incarnation {
		return messenger.AttemptUnknown
	}
	switch reply.State {
	case StateRevoked:
		return messenger.AttemptNeverStarts
	case StateRunning:
		return messenger.AttemptRunning
	case StateFinished:
		return messenger.AttemptFinished
	case StateUnknown:
		return messenger.AttemptUnknown
	}
	return messenger.EndpointUnreachable
}

func replyAnswer(reply RevokeReply) messenger.Answer {
	var header []messenger.Field
	if reply.ContentType != "" {
		header = []messenger.Field{{Name: "Content-Type", Value: reply.ContentType}}
	}
	return messenger.EndpointAnswer(reply.Status, header, reply.Body)
}
