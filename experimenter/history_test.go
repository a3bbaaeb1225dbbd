package experimenter

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"laburnumwind/assembler"
	"laburnumwind/claimer"
	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// searchTimeout bounds the search for a linearization. A search that takes longer fails the
// test.
const searchTimeout = 30 * time.Second

// sentChange is a change of the declarations, which may have been sent several times. It is
// accepted only if the current revision is the expected one.
type sentChange struct{ expected uint64 }

// changeResult is the result of a change that its operator received.
type changeResult struct {
	known  bool // false if the operator received no result
	result keeper.Result
}

// stepChange returns the revisions that a change may lead to from a revision,
// given the result that its operator received.
func stepChange(revision uint64, in sentChange, out changeResult) []any {
	revisionMatches := in.expected == revision
	switch {
	case out.known && out.result.Code == keeper.Accepted:
		if !revisionMatches || out.result.Revision != revision+1 {
			return nil
		}
		return []any{revision + 1}
	case out.known && out.result.Code == keeper.Conflict:
		if revisionMatches || out.result.Revision != revision {
			return nil
		}
		return []any{revision}
	case out.known:
		return []any{revision}
	case revisionMatches:
		return []any{revision, revision + 1} // the change was lost, or it was accepted and its result was lost
	}
	return []any{revision}
}

// changeModel returns the sequential model of the declarations. Its state is the revision.
func changeModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{uint64(0)} },
		Step: func(state, in, out any) []any { return stepChange(state.(uint64), in.(sentChange), out.(changeResult)) },
	}
	return model.ToModel()
}

// checkChangeHistory searches for a linearization of the changes, and returns the number
// of changes and the result of the search. All sends of one change are one operation, from
// the first send to the first result; two different results of one change are illegal. A
// change without a known result is left out if another change is known to have created the
// revision that it would have created: it had no effect then, so it fits at any point of the
// history.
func (cl *Cluster) checkChangeHistory() (int, porcupine.CheckResult) {
	changes := make(map[string]porcupine.Operation)
	acceptedRevisions := make(map[uint64]bool)
	for _, c := range cl.Changes {
		if !c.ReplacesDeclarations {
			continue
		}
		op, found := changes[c.ID]
		if !found {
			op = porcupine.Operation{Input: sentChange{expected: c.Expected}, Output: changeResult{}, Call: c.SentAt.UnixNano(), Return: math.MaxInt64}
		}
		if c.Done {
			first := op.Output.(changeResult)
			if first.known && first.result != c.Result {
				return len(cl.Changes), porcupine.Illegal
			}
			op.Output = changeResult{known: true, result: c.Result}
			op.Return = min(op.Return, c.DoneAt.UnixNano())
			acceptedRevisions[c.Result.Revision] = acceptedRevisions[c.Result.Revision] || c.Result.Code == keeper.Accepted
		}
		changes[c.ID] = op
	}
	var history []porcupine.Operation
	for _, op := range changes {
		if op.Output.(changeResult).known || !acceptedRevisions[op.Input.(sentChange).expected+1] {
			history = append(history, op)
		}
	}
	return len(changes), porcupine.CheckOperationsTimeout(changeModel(), history, searchTimeout)
}

// keyedRequest is a request with an idempotency key.
type keyedRequest struct {
	key    customerKey
	digest string
}

// keyedResult is the answer to a keyed request that its caller received.
type keyedResult struct {
	complete bool // complete answer of an endpoint
	refused  bool // the request did not start and never will
	replayed bool // the stored answer of an earlier request
	answer   string
}

// keyState is the state of a key in the sequential model of the claims.
type keyState struct {
	ran    bool
	digest string // of the request that ran
	answer string // of the request that ran; empty if not known yet
}

// stepKey returns the states that a request may lead to from a state of its key,
// given the answer that its caller received.
func stepKey(s keyState, in keyedRequest, out keyedResult) []any {
	switch {
	case out.refused:
		return []any{s}
	case out.complete && !out.replayed:
		if s.ran {
			return nil // a second run
		}
		return []any{keyState{ran: true, digest: in.digest, answer: out.answer}}
	case out.complete:
		if !s.ran || s.digest != in.digest || s.answer != "" && s.answer != out.answer {
			return nil
		}
		return []any{keyState{ran: true, digest: in.digest, answer: out.answer}}
	}
	next := []any{s} // the request may not have run
	if !s.ran {
		next = append(next, keyState{ran: true, digest: in.digest})
	}
	return next
}

// keyModel returns the sequential model of the claims. Keys are independent of each other,
// so each key is searched on its own.
func keyModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			parts := make(map[customerKey][]porcupine.Operation)
			for _, op := range history {
				key := op.Input.(keyedRequest).key
				parts[key] = append(parts[key], op)
			}
			out := make([][]porcupine.Operation, 0, len(parts))
			for _, part := range parts {
				out = append(out, part)
			}
			return out
		},
		Init: func() []any { return []any{keyState{}} },
		Step: func(state, in, out any) []any { return stepKey(state.(keyState), in.(keyedRequest), out.(keyedResult)) },
	}
	return model.ToModel()
}

