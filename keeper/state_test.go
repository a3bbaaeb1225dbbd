package keeper

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// start is the start of a budget window of 10 hours.
var start = time.Unix(1_000_000, 0).Truncate(10 * time.Hour)

// newFleet returns a state with the instances a, b and c of pool p in racks r0,
// r0 and r1, and d of pool q in rack r0. Its customer has the given budget in
// pool p.
func newFleet(t *testing.T, budget Budget) State {
	t.Helper()
	s, r := NewState().Apply(start, Command{Kind: Apply, Declarations: Declarations{
		Pools:     []Pool{{Name: "p", Size: 3}, {Name: "q", Size: 1}},
		Services:  []Service{{Name: "v", Pool: "p", Share: 1}},
		Customers: []Customer{{Name: "c", Token: "t", Weight: 1, Services: []string{"v"}, Budget: budget}},
	}})
	must.Eq(t, Accepted, r.Code)
	for _, i := range []Instance{{Name: "a", Rack: "r0"}, {Name: "d", Rack: "r0"}, {Name: "b", Rack: "r0"}, {Name: "c", Rack: "r1"}} {
		i.Incarnation = 1
		s, r = s.Apply(start, Command{Kind: Register, Instance: i})
		must.Eq(t, Accepted, r.Code)
	}
	return s
}

func (s State) instance(name string) Instance {
	i, _ := s.Instance(name)
	return i
}

func TestApplyCommands(t *testing.T) {
	looseBudget := Budget{MaxDown: 9, Window: time.Hour}
	tests := map[string]struct {
		budget   Budget
		commands func(s State) []Command
		want     Code // result of the last command
		state    InstanceState
		pool     string
	}{
		"drain for maintenance": {
			budget:   looseBudget,
			commands: func(s State) []Command { return []Command{{Kind: Drain, Instance: s.instance("a")}} },
			want:     Accepted, state: Draining, pool: "p",
		},
		"stale epoch": {
			budget: looseBudget,
			commands: func(s State) []Command {
				return []Command{{Kind: Drain, Instance: s.instance("a")}, {Kind: MarkLost, Instance: s.instance("a")}}
			},
			want: Conflict, state: Draining, pool: "p",
		},
		"move to another pool": {
			budget: looseBudget,
			commands: func(s State) []Command {
				i := s.instance("a")
				next := i
				next.Epoch++
				return []Command{{Kind: Drain, Instance: i, Target: "q"}, {Kind: Advance, Instance: next}}
			},
			want: Accepted, state: Serving, pool: "q",
		},
		"move to a pool that does not exist": {
			budget:   looseBudget,
			commands: func(s State) []Command { return []Command{{Kind: Drain, Instance: s.instance("a"), Target: "nowhere"}} },
			want:     Invalid, state: Serving, pool: "p",
		},
		"unplanned restart during a drain": {
			budget: looseBudget,
			commands: func(s State) []Command {
				return []Command{{Kind: Drain, Instance: s.instance("a")}, {Kind: Register, Instance: Instance{Name: "a", Rack: "r0", Incarnation: 2}}}
			},
			want: Accepted, state: Serving, pool: "p",
		},
		"late announcement of an old incarnation": {
			budget: looseBudget,
			commands: func(State) []Command {
				return []Command{
					{Kind: Register, Instance: Instance{Name: "a", Incarnation: 5}},
					{Kind: Register, Instance: Instance{Name: "a", Incarnation: 4}},
				}
			},
			want: Conflict, state: Serving, pool: "p",
		},
		"lost and returned": {
			budget: looseBudget,
			commands: func(s State) []Command {
				i := s.instance("a")
				next := i
				next.Epoch++
				return []Command{{Kind: MarkLost, Instance: i}, {Kind: Return, Instance: next}}
			},
			want: Accepted, state: Serving, pool: "p",
		},
		"rack reserve exceeds the budget": {
			budget:   Budget{MaxDown: 2, Window: time.Hour}, // the drain takes 1, and 2 of rack r0 are in reserve
			commands: func(s State) []Command { return []Command{{Kind: Drain, Instance: s.instance("c")}} },
			want:     BudgetExceeded, state: Serving, pool: "p",
		},
		"failed instance counts against the budget": {
			budget: Budget{MaxDown: 2, Window: time.Hour},
			commands: func(s State) []Command {
				return []Command{{Kind: MarkLost, Instance: s.instance("b")}, {Kind: Drain, Instance: s.instance("a")}}
			},
			want: BudgetExceeded, state: Serving, pool: "p",
		},
		"drain would exceed the downtime of the window": {
			budget:   Budget{MaxDown: 9, Downtime: time.Minute, Window: time.Hour}, // less than defaultMaintenance, the expected duration
			commands: func(s State) []Command { return []Command{{Kind: Drain, Instance: s.instance("a")}} },
			want:     BudgetExceeded, state: Serving, pool: "p",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newFleet(t, tc.budget)
			var r Result
			for _, c := range tc.commands(s) {
				before := s
				s, r = s.Apply(start.Add(time.Second), c)
				must.NoError(t, s.Check())
				must.NoError(t, CheckTransition(before, s))
			}
			must.Eq(t, tc.want, r.Code, must.Sprint(r.Reason))
			subject := "a"
			if name == "rack reserve exceeds the budget" {
				subject = "c"
			}
			must.Eq(t, tc.state, s.instance(subject).State)
			must.Eq(t, tc.pool, s.instance(subject).Pool)
			must.Eq(t, s.Snapshot(), FromSnapshot(s.Snapshot()).Snapshot())
		})
	}
}

