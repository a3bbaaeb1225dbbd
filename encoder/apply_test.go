package encoder

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/registrar"
)

// FuzzApply checks that no sequence of commands that can be decoded makes a replica panic, and that a snapshot
// holds the whole state.
func FuzzApply(f *testing.F) {
	job := registrar.Job{ID: "j", Queue: "q", Pool: "a", Attempts: 1, Steps: []registrar.Step{{Count: 2}, {Count: 1, After: []int{0}, Gang: true}}}
	task := registrar.TaskID{Job: "j"}
	seeds := []registrar.Command{
		{Submit: &job},
		{Submit: &registrar.Job{ID: "k", Steps: []registrar.Step{{Count: 1 << 62}, {Count: 1 << 62}}}},
		{Starts: []registrar.Start{{Task: task, Run: 1, Worker: "w"}}},
		{Ends: []registrar.End{{Task: task, Run: 1, Reason: registrar.EndDone}}},
		{Ends: []registrar.End{{Task: registrar.TaskID{Job: "j", Occurrence: -1, Step: 9, Index: -4}, Run: 1, Reason: registrar.EndFailed}}},
		{Cancel: "j"},
		{Workers: []registrar.Worker{{ID: "w", Incarnation: 1}}, RemovedWorkers: []string{"w"}},
		{Wave: &registrar.Wave{ID: 1, Machines: []string{"m"}, FinishBy: 1 << 62, MaxDown: 1}, Maintenance: []registrar.MachineMaintenance{{Wave: 1, Machine: "m", Done: true}}},
		{Config: &registrar.Config{Version: 1}, OrderedMachines: []string{"m"}},
	}
	for _, c := range seeds {
		data, err := MarshalCBOR([]registrar.Command{{Submit: &job}, c, {Batch: []registrar.Command{c, c}}})
		must.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		commands, err := UnmarshalCBOR[[]registrar.Command](data)
		if err != nil {
			return
		}
		s, now := registrar.NewState(), time.Unix(1_800_000_000, 0)
		for _, c := range commands {
			s, _ = s.Apply(now, c)
			now = now.Add(time.Second)
		}
		restored := registrar.FromSnapshot(s.Snapshot())
		must.EqOp(t, s.ActiveJobs(), restored.ActiveJobs())
		s.EachActive(func(j registrar.Job) {
			for _, o := range j.ActiveOccurrences {
				for _, step := range j.Steps {
					_ = o.IsReady(step)
				}
			}
		})
	})
}
