package admitter

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

func TestWaterfill(t *testing.T) {
	tests := map[string]struct {
		capacity float64
		portions []portion
		want     []float64
		left     float64
	}{
		"enough for all":       {capacity: 10, portions: []portion{{demand: 3, weight: 1}, {demand: 4, weight: 1}}, want: []float64{3, 4}, left: 3},
		"by weight":            {capacity: 9, portions: []portion{{demand: 50, weight: 1}, {demand: 50, weight: 2}}, want: []float64{3, 6}},
		"what one leaves over": {capacity: 10, portions: []portion{{demand: 2, weight: 1}, {demand: 50, weight: 1}}, want: []float64{2, 8}},
		"nobody":               {capacity: 10, left: 10},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			left := waterfill(tc.capacity, tc.portions)
			for i, p := range tc.portions {
				must.Eq(t, tc.want[i], p.got)
			}
			must.Eq(t, tc.left, left)
		})
	}
}

var start = time.Unix(1000, 0)

// newAdmitter has one service with a pool of the given slots and two customers.
func newAdmitter(slots int) State {
	view := keeper.NewState().WithDeclarations(keeper.Declarations{
		Pools:     []keeper.Pool{{Name: "p"}},
		Services:  []keeper.Service{{Name: "v", Pool: "p", Share: 1}},
		Customers: []keeper.Customer{{Name: "x", Token: "x", Weight: 1}, {Name: "y", Token: "y", Weight: 1}},
	})
	s, _ := NewState(Config{}).Step(start, messenger.View{State: view})
	s, _ = s.Step(start, messenger.Roster{Endpoints: []messenger.Endpoint{{Instance: "w", Pool: "p", Slots: slots}}})
	return s
}

func request(id uint64, customer string, urgency int, wait time.Duration) messenger.Arrive {
	r := messenger.Request{ID: id, Service: "v", Customer: customer, Urgency: urgency}
	return messenger.Arrive{Request: r.WithTimes(start, start.Add(wait))}
}

func admitted(out []messenger.Message) []uint64 {
	var ids []uint64
	for _, m := range out {
		a, ok := m.Body.(messenger.Admitted)
		if ok {
			ids = append(ids, a.Request.ID)
		}
	}
	return ids
}

func refused(out []messenger.Message) []messenger.Reason {
	var reasons []messenger.Reason
	for _, m := range out {
		c, ok := m.Body.(messenger.Close)
		if ok {
			reasons = append(reasons, c.Answer.Reason)
		}
	}
	return reasons
}

