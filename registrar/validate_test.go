package registrar

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestValidateJob(t *testing.T) {
	tests := map[string]struct {
		change func(*Job)
		valid  bool
	}{
		"plain":                        {change: func(*Job) {}, valid: true},
		"no ID":                        {change: func(j *Job) { j.ID = "" }},
		"no steps":                     {change: func(j *Job) { j.Steps = nil }},
		"no tasks":                     {change: func(j *Job) { j.Steps[0].Count = 0 }},
		"negative count":               {change: func(j *Job) { j.Steps[0].Count = -1 }},
		"counts that overflow":         {change: func(j *Job) { j.Steps[0].Count, j.Steps[1].Count = 1<<62, 1<<62 }},
		"too many tasks":               {change: func(j *Job) { j.Steps[0].Count = maxTasks }},
		"depends on itself":            {change: func(j *Job) { j.Steps[1].After = []int{1} }},
		"depends on a negative index":  {change: func(j *Job) { j.Steps[1].After = []int{-1} }},
		"negative request":             {change: func(j *Job) { j.Steps[0].CPU = -1 }},
		"request that overflows":       {change: func(j *Job) { j.Steps[0].Memory = math.MaxInt }},
		"negative estimate":            {change: func(j *Job) { j.Steps[0].Estimate = -time.Second }},
		"estimate of a thousand years": {change: func(j *Job) { j.Steps[0].Estimate = math.MaxInt64 }},
		"negative limit for a worker":  {change: func(j *Job) { j.Steps[0].MaxPerWorker = -1 }},
		"negative occurrences":         {change: func(j *Job) { j.OccurrenceCount = -1 }},
		"occurrences without end":      {change: func(j *Job) { j.OccurrenceCount = math.MaxInt32 }},
		"due time that overflows":      {change: func(j *Job) { j.OccurrenceCount, j.FirstDue = 2, math.MaxInt64 }},
		"negative interval":            {change: func(j *Job) { j.OccurrenceCount, j.Interval = 2, -1 }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			j := *newJob(Step{Count: 1, CPU: 500}, Step{Count: 2, After: []int{0}})
			tt.change(&j)
			err := j.Validate()
			must.EqOp(t, tt.valid, err == nil)
			must.EqOp(t, tt.valid, !errors.Is(err, ErrInvalid))
		})
	}
}

func TestValidateWorker(t *testing.T) {
	tests := map[string]struct {
		change func(*Worker)
		valid  bool
	}{
		"plain":                    {change: func(*Worker) {}, valid: true},
		"no ID":                    {change: func(w *Worker) { w.ID = "" }},
		"ID with a line break":     {change: func(w *Worker) { w.ID = "i-1\r\nX: y" }},
		"no address":               {change: func(w *Worker) { w.Address = "" }},
		"negative capacity":        {change: func(w *Worker) { w.Capacity.CPU = -1 }},
		"capacity that overflows":  {change: func(w *Worker) { w.Capacity.Memory = math.MaxInt }},
		"negative incarnation":     {change: func(w *Worker) { w.Incarnation = -1 }},
		"incarnation out of range": {change: func(w *Worker) { w.Incarnation = math.MaxInt64 }},
		"long label":               {change: func(w *Worker) { w.Labels = []string{string(make([]byte, maxNameBytes+1))} }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := Worker{ID: "i-1", Incarnation: 1, Address: "10.0.0.9:8080", Capacity: Resources{CPU: 16000}}
			tt.change(&w)
			must.EqOp(t, tt.valid, w.Validate() == nil)
		})
	}
}

func TestValidateWave(t *testing.T) {
	tests := map[string]struct {
		wave  Wave
		valid bool
	}{
		"plain":                  {wave: Wave{ID: 1, Machines: []string{"m"}, MaxDown: 1, FinishBy: 1}, valid: true},
		"no ID":                  {wave: Wave{Machines: []string{"m"}, MaxDown: 1}},
		"no machines":            {wave: Wave{ID: 1, MaxDown: 1}},
		"machine without a name": {wave: Wave{ID: 1, Machines: []string{""}, MaxDown: 1}},
		"none may be down":       {wave: Wave{ID: 1, Machines: []string{"m"}}},
		"deadline in the past":   {wave: Wave{ID: 1, Machines: []string{"m"}, MaxDown: 1, FinishBy: -1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { must.EqOp(t, tt.valid, tt.wave.Validate() == nil) })
	}
}

// TestApplyInvalid checks that commands which no valid input leads to change nothing and never panic.
func TestApplyInvalid(t *testing.T) {
	submit := Command{Submit: newJob(Step{Count: 1})}
	tests := map[string][]Command{
		"counts that overflow":               {{Submit: newJob(Step{Count: 1 << 62}, Step{Count: 1 << 62})}},
		"negative count":                     {{Submit: newJob(Step{Count: -1})}},
		"dependency on an unknown step":      {{Submit: newJob(Step{Count: 1, After: []int{7}})}},
		"success of a run without a number":  {submit, {Ends: []End{{Task: taskID(0, 0), Reason: EndDone}}}},
		"success of an unknown occurrence":   {submit, {Ends: []End{{Task: TaskID{Job: "j", Occurrence: 7}, Reason: EndDone}}}},
		"start of an unknown occurrence":     {submit, {Starts: []Start{{Task: TaskID{Job: "j", Occurrence: 7}, Run: 1, Worker: "w"}}}},
		"start of a negative occurrence":     {submit, {Starts: []Start{{Task: TaskID{Job: "j", Occurrence: -1}, Run: 1, Worker: "w"}}}},
		"start of a task that doesn't exist": {submit, {Starts: []Start{{Task: taskID(0, 5), Run: 1, Worker: "w"}}}},
	}
	for name, commands := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			for _, c := range commands {
				s, _ = s.Apply(startTime, c)
			}
			s.EachActive(func(j Job) {
				o, ok := j.Occurrence(0)
				must.True(t, ok)
				for _, step := range j.Steps {
					must.True(t, o.IsReady(step))
				}
				must.EqOp(t, Active, j.Outcome)
				must.EqOp(t, 0, j.Running)
				must.Len(t, 0, j.ActiveOccurrences)
			})
			must.EqOp(t, 0, s.ended.Len())
		})
	}
}
