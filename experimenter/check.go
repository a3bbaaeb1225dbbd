package experimenter

import (
	"time"

	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// answerGrace is how long after its deadline a request may be without an answer.
const answerGrace = 5 * time.Second

// Check adds to Broken what the history shows that must not be.
func (w *World) Check() {
	w.checkStarts()
	w.checkCalls()
	w.checkChanges()
}

// checkStarts: a keyed request that is not idempotent starts at most once, and
// an endpoint serves one pool under one epoch and never goes back to an earlier one.
func (w *World) checkStarts() {
	byKey := make(map[customerKey]Start)
	pools := make(map[Start]string)
	epochs := make(map[string]uint64)
	for _, s := range w.Starts {
		key := customerKey{s.Customer, s.Key} // two customers may use the same key
		first, ok := byKey[key]
		if s.Key != "" && s.Once && ok {
			w.breaks("key %s started on %s as %s and on %s as %s", s.Key, first.Worker, first.Attempt, s.Worker, s.Attempt)
		}
		byKey[key] = s
		place := Start{Worker: s.Worker, Epoch: s.Epoch}
		pool, ok := pools[place]
		if ok && pool != s.Pool {
			w.breaks("%s served pools %s and %s under epoch %d", s.Worker, pool, s.Pool, s.Epoch)
		}
		pools[place] = s.Pool
		if s.Epoch < epochs[s.Worker] {
			w.breaks("%s started work of epoch %d after epoch %d", s.Worker, s.Epoch, epochs[s.Worker])
		}
		epochs[s.Worker] = s.Epoch
	}
}

type customerKey struct{ customer, key string }

type callName struct {
	run string
	id  uint64
}

// checkCalls: a refused request did not run, an idempotent one aside that ran
// before it was refused a retry is not called refused; every request has an answer.
func (w *World) checkCalls() {
	started := make(map[callName]Start)
	for _, s := range w.Starts {
		started[callName{s.Entry, s.Request}] = s
	}
	for _, c := range w.Calls {
		s, ran := started[callName{c.EntryRun, c.ID}]
		if c.Answered && c.Answer.Outcome == messenger.Refused && ran {
			w.breaks("request %d of %s was refused (%s) and started on %s", c.ID, c.EntryRun, c.Answer.Reason, s.Worker)
		}
		due := c.SentAt.Add(c.Wait + answerGrace)
		if !c.Answered && !c.Gone && w.Now().After(due) {
			w.breaks("request %d of %s has no answer", c.ID, c.EntryRun)
		}
	}
}

// checkChanges: each revision was accepted once, an accepted change is in force
// everywhere in the end, and a change has one outcome however often it was sent.
func (w *World) checkChanges() {
	accepted := make(map[uint64]string)
	outcomes := make(map[string]keeper.Result)
	highest := uint64(0)
	for _, c := range w.Changes {
		if !c.Done {
			continue
		}
		first, ok := outcomes[c.ID]
		if ok && first != c.Result {
			w.breaks("change %s came to %+v and to %+v", c.ID, first, c.Result)
		}
		outcomes[c.ID] = c.Result
		if c.Result.Code != keeper.Accepted {
			continue
		}
		other, ok := accepted[c.Result.Revision]
		if ok && other != c.ID {
			w.breaks("changes %s and %s were both accepted as revision %d", other, c.ID, c.Result.Revision)
		}
		accepted[c.Result.Revision] = c.ID
		highest = max(highest, c.Result.Revision)
	}
	for _, e := range w.entries {
		if e.Alive() && e.view.State.Revision() < highest {
			w.breaks("%s holds revision %d, revision %d was accepted", e.Name, e.view.State.Revision(), highest)
		}
	}
}

// Fleet returns the endpoints of today's size: racks of four, three zones.
func Fleet(count, slots int, zones []string) []WorkerConfig {
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
