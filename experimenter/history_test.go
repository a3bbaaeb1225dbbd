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

// checkTime bounds the search for an order; a search that takes longer fails.
const checkTime = 30 * time.Second

// change is a change of the declarations, however often it was sent, and told
// what its operator got.
type change struct{ expected uint64 }

type outcome struct {
	known  bool
	result keeper.Result
}

// revise returns what a change could make of a copy at a revision, given what was told of it.
func revise(revision uint64, in change, out outcome) []any {
	fits := in.expected == revision
	switch {
	case out.known && out.result.Code == keeper.Accepted:
		if !fits || out.result.Revision != revision+1 {
			return nil
		}
		return []any{revision + 1}
	case out.known && out.result.Code == keeper.Conflict:
		if fits || out.result.Revision != revision {
			return nil
		}
		return []any{revision}
	case out.known:
		return []any{revision}
	case fits:
		return []any{revision, revision + 1} // it never came, or it was accepted and nobody was told
	}
	return []any{revision}
}

func documents() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{uint64(0)} },
		Step: func(state, in, out any) []any { return revise(state.(uint64), in.(change), out.(outcome)) },
	}
	return model.ToModel()
}

// checkChangeHistory searches for an order of the changes. All sends of one
// change are one operation: from the first send to the first answer. It leaves
// out a change of which nobody was told anything and that did not make a
// revision alone; such a one fits anywhere.
func (w *World) checkChangeHistory() (int, porcupine.CheckResult) {
	changes := make(map[string]porcupine.Operation)
	made := make(map[uint64]bool)
	for _, c := range w.Changes {
		if !c.Declares {
			continue
		}
		op, again := changes[c.ID]
		if !again {
			op = porcupine.Operation{Input: change{expected: c.Expected}, Output: outcome{}, Call: c.SentAt.UnixNano(), Return: math.MaxInt64}
		}
		if c.Done {
			first := op.Output.(outcome)
			if first.known && first.result != c.Result {
				return len(w.Changes), porcupine.Illegal
			}
			op.Output = outcome{known: true, result: c.Result}
			op.Return = min(op.Return, c.DoneAt.UnixNano())
			made[c.Result.Revision] = made[c.Result.Revision] || c.Result.Code == keeper.Accepted
		}
		changes[c.ID] = op
	}
	var history []porcupine.Operation
	for _, op := range changes {
		if op.Output.(outcome).known || !made[op.Input.(change).expected+1] {
			history = append(history, op)
		}
	}
	return len(changes), porcupine.CheckOperationsTimeout(documents(), history, checkTime)
}

// keyed and told are a request with a key and what its caller got.
type keyed struct {
	key    customerKey
	digest string
}

type told struct {
	whole    bool // a whole answer of an endpoint
	refused  bool // it surely did not run
	replayed bool // the answer of an earlier request
	answer   string
}

// record is what one copy of the register would hold of a key.
type record struct {
	ran    bool
	digest string
	answer string // empty: not known yet
}

func request(s record, in keyed, out told) []any {
	switch {
	case out.refused:
		return []any{s}
	case out.whole && !out.replayed:
		if s.ran {
			return nil // a second run
		}
		return []any{record{ran: true, digest: in.digest, answer: out.answer}}
	case out.whole:
		if !s.ran || s.digest != in.digest || s.answer != "" && s.answer != out.answer {
			return nil
		}
		return []any{record{ran: true, digest: in.digest, answer: out.answer}}
	}
	next := []any{s} // it did not run
	if !s.ran {
		next = append(next, record{ran: true, digest: in.digest})
	}
	return next
}

func registers() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			parts := make(map[customerKey][]porcupine.Operation)
			for _, op := range history {
				key := op.Input.(keyed).key
				parts[key] = append(parts[key], op)
			}
			out := make([][]porcupine.Operation, 0, len(parts))
			for _, part := range parts {
				out = append(out, part)
			}
			return out
		},
		Init: func() []any { return []any{record{}} },
		Step: func(state, in, out any) []any { return request(state.(record), in.(keyed), out.(told)) },
	}
	return model.ToModel()
}

