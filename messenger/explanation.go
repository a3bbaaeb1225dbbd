package messenger

import (
	"time"

	"laburnumwind/registrar"
)

// The verdicts on a submission in an Explanation.
const (
	VerdictAccepted       = "accepted"
	VerdictKnown          = "known"          // a job with the ID is accepted already
	VerdictNotAdmitted    = "notAdmitted"    // no queue has the route, or the key is not admitted
	VerdictInvalid        = "invalid"        // the job failed validation
	VerdictOverLimit      = "overLimit"      // a task alone exceeds the limit of its team
	VerdictCannotRun      = "cannotRun"      // no machine is large enough, or none has the label
	VerdictRefusedForLoad = "refusedForLoad" // the pool cannot serve the job in time
)

// Explanation describes what the leader would do with a job if it were submitted now.
type Explanation struct {
	Verdict  string            `cbor:"1,keyasint,omitempty" json:"verdict"`
	Reason   string            `cbor:"2,keyasint,omitempty" json:"reason,omitempty"` // why it would be refused
	Queue    string            `cbor:"3,keyasint,omitempty" json:"queue,omitempty"`
	Pool     string            `cbor:"4,keyasint,omitempty" json:"pool,omitempty"`
	Priority int               `cbor:"5,keyasint,omitempty" json:"priority"`
	Team     *TeamStanding     `cbor:"6,keyasint,omitempty" json:"team,omitempty"` // nil: the job would belong to no team
	Load     *LoadEstimate     `cbor:"7,keyasint,omitempty" json:"load,omitempty"` // nil: the job is not judged by load
	Steps    []StepExplanation `cbor:"8,keyasint,omitempty" json:"steps,omitempty"`
	Term     uint64            `cbor:"9,keyasint,omitempty" json:"term"`
	Config   int64             `cbor:"10,keyasint,omitempty" json:"config"` // version of the configuration
}

// TeamStanding is the use, the limit and the share of a team.
type TeamStanding struct {
	Name     string              `cbor:"1,keyasint,omitempty" json:"name"`
	Weight   float64             `cbor:"2,keyasint,omitempty" json:"weight"`
	Used     registrar.Resources `cbor:"3,keyasint,omitempty" json:"used"`
	Limit    registrar.Resources `cbor:"4,keyasint,omitempty" json:"limit"`    // zero: none
	Ratio    float64             `cbor:"5,keyasint,omitempty" json:"ratio"`    // its use divided by its share; set if HasRatio
	HasRatio bool                `cbor:"6,keyasint,omitempty" json:"hasRatio"` // the placement pass was reached
}

// LoadEstimate is the expected wait of a job in its pool.
type LoadEstimate struct {
	Wait       time.Duration `cbor:"1,keyasint,omitempty" json:"waitNs"`
	Limit      time.Duration `cbor:"2,keyasint,omitempty" json:"limitNs"`   // beyond it the job is refused
	Allowed    time.Duration `cbor:"3,keyasint,omitempty" json:"allowedNs"` // time within which the job should complete
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty" json:"retryAfterNs,omitempty"`
}

// StepExplanation describes what would become of the tasks of one step in a placement pass now.
type StepExplanation struct {
	Step      int              `cbor:"1,keyasint,omitempty" json:"step"`
	Tasks     int              `cbor:"2,keyasint,omitempty" json:"tasks"`
	Starting  int              `cbor:"3,keyasint,omitempty" json:"starting"`
	Held      int              `cbor:"4,keyasint,omitempty" json:"held,omitempty"` // by the limit of the team
	RackWait  *RackWait        `cbor:"5,keyasint,omitempty" json:"rackWait,omitempty"`
	Starts    []WorkerStarts   `cbor:"6,keyasint,omitempty" json:"starts,omitempty"`
	Obstacles []WorkerObstacle `cbor:"7,keyasint,omitempty" json:"obstacles,omitempty"` // set if tasks wait; of the first workers of the pool by ID
	Counts    []ObstacleCount  `cbor:"8,keyasint,omitempty" json:"counts,omitempty"`    // over all workers of the pool
	Reason    string           `cbor:"9,keyasint,omitempty" json:"reason,omitempty"`    // why tasks wait, if the workers do not tell
}

// RackWait is the wait of tasks for places in a rack.
type RackWait struct {
	Rack  string        `cbor:"1,keyasint,omitempty" json:"rack"`
	Tasks int           `cbor:"2,keyasint,omitempty" json:"tasks"`
	Wait  time.Duration `cbor:"3,keyasint,omitempty" json:"waitNs"` // expected, of the last task
	Cost  time.Duration `cbor:"4,keyasint,omitempty" json:"costNs"` // time lost by a start elsewhere
}

// WorkerStarts is the number of tasks that would start on a worker.
type WorkerStarts struct {
	Worker string `cbor:"1,keyasint,omitempty" json:"worker"`
	Rack   string `cbor:"2,keyasint,omitempty" json:"rack,omitempty"`
	Tasks  int    `cbor:"3,keyasint,omitempty" json:"tasks"`
}

// WorkerObstacle is why a worker would take no further task of a step.
type WorkerObstacle struct {
	Worker string              `cbor:"1,keyasint,omitempty" json:"worker"`
	Reason string              `cbor:"2,keyasint,omitempty" json:"reason"`
	Free   registrar.Resources `cbor:"3,keyasint,omitempty" json:"free,omitzero"` // left by the placement; zero if the worker accepts no starts
}

// ObstacleCount is the number of workers with an obstacle.
type ObstacleCount struct {
	Reason  string `cbor:"1,keyasint,omitempty" json:"reason"`
	Workers int    `cbor:"2,keyasint,omitempty" json:"workers"`
}
