package keeper

import "time"

// Kind tells what a command asks for.
type Kind int

// The kinds of command.
const (
	Apply      Kind = iota + 1 // replaces the declarations
	Register                   // an instance announced itself under a new incarnation
	Drain                      // takes an instance out of service if the budgets allow it
	Advance                    // moves a drained instance on: to maintenance or to its target pool
	MarkLost                   // an instance fell silent
	Return                     // a lost instance of the same incarnation was heard again
	Quarantine                 // puts an instance aside
	Release                    // ends a quarantine
	StartWave                  // begins a maintenance of all instances
	StopWave                   // ends it early
	FailWave                   // an instance did not come back from its maintenance
)

// String is the name of the kind in lower camel case.
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
	Proposer     string // with ChangeID the name of the change: a repeat gets the first result
	ChangeID     string
	Declarations Declarations // of Apply
	Revision     uint64       // the revision that Apply expects
	Instance     Instance     // of Register, or the name and epoch that the others speak of
	Target       string       // of Drain: a pool, or empty for maintenance
	MaxFailed    int          // of StartWave
	Wave         uint64       // of StopWave and FailWave
}

// Code is the outcome of a command.
type Code int

// The outcomes of a command.
const (
	Accepted       Code = iota + 1
	Conflict            // the expected revision or epoch is not the present one
	Invalid             // the command makes no sense
	BudgetExceeded      // an availability budget forbids it now
	NotFound            // the thing that it names is not there
)

// String is the name of the code in lower camel case.
func (c Code) String() string {
	names := [...]string{"none", "accepted", "conflict", "invalid", "budgetExceeded", "notFound"}
	if c < 0 || int(c) >= len(names) {
		return names[0]
	}
	return names[c]
}

// Result is what a command came to.
type Result struct {
	Code     Code
	Revision uint64 // the present revision of the declarations
	Epoch    uint64 // the epoch of the instance that the command spoke of
	Reason   string
}

// Remembered is the first result of a change, kept for repeats.
type Remembered struct {
	Change string // proposer and change ID
	At     time.Time
	Digest string // of an apply, so that a reused change ID with other content is found
	Result Result
}
