package forwarder

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"laburnumwind/messenger"
)

// PathRevoke is where an endpoint takes revocations.
const PathRevoke = "/laburnum/v1/revoke"

const (
	revokeTimeout = 2 * time.Second
	revokeBytes   = 1 << 20
)

// RevokeRequest asks an endpoint to make sure that an attempt never starts.
type RevokeRequest struct {
	Attempt string `json:"attempt"`
}

// The states of an attempt in a RevokeReply.
const (
	StateRevoked  = "revoked" // it did not start and never will
	StateRunning  = "running"
	StateFinished = "finished" // the answer is with it
	StateUnknown  = "unknown"  // the endpoint restarted since, or forgot
)

// RevokeReply is the endpoint's word on an attempt.
type RevokeReply struct {
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

func (f *Forwarder) revoke(ctx context.Context, m messenger.Revoke) messenger.Revoked {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	out := messenger.Revoked{Revoke: m}
	request, err := sling.New().Post("http://"+m.Endpoint.Address+PathRevoke).
		BodyJSON(RevokeRequest{Attempt: m.ID}).
		Set("Authorization", "Bearer "+f.cfg.Token).
		Request()
	if err != nil {
		return out
	}
	response, err := f.cfg.Client.Do(request.WithContext(ctx))
	if err != nil {
		return out
	}
	defer func() { _ = response.Body.Close() }()
	var reply RevokeReply
	err = json.NewDecoder(http.MaxBytesReader(nil, response.Body, revokeBytes)).Decode(&reply)
	if err != nil || response.StatusCode != http.StatusOK {
		return out
	}
	out.State = revokeState(m, reply)
	if out.State == messenger.Finished {
		out.Answer = finished(reply)
	}
	return out
}

// revokeState reads the endpoint's word. One with another incarnation cannot know of the attempt.
func revokeState(m messenger.Revoke, reply RevokeReply) messenger.RevokeState {
	if reply.Incarnation != m.Endpoint.Incarnation {
		return messenger.Forgotten
	}
	switch reply.State {
	case StateRevoked:
		return messenger.NeverRun
	case StateRunning:
		return messenger.Running
	case StateFinished:
		return messenger.Finished
	case StateUnknown:
		return messenger.Forgotten
	}
	return messenger.Unreachable
}

func finished(reply RevokeReply) messenger.Answer {
	var header []messenger.Field
	if reply.ContentType != "" {
		header = []messenger.Field{{Name: "Content-Type", Value: reply.ContentType}}
	}
	return messenger.WholeAnswer(reply.Status, header, reply.Body)
}
