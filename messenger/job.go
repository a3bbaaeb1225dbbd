package messenger

import (
	"slices"
	"time"

	"laburnumwind/registrar"
)

// Operation is an action that a caller requests on a job or a queue.
type Operation uint8

// The operations on jobs and queues.
const (
	Ping Operation = iota + 1 // succeeds if a leader with a valid lease handles the call
	SubmitJob
	GetJob
	CancelJob
	CountPending
	ExplainJob // explains what would become of the submission of a job; changes nothing
)

// JobCall is a caller's request for an operation on a job or a queue.
type JobCall struct {
	Verb Operation     `cbor:"1,keyasint,omitempty"`
	Host string        `cbor:"2,keyasint,omitempty"`
	Path string        `cbor:"3,keyasint,omitempty"` // path of the queue, without the job ID
	Job  registrar.Job `cbor:"4,keyasint,omitempty"` // only the ID is set, except for SubmitJob and ExplainJob, which carry the whole job

	KeyDigest   []byte `cbor:"5,keyasint,omitempty"` // SHA-256 of the caller's key; empty: the caller sent none
	ForwardsKey bool   `cbor:"6,keyasint,omitempty"` // the sender sets KeyDigest; false: an instance of an older version, whose callers may have sent a key
	AccessID    string `cbor:"7,keyasint,omitempty"` // set for Ping: ID of the access list that the sender holds
}

// CallStatus is the result of a Call or a JobCall.
type CallStatus uint8

// The results of a Call or a JobCall.
const (
	CallDone          CallStatus = iota + 1
	CallQueueNotFound            // no queue is configured for the host and path
	CallJobNotFound              // the job or the maintenance wave is unknown
	CallOverloaded               // the call was rejected without effect; a submitted job will never run
	CallNotReady                 // no leader or no configuration is available; nothing was changed
	CallUncertain                // the operation may or may not have been applied
	CallInvalid                  // the call failed validation
	CallUnauthorized             // the queue needs the key of a team, and the caller's key is absent or unknown
)

// JobState is the state of a job as reported to callers.
type JobState uint8

// The states of a job.
const (
	JobQueued JobState = iota + 1
	JobRunning
	JobComplete
	JobFailed
	JobCanceled
)

// JobAnswer is the response to a Call or a JobCall.
type JobAnswer struct {
	Status     CallStatus    `cbor:"1,keyasint,omitempty"`
	State      JobState      `cbor:"2,keyasint,omitempty"` // set for GetJob
	Pending    int           `cbor:"3,keyasint,omitempty"` // set for CountPending: number of pending jobs in the queue
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"` // set for CallOverloaded and CallNotReady
	Config     []byte        `cbor:"5,keyasint,omitempty"` // set for GetConfig: the configuration as the operator sent it
	Done       bool          `cbor:"6,keyasint,omitempty"` // set for GetWave: the wave is complete
	Access     *AccessList   `cbor:"7,keyasint,omitempty"` // set for Ping: the access list, or its ID alone if the sender holds it; nil: there is none, or an older version answers

	Explains    bool         `cbor:"8,keyasint,omitempty"` // set for Ping: this version answers ExplainJob; an older one leaves the call unanswered
	Explanation *Explanation `cbor:"9,keyasint,omitempty"` // set for ExplainJob
}

// AccessList is what an instance needs to recognize calls without a valid key. ID identifies its content.
type AccessList struct {
	ID         string          `cbor:"1,keyasint,omitempty"`
	KeyDigests [][]byte        `cbor:"2,keyasint,omitempty"` // SHA-256 of the keys of all teams
	Routes     []AccessedRoute `cbor:"3,keyasint,omitempty"` // of all queues
}

// AccessedRoute is the route of a queue, and whether its calls need a key.
type AccessedRoute struct {
	Host   string `cbor:"1,keyasint,omitempty"`
	Prefix string `cbor:"2,keyasint,omitempty"`
	Public bool   `cbor:"3,keyasint,omitempty"`
}

// Heartbeat is the periodic status report of a worker.
type Heartbeat struct {
	Worker    registrar.Worker
	Seq       int64         // sequence number; a heartbeat that is not newer than the last one is ignored
	Clock     int64         // monotonic clock of the worker, in milliseconds
	Remaining time.Duration // set while the worker drains: minimum time until it stops
}

// Departure reports that a worker is shutting down now.
type Departure struct{ Worker string }

// PutConfig stores a validated configuration.
type PutConfig struct{ Config registrar.Config }

// GetConfig requests the latest configuration.
type GetConfig struct{}

