package registrar

// TaskName identifies a task by its job, the occurrence of the job, the step and the
// index of the task within the step.
type TaskName struct {
	Job   string `cbor:"1,keyasint,omitempty"`
	K     int    `cbor:"2,keyasint,omitempty"`
	Step  int    `cbor:"3,keyasint,omitempty"`
	Index int    `cbor:"4,keyasint,omitempty"`
}

// Start assigns a run of a task to a worker. It is committed before the worker gets the order.
type Start struct {
	Task   TaskName `cbor:"1,keyasint,omitempty"`
	Run    int      `cbor:"2,keyasint,omitempty"`
	Worker string   `cbor:"3,keyasint,omitempty"`
	Life   int64    `cbor:"4,keyasint,omitempty"`
	Term   uint64   `cbor:"5,keyasint,omitempty"`
	Saved  string   `cbor:"6,keyasint,omitempty"` // checkpoint reported after the last run had ended; empty: none
}

// How is the reason why a run ended.
type How uint8

// The reasons why a run ends. EndDone completes the task unless it is long-running, and
// EndFailed counts as a failed attempt; after the others the task only waits for its next run.
const (
	EndDone    How = iota + 1
	EndFailed      // counts as a failed attempt
	EndStopped     // stopped on an order of the leader
	EndLapsed      // the worker's lease expired
	EndBroken      // another member of the gang ended
	EndAlone       // the gang was not complete in time
	EndLost        // the run never started, or its worker is gone
)

// String returns the reason as one word.
func (h How) String() string {
	return [...]string{"none", "done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}[h]
}

// End records that a run ended.
type End struct {
	Task  TaskName `cbor:"1,keyasint,omitempty"`
	Run   int      `cbor:"2,keyasint,omitempty"`
	How   How      `cbor:"3,keyasint,omitempty"`
	Saved string   `cbor:"4,keyasint,omitempty"`
}

// Command is a change of the state. Apply carries out a batch first, then the other parts
// in the order of the fields.
type Command struct {
	Config  *Config   `cbor:"1,keyasint,omitempty"`
	Submit  *Job      `cbor:"2,keyasint,omitempty"`
	Cancel  string    `cbor:"3,keyasint,omitempty"` // id of a job
	Starts  []Start   `cbor:"4,keyasint,omitempty"`
	Ends    []End     `cbor:"5,keyasint,omitempty"`
	Workers []Worker  `cbor:"6,keyasint,omitempty"` // new or changed
	Gone    []string  `cbor:"7,keyasint,omitempty"` // ids of workers to remove
	Wave    *Wave     `cbor:"8,keyasint,omitempty"`
	Upkeep  []Upkeep  `cbor:"9,keyasint,omitempty"`
	Batch   []Command `cbor:"11,keyasint,omitempty"` // applied in order; a command with a batch has no other parts
	Ordered []string  `cbor:"10,keyasint,omitempty"` // machines for which an order is about to go to the provider
}

// Code is the outcome of a command.
type Code uint8

// The outcomes of a command.
const (
	OK      Code = iota + 1
	Unknown      // no such job
	Invalid
)

// Result is the outcome of a command and, for a batch, of each of its commands.
type Result struct {
	Code  Code   `cbor:"1,keyasint,omitempty"`
	Batch []Code `cbor:"2,keyasint,omitempty"` // one code for each command of a batch
}
