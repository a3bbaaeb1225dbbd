package registrar

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// ErrInvalid is wrapped by the errors of the Validate methods.
var ErrInvalid = eris.New("invalid")

// Limits of a valid command. They are far above the sizes of real fleets, and low enough that sums and products
// of valid values do not overflow.
const (
	maxNameBytes   = 1024    // of an ID, a name, a label or an address
	maxPayload     = 1 << 20 // bytes of the payload of a job
	maxSteps       = 256     // of a job
	maxTasks       = 4096    // in all steps of a job together
	maxOccurrences = 10_000  // of a job
	maxListEntries = 100_000 // labels, queues, pools or machines
	maxAmount      = 1 << 30 // thousandths of a core, MiB of memory or accelerators: a million cores, a pebibyte
	maxUnixMilli   = 1 << 50 // a time in Unix milliseconds: the year 37648
	maxDuration    = 365 * 24 * time.Hour
)

// Validate returns an error if applying or running the job could fail or overflow.
func (j Job) Validate() error {
	switch {
	case j.ID == "" || len(j.ID) > maxNameBytes:
		return fmt.Errorf("job has an ID of %d bytes: %w", len(j.ID), ErrInvalid)
	case len(j.Payload) > maxPayload:
		return fmt.Errorf("job has a payload of %d bytes: %w", len(j.Payload), ErrInvalid)
	case j.OccurrenceCount < 0 || j.OccurrenceCount > maxOccurrences:
		return fmt.Errorf("job has %d occurrences: %w", j.OccurrenceCount, ErrInvalid)
	case j.FirstDue < 0 || j.FirstDue > maxUnixMilli:
		return fmt.Errorf("job is first due at %d ms: %w", j.FirstDue, ErrInvalid)
	case j.Interval < 0 || j.Interval > maxDuration.Milliseconds():
		return fmt.Errorf("job has an interval of %d ms: %w", j.Interval, ErrInvalid)
	}
	for i, s := range j.Steps {
		err := s.validate()
		if err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return j.validateShape()
}

// validateShape checks the number of steps and tasks and the dependencies of the steps, on which the indexes of all
// other code rest. State.Apply requires it.
func (j Job) validateShape() error {
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return fmt.Errorf("job has %d steps: %w", len(j.Steps), ErrInvalid)
	}
	tasks := 0
	for i, s := range j.Steps {
		if s.Count < 1 || s.Count > maxTasks {
			return fmt.Errorf("step %d has %d tasks: %w", i, s.Count, ErrInvalid)
		}
		tasks += s.Count
		for _, dependency := range s.After {
			if dependency < 0 || dependency >= i {
				return fmt.Errorf("step %d depends on step %d: %w", i, dependency, ErrInvalid)
			}
		}
	}
	if tasks > maxTasks {
		return fmt.Errorf("job has %d tasks: %w", tasks, ErrInvalid)
	}
	return nil
}

func (s Step) validate() error {
	switch {
	case s.MaxPerWorker < 0 || s.MaxUnavailable < 0:
		return fmt.Errorf("negative limit: %w", ErrInvalid)
	case s.Estimate < 0 || s.Estimate > maxDuration || s.LatencyTarget < 0 || s.LatencyTarget > maxDuration:
		return fmt.Errorf("estimate %v or latency target %v: %w", s.Estimate, s.LatencyTarget, ErrInvalid)
	case max(len(s.Requires), len(s.DataRack), len(s.Image)) > maxNameBytes:
		return fmt.Errorf("label, rack or image of more than %d bytes: %w", maxNameBytes, ErrInvalid)
	}
	return Resources{CPU: s.CPU, Memory: s.Memory, GPU: s.GPU}.Validate()
}

// Validate returns an error if an amount is negative or so large that sums could overflow.
func (r Resources) Validate() error {
	for _, n := range []int{r.CPU, r.Memory, r.GPU} {
		if n < 0 || n > maxAmount {
			return fmt.Errorf("resource amount %d: %w", n, ErrInvalid)
		}
	}
	return nil
}