// StartWave starts a maintenance wave. Its FinishBy is relative to the time of acceptance.
type StartWave struct{ Wave registrar.Wave }

// GetWave requests the progress of a maintenance wave.
type GetWave struct{ ID int64 }

// Call is a request to the scheduler. Its body is a JobCall, Heartbeat, Departure, PutConfig,
// GetConfig, StartWave or GetWave.
type Call struct {
	ID   uint64
	Body any
}

// CallAnswer is the response to the Call with the ID CallID.
type CallAnswer struct {
	CallID uint64
	Answer JobAnswer
}

// JobsView is the state of the jobs group as seen by this node.
type JobsView struct {
	State        registrar.State
	IsLeader     bool      // this node holds the leader lease and has applied every entry committed before its term
	LeaseEnd     time.Time // no other node can become leader before this time; zero on a node that does not lead
	Term         uint64
	PreviousTerm uint64   // on the leader: term of the last log entry before its own; no leader in between has served
	Leader       string   // leader known to this node, or empty
	Members      []string // names of the voters
	Delegates    []string // on the leader: other nodes that responded recently, so that calls can be delegated to them
}

// ProposeJobs proposes a command to the jobs group.
type ProposeJobs struct {
	ProposalID uint64
	Term       uint64 // the command is proposed only if this node leads in that term: it rests on what that leader knows
	Command    registrar.Command
}

// JobsProposalResult is the result of the ProposeJobs with the same ProposalID.
type JobsProposalResult struct {
	ProposalID uint64
	Result     registrar.Result
	Failed     bool // no leader accepted the command, so it has no effect
}

// OrderKind is the action that an Order requests from a worker.
type OrderKind uint8

// The kinds of orders.
const (
	StartRun OrderKind = iota + 1
	StopRun
	ThrottleRun
)

// Order tells a worker to start, stop or throttle one run. Instances exchange Order and the other types that
// the delegator forwards (Hold, OrderReply, HoldReply, RunReport, EndReport, AdviceRequest, Permit, AdviceReply)
// as CBOR, with the field names as keys. A renamed field needs a cbor tag with its former name, so that
// instances of different versions understand each other.
type Order struct {
	Kind        OrderKind
	Worker      string
	Incarnation int64 // of the worker that the order is meant for
	Address     string
	Task        registrar.TaskID
	Run         int       // number of the run of the task
	Payload     string    // payload of the job, sent to the worker as it is
	Checkpoint  string    `cbor:"Saved"` // checkpoint to resume from
	Deadline    int64     // end of the worker's lease on the worker's clock, in milliseconds
	Fence       uint64    // fencing token
	Percent     int       // set for ThrottleRun: percentage of full speed; zero pauses the run
	Ticket      string    `cbor:"Permit"` // ticket issued by the advisor
	NotAfter    time.Time // the call is not started after this time
	At          time.Time // time at which the leader issued the order
	Delegate    string    `cbor:"Via"` // instance that makes the call; empty if the leader makes it
	Origin      string    // leader that delegated the call; empty if it makes the call itself
}

// Verdict is the result of an order: the worker's response, or the reason why there is none.
type Verdict uint8

// The verdicts.
const (
	Accepted          Verdict = iota + 1
	RejectedFence             // the fencing token is lower than one that the worker has seen
	RejectedOld               // the run number is not higher than that of a run that has stopped or ended at the worker; also used for an unknown reason
	RejectedLate              // the worker's lease had expired
	RejectedCapacity          // the worker lacks the resources for the run
	RejectedTicket            // the advisor's ticket is invalid
	RejectedMalformed         // the order is malformed
	Unhealthy                 // the worker is unhealthy and did not act on the order
	WrongWorker               // a different worker listens at the address
	Unanswered                // no response: the order may have taken effect, or may still do so
	NotSent                   // the order did not reach the worker
)

// String returns the name of the verdict in the decision log, which can differ from that of the constant.
func (v Verdict) String() string {
	return [...]string{
		"none", "obeyed", "fence", "old", "late", "room", "permit", "bad",
		"unhealthy", "elsewhere", "unanswered", "notSent",
	}[v]
}

// OrderReply is a worker's response to an order.
type OrderReply struct {
	Order   Order
	Verdict Verdict
	Clock   int64 // monotonic clock of the worker, in milliseconds; zero if unknown
}