func (w *World) keyHistory() []porcupine.Operation {
	var out []porcupine.Operation
	for _, c := range w.Calls {
		if c.Key == "" {
			continue
		}
		a := c.Answer
		answer := told{
			whole:    c.Answered && (a.Outcome == messenger.Answered || a.Reason == messenger.ServerError),
			refused:  c.Answered && a.Outcome == messenger.Refused,
			replayed: a.Replayed,
			answer:   fmt.Sprintf("%d %s", a.Status, a.Body),
		}
		op := porcupine.Operation{
			Input:  keyed{key: customerKey{c.Customer, c.Key}, digest: c.Body},
			Output: answer,
			Call:   c.SentAt.UnixNano(),
			Return: math.MaxInt64,
		}
		if answer.whole || answer.refused {
			op.Return = c.AnswerAt.UnixNano()
		}
		out = append(out, op)
	}
	return out
}

// raceOperators lets several operators change the declarations at once, each
// from the revision that its entry instance shows, and some of them twice.
func raceOperators(w *World) {
	for n := range 30 {
		for _, e := range w.entries[:3] {
			id := fmt.Sprintf("change %d of %s", n, e.Name)
			revision := e.view.State.Revision()
			w.Apply(e, declarations(2+n%2), revision, id)
			if n%5 == 0 {
				w.After(w.upTo(time.Second), func() { w.Apply(w.anyEntry(), declarations(2+n%2), revision, id) })
			}
		}
		w.RunFor(w.upTo(100 * time.Millisecond))
	}
}

// repeatKeys sends each key several times, at once and after its answer.
func repeatKeys(w *World) {
	for n := range 60 {
		job := Job{Service: "build", Customer: "school", Key: fmt.Sprintf("key %d", n), Body: "b", Run: 50 * time.Millisecond}
		for range 4 {
			w.After(w.upTo(2*time.Second), func() { w.Submit(w.anyEntry(), job) })
		}
		w.RunFor(20 * time.Millisecond)
	}
	w.RunFor(3 * time.Second)
}

// loseTwo takes the disk of a voter that has an accepted change while another one lacks it.
func loseTwo(w *World) {
	a, b, c := w.Entry("a1"), w.Entry("b1"), w.Entry("c1")
	c.Isolate(true)
	w.RunFor(2 * time.Second)
	w.Apply(a, declarations(2), a.view.State.Revision(), "before the loss")
	w.RunFor(2 * time.Second)
	a.Crash()
	b.Crash()
	b.LoseDisk()
	c.Isolate(false)
	b.Restart()
	w.RunFor(5 * time.Second)
	w.Apply(b, declarations(3), c.view.State.Revision(), "after the loss")
	w.RunFor(5 * time.Second)
}

// TestHistories checks by search that what operators and callers were told fits
// one copy of the declarations and of each key, whatever the faults; and that
// the search finds the fault with a mechanism off.
func TestHistories(t *testing.T) {
	forget := func(cfg *assembler.Config) { cfg.Declarations.ForgetIdentity = true }
	tests := map[string]struct {
		cfg  Config
		act  func(w *World)
		want porcupine.CheckResult
	}{
		"racing operators":                        {act: raceOperators, want: porcupine.Ok},
		"racing operators without revisions":      {cfg: Config{Declared: keeper.State.WithoutRevisions}, act: raceOperators, want: porcupine.Illegal},
		"changes sent again without memory":       {cfg: Config{Declared: keeper.State.WithoutMemory}, act: raceOperators, want: porcupine.Illegal},
		"repeated keys":                           {act: repeatKeys, want: porcupine.Ok},
		"repeated keys without claims":            {cfg: Config{Register: claimer.Register.WithoutExclusion}, act: repeatKeys, want: porcupine.Illegal},
		"a disk lost after a change":              {act: loseTwo, want: porcupine.Ok},
		"a disk lost that votes as if it was not": {cfg: Config{Change: forget}, act: loseTwo, want: porcupine.Illegal},
		"faults of all kinds": {want: porcupine.Ok, act: func(w *World) {
			chaos(w, 60)
			raceOperators(w)
			chaos(w, 60)
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(*seeds) {
				tc.cfg.Seed = seed + 900
				w := newFleet(tc.cfg)
				tc.act(w)
				w.Heal()
				w.RunFor(20 * time.Second)
				n, changes := w.checkChangeHistory()
				keys := porcupine.CheckOperationsTimeout(registers(), w.keyHistory(), checkTime)
				t.Logf("seed %d: %d changes %s, %d keyed requests %s", seed+900, n, changes, len(w.keyHistory()), keys)
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
