// Package scheduler decides which run of which task goes to which worker, on the node that leads
// the jobs group. It takes callers' and workers' calls, and what workers list, and orders starts,
// stops and upkeep. What must survive it proposes to the jobs group first.
package scheduler

import "time"

// Config describes a scheduler.
type Config struct {
	MaxLease     time.Duration // longest lease that workers grant
	Stop         time.Duration // longest time that a stopped run takes to end
	GrowthShare  float64       // of the queue's growth while machines move, for which machines are ordered; zero: none
	SlowSpeed    float64       // of the usual speed, below which a worker is set aside; zero: none is
	LateHolds    bool          // for comparison: machines that only late work uses are not claimed
	Upkeep       time.Duration // how long a machine's upkeep takes
	Move         time.Duration // how long a machine's move to another pool takes
	MachineLease time.Duration // a new leader orders no machine for so long, in which its predecessor's orders end
}

// GrowthShare is the usual share. It is above one since a demand that climbs goes on to climb while machines move.
const GrowthShare = 1.4

// SlowSpeed is the usual bound: task lengths of one queue differ by a factor of two by themselves.
const SlowSpeed = 0.35

// Intervals of the scheduler's own work.
const (
	tickEvery  = 50 * time.Millisecond
	fleetEvery = 100 * time.Millisecond // a machine takes ten times as long to move
	passLeast  = 10 * time.Millisecond  // least time between two placements, so that news come together
	passForJob = 80 * time.Microsecond  // about eight times what one job costs a placement on a small machine
	passMost   = 100 * time.Millisecond // a placement waits no longer

	batchEvery = 15 * time.Millisecond // least time between two proposals, about two syncs of a disk

	holdBusy    = time.Second             // longest wait of a hold at a worker with runs
	startLook   = 250 * time.Millisecond  // longest wait of a hold while a lasting task starts: others wait for it to be at work
	holdIdle    = 2 * time.Second         // the platform's bound on the wait of a hold
	holdOverdue = 200 * time.Millisecond  // beyond its wait, after which a hold's worker gets no start
	holdRetry   = 150 * time.Millisecond  // after a hold without answer, times the misses
	holdRetries = 6                       // misses that lengthen the pause
	staleAfter  = 2500 * time.Millisecond // without an answered hold for so long a worker gets no start

	holdLost  = time.Second     // beyond that, after which nobody answers it any more
	orderLost = 2 * time.Second // without even a failed call reported

	delegateFrom = 100 // workers from which a leader leaves calls to other instances
	delegateTo   = 2   // other instances that it needs for that

	startRetry = 100 * time.Millisecond // after a start without answer
	stopRetry  = 300 * time.Millisecond
	settleIdle = 700 * time.Millisecond // an order that surely was not sent is given up after this

	forgetAfter = 20 * time.Second // a silent worker without runs

	roomPause      = 150 * time.Millisecond // after a worker rejected a start for want of room
	unhealthyPause = time.Second

	clockSlack = 1.021 // by which a span is longer on a clock that is 2 % slow
	leaseSlack = 100 * time.Millisecond
)
