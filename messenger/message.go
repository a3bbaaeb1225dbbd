package messenger

import (
	"time"

	"laburnumwind/keeper"
)

// Stage identifies a stage of a node's pipeline.
type Stage int

// The stages. Receiver, Forwarder, Courier, Recorder, Operator, Reporter, Announcer, Dispatcher, Responder and Provider
// perform I/O; the others are pure state machines.
const (
	Receiver Stage = iota + 1
	Admitter
	Placer
	Claimer
	Forwarder
	Answerer
	Tracker
	Planner
	Declarations
	Claims
	Courier
	Recorder
	Operator
	Reporter
	Announcer
	Jobs
	Scheduler
	Dispatcher
	Responder
	Provider
)

// String returns the name of the stage in lower camel case.
func (s Stage) String() string {
	return [...]string{
		"none", "receiver", "admitter", "placer", "claimer", "forwarder", "answerer",
		"tracker", "planner", "declarations", "claims", "courier",
		"recorder", "operator", "reporter", "announcer",
		"jobs", "scheduler", "dispatcher", "responder", "provider",
	}[s]
}

// Message is a value addressed to a stage.
type Message struct {
	To   Stage
	Body any // a type of this package, or a message of a replicated group
}

// Outbox collects the messages that one step of a stage sends.
type Outbox struct{ Messages []Message }

// Send appends a message to the outbox.
func (o *Outbox) Send(to Stage, body any) {
	o.Messages = append(o.Messages, Message{To: to, Body: body})
}

// Tick runs the timers of a stage that are due.
type Tick struct{}

// NextTick returns the first multiple of the interval every after now. Stages
// with aligned ticks share one wake-up.
func NextTick(now time.Time, every time.Duration) time.Time {
	return now.Truncate(every).Add(every)
}

// Resign asks a replicated group to transfer leadership before a planned stop.
type Resign struct{}

// RequestArrived passes a new request to the admitter.
type RequestArrived struct{ Request Request }

// CallerDisconnected reports that the caller of a request disconnected.
type CallerDisconnected struct{ ID uint64 }

// RequestAdmitted passes an admitted request to the placer.
type RequestAdmitted struct{ Request Request }

// ReleaseSlot returns the slot of an admitted request to the admitter.
type ReleaseSlot struct {
	Request Request
	RunTime time.Duration // run time; zero if the request did not run
}

// ClaimKey asks the claimer to claim the idempotency key for the attempt of a placed request.
type ClaimKey struct{ Request Request }

// SendAttempt asks the forwarder to send an attempt to its endpoint.
type SendAttempt struct{ Request Request }

// Reply passes an answer to the receiver, which writes it to the caller's connection.
type Reply struct {
	ID     uint64
	Answer Answer
}

// CloseRequest ends a request with an answer of the node itself.
type CloseRequest struct {
	Request Request
	Answer  Answer
}

// OpenRequest registers a request at the answerer.
type OpenRequest struct{ ID uint64 }

// AttemptResultKind is the result of an attempt at the transport level.
type AttemptResultKind int

// The results of an attempt at the transport level.
const (
	CompleteResponse   AttemptResultKind = iota + 1 // the complete response was received
	AttemptNotStarted                               // the endpoint reported that the attempt did not start and never will
	RequestNotSent                                  // no byte was sent
	IncompleteResponse                              // the request was sent and the connection failed before the complete response was received
	ResponseTimeout                                 // the request was sent and no response was received before the deadline
	ResponseTooLarge                                // the response exceeds the size limit
)

// NotStartedReason is the reason for which an endpoint did not start an attempt.
type NotStartedReason string

// The reasons for which an endpoint does not start an attempt, as sent in a header field.
const (
	SlotsFull        NotStartedReason = "full"
	EndpointLeaving  NotStartedReason = "leaving"
	WrongEpoch       NotStartedReason = "epoch"
	AttemptRevoked   NotStartedReason = "revoked"
	DuplicateAttempt NotStartedReason = "duplicate" // an attempt with the same ID was already started
)

// AttemptResult is the result of an attempt to send a request to an endpoint.
type AttemptResult struct {
	Request  Request
	Kind     AttemptResultKind
	Reason   NotStartedReason
	Answer   Answer
	Duration time.Duration
	InUse    int // slots in use at the endpoint; negative if it did not report them
}