// Validate returns an error if the worker cannot be named in a call or if its values could overflow. Whether its
// address can be called is for the package that calls it to say.
func (w Worker) Validate() error {
	err := ValidateWorkerID(w.ID)
	if err != nil {
		return fmt.Errorf("validate worker: %w", err)
	}
	switch {
	case w.Address == "" || !isHeaderValue(w.Address):
		return fmt.Errorf("worker address %.40q: %w", w.Address, ErrInvalid)
	case w.Incarnation < 0 || w.Incarnation > maxUnixMilli:
		return fmt.Errorf("worker incarnation %d: %w", w.Incarnation, ErrInvalid)
	case max(len(w.Pool), len(w.Zone)) > maxNameBytes || len(w.Labels) > maxListEntries:
		return fmt.Errorf("worker pool, zone or labels are too long: %w", ErrInvalid)
	}
	for _, label := range w.Labels {
		if len(label) > maxNameBytes {
			return fmt.Errorf("worker label of %d bytes: %w", len(label), ErrInvalid)
		}
	}
	return w.Capacity.Validate()
}

// ValidateWorkerID returns an error unless the ID can be sent in a header, as it is in calls to the worker.
func ValidateWorkerID(id string) error {
	if id == "" || !isHeaderValue(id) {
		return fmt.Errorf("worker ID %.40q cannot be sent in a header: %w", id, ErrInvalid)
	}
	return nil
}

// isHeaderValue reports whether text can be sent as an HTTP header value.
func isHeaderValue(text string) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return len(text) <= maxNameBytes
}

// Validate returns an error if a limit of a queue or a team is out of range, or if two teams have the same name or share a key.
func (c Config) Validate() error {
	if len(c.Queues) > maxListEntries || len(c.Pools) > maxListEntries {
		return fmt.Errorf("configuration has %d queues and %d pools: %w", len(c.Queues), len(c.Pools), ErrInvalid)
	}
	for _, q := range c.Queues {
		switch {
		case q.Attempts < 0 || q.Attempts > maxAmount:
			return fmt.Errorf("queue %.40q has %d attempts: %w", q.Name, q.Attempts, ErrInvalid)
		case q.Priority < 0 || q.Priority > maxAmount:
			return fmt.Errorf("queue %.40q has priority %d: %w", q.Name, q.Priority, ErrInvalid)
		case q.Stretch < 0 || q.Stretch > maxAmount:
			return fmt.Errorf("queue %.40q has stretch %g: %w", q.Name, q.Stretch, ErrInvalid)
		case min(q.Objective, q.AdviceDecisionTime, q.AdviceTimePerWorker, q.TicketValidity) < 0,
			max(q.Objective, q.AdviceDecisionTime, q.AdviceTimePerWorker, q.TicketValidity) > maxDuration:
			return fmt.Errorf("queue %.40q has a duration out of range: %w", q.Name, ErrInvalid)
		}
	}
	return c.validateTeams()
}

// Validate returns an error if the wave has no machines or a limit out of range.
func (w Wave) Validate() error {
	switch {
	case w.ID <= 0 || len(w.Machines) == 0 || len(w.Machines) > maxListEntries:
		return fmt.Errorf("wave %d of %d machines: %w", w.ID, len(w.Machines), ErrInvalid)
	case w.MaxDown < 1:
		return fmt.Errorf("wave %d allows %d machines down: %w", w.ID, w.MaxDown, ErrInvalid)
	case w.FinishBy < 0 || time.Duration(w.FinishBy) > maxDuration:
		return fmt.Errorf("wave %d has a deadline of %v: %w", w.ID, time.Duration(w.FinishBy), ErrInvalid)
	}
	for _, m := range w.Machines {
		if m == "" || len(m) > maxNameBytes {
			return fmt.Errorf("wave %d has a machine name of %d bytes: %w", w.ID, len(m), ErrInvalid)
		}
	}
	return nil
}