// keyedHistory returns the keyed requests as operations. A request without a complete answer
// or refusal has no end, because it may still start later.
func (cl *Cluster) keyedHistory() []porcupine.Operation {
	var out []porcupine.Operation
	for _, c := range cl.Calls {
		if c.Key == "" {
			continue
		}
		a := c.Answer
		answer := keyedResult{
			complete: c.Answered && (a.Outcome == messenger.Answered || a.Reason == messenger.ServerError),
			refused:  c.Answered && a.Outcome == messenger.Refused,
			replayed: a.Replayed,
			answer:   fmt.Sprintf("%d %s", a.Status, a.Body),
		}
		op := porcupine.Operation{
			Input:  keyedRequest{key: customerKey{c.Customer, c.Key}, digest: c.Body},
			Output: answer,
			Call:   c.SentAt.UnixNano(),
			Return: math.MaxInt64,
		}
		if answer.complete || answer.refused {
			op.Return = c.AnsweredAt.UnixNano()
		}
		out = append(out, op)
	}
	return out
}

// raceOperators changes the declarations concurrently at three entry instances. Each change
// expects the revision that its instance has. Some changes are sent twice.
func raceOperators(cl *Cluster) {
	for n := range 30 {
		for _, e := range cl.entries[:3] {
			id := fmt.Sprintf("change %d of %s", n, e.Name)
			revision := e.view.State.Revision()
			cl.Apply(e, testDeclarations(2+n%2), revision, id)
			if n%5 == 0 {
				cl.After(cl.randomDuration(time.Second), func() { cl.Apply(cl.randomEntry(), testDeclarations(2+n%2), revision, id) })
			}
		}
		cl.RunFor(cl.randomDuration(100 * time.Millisecond))
	}
}

// repeatKeys sends each key several times, concurrently and after its answer.
func repeatKeys(cl *Cluster) {
	for n := range 60 {
		spec := RequestSpec{Service: "build", Customer: "school", Key: fmt.Sprintf("key %d", n), Body: "b", RunTime: 50 * time.Millisecond}
		for range 4 {
			cl.After(cl.randomDuration(2*time.Second), func() { cl.Submit(cl.randomEntry(), spec) })
		}
		cl.RunFor(20 * time.Millisecond)
	}
	cl.RunFor(3 * time.Second)
}

// loseCommittedChange commits a change at the voters a1 and b1 while c1 is isolated, crashes
// both, and loses the disk of b1. Neither b1 nor c1 has the change then: if b1 could still
// vote, they would form a majority and elect a leader without the change.
func loseCommittedChange(cl *Cluster) {
	a, b, c := cl.Entry("a1"), cl.Entry("b1"), cl.Entry("c1")
	c.Isolate(true)
	cl.RunFor(2 * time.Second)
	cl.Apply(a, testDeclarations(2), a.view.State.Revision(), "before the loss")
	cl.RunFor(2 * time.Second)
	a.Crash()
	b.Crash()
	b.LoseDisk()
	c.Isolate(false)
	b.Restart()
	cl.RunFor(5 * time.Second)
	cl.Apply(b, testDeclarations(3), c.view.State.Revision(), "after the loss")
	cl.RunFor(5 * time.Second)
}

// TestLinearizability checks that the histories of operators and callers are
// linearizable under all faults, and that the search finds a violation if a mechanism
// is disabled.
func TestLinearizability(t *testing.T) {
	ignoreDiskID := func(cfg *assembler.Config) { cfg.Declarations.IgnoreDiskID = true }
	tests := map[string]struct {
		cfg  Config
		run  func(cl *Cluster)
		want porcupine.CheckResult
	}{
		"racing operators":                         {run: raceOperators, want: porcupine.Ok},
		"racing operators without revisions":       {cfg: Config{AdjustState: keeper.State.WithoutRevisions}, run: raceOperators, want: porcupine.Illegal},
		"changes sent again without deduplication": {cfg: Config{AdjustState: keeper.State.WithoutDeduplication}, run: raceOperators, want: porcupine.Illegal},
		"repeated keys":                            {run: repeatKeys, want: porcupine.Ok},
		"repeated keys without claims":             {cfg: Config{AdjustClaims: claimer.Claims.WithoutExclusion}, run: repeatKeys, want: porcupine.Illegal},
		"a disk lost after a change":               {run: loseCommittedChange, want: porcupine.Ok},
		"a lost disk that keeps its vote":          {cfg: Config{AdjustNode: ignoreDiskID}, run: loseCommittedChange, want: porcupine.Illegal},
		"faults of all kinds": {want: porcupine.Ok, run: func(cl *Cluster) {
			chaos(cl, 60)
			raceOperators(cl)
			chaos(cl, 60)
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(*seeds) {
				tc.cfg.Seed = seed + 900
				cl := newTestCluster(tc.cfg)
				tc.run(cl)
				cl.Heal()
				cl.RunFor(20 * time.Second)
				n, changes := cl.checkChangeHistory()
				keys := porcupine.CheckOperationsTimeout(keyModel(), cl.keyedHistory(), searchTimeout)
				t.Logf("seed %d: %d changes %s, %d keyed requests %s", seed+900, n, changes, len(cl.keyedHistory()), keys)
				if tc.want == porcupine.Ok {
					must.Eq(t, porcupine.Ok, changes)
					must.Eq(t, porcupine.Ok, keys)
					continue
				}
				must.True(t, changes == tc.want || keys == tc.want)
			}
		})
	}
}
