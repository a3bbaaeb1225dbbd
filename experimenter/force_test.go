package experimenter

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/keeper"
)

// TestChangePropagation checks that the 99th percentile of the time from sending a
// change until all nine entry instances apply it stays within the target.
func TestChangePropagation(t *testing.T) {
	const (
		changes = 200
		target  = time.Second
	)
	tests := map[string]float64{"all messages arrive": 0, "1% lost, 1% duplicated and 1% delayed": 0.01}
	for name, loss := range tests {
		t.Run(name, func(t *testing.T) {
			cl := NewCluster(Config{Seed: 1, EntriesPerZone: 3})
			cl.RunFor(3 * time.Second)
			cl.InjectMessageFaults(loss)
			var took []time.Duration
			for n := range uint64(changes) {
				c := cl.Apply(cl.entries[n%9], testDeclarations(2), n, fmt.Sprintf("change %d", n))
				for !cl.allAtRevision(n + 1) {
					cl.RunFor(time.Millisecond)
					must.Less(t, 10*time.Second, cl.Now().Sub(c.SentAt))
				}
				took = append(took, cl.Now().Sub(c.SentAt))
			}
			slices.Sort(took)
			p99 := took[changes*99/100]
			t.Logf("applied everywhere: p50 %s, p99 %s, max %s", took[changes/2], p99, took[changes-1])
			must.Less(t, target, p99)
			must.SliceEmpty(t, cl.Violations)
		})
	}
}

// allAtRevision reports whether all entry instances have applied a revision.
func (cl *Cluster) allAtRevision(revision uint64) bool {
	return !slices.ContainsFunc(cl.entries, func(e *Entry) bool { return e.view.State.Revision() < revision })
}

// TestDeclarationsValid checks that the declarations of the fault tests and of the
// trials pass validation.
func TestDeclarationsValid(t *testing.T) {
	must.NoError(t, keeper.NewState().Validate(testDeclarations(3)))
	must.NoError(t, keeper.NewState().Validate(ReferenceDeclarations(3)))
}
