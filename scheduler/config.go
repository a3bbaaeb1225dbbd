// Package scheduler assigns runs of tasks to workers. It acts on the leader of the jobs group, the
// group of instances that replicate the state of the jobs. It answers the calls of callers, workers
// and operators and evaluates the run reports of workers. It orders workers to start and stop runs,
// and the provider to move and maintain machines. State that must survive a failover is committed to
// the replicated log of the jobs group before the scheduler acts on it.
package scheduler

import (
	"time"

	"laburnumwind/locator"
	"laburnumwind/registrar"
)

// Config holds the settings of a scheduler.
type Config struct {
	MaxLease              time.Duration                                    // maximum lease that workers grant
	ShortLease            time.Duration                                    // lease that is granted while there are at most maxShortLeaseWorkers workers; zero: MaxLease
	StopTimeout           time.Duration                                    // maximum time that a stopped run takes to end
	GrowthFactor          float64                                          // machines are ordered for this multiple of the demand growth that is expected while a machine moves; zero: growth is ignored
	MinSpeedRatio         float64                                          // a worker is ejected as slow if the ratio of its speed to the expected speed is lower; zero: no worker is
	LateWorkKeepsMachines bool                                             // machines needed only by late jobs, which can no longer meet their objective, are not moved to other pools; set only in the test that measures the effect
	ReleasesUnknownPools  bool                                             // machines of a pool are released although its demand is unknown; set only in the test that measures the effect
	MaintenanceDuration   time.Duration                                    // duration of the maintenance of a machine
	MoveDuration          time.Duration                                    // duration of a machine's move to another pool
	RemoteRunTimeFactor   float64                                          // factor by which a task takes longer on a rack that is not the one of its data or of its group; at most one: no task waits for a rack
	DecideRack            func(locator.Choice, time.Time) locator.Decision // decides whether a task waits for a rack; nil: locator.Choice.Decide; set only in the test that compares policies
	DecodeConfig          func(raw []byte) (registrar.Config, error)       // decodes the document of a configuration; nil: an older revision is kept
	MachineOrderTimeout   time.Duration                                    // time after which a machine order of an earlier leader has expired; until then a new leader sends no order for the machine
}

// GrowthFactor is the recommended value of Config.GrowthFactor. It is above one because rising demand
// keeps rising while machines move.
const GrowthFactor = 1.4

// MinSpeedRatio is the recommended value of Config.MinSpeedRatio. It is well below one because the
// run times of the tasks of one queue differ by a factor of two on healthy workers.
const MinSpeedRatio = 0.35

// Intervals, timeouts and thresholds of the scheduler. A hold is the long poll that renews
// the lease of a worker and requests a report of its runs.
const (
	tickInterval       = 50 * time.Millisecond  // between two checks of the workers and their runs
	fleetInterval      = 100 * time.Millisecond // between two checks of the fleet; a machine move takes ten times as long
	progressInterval   = 500 * time.Millisecond // between two signs of progress of the leader
	minPassInterval    = 10 * time.Millisecond  // minimum time between two placement passes without active jobs, so that one pass handles several changes
	passIntervalPerJob = 80 * time.Microsecond  // added to minPassInterval for each active job: about eight times the CPU time that a pass takes for one job on a small machine, so that passes leave CPU time for other work
	maxPassInterval    = 100 * time.Millisecond // upper bound of the minimum time between two placement passes, however many jobs are active

	batchInterval = 15 * time.Millisecond // minimum time between two proposals, about that of two disk syncs; commands in between are batched

	holdWaitBusy     = time.Second             // maximum wait of a hold at a worker with runs
	holdWaitStarting = 250 * time.Millisecond  // maximum wait of a hold while a long-running task starts: until it is reported as ready it counts as unavailable, which delays evictions
	holdWaitIdle     = 2 * time.Second         // maximum wait of a hold at an idle worker, the longest that the platform allows
	holdGrace        = 200 * time.Millisecond  // added to the wait of a hold; a worker whose hold is still unanswered then gets no starts
	holdRetryDelay   = 150 * time.Millisecond  // retry delay after an unanswered hold, multiplied by the number of failed calls
	maxHoldBackoff   = 6                       // maximum multiplier of holdRetryDelay
	staleAfter       = 2500 * time.Millisecond // a worker without an answered hold for this time counts as unresponsive; its runs are ended only if it sent no heartbeat either and its lease has expired

	holdTimeout  = time.Second     // added to the wait of a hold and holdGrace; a hold that is still unanswered then is abandoned
	orderTimeout = 2 * time.Second // an order is abandoned after this time without an answer or a reported failure: the instance that sent it is gone

	minWorkersToDelegate   = 100 // minimum number of workers for a leader to delegate the calls to workers
	minInstancesToDelegate = 2   // minimum number of other instances for a leader to delegate the calls to workers

	startRetryDelay    = 100 * time.Millisecond // minimum time before an unconfirmed start order is sent again
	stopRetryDelay     = 300 * time.Millisecond // minimum time before an unconfirmed stop order is sent again
	unsentStartTimeout = 700 * time.Millisecond // a run on an unreachable worker is ended this long after its last start order, if none of its start orders can have reached the worker

	removeWorkerAfter = 20 * time.Second // an unresponsive worker without runs is removed after this time

	resourceRejectionPause = 150 * time.Millisecond // no starts for this time after a worker rejected one for lack of resources or as malformed
	unhealthyPause         = time.Second            // no starts for this time after a worker reported itself unhealthy or another worker answered at its address

	clockDriftFactor = 1.021                  // factor by which a lease may last longer on a worker whose clock runs 2 % slow
	leaseMargin      = 100 * time.Millisecond // added to the remaining time of a lease before it counts as expired
)
