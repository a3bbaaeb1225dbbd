package messenger

import (
	"time"

	"laburnumwind/registrar"
)

// Verb tells what a caller wants of a job or a queue.
type Verb uint8

// The verbs.
const (
	Ping Verb = iota + 1 // whether a leader is there
	SubmitJob
	GetJob
	CancelJob
	CountPending
)

// JobCall is a caller's call about a job or a queue.
type JobCall struct {
	Verb Verb          `cbor:"1,keyasint,omitempty"`
	Host string        `cbor:"2,keyasint,omitempty"`
	Path string        `cbor:"3,keyasint,omitempty"` // the queue's path, without the job's id
	Job  registrar.Job `cbor:"4,keyasint,omitempty"` // its id; of SubmitJob also what the caller handed in
}

// AnswerCode tells what came of a call.
type AnswerCode uint8

// The codes.
const (
	CallDone    AnswerCode = iota + 1
	CallNoQueue            // no queue has this host and path
	CallNoJob
	CallOverloaded // not accepted, and it never runs
	CallNotReady   // nothing was done: there is no leader or no configuration here
	CallUncertain  // it may or may not have been done
	CallInvalid    // it is not valid
)

// JobState is what a caller is told of a job.
type JobState uint8

// The states.
const (
	JobQueued JobState = iota + 1
	JobRunning
	JobComplete
	JobFailed
	JobCanceled
)

