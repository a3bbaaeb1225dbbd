package assembler

import (
	"fmt"

	"laburnumwind/keeper"
	"laburnumwind/replicator"
)

// checkGroup checks the invariants of one step of a replicated group: term, commit index and applied index
// never decrease, and applied entries are committed. The error for a violated invariant wraps keeper.ErrInvariant.
func checkGroup[C, S, R any](before, after replicator.State[C, S, R]) error {
	if after.Term() < before.Term() {
		return fmt.Errorf("term decreased to %d from %d: %w", after.Term(), before.Term(), keeper.ErrInvariant)
	}
	if after.Commit() < before.Commit() {
		return fmt.Errorf("commit index decreased to %d from %d: %w", after.Commit(), before.Commit(), keeper.ErrInvariant)
	}
	if after.Applied() < before.Applied() {
		return fmt.Errorf("applied index decreased to %d from %d: %w", after.Applied(), before.Applied(), keeper.ErrInvariant)
	}
	if after.Applied() > after.Commit() {
		return fmt.Errorf("applied index %d is above commit index %d: %w", after.Applied(), after.Commit(), keeper.ErrInvariant)
	}
	return nil
}
