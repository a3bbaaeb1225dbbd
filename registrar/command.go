package registrar

// TaskID identifies a task by its job, the occurrence of the job, the step and the
// index of the task within the step.
type TaskID struct {
	Job        string `cbor:"1,keyasint,omitempty"`
	Occurrence int    `cbor:"2,keyasint,omitempty"`
	Step       int    `cbor:"3,keyasint,omitempty"`
	Index      int    `cbor:"4,keyasint,omitempty"`
}

// Start assigns a run of a task to a worker. It is committed before the worker gets the order,
// so that a later leader knows of the run.
type Start struct {
	Task        TaskID `cbor:"1,keyasint,omitempty"`
	Run         int    `cbor:"2,keyasint,omitempty"`
	Worker      string `cbor:"3,keyasint,omitempty"`
	Incarnation int64  `cbor:"4,keyasint,omitempty"`
	Term        uint64 `cbor:"5,keyasint,omitempty"`
	Checkpoint  string `cbor:"6,keyasint,omitempty"` // checkpoint reported after the last run had ended; empty: none
}

// Stop records that a run is about to be stopped. It is committed before the worker gets the order, so that a later
// leader knows that the task is unavailable.
type Stop struct {
	Task TaskID `cbor:"1,keyasint,omitempty"`
	Run  int    `cbor:"2,keyasint,omitempty"`
}

// EndReason is the reason why a run ended.
type EndReason uint8

// The reasons why a run ends. EndDone completes the task or, in a gang, all tasks of the step.
// A long-running task outside a gang is never completed. A task that is not completed waits for
// its next run. Only EndFailed counts as a failed attempt; the last allowed one fails the task
// and its job, unless the task is long-running.
const (
	EndDone           EndReason = iota + 1
	EndFailed                   // the worker reported a failure
	EndStopped                  // the leader ordered the worker to stop the run
	EndLeaseExpired             // the lease of the worker expired
	EndGangBroken               // another member of the gang ended
	EndGangIncomplete           // the other members of the gang did not start in time
	EndLost                     // the run never started, or its worker is gone
)

// String returns the reason as one word.
func (r EndReason) String() string {
	return [...]string{"none", "done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}[r]
}

// End records that a run ended.
type End struct {
	Task       TaskID    `cbor:"1,keyasint,omitempty"`
	Run        int       `cbor:"2,keyasint,omitempty"`
	Reason     EndReason `cbor:"3,keyasint,omitempty"`
	Checkpoint string    `cbor:"4,keyasint,omitempty"`
}

// Command is a change of the state. It holds either a batch of commands or the other parts,
// which State.Apply applies in the order of the fields.
type Command struct {
	Config          *Config              `cbor:"1,keyasint,omitempty"`
	Submit          *Job                 `cbor:"2,keyasint,omitempty"`
	Cancel          string               `cbor:"3,keyasint,omitempty"` // ID of a job
	Starts          []Start              `cbor:"4,keyasint,omitempty"`
	Ends            []End                `cbor:"5,keyasint,omitempty"`
	Workers         []Worker             `cbor:"6,keyasint,omitempty"` // new or changed
	RemovedWorkers  []string             `cbor:"7,keyasint,omitempty"` // IDs of workers to remove
	Wave            *Wave                `cbor:"8,keyasint,omitempty"`
	Maintenance     []MachineMaintenance `cbor:"9,keyasint,omitempty"`
	Batch           []Command            `cbor:"11,keyasint,omitempty"` // commands in the order in which they are applied
	Departures      []Departure          `cbor:"12,keyasint,omitempty"` // workers that announced that they end; RemovedWorkers lists them too
	MachineOrder    *MachineOrder        `cbor:"13,keyasint,omitempty"` // the order, if OrderedMachines has one machine; nil in commands of older versions
	Stops           []Stop               `cbor:"15,keyasint,omitempty"` // runs to which a stop order is sent once the command is committed
	Begun           []string             `cbor:"14,keyasint,omitempty"` // IDs of jobs of which a worker has confirmed the first start
	OrderedMachines []string             `cbor:"10,keyasint,omitempty"` // machines for which an order is sent to the provider once the command is committed
	Takeover        *Takeover            `cbor:"31,keyasint,omitempty"` // set by a new leader
	Silences        []Silence            `cbor:"32,keyasint,omitempty"` // workers that get no more leases
}

// Departure records that a worker announced its end. A heartbeat of that incarnation that arrives later, for example
// because a partition held it up, does not bring the worker back.
type Departure struct {
	Worker      string `cbor:"1,keyasint,omitempty"`
	Incarnation int64  `cbor:"2,keyasint,omitempty"`
	At          int64  `cbor:"3,keyasint,omitempty"` // Unix nanoseconds; set when the command is applied
}

// Code is the outcome of a command.
type Code uint8

// The outcomes of a command.
const (
	OK         Code = iota + 1
	UnknownJob      // no such job
	Invalid         // the command has no effect
)

// Result is the outcome of a command and, for a batch, of each of its commands.
type Result struct {
	Code  Code   `cbor:"1,keyasint,omitempty"`
	Batch []Code `cbor:"2,keyasint,omitempty"` // one code for each command of a batch
}