func TestApplyDeclarations(t *testing.T) {
	d := Declarations{Pools: []Pool{{Name: "p", Size: 1}}}
	tests := map[string]struct {
		commands []Command
		want     Code
		revision uint64
	}{
		"first declarations": {commands: []Command{{Kind: Apply, Declarations: d}}, want: Accepted, revision: 1},
		"two operators with the same expected revision": {
			commands: []Command{
				{Kind: Apply, Declarations: d, Proposer: "x", ChangeID: "1"},
				{Kind: Apply, Declarations: d, Proposer: "y", ChangeID: "1"},
			},
			want: Conflict, revision: 1,
		},
		"repeated change ID": {
			commands: []Command{
				{Kind: Apply, Declarations: d, Proposer: "x", ChangeID: "1"},
				{Kind: Apply, Declarations: d, Proposer: "y", ChangeID: "1", Revision: 1},
				{Kind: Apply, Declarations: d, Proposer: "x", ChangeID: "1"},
			},
			want: Accepted, revision: 1,
		},
		"change ID reused for another change": {
			commands: []Command{
				{Kind: Apply, Declarations: d, Proposer: "x", ChangeID: "1"},
				{Kind: Apply, Declarations: Declarations{}, Proposer: "x", ChangeID: "1", Revision: 1},
			},
			want: Invalid, revision: 1,
		},
		"service in an unknown pool": {
			commands: []Command{{Kind: Apply, Declarations: Declarations{Services: []Service{{Name: "v", Pool: "none", Share: 1}}}}},
			want:     Invalid, revision: 0,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			var r Result
			for _, c := range tc.commands {
				s, r = s.Apply(start, c)
			}
			must.Eq(t, tc.want, r.Code)
			must.Eq(t, tc.revision, r.Revision)
		})
	}
}

func TestDowntime(t *testing.T) {
	budget := Budget{MaxDown: 9, Downtime: time.Hour, Window: 10 * time.Hour}
	tests := map[string]struct {
		downAt, upAt, queryAt time.Duration // upAt is negative if the instance stays down
		want                  time.Duration
	}{
		"returned":                             {downAt: 0, upAt: time.Minute, queryAt: time.Hour, want: time.Minute},
		"still down":                           {downAt: time.Hour, upAt: -1, queryAt: 2 * time.Hour, want: time.Hour},
		"returned in the previous window":      {downAt: 0, upAt: time.Minute, queryAt: 11 * time.Hour, want: 0},
		"still down since the previous window": {downAt: 9 * time.Hour, upAt: -1, queryAt: 11 * time.Hour, want: time.Hour},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newFleet(t, budget)
			s, _ = s.Apply(start.Add(tc.downAt), Command{Kind: MarkLost, Instance: s.instance("a")})
			if tc.upAt >= 0 {
				s, _ = s.Apply(start.Add(tc.upAt), Command{Kind: Return, Instance: s.instance("a")})
			}
			must.Eq(t, tc.want, s.BudgetStatuses(start.Add(tc.queryAt), "p")[0].Spent)
		})
	}
}

// TestWaveEnds checks that a wave ends once none of its instances is left to maintain.
func TestWaveEnds(t *testing.T) {
	tests := map[string]struct {
		start    func(t *testing.T) State
		commands func(s State) []Command
		want     WaveState
	}{
		"no instances": {start: func(*testing.T) State { return NewState() }, want: WaveDone},
		"all instances quarantined meanwhile": {
			start: func(t *testing.T) State { return newFleet(t, Budget{MaxDown: 9, Window: time.Hour}) },
			commands: func(s State) []Command {
				var out []Command
				for _, i := range s.Instances() {
					out = append(out, Command{Kind: Quarantine, Instance: i})
				}
				return out
			},
			want: WaveDone,
		},
		"one instance quarantined": {
			start:    func(t *testing.T) State { return newFleet(t, Budget{MaxDown: 9, Window: time.Hour}) },
			commands: func(s State) []Command { return []Command{{Kind: Quarantine, Instance: s.Instances()[0]}} },
			want:     WaveRunning,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, r := tc.start(t).Apply(start, Command{Kind: StartWave})
			must.Eq(t, Accepted, r.Code)
			if tc.commands != nil {
				for _, c := range tc.commands(s) {
					s, r = s.Apply(start, c)
					must.Eq(t, Accepted, r.Code)
				}
			}
			must.Eq(t, tc.want, s.Wave().State)
		})
	}
}

func TestWaveStopsAfterFailures(t *testing.T) {
	s := newFleet(t, Budget{MaxDown: 9, Window: time.Hour})
	s, r := s.Apply(start, Command{Kind: StartWave, MaxFailed: 1})
	must.Eq(t, Accepted, r.Code)
	for _, name := range []string{"a", "b"} {
		s, _ = s.Apply(start, Command{Kind: Drain, Instance: s.instance(name)})
		s, _ = s.Apply(start, Command{Kind: Advance, Instance: s.instance(name)})
		must.Eq(t, WaveRunning, s.Wave().State)
		s, _ = s.Apply(start, Command{Kind: FailMaintenance, Instance: s.instance(name)})
	}
	must.Eq(t, WaveStopped, s.Wave().State)
	must.Eq(t, 2, s.Wave().Failed)
	must.Eq(t, Lost, s.instance("a").State)
	must.Zero(t, s.instance("c").Wave)
}
