package assembler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/registrar"
)

// TestApplySkipsPanics checks that a command whose application panics changes nothing, on its own and in a batch.
func TestApplySkipsPanics(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	job := func(id string) registrar.Command {
		return registrar.Command{Submit: &registrar.Job{ID: id, Steps: []registrar.Step{{Count: 1}}}}
	}
	poison := registrar.Command{Cancel: "poison"}
	tests := map[string]struct {
		command registrar.Command
		jobs    int
		codes   []registrar.Code
		panics  int
	}{
		"no fault":        {command: job("a"), jobs: 1},
		"alone":           {command: poison, panics: 1},
		"inside a batch":  {command: registrar.Command{Batch: []registrar.Command{job("a"), poison, job("b")}}, jobs: 2, codes: []registrar.Code{registrar.OK, registrar.Invalid, registrar.OK}, panics: 1},
		"batch unharmed":  {command: registrar.Command{Batch: []registrar.Command{job("a"), job("b")}}, jobs: 2, codes: []registrar.Code{registrar.OK, registrar.OK}},
		"batch of a part": {command: registrar.Command{Batch: []registrar.Command{poison}}, codes: []registrar.Code{registrar.Invalid}, panics: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			panics := 0
			apply := applyEach(applyOrSkip(func(s registrar.State, at time.Time, c registrar.Command) (registrar.State, registrar.Result) {
				if c.Cancel == "poison" {
					panic("poison")
				}
				return s.Apply(at, c)
			}, registrar.Result{Code: registrar.Invalid}, func(error) { panics++ }))
			s, result := apply(registrar.NewState(), now, tt.command)
			must.EqOp(t, tt.jobs, s.ActiveJobs())
			must.Eq(t, tt.codes, result.Batch)
			must.EqOp(t, tt.panics, panics)
		})
	}
}
