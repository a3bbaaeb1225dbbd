package experimenter

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/keeper"
)

// TestInForce holds the time from sending a change until it is in force on all
// of nine entry instances to the target.
func TestInForce(t *testing.T) {
	const (
		changes = 200
		target  = time.Second
	)
	tests := map[string]float64{"all messages arrive": 0, "one in a hundred is lost, doubled or late": 0.01}
	for name, loss := range tests {
		t.Run(name, func(t *testing.T) {
			w := NewWorld(Config{Seed: 1, EntriesPerZone: 3})
			w.RunFor(3 * time.Second)
			w.WithLoss(loss)
			var took []time.Duration
			for n := range uint64(changes) {
				c := w.Apply(w.entries[n%9], declarations(2), n, fmt.Sprintf("change %d", n))
				for !w.allHold(n + 1) {
					w.RunFor(time.Millisecond)
					must.Less(t, 10*time.Second, w.Now().Sub(c.SentAt))
				}
				took = append(took, w.Now().Sub(c.SentAt))
			}
			slices.Sort(took)
			p99 := took[changes*99/100]
			t.Logf("in force everywhere: p50 %s, p99 %s, longest %s", took[changes/2], p99, took[changes-1])
			must.Less(t, target, p99)
			must.SliceEmpty(t, w.Broken)
		})
	}
}

func (w *World) allHold(revision uint64) bool {
	return !slices.ContainsFunc(w.entries, func(e *Entry) bool { return e.view.State.Revision() < revision })
}

// TestKeeperAtApply keeps the declarations of the fault tables valid.
func TestKeeperAtApply(t *testing.T) {
	must.NoError(t, keeper.NewState().Validate(declarations(3)))
	must.NoError(t, keeper.NewState().Validate(Declarations(3)))
}
