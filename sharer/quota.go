// Package sharer decides how teams share the capacity: whether a start fits the limit of its team, and which teams have
// used less than their share. Its functions are pure and its values immutable.
package sharer

import (
	"math"

	"laburnumwind/registrar"
)

// Quota is the limit of a team and what the team may have running. A limit of zero means that the kind of resource has
// no limit.
type Quota struct{ limit, used, longRunning registrar.Resources }

// NewQuota returns the quota of a team that may have used running.
func NewQuota(limit, used registrar.Resources) Quota { return Quota{limit: limit, used: used} }

// WithLongRunning returns the quota of a team whose long-running tasks use r. It is part of what is used.
func (q Quota) WithLongRunning(r registrar.Resources) Quota {
	q.longRunning = r
	return q
}

// WithStarts returns the quota after n starts of tasks with the given demand.
func (q Quota) WithStarts(n int, demand registrar.Resources) Quota {
	q.used = q.used.Add(demand.Times(n))
	return q
}

// kindQuota is the quota of one kind of resource.
type kindQuota struct{ limit, used, longRunning, needed int }

// kinds returns the quotas of the kinds of resources for a task with the given demand.
func (q Quota) kinds(demand registrar.Resources) [3]kindQuota {
	return [3]kindQuota{
		{q.limit.CPU, q.used.CPU, q.longRunning.CPU, demand.CPU},
		{q.limit.Memory, q.used.Memory, q.longRunning.Memory, demand.Memory},
		{q.limit.GPU, q.used.GPU, q.longRunning.GPU, demand.GPU},
	}
}

// Startable returns how many tasks with the given demand fit the limit, or math.MaxInt32 if there is no bound. Where more
// is used than the limit, nothing that needs the kind of resource fits.
func (q Quota) Startable(demand registrar.Resources) int {
	n := math.MaxInt32
	for _, k := range q.kinds(demand) {
		if k.binds() {
			n = min(n, max(k.limit-k.used, 0)/k.needed)
		}
	}
	return n
}

// Admits reports whether n tasks with the given demand may start together. Tasks that would never fit may exceed the
// limit by at most one task, while the team uses less than half of it. Otherwise tasks that were accepted under a higher
// limit would wait for ever.
func (q Quota) Admits(n int, demand registrar.Resources) bool {
	for _, k := range q.kinds(demand) {
		fits := k.used+n*k.needed <= k.limit
		mayExceed := k.neverFits(n) && k.used+(n-1)*k.needed <= k.limit && 2*k.used < k.limit
		if k.binds() && !fits && !mayExceed {
			return false
		}
	}
	return true
}

// NeverFits reports whether n tasks with the given demand together exceed what the long-running tasks of the team leave
// of its limit, so that the ends of its other tasks cannot make room for them.
func (q Quota) NeverFits(n int, demand registrar.Resources) bool {
	for _, k := range q.kinds(demand) {
		if k.binds() && k.neverFits(n) {
			return true
		}
	}
	return false
}

// binds reports whether the kind of resource has a limit and the task needs it.
func (k kindQuota) binds() bool { return k.limit > 0 && k.needed > 0 }

func (k kindQuota) neverFits(n int) bool { return k.longRunning+n*k.needed > k.limit }