func TestAdmission(t *testing.T) {
	tests := map[string]struct {
		slots    int
		arrivals []messenger.Arrive
		then     any // after the arrivals
		after    time.Duration
		admitted []uint64
		refused  []messenger.Reason
	}{
		"room":        {slots: 2, arrivals: []messenger.Arrive{request(1, "x", 3, time.Minute)}, admitted: []uint64{1}},
		"no endpoint": {slots: 0, arrivals: []messenger.Arrive{request(1, "x", 3, time.Minute)}, refused: []messenger.Reason{messenger.NoEndpoint}},
		"a slot freed goes to the customer that has none": {
			slots:    1,
			arrivals: []messenger.Arrive{request(1, "x", 3, time.Minute), request(2, "x", 0, time.Minute), request(3, "y", 7, time.Minute)},
			then:     messenger.Release{Request: messenger.Request{ID: 1, Service: "v", Customer: "x", Pool: "p"}, Ran: time.Second},
			after:    time.Second,
			admitted: []uint64{1, 3},
		},
		"urgent within a customer": {
			slots:    1,
			arrivals: []messenger.Arrive{request(1, "x", 3, time.Minute), request(2, "x", 7, time.Minute), request(3, "x", 0, time.Minute)},
			then:     messenger.Release{Request: messenger.Request{ID: 1, Service: "v", Customer: "x", Pool: "p"}, Ran: time.Second},
			after:    time.Second,
			admitted: []uint64{1, 3},
		},
		"an urgent one that did not start is refused": {
			slots:    1,
			arrivals: []messenger.Arrive{request(1, "x", 3, time.Minute), request(2, "x", 0, time.Minute)},
			then:     messenger.Tick{},
			after:    1600 * time.Millisecond,
			admitted: []uint64{1},
			refused:  []messenger.Reason{messenger.DeadlinePast},
		},
		"what cannot be in time is refused at once": {
			slots:    1,
			arrivals: []messenger.Arrive{request(1, "x", 3, time.Minute), request(2, "x", 3, time.Minute), request(3, "x", 3, time.Second)},
			admitted: []uint64{1},
			refused:  []messenger.Reason{messenger.QueueFull},
		},
		"a cancelled one frees its place": {
			slots:    1,
			arrivals: []messenger.Arrive{request(1, "x", 3, time.Minute), request(2, "x", 3, time.Minute)},
			then:     messenger.Cancel{ID: 2},
			admitted: []uint64{1},
			refused:  []messenger.Reason{messenger.Cancelled},
		},
		"one that is already too late": {
			slots:    1,
			arrivals: []messenger.Arrive{request(1, "x", 3, time.Minute)},
			then:     request(9, "none", 3, 0),
			admitted: []uint64{1},
			refused:  []messenger.Reason{messenger.DeadlinePast},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newAdmitter(tc.slots)
			var all, out []messenger.Message
			for _, a := range tc.arrivals {
				s, out = s.Step(start, a)
				all = append(all, out...)
			}
			if tc.then != nil {
				_, out = s.Step(start.Add(tc.after), tc.then)
				all = append(all, out...)
			}
			must.Eq(t, tc.admitted, admitted(all))
			must.Eq(t, tc.refused, refused(all))
		})
	}
}

// TestRiseIsToldAtOnce checks that the others hear of slots that were taken fast
// before they take the same ones, and not more often than is of use.
func TestRiseIsToldAtOnce(t *testing.T) {
	tests := map[string]struct {
		arrivals []time.Duration // after the last report
		want     int             // reports
	}{
		"one at a time":              {arrivals: []time.Duration{30 * time.Millisecond}},
		"two within a tick":          {arrivals: []time.Duration{30 * time.Millisecond, 40 * time.Millisecond}, want: 1},
		"two right after a report":   {arrivals: []time.Duration{time.Millisecond, 2 * time.Millisecond}},
		"and a third a little later": {arrivals: []time.Duration{time.Millisecond, 2 * time.Millisecond, 30 * time.Millisecond}, want: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, _ := newAdmitter(16).Step(start, messenger.Tick{})
			told := 0
			for n, after := range tc.arrivals {
				arrive := request(uint64(n), "x", 3, time.Minute)
				var out []messenger.Message
				s, out = s.Step(start.Add(after), arrive)
				for _, m := range out {
					d, ok := m.Body.(messenger.LocalDemand)
					if ok {
						must.True(t, d.Urgent)
						must.Eq(t, n+1, d.Demands[0].InUse)
						told++
					}
				}
			}
			must.Eq(t, tc.want, told)
		})
	}
}

// TestLongestRun checks that a declared bound ends a run before its caller's deadline does.
func TestLongestRun(t *testing.T) {
	tests := map[string]struct{ maxRun, wait, want time.Duration }{
		"not declared":               {wait: time.Minute, want: time.Minute},
		"declared":                   {maxRun: 20 * time.Second, wait: time.Minute, want: 20 * time.Second},
		"the caller waits no longer": {maxRun: 20 * time.Second, wait: 5 * time.Second, want: 5 * time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newAdmitter(1)
			d := s.weights.Declarations()
			d.Services = []keeper.Service{{Name: "v", Pool: "p", Share: 1, MaxRun: tc.maxRun}}
			s, _ = s.Step(start, messenger.View{State: s.weights.WithDeclarations(d)})
			_, out := s.Step(start, request(1, "x", 3, tc.wait))
			for _, m := range out {
				a, ok := m.Body.(messenger.Admitted)
				if ok {
					must.Eq(t, start.Add(tc.want), a.Request.Deadline)
					return
				}
			}
			t.Fatal("not admitted")
		})
	}
}