// RequestDone tells the placer that an attempt ended and that the request gets no further attempt.
type RequestDone struct {
	Result         AttemptResult
	EndpointFailed bool // counts as a failure of the endpoint in outlier detection
}

// RetryRequest tells the placer that an attempt ended and that the request may be retried on another endpoint.
type RetryRequest struct {
	Result         AttemptResult
	EndpointFailed bool
}

// CompleteClaim tells the claimer the final answer of a claimed request.
type CompleteClaim struct {
	Request Request
	Answer  Answer
}

// RevokeAttempt asks the forwarder to revoke an attempt at its endpoint: afterwards it never starts, or its outcome is known.
type RevokeAttempt struct {
	Customer string
	Key      string
	Attempt  int
	ID       string // ID of the attempt at the endpoint
	Endpoint Endpoint
}

// AttemptState is the state of an attempt as reported by its endpoint.
type AttemptState int

// The states of an attempt at an endpoint.
const (
	EndpointUnreachable AttemptState = iota // the endpoint did not respond
	AttemptNeverStarts                      // the attempt did not start and never will
	AttemptRunning
	AttemptFinished // the attempt ended with an answer
	AttemptUnknown  // the endpoint restarted and lost its record of the attempt
)

// RevokeResult is the result of a RevokeAttempt.
type RevokeResult struct {
	Attempt RevokeAttempt
	State   AttemptState
	Answer  Answer
}

// Announcement is the periodic status report of an endpoint.
type Announcement struct {
	Endpoint Endpoint
	InUse    int
	Leaving  bool
	Empty    bool // no attempt is in progress under its epoch
}

// AnnounceInterval sets the time between two announcements of an endpoint.
type AnnounceInterval struct{ Every time.Duration }

// EndpointReport is an endpoint's announcement as entry instances pass it on to each other.
type EndpointReport struct {
	Announcement Announcement
	Age          time.Duration // time since the announcement was received from the endpoint
}

// Demand is the load of a service on a pool at one entry instance.
type Demand struct {
	Service string
	Pool    string // pool of the slots in use; for waiting requests the home pool of the service
	InUse   int
	Waiting int
}

// LocalDemand is the demand at this entry instance, to be gossiped to the others.
type LocalDemand struct {
	Demands []Demand
	Urgent  bool // the demand rose quickly, so it is sent at once
}

// Gossip is the soft state that entry instances exchange.
type Gossip struct {
	From    string
	Reports []EndpointReport
	Demands []Demand
	Full    bool // full state of the sender instead of changes only
	Urgent  bool // sent at once instead of being batched
}

// AvailableEndpoints is the set of endpoints that may receive requests.
type AvailableEndpoints struct{ Endpoints []Endpoint }

// EndpointLoad is the reported load of an endpoint.
type EndpointLoad struct {
	Instance string
	InUse    int
	Leaving  bool
}

// PeerDemand is the demand at another entry instance.
type PeerDemand struct {
	From    string
	Demands []Demand
}

// DeclarationsView is the current state of the declarations as seen by this node.
type DeclarationsView struct {
	State    keeper.State
	IsLeader bool // this node is the leader of the declarations group and holds its lease
	IsFresh  bool // the staleness of the local copy is within its bound
	IsVoter  bool // this node is a voter
	Leader   string
}

// ProposeDeclarations proposes a command to the declarations group.
type ProposeDeclarations struct {
	ProposalID uint64
	Command    keeper.Command
}

// DeclarationsProposalResult is the result of the ProposeDeclarations with the same ProposalID.
type DeclarationsProposalResult struct {
	ProposalID uint64
	Result     keeper.Result
	Failed     bool // there was no leader; the command was not proposed
}

// EndpointReports passes the current announcements of all endpoints to the planner.
type EndpointReports struct{ Reports []EndpointReport }

// Decision is a line of the decision log: what was routed, placed, refused or moved, and for which reason.
type Decision struct {
	Stage      Stage
	Event      string
	Request    uint64
	Service    string
	Customer   string
	Instance   string
	Pool       string
	Candidates int
	Reason     string

	Job    string // set for decisions on a job or one of its runs
	Task   string
	Run    int
	Term   uint64        // fencing token of the leader that made the decision
	Config int64         // version of the configuration
	Age    time.Duration // age of the last report of the worker
}
