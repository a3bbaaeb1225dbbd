package locator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/registrar"
)

// TestDecide guards against waits that lose time: longer than a start elsewhere, beyond the objective, or without end.
func TestDecide(t *testing.T) {
	choice := Choice{Wait: 500 * time.Millisecond, WaitKnown: true, RunTime: time.Second, Factor: 3, Left: 10 * time.Second}
	tests := map[string]struct {
		change func(*Choice)
		waits  bool
	}{
		"a short wait":                             {func(*Choice) {}, true},
		"a wait of unknown length":                 {func(c *Choice) { c.WaitKnown = false }, false},
		"a wait as long as the time lost":          {func(c *Choice) { c.Wait = 2 * time.Second }, false},
		"a start elsewhere costs nothing":          {func(c *Choice) { c.Factor = 1 }, false},
		"an unknown run time":                      {func(c *Choice) { c.RunTime = 0 }, false},
		"it has waited as long as the time lost":   {func(c *Choice) { c.Waited = 2 * time.Second }, false},
		"only the start elsewhere is surely ready": {func(c *Choice) { c.Wait, c.Left = 1500*time.Millisecond, 3*time.Second }, false},
		"only the wait is in time":                 {func(c *Choice) { c.Left = 2 * time.Second }, true},
		"both are late, the wait ends earlier":     {func(c *Choice) { c.Left = -time.Second }, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := choice
			tt.change(&c)
			must.EqOp(t, tt.waits, c.Decide(time.Unix(1, 0)).Waits)
		})
	}
}

// TestReserve guards against more waiting tasks than a rack can take in time, and against gangs that count the place
// of one of their tasks twice.
func TestReserve(t *testing.T) {
	request := registrar.Resources{CPU: 1000}
	busy := NewMachine("a", registrar.Resources{}).WithReleases([]Release{{time.Second, request}, {3 * time.Second, request}})
	tests := map[string]struct {
		tasks Tasks
		waits []time.Duration // of reservations made one after another; a negative one is unknown
	}{
		"one task after another": {Tasks{Count: 1, RunTime: time.Second}, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}},
		"a step":                 {Tasks{Count: 2, RunTime: 5 * time.Second}, []time.Duration{3 * time.Second, 8 * time.Second}},
		"a gang":                 {Tasks{Count: 2, RunTime: time.Second, Together: true}, []time.Duration{3 * time.Second, 4 * time.Second}},
		"a gang that is too big": {Tasks{Count: 3, RunTime: time.Second, Together: true}, []time.Duration{-1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			rack := NewRack([]Machine{busy})
			tt.tasks.Request, tt.tasks.MayUse = request, func(string, int) bool { return true }
			for _, want := range tt.waits {
				next, wait, ok := rack.Reserve(tt.tasks)
				must.EqOp(t, want >= 0, ok)
				must.EqOp(t, max(want, 0), wait)
				rack = next
			}
		})
	}
}

// TestStarts guards against times that differ from those of reservations made one after another, and against a machine that
// gets more tasks than it may have.
func TestStarts(t *testing.T) {
	request := registrar.Resources{CPU: 1000}
	machines := []Machine{
		NewMachine("a", registrar.Resources{}).WithReleases([]Release{{time.Second, request}, {3 * time.Second, request}}),
		NewMachine("b", registrar.Resources{}).WithReleases([]Release{{2 * time.Second, request}}),
	}
	tests := map[string]struct {
		perMachine int
		want       []time.Duration
	}{
		"any number of tasks":         {9, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 6 * time.Second, 7 * time.Second}},
		"two tasks for each machine":  {2, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 7 * time.Second}},
		"none may use either machine": {0, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tasks := Tasks{Count: 5, Request: request, RunTime: 5 * time.Second, MayUse: func(_ string, planned int) bool { return planned < tt.perMachine }}
			must.SliceEqOp(t, tt.want, NewRack(machines).Starts(tasks))
			if tt.perMachine < 9 {
				return
			}
			rack := NewRack(machines)
			tasks.Count = 1
			for _, want := range tt.want {
				next, wait, ok := rack.Reserve(tasks)
				must.True(t, ok)
				must.EqOp(t, want, wait)
				rack = next
			}
		})
	}
}

// TestWithStarts guards against starts that the forecast forgets, and against those on machines of other racks.
func TestWithStarts(t *testing.T) {
	request := registrar.Resources{CPU: 1000}
	rack := NewRack([]Machine{NewMachine("a", request.Times(2))})
	rack = rack.WithStarts([]Start{{Machine: "a", RunTime: time.Second, Resources: request}, {Machine: "a", RunTime: 4 * time.Second, Resources: request}, {Machine: "other", Resources: request}})
	tasks := Tasks{Count: 3, Request: request, RunTime: 5 * time.Second, MayUse: func(string, int) bool { return true }}
	must.SliceEqOp(t, []time.Duration{time.Second, 4 * time.Second, 6 * time.Second}, rack.Starts(tasks))
}
