package keeper

import "time"

// Kind is the kind of a command.
type Kind int

// The kinds of command.
const (
	Apply           Kind = iota + 1 // replaces the declarations
	Register                        // adds an instance, or records a new incarnation of it
	Drain                           // starts the drain of an instance if the budgets allow it
	Advance                         // moves a drained instance to maintenance or to its target pool
	MarkLost                        // records that an instance stopped announcing itself
	Return                          // restores a lost instance that announces itself again under the same incarnation
	Quarantine                      // takes an instance out of service until it is released
	Release                         // ends a quarantine
	StartWave                       // starts a rolling maintenance
	StopWave                        // stops the rolling maintenance early
	FailMaintenance                 // records that an instance did not return from its maintenance in time
)

// String returns the name of the kind in lower camel case.
func (k Kind) String() string {
	names := [...]string{
		"none", "apply", "register", "drain", "advance", "markLost", "return", "quarantine",
		"release", "startWave", "stopWave", "failWave",
	}
	if k < 0 || int(k) >= len(names) {
		return names[0]
	}
	return names[k]
}

// Command is one entry of the declarations log.
type Command struct {
	Kind         Kind
	Proposer     string       // with ChangeID, the idempotency key of the command
	ChangeID     string       // empty if repeats of the command need no detection
	Declarations Declarations // for Apply
	Revision     uint64       // for Apply: the expected current revision
	Instance     Instance     // for Register; the other commands on an instance use only its name and epoch
	Target       string       // for Drain: the pool to move to, or empty for maintenance
	MaxFailed    int          // for StartWave: the wave stops when more instances than this have failed
	Wave         uint64       // for StopWave: ID of the wave
}

// Code is the outcome of a command.
type Code int

// The outcomes of a command.
const (
	Accepted       Code = iota + 1
	Conflict            // the revision, epoch, incarnation or state is not the expected one
	Invalid             // the command is malformed, its declarations are inconsistent, or its change ID was used for another change
	BudgetExceeded      // a disruption budget does not allow the drain now
	NotFound            // the instance does not exist
)

// String returns the name of the code in lower camel case.
func (c Code) String() string {
	names := [...]string{"none", "accepted", "conflict", "invalid", "budgetExceeded", "notFound"}
	if c < 0 || int(c) >= len(names) {
		return names[0]
	}
	return names[c]
}

// Result is the outcome of a command, with the revision and epoch that the next command
// must expect.
type Result struct {
	Code     Code
	Revision uint64 // current revision of the declarations
	Epoch    uint64 // current epoch of the instance, if the command was accepted or named a wrong epoch; otherwise zero
	Reason   string // why the command was refused; empty if it was accepted
}

// ChangeResult is the result of a command with a change ID, kept to answer repeats.
type ChangeResult struct {
	Change string    // proposer and change ID, separated by a zero byte
	At     time.Time // timestamp of the command
	Digest string    // hash of the command, to detect a change ID reused for another change
	Result Result
}
