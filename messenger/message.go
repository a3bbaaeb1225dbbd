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
	Receiver     Stage = iota + 1 // accepts requests of callers and writes the answers
	Admitter                      // admits or queues requests, or refuses them under overload
	Placer                        // chooses the endpoint of each attempt
	Claimer                       // claims idempotency keys
	Forwarder                     // sends attempts to endpoints
	Answerer                      // decides after each attempt on a retry or the answer
	Tracker                       // tracks endpoints by their announcements and by gossip
	Planner                       // proposes changes of the instances to the declarations group
	Declarations                  // replicated group of the declarations
	Claims                        // replicated group of the claims
	Courier                       // exchanges messages with other nodes
	Recorder                      // writes the logs of the replicated groups to disk
	Operator                      // serves operators
	Reporter                      // writes metrics and logs
	Announcer                     // receives the announcements of endpoints
	Jobs                          // replicated group of the jobs
	Scheduler                     // places the tasks of jobs on workers
	Dispatcher                    // calls workers and the advisor
	Responder                     // answers calls to the scheduler
	Provider                      // calls the provider of machines
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
	Body any // a type of this package, or a message of the claimer or of a replicated group
}

// Outbox collects the messages that one step of a stage sends.
type Outbox struct{ Messages []Message }

// Send appends a message to the outbox.
func (o *Outbox) Send(to Stage, body any) {
	o.Messages = append(o.Messages, Message{To: to, Body: body})
}

// Tick runs the timers of a stage that are due.
type Tick struct{}

// NextTick returns the first multiple of the interval after now. The ticks of stages with
// the same interval are therefore due at the same time and share one wake-up.
func NextTick(now time.Time, interval time.Duration) time.Time {
	return now.Truncate(interval).Add(interval)
}

// Resign asks a replicated group to transfer leadership before a planned stop.
type Resign struct{}

// Progress is a sign of the leader's scheduler that it handles its messages.
type Progress struct{}

// RequestArrived passes a new request to the admitter.
type RequestArrived struct{ Request Request }

// CallerDisconnected reports that the caller of a request disconnected.
type CallerDisconnected struct{ ID uint64 }

// RequestAdmitted passes an admitted request to the placer.
type RequestAdmitted struct{ Request Request }

// ReleaseSlot returns the slot of an admitted request to the admitter.
type ReleaseSlot struct {
	Request Request
	RunTime time.Duration // duration of the attempt that got a complete response; zero if none did
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

// AttemptResultKind classifies the result of an attempt by what was sent and received.
type AttemptResultKind int

// The kinds of results of an attempt.
const (
	CompleteResponse   AttemptResultKind = iota + 1 // the complete response was received
	AttemptNotStarted                               // the attempt did not start and never will: the endpoint or a stage of this node rejected it
	RequestNotSent                                  // no byte was sent
	IncompleteResponse                              // the request may have been sent, and the attempt failed before the complete response was received
	ResponseTimeout                                 // the request may have been sent, and the deadline passed before the complete response was received
	ResponseTooLarge                                // the response exceeds the size limit
)

// NotStartedReason is the reason for which an endpoint did not start an attempt.
type NotStartedReason string

// The reasons for which an endpoint does not start an attempt, as it sends them in a header field.
const (
	SlotsFull        NotStartedReason = "full"
	EndpointLeaving  NotStartedReason = "leaving"
	WrongEpoch       NotStartedReason = "epoch"
	AttemptRevoked   NotStartedReason = "revoked"
	DuplicateAttempt NotStartedReason = "duplicate" // the attempt with this ID was started before, so the request may have run
)

// AttemptResult is the result of an attempt to send a request to an endpoint.
type AttemptResult struct {
	Request  Request
	Kind     AttemptResultKind
	Reason   NotStartedReason // set by the endpoint for AttemptNotStarted
	Answer   Answer           // set for CompleteResponse; the outcome is not evaluated yet
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
	EndpointFailed bool // counts as a failure of the endpoint in outlier detection
}

// CompleteClaim passes the final answer of a claimed request to the claimer.
type CompleteClaim struct {
	Request Request
	Answer  Answer
}

// RevokeAttempt asks the forwarder to revoke an attempt at its endpoint, so that it never starts. If it has
// already started, the endpoint returns its state and outcome instead.
type RevokeAttempt struct {
	Customer string
	Key      string
	Attempt  int    // number of the attempt
	ID       string // ID of the attempt at the endpoint
	Endpoint Endpoint
}

// AttemptState is the state of an attempt as reported by its endpoint.
type AttemptState int

// The states of an attempt at an endpoint.
const (
	EndpointUnreachable AttemptState = iota // the endpoint gave no valid response
	AttemptNeverStarts                      // the attempt did not start and never will
	AttemptRunning
	AttemptFinished // the attempt ended with an answer
	AttemptUnknown  // the endpoint has no record of the attempt, for example after a restart
)

// RevokeResult is the result of a RevokeAttempt.
type RevokeResult struct {
	Attempt RevokeAttempt
	State   AttemptState
	Answer  Answer // set for AttemptFinished
}

// Announcement is the periodic status report of an endpoint.
type Announcement struct {
	Endpoint Endpoint
	InUse    int
	Leaving  bool
	Empty    bool // no attempt is running, and none will start in this epoch
}

// AnnounceInterval sets the time between two announcements of an endpoint.
type AnnounceInterval struct{ Interval time.Duration }

// EndpointReport is an endpoint's last announcement with its age, as entry instances send it to each other.
type EndpointReport struct {
	Announcement Announcement
	Age          time.Duration // time since the announcement was received from the endpoint
}

// Demand is the load of a service on a pool at one entry instance.
type Demand struct {
	Service string
	Pool    string // pool of the slots in use; for waiting requests, the home pool of the service, in which it is declared
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
	Demands []Demand // nil if the message does not report the demand; a full message always does
	Full    bool     // full state of the sender instead of changes only
	Urgent  bool     // sent at once instead of being batched
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
	IsLeader bool   // this node is the leader of the declarations group and holds its lease
	IsFresh  bool   // the local copy is recent enough to act on; see IsFresh of replicator.State
	IsVoter  bool   // this node is a voter
	Leader   string // leader known to this node, or empty
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
	Failed     bool // no leader accepted the command, so it has no effect
}

// EndpointReports passes the last announcements of all endpoints to the planner.
type EndpointReports struct{ Reports []EndpointReport }

// Measurement is the present value of one quantity of a team.
type Measurement struct {
	Name  string
	Team  string
	Value int
}

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
