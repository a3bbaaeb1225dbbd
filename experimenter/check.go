package experimenter

import (
	"time"

	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// answerGrace bounds the time from the deadline of a request to its answer. A request
// without an answer by then is a violation.
const answerGrace = 5 * time.Second

// Check verifies the invariants over the recorded history and appends every
// violation to Violations.
func (cl *Cluster) Check() {
	cl.checkStarts()
	cl.checkCalls()
	cl.checkChanges()
}

// checkStarts verifies that a keyed request that is not idempotent starts at most
// once, that an endpoint serves one pool in an epoch, and that the epochs of the work
// that an endpoint starts never decrease.
func (cl *Cluster) checkStarts() {
	byKey := make(map[customerKey]Start)
	pools := make(map[Start]string)
	epochs := make(map[string]uint64)
	for _, s := range cl.Starts {
		key := customerKey{s.Customer, s.Key} // keys are scoped to the customer
		previous, ok := byKey[key]
		if s.Key != "" && s.AtMostOnce && ok {
			cl.reportViolation("key %s started on %s as attempt %s and on %s as attempt %s", s.Key, previous.Worker, previous.Attempt, s.Worker, s.Attempt)
		}
		byKey[key] = s
		assignment := Start{Worker: s.Worker, Epoch: s.Epoch}
		pool, ok := pools[assignment]
		if ok && pool != s.Pool {
			cl.reportViolation("%s served pools %s and %s in epoch %d", s.Worker, pool, s.Pool, s.Epoch)
		}
		pools[assignment] = s.Pool
		if s.Epoch < epochs[s.Worker] {
			cl.reportViolation("%s started work of epoch %d after epoch %d", s.Worker, s.Epoch, epochs[s.Worker])
		}
		epochs[s.Worker] = s.Epoch
	}
}

type customerKey struct{ customer, key string }

// requestID identifies a request across all entry instances and their runs.
type requestID struct {
	entryRun string
	id       uint64
}

// checkCalls verifies that a refused request never started, and that every request is
// answered unless its caller disconnected. The first rule includes idempotent requests:
// once an attempt has started, a refused retry must not make the outcome refused.
func (cl *Cluster) checkCalls() {
	started := make(map[requestID]Start)
	for _, s := range cl.Starts {
		started[requestID{s.EntryRun, s.Request}] = s
	}
	for _, c := range cl.Calls {
		s, ran := started[requestID{c.EntryRun, c.ID}]
		if c.Answered && c.Answer.Outcome == messenger.Refused && ran {
			cl.reportViolation("request %d of %s was refused (%s) and started on %s", c.ID, c.EntryRun, c.Answer.Reason, s.Worker)
		}
		due := c.SentAt.Add(c.Timeout + answerGrace)
		if !c.Answered && !c.Disconnected && cl.Now().After(due) {
			cl.reportViolation("request %d of %s was not answered", c.ID, c.EntryRun)
		}
	}
}

// checkChanges verifies that no two changes were accepted as the same revision, that
// every running entry instance has reached the highest accepted revision, and that a
// change has the same result each time it is sent.
func (cl *Cluster) checkChanges() {
	accepted := make(map[uint64]string)
	outcomes := make(map[string]keeper.Result)
	highest := uint64(0)
	for _, c := range cl.Changes {
		if !c.Done {
			continue
		}
		previous, ok := outcomes[c.ID]
		if ok && previous != c.Result {
			cl.reportViolation("change %s has the results %+v and %+v", c.ID, previous, c.Result)
		}
		outcomes[c.ID] = c.Result
		if c.Result.Code != keeper.Accepted {
			continue
		}
		other, ok := accepted[c.Result.Revision]
		if ok && other != c.ID {
			cl.reportViolation("changes %s and %s were both accepted as revision %d", other, c.ID, c.Result.Revision)
		}
		accepted[c.Result.Revision] = c.ID
		highest = max(highest, c.Result.Revision)
	}
	for _, e := range cl.entries {
		if e.Alive() && e.view.State.Revision() < highest {
			cl.reportViolation("%s is at revision %d, but revision %d was accepted", e.Name, e.view.State.Revision(), highest)
		}
	}
}

// NewWorkerConfigs returns the configurations of count endpoints in racks of up to four. All
// zones have the same number of endpoints, except that the last ones have fewer if count
// is not a multiple of the number of zones.
func NewWorkerConfigs(count, slots int, zones []string) []WorkerConfig {
	const rackSize = 4
	var out []WorkerConfig
	perZone := (count + len(zones) - 1) / len(zones)
	for n := range count {
		zone := zones[n/perZone]
		out = append(out, WorkerConfig{
			Name:  "w" + string(rune('a'+n/26)) + string(rune('a'+n%26)),
			Zone:  zone,
			Rack:  zone + string(rune('0'+n%perZone/rackSize)),
			Slots: slots,
		})
	}
	return out
}
