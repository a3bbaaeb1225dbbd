package locator

import "time"

const (
	// turnover is added to the expected wait: the time from the end of a run until the next one may take its place,
	// which includes its report, a commit and the next placement pass.
	turnover = 60 * time.Millisecond
	// pessimism multiplies the expected wait where a start elsewhere is in time and a wait may not be. Run times differ
	// by a factor of about two within one queue.
	pessimism = 2
)

// Choice is the choice between a wait for a place in a rack and a start elsewhere now.
type Choice struct {
	Wait      time.Duration // expected until the rack has room
	WaitKnown bool
	RunTime   time.Duration // in the rack
	Factor    float64       // factor by which the run time is longer elsewhere
	Left      time.Duration // time until the step has to be done for its job to meet its objective
	Waited    time.Duration // time for which the step has waited for the rack already
}

// Decision is the outcome of a choice.
type Decision struct {
	Waits bool
	Until time.Time     // the latest end of the wait
	Cost  time.Duration // time lost by a start elsewhere
}

// Decide returns whether to wait. A wait has to be shorter than the time that a start elsewhere loses, and it ends once
// it has taken that long, whatever the forecasts say by then: it then costs at most twice that time. If a start
// elsewhere is in time, the wait must be in time even if it takes longer than expected. If neither is in time, the
// earlier completion is chosen.
func (c Choice) Decide(now time.Time) Decision {
	cost := time.Duration((c.Factor - 1) * float64(c.RunTime))
	d := Decision{Until: now.Add(cost - c.Waited), Cost: cost}
	if !c.WaitKnown || c.Waited >= cost || c.Wait+turnover >= cost {
		return d
	}
	isElsewhereInTime := c.RunTime+cost <= c.Left
	d.Waits = !isElsewhereInTime || pessimism*c.Wait+turnover+c.RunTime <= c.Left
	return d
}
