package controller

import (
	"context"
	"fmt"

	"laburnumwind/encoder"
	"laburnumwind/messenger"
)

// jobsService implements the twirp service Jobs, which other instances use to call this node.
type jobsService struct{ c *Controller }

// Call passes a call from an entry instance to the scheduler if this node leads. Otherwise
// the reply names the leader that is known to this node.
func (s jobsService) Call(ctx context.Context, in *encoder.JobCall) (*encoder.JobReply, error) {
	view := s.c.View()
	reply := &encoder.JobReply{Leader: view.Leader, Members: view.Members}
	if !s.c.Leads() {
		reply.NotLeading = true
		return reply, nil
	}
	call, err := encoder.UnmarshalCBOR[messenger.JobCall](in.GetCall())
	if err != nil {
		return nil, fmt.Errorf("decode call: %w", err)
	}
	answer := messenger.JobAnswer{}
	if call.Verb == messenger.ExplainJob {
		answer = s.c.explain(ctx, call)
	} else {
		answer = s.c.Call(ctx, call)
	}
	reply.Answer, err = encoder.MarshalCBOR(answer)
	if err != nil {
		return nil, fmt.Errorf("encode answer: %w", err)
	}
	return reply, nil
}

// Dispatch makes calls to workers and to the advisor on behalf of the leader.
func (s jobsService) Dispatch(_ context.Context, in *encoder.JobBatch) (*encoder.JobBatchAck, error) {
	return &encoder.JobBatchAck{}, s.c.delegator.HandleOrders(in)
}

// Return receives the answers to calls that another instance made on behalf of this node.
func (s jobsService) Return(_ context.Context, in *encoder.JobBatch) (*encoder.JobBatchAck, error) {
	return &encoder.JobBatchAck{}, s.c.delegator.HandleReplies(in)
}
