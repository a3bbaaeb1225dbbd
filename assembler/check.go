package assembler

import (
	"fmt"

	"laburnumwind/keeper"
	"laburnumwind/replicator"
)

// checkGroup tells whether a step of a group lost nothing: neither term nor commit nor applied goes back.
func checkGroup[C, S, R any](before, after replicator.State[C, S, R]) error {
	if after.Term() < before.Term() {
		return fmt.Errorf("term %d after %d: %w", after.Term(), before.Term(), keeper.ErrInvariant)
	}
	if after.Commit() < before.Commit() {
		return fmt.Errorf("commit %d after %d: %w", after.Commit(), before.Commit(), keeper.ErrInvariant)
	}
	if after.Applied() < before.Applied() {
		return fmt.Errorf("applied %d after %d: %w", after.Applied(), before.Applied(), keeper.ErrInvariant)
	}
	if after.Applied() > after.Commit() {
		return fmt.Errorf("applied %d of %d committed: %w", after.Applied(), after.Commit(), keeper.ErrInvariant)
	}
	return nil
}
