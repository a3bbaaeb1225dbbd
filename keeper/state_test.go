package keeper

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1_000_000, 0).Truncate(10 * time.Hour)

// fleet is a state with instances a, b and c of pool p in racks r0, r0 and r1, and d of pool q.
func fleet(t *testing.T, budget Budget) State {
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

func (s State) at(name string) Instance {
	i, _ := s.Instance(name)
	return i
}

func TestApplyCommands(t *testing.T) {
	wide := Budget{MaxDown: 9, Window: time.Hour}
	tests := map[string]struct {
		budget   Budget
		commands func(s State) []Command
		want     Code // of the last
		place    Place
		pool     string
	}{
		"drain for maintenance": {
			budget:   wide,
			commands: func(s State) []Command { return []Command{{Kind: Drain, Instance: s.at("a")}} },
			want:     Accepted, place: Draining, pool: "p",
		},
		"stale epoch": {
			budget: wide,
			commands: func(s State) []Command {
				return []Command{{Kind: Drain, Instance: s.at("a")}, {Kind: MarkLost, Instance: s.at("a")}}
			},
			want: Conflict, place: Draining, pool: "p",
		},
		"move to another pool": {
			budget: wide,
			commands: func(s State) []Command {
				i := s.at("a")
				next := i
				next.Epoch++
				return []Command{{Kind: Drain, Instance: i, Target: "q"}, {Kind: Advance, Instance: next}}
			},
			want: Accepted, place: Serving, pool: "q",
		},
		"move to no pool": {
			budget:   wide,
			commands: func(s State) []Command { return []Command{{Kind: Drain, Instance: s.at("a"), Target: "nowhere"}} },
			want:     Invalid, place: Serving, pool: "p",
		},
		"reboot on its own during a drain": {
			budget: wide,
			commands: func(s State) []Command {
				return []Command{{Kind: Drain, Instance: s.at("a")}, {Kind: Register, Instance: Instance{Name: "a", Rack: "r0", Incarnation: 2}}}
			},
			want: Accepted, place: Serving, pool: "p",
		},
		"late word of a former life": {
			budget: wide,
			commands: func(State) []Command {
				return []Command{
					{Kind: Register, Instance: Instance{Name: "a", Incarnation: 5}},
					{Kind: Register, Instance: Instance{Name: "a", Incarnation: 4}},
				}
			},
			want: Conflict, place: Serving, pool: "p",
		},
		"lost and back": {
			budget: wide,
			commands: func(s State) []Command {
				i := s.at("a")
				next := i
				next.Epoch++
				return []Command{{Kind: MarkLost, Instance: i}, {Kind: Return, Instance: next}}
			},
			want: Accepted, place: Serving, pool: "p",
		},
		"one more rack would be over the budget": {
			budget:   Budget{MaxDown: 2, Window: time.Hour}, // 1 down and 2 of rack r0 in reserve
			commands: func(s State) []Command { return []Command{{Kind: Drain, Instance: s.at("c")}} },
			want:     BudgetExceeded, place: Serving, pool: "p",
		},
		"a failure spends first": {
			budget: Budget{MaxDown: 2, Window: time.Hour},
			commands: func(s State) []Command {
				return []Command{{Kind: MarkLost, Instance: s.at("b")}, {Kind: Drain, Instance: s.at("a")}}
			},
			want: BudgetExceeded, place: Serving, pool: "p",
		},
		"the downtime of the window is spent": {
			budget:   Budget{MaxDown: 9, Downtime: time.Minute, Window: time.Hour},
			commands: func(s State) []Command { return []Command{{Kind: Drain, Instance: s.at("a")}} },
			want:     BudgetExceeded, place: Serving, pool: "p",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := fleet(t, tc.budget)
			var r Result
			for _, c := range tc.commands(s) {
				before := s
				s, r = s.Apply(start.Add(time.Second), c)
				must.NoError(t, s.Check())
				must.NoError(t, CheckStep(before, s))
			}
			must.Eq(t, tc.want, r.Code, must.Sprint(r.Reason))
			subject := "a"
			if name == "one more rack would be over the budget" {
				subject = "c"
			}
			must.Eq(t, tc.place, s.at(subject).Place)
			must.Eq(t, tc.pool, s.at(subject).Pool)
			must.Eq(t, s.Image(), FromImage(s.Image()).Image())
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
		"first": {commands: []Command{{Kind: Apply, Declarations: d}}, want: Accepted, revision: 1},
		"two operators at one revision": {
			commands: []Command{
				{Kind: Apply, Declarations: d, Proposer: "x", ChangeID: "1"},
				{Kind: Apply, Declarations: d, Proposer: "y", ChangeID: "1"},
			},
			want: Conflict, revision: 1,
		},
		"sent again after a lost answer": {
			commands: []Command{
				{Kind: Apply, Declarations: d, Proposer: "x", ChangeID: "1"},
				{Kind: Apply, Declarations: d, Proposer: "y", ChangeID: "1", Revision: 1},
				{Kind: Apply, Declarations: d, Proposer: "x", ChangeID: "1"},
			},
			want: Accepted, revision: 1,
		},
		"a change ID for two changes": {
			commands: []Command{
				{Kind: Apply, Declarations: d, Proposer: "x", ChangeID: "1"},
				{Kind: Apply, Declarations: Declarations{}, Proposer: "x", ChangeID: "1", Revision: 1},
			},
			want: Invalid, revision: 1,
		},
		"service without its pool": {
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
		downAt, upAt, lookAt time.Duration
		want                 time.Duration
	}{
		"closed":             {downAt: 0, upAt: time.Minute, lookAt: time.Hour, want: time.Minute},
		"still down":         {downAt: time.Hour, upAt: -1, lookAt: 2 * time.Hour, want: time.Hour},
		"in the next window": {downAt: 0, upAt: time.Minute, lookAt: 11 * time.Hour, want: 0},
		"across two windows": {downAt: 9 * time.Hour, upAt: -1, lookAt: 11 * time.Hour, want: time.Hour},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := fleet(t, budget)
			s, _ = s.Apply(start.Add(tc.downAt), Command{Kind: MarkLost, Instance: s.at("a")})
			if tc.upAt >= 0 {
				s, _ = s.Apply(start.Add(tc.upAt), Command{Kind: Return, Instance: s.at("a")})
			}
			must.Eq(t, tc.want, s.Standings(start.Add(tc.lookAt), "p")[0].Spent)
		})
	}
}

func TestWaveStopsByItsFailures(t *testing.T) {
	s := fleet(t, Budget{MaxDown: 9, Window: time.Hour})
	s, r := s.Apply(start, Command{Kind: StartWave, MaxFailed: 1})
	must.Eq(t, Accepted, r.Code)
	for _, name := range []string{"a", "b"} {
		s, _ = s.Apply(start, Command{Kind: Drain, Instance: s.at(name)})
		s, _ = s.Apply(start, Command{Kind: Advance, Instance: s.at(name)})
		must.Eq(t, WaveRunning, s.Wave().State)
		s, _ = s.Apply(start, Command{Kind: FailWave, Instance: s.at(name)})
	}
	must.Eq(t, WaveStopped, s.Wave().State)
	must.Eq(t, 2, s.Wave().Failed)
	must.Eq(t, Lost, s.at("a").Place)
	must.Zero(t, s.at("c").Wave)
}