// JobAnswer answers a call.
type JobAnswer struct {
	Code       AnswerCode    `cbor:"1,keyasint,omitempty"`
	State      JobState      `cbor:"2,keyasint,omitempty"`
	Pending    int           `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	Config     []byte        `cbor:"5,keyasint,omitempty"` // of GetConfig, as the operator sent it
	Done       bool          `cbor:"6,keyasint,omitempty"` // of GetWave: it is complete
}

// Heartbeat is what a worker says of itself.
type Heartbeat struct {
	Worker    registrar.Worker
	Seq       int64
	Clock     int64         // the worker's steady clock, milliseconds
	Remaining time.Duration // of a draining worker: how long it surely stays
}

// Departure says that a worker ends now.
type Departure struct{ Worker string }

// PutConfig brings a checked configuration.
type PutConfig struct{ Config registrar.Config }

// GetConfig asks for the newest configuration.
type GetConfig struct{}

// PutWave brings a wave of upkeep; its FinishBy counts from its acceptance.
type PutWave struct{ Wave registrar.Wave }

// GetWave asks how far a wave is.
type GetWave struct{ ID int64 }

// Call brings one of the above, or a JobCall, to the scheduler.
type Call struct {
	Ticket uint64
	Body   any
}

// CallAnswer answers a Call.
type CallAnswer struct {
	Ticket uint64
	Answer JobAnswer
}

// JobsView is what the jobs group tells the scheduler.
type JobsView struct {
	State    registrar.State
	Leads    bool      // this node leads and has applied all of earlier terms
	LeaseEnd time.Time // until then no other node leads
	Term     uint64
	Leader   string // the leader that this node knows, or empty
	Members  []string
	Live     []string // other instances that answered the leader a moment ago
}

// ProposeJobs asks the jobs group to apply a command.
type ProposeJobs struct {
	Ticket  uint64
	Command registrar.Command
}

// JobsProposed is the outcome of ProposeJobs.
type JobsProposed struct {
	Ticket uint64
	Result registrar.Result
	Failed bool // nothing was proposed
}

// OrderKind tells what a worker is to do.
type OrderKind uint8

// The kinds of order.
const (
	StartRun OrderKind = iota + 1
	StopRun
	PaceRun
)

// Order is for a worker: start, stop or pace one run.
type Order struct {
	Kind     OrderKind
	Worker   string
	Address  string
	Task     registrar.TaskName
	Run      int
	Payload  string
	Saved    string // checkpoint to resume from
	Deadline int64  // end of the worker's lease by its own clock, milliseconds
	Fence    uint64
	Percent  int    // of PaceRun
	Permit   string // the advisor's ticket
	NotAfter time.Time
	At       time.Time // when the leader gave it
	Via      string    // the instance that makes the call; empty: the leader itself
	Origin   string    // the leader, at the instance that makes the call for it
}

// Verdict tells what a worker answered to an order.
type Verdict uint8

// The verdicts.
const (
	Obeyed         Verdict = iota + 1
	RejectedFence          // the worker has seen a higher fencing token
	RejectedOld            // the run is not higher than one stopped or ended there
	RejectedLate           // its lease had run out
	RejectedRoom           // it does not fit
	RejectedPermit         // the advisor's ticket is not valid
	RejectedBad            // the worker cannot read it
	Unhealthy              // the worker is unhealthy and did nothing
	Elsewhere              // another worker answers at that address
	Unanswered             // it may have been carried out, or may be later
	NotSent                // it surely did not reach the worker
)

// String is the verdict in one word.
func (v Verdict) String() string {
	return [...]string{
		"none", "obeyed", "fence", "old", "late", "room", "permit", "bad",
		"unhealthy", "elsewhere", "unanswered", "notSent",
	}[v]
}

// OrderReply is a worker's answer to an order.
type OrderReply struct {
	Order   Order
	Verdict Verdict
	Clock   int64 // the worker's clock, milliseconds; zero if unknown
}

// Hold renews a worker's lease, acknowledges ends and asks for its runs.
type Hold struct {
	Worker   string
	Address  string
	Deadline int64 // by the worker's clock, milliseconds; zero: no renewal
	Fence    uint64
	Acked    int64         // ends up to this number are forgotten
	Wait     time.Duration // the answer may wait for an end
	NotAfter time.Time
	At       time.Time // when the leader gave it
	Via      string    // the instance that makes the call; empty: the leader itself
	Origin   string    // the leader, at the instance that makes the call for it
}

// RunReport is a run that a worker lists.
type RunReport struct {
	Task    registrar.TaskName
	Run     int
	Saved   string
	Percent int // of its work that is done; a lasting task is at work at 100
	Gauge   int // a serving task's tail latency in milliseconds, or processors in use
}

// EndReport is an end that a worker lists.
type EndReport struct {
	N int64
	registrar.End
}

// HoldReply is a worker's answer to a Hold.
type HoldReply struct {
	Hold    Hold
	OK      bool
	Fenced  bool // the worker has seen a higher fencing token
	Moved   bool // another worker answers at that address
	Life    int64
	Clock   int64
	Running []RunReport
	Ended   []EndReport
}

// MachineState is what the provider says of a machine.
type MachineState uint8

// The states of a machine.
const (
	MachineUp MachineState = iota + 1
	MachineMoving
	MachineUpkeep
	MachineDown
)

// Machine is a machine as its provider lists it.
type Machine struct {
	Name     string
	Pool     string
	State    MachineState
	Zone     string
	Labels   []string
	Capacity registrar.Room
	Worker   string // id of its worker
}

// ListMachines asks the provider for all machines.
type ListMachines struct{}

// MachineList is the provider's answer.
type MachineList struct {
	OK       bool
	Machines []Machine
	SentAt   time.Time
	Received time.Time
}

// MachineOrder asks the provider to move a machine or to begin its upkeep.
type MachineOrder struct {
	Machine string
	Pool    string // of a move
	Wave    int64  // of an upkeep; zero for a move
	Fence   uint64

	NotAfter time.Time
}

// MachineReply is the provider's answer.
type MachineReply struct {
	Order    MachineOrder
	OK       bool
	Refused  bool // it surely was not done
	Reason   string
	Received time.Time
}

// Advise asks the advisor which workers may run a step.
type Advise struct {
	Job     string
	K       int
	Step    int
	Workers []string
	Via     string // the instance that makes the call; empty: the leader itself
	Origin  string // the leader, at the instance that makes the call for it
}

// Permit is the advisor's ticket for a worker.
type Permit struct {
	Worker string
	Ticket string
}

// Advice is the advisor's answer.
type Advice struct {
	Advise Advise
	OK     bool
	Good   []Permit
	Valid  time.Duration // of each ticket
}