// Hold is a long poll that renews the lease of a worker, acknowledges the run ends that the worker reported and
// requests its list of runs.
type Hold struct {
	Worker   string
	Address  string
	Deadline int64         // end of the lease on the worker's clock, in milliseconds; zero does not renew it
	Fence    uint64        // fencing token
	Acked    int64         // the worker may discard ended runs up to this sequence number
	Wait     time.Duration // maximum time that the worker may wait for the end of a run before it responds
	NotAfter time.Time     // the call is not started after this time
	At       time.Time     // time at which the leader issued the call
	Delegate string        `cbor:"Via"` // instance that makes the call; empty if the leader makes it
	Origin   string        // leader that delegated the call; empty if it makes the call itself
}

// RunReport is the status of a run on a worker.
type RunReport struct {
	Task        registrar.TaskID
	Run         int
	Checkpoint  string `cbor:"Saved"` // last checkpoint
	Percent     int    // completed share of the work; a long-running task reports 100 once it is operating
	Measurement int    `cbor:"Gauge"` // tail latency of a serving task in milliseconds, or number of processors in use
}

// EndReport is a run end that a worker reports. Number is its sequence number at the worker.
type EndReport struct {
	Number int64 `cbor:"N"`
	registrar.End
}

// HoldReply is a worker's response to a Hold.
type HoldReply struct {
	Hold        Hold
	OK          bool  // the worker accepted the call
	Fenced      bool  // the fencing token is lower than one that the worker has seen
	WrongWorker bool  `cbor:"Moved"` // a different worker listens at the address
	Refused     bool  // the machine refused the connection: no process listens at the address
	Incarnation int64 `cbor:"Life"` // changes when the worker restarts
	Clock       int64 // monotonic clock of the worker, in milliseconds; zero if unknown
	Running     []RunReport
	Ended       []EndReport // ended runs that are not acknowledged yet
	Partial     bool        // the lists may lack entries, because some could not be read or the list of ends is cut off: a run that is not listed may still be there or have ended
	AllListed   bool        // the worker has listed all its runs and ends, although some entries may not be readable; false from an instance of an older version
}

// MachineState is the state of a machine as reported by the provider.
type MachineState uint8

// The states of a machine.
const (
	MachineUnknown MachineState = iota // the entry of the machine could not be read
	MachineUp
	MachineMoving
	MachineMaintenance
	MachineDown
)

// Machine is a machine as listed by the provider.
type Machine struct {
	Name     string
	Pool     string
	State    MachineState
	Zone     string
	Labels   []string
	Capacity registrar.Resources
	Worker   string // ID of the worker on the machine
}

// Equal reports whether two machines have the same value in every field.
func (m Machine) Equal(o Machine) bool {
	return m.Name == o.Name && m.Pool == o.Pool && m.State == o.State && m.Zone == o.Zone && m.Worker == o.Worker &&
		m.Capacity == o.Capacity && slices.Equal(m.Labels, o.Labels)
}

// ListMachines requests the list of all machines from the provider.
type ListMachines struct{}

// MachineList is the provider's response to ListMachines.
type MachineList struct {
	OK       bool // the list is complete
	Machines []Machine
	SentAt   time.Time // time at which the first page was requested
	Received time.Time // time at which the last response arrived or its request failed
}

// MachineOrder asks the provider to move a machine to another pool or to start its maintenance.
type MachineOrder struct {
	Machine string
	Pool    string // target pool of a move
	Wave    int64  // maintenance wave; zero for a move
	Fence   uint64 // fencing token

	NotAfter time.Time // the call is not started after this time
}

// MachineReply is the provider's response to a MachineOrder.
type MachineReply struct {
	Order    MachineOrder
	OK       bool   // the provider accepted the order
	Refused  bool   // the order was not and will not be carried out
	Final    bool   // the provider would refuse the same order again
	Reason   string // reason for a refusal
	Received time.Time
}

// AdviceRequest asks the advisor which workers may run a step of an occurrence of a job.
type AdviceRequest struct {
	Job        string
	Occurrence int `cbor:"K"`
	Step       int
	Workers    []string
	Delegate   string `cbor:"Via"` // instance that makes the call; empty if the leader makes it
	Origin     string // leader that delegated the call; empty if it makes the call itself
}

// Permit is the advisor's permission for a worker to run the step. The worker receives Ticket with the order.
type Permit struct {
	Worker string
	Ticket string
}

// AdviceReply is the advisor's response to an AdviceRequest.
type AdviceReply struct {
	Request AdviceRequest `cbor:"Advise"`
	OK      bool          // the advisor answered
	Permits []Permit      `cbor:"Good"` // for the workers that may run the step
	Valid   time.Duration // validity of each ticket
}
