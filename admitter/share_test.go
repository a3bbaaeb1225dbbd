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
		capacity    float64
		allocations []allocation
		want        []float64
		unused      float64
	}{
		"capacity exceeds demand":                                      {capacity: 10, allocations: []allocation{{demand: 3, weight: 1}, {demand: 4, weight: 1}}, want: []float64{3, 4}, unused: 3},
		"capacity divided by weight":                                   {capacity: 9, allocations: []allocation{{demand: 50, weight: 1}, {demand: 50, weight: 2}}, want: []float64{3, 6}},
		"capacity that one allocation does not need goes to the other": {capacity: 10, allocations: []allocation{{demand: 2, weight: 1}, {demand: 50, weight: 1}}, want: []float64{2, 8}},
		"no demand": {capacity: 10, unused: 10},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			unused := waterfill(tc.capacity, tc.allocations)
			for i, a := range tc.allocations {
				must.Eq(t, tc.want[i], a.granted)
			}
			must.Eq(t, tc.unused, unused)
		})
	}
}

var start = time.Unix(1000, 0)

// newAdmitter returns an admitter with one service, two customers and one pool
// with the given number of slots.
func newAdmitter(slots int) State {
	view := keeper.NewState().WithDeclarations(keeper.Declarations{
		Pools:     []keeper.Pool{{Name: "p"}},
		Services:  []keeper.Service{{Name: "v", Pool: "p", Share: 1}},
		Customers: []keeper.Customer{{Name: "x", Token: "x", Weight: 1}, {Name: "y", Token: "y", Weight: 1}},
	})
	s, _ := NewState(Config{}).Step(start, messenger.DeclarationsView{State: view})
	s, _ = s.Step(start, messenger.AvailableEndpoints{Endpoints: []messenger.Endpoint{{Instance: "w", Pool: "p", Slots: slots}}})
	return s
}

// request returns the arrival of a request at start.
func request(id uint64, customer string, urgency int, timeout time.Duration) messenger.RequestArrived {
	r := messenger.Request{ID: id, Service: "v", Customer: customer, Urgency: urgency}
	return messenger.RequestArrived{Request: r.WithTimes(start, start.Add(timeout))}
}

// admitted returns the IDs of the admitted requests.
func admitted(out []messenger.Message) []uint64 {
	var ids []uint64
	for _, m := range out {
		a, ok := m.Body.(messenger.RequestAdmitted)
		if ok {
			ids = append(ids, a.Request.ID)
		}
	}
	return ids
}

// refused returns the reasons of the refusals.
func refused(out []messenger.Message) []messenger.Reason {
	var reasons []messenger.Reason
	for _, m := range out {
		c, ok := m.Body.(messenger.CloseRequest)
		if ok {
			reasons = append(reasons, c.Answer.Reason)
		}
	}
	return reasons
}

func TestAdmission(t *testing.T) {
	tests := map[string]struct {
		slots      int
		arrivals   []messenger.RequestArrived
		final      any           // message after the arrivals
		finalAfter time.Duration // time of the final message after start
		admitted   []uint64
		refused    []messenger.Reason
	}{
		"free slot":   {slots: 2, arrivals: []messenger.RequestArrived{request(1, "x", 3, time.Minute)}, admitted: []uint64{1}},
		"no endpoint": {slots: 0, arrivals: []messenger.RequestArrived{request(1, "x", 3, time.Minute)}, refused: []messenger.Reason{messenger.NoEndpoint}},
		"freed slot goes to the customer without slots": {
			slots:      1,
			arrivals:   []messenger.RequestArrived{request(1, "x", 3, time.Minute), request(2, "x", 0, time.Minute), request(3, "y", 7, time.Minute)},
			final:      messenger.ReleaseSlot{Request: messenger.Request{ID: 1, Service: "v", Customer: "x", Pool: "p"}, RunTime: time.Second},
			finalAfter: time.Second,
			admitted:   []uint64{1, 3},
		},
		"urgent request of a customer goes first": {
			slots:      1,
			arrivals:   []messenger.RequestArrived{request(1, "x", 3, time.Minute), request(2, "x", 7, time.Minute), request(3, "x", 0, time.Minute)},
			final:      messenger.ReleaseSlot{Request: messenger.Request{ID: 1, Service: "v", Customer: "x", Pool: "p"}, RunTime: time.Second},
			finalAfter: time.Second,
			admitted:   []uint64{1, 3},
		},
		"urgent request refused after the urgent wait": {
			slots:      1,
			arrivals:   []messenger.RequestArrived{request(1, "x", 3, time.Minute), request(2, "x", 0, time.Minute)},
			final:      messenger.Tick{},
			finalAfter: 1600 * time.Millisecond,
			admitted:   []uint64{1},
			refused:    []messenger.Reason{messenger.StartDeadlineExceeded},
		},
		"refused on arrival if the estimated wait is too long": {
			slots:    1,
			arrivals: []messenger.RequestArrived{request(1, "x", 3, time.Minute), request(2, "x", 3, time.Minute), request(3, "x", 3, time.Second)},
			admitted: []uint64{1},
			refused:  []messenger.Reason{messenger.QueueFull},
		},
		"cancelled request leaves the queue": {
			slots:    1,
			arrivals: []messenger.RequestArrived{request(1, "x", 3, time.Minute), request(2, "x", 3, time.Minute)},
			final:    messenger.CallerDisconnected{ID: 2},
			admitted: []uint64{1},
			refused:  []messenger.Reason{messenger.Cancelled},
		},
		"deadline passed on arrival": {
			slots:    1,
			arrivals: []messenger.RequestArrived{request(1, "x", 3, time.Minute)},
			final:    request(9, "none", 3, 0),
			admitted: []uint64{1},
			refused:  []messenger.Reason{messenger.StartDeadlineExceeded},
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
			if tc.final != nil {
				_, out = s.Step(start.Add(tc.finalAfter), tc.final)
				all = append(all, out...)
			}
			must.Eq(t, tc.admitted, admitted(all))
			must.Eq(t, tc.refused, refused(all))
		})
	}
}

// TestRiseIsReportedAtOnce guards against entry instances that take the same
// slots because a fast rise in the slots in use is reported only at the next tick.
// It also checks that reports of a rise are rate limited.
func TestRiseIsReportedAtOnce(t *testing.T) {
	tests := map[string]struct {
		arrivals []time.Duration // times after the last report
		want     int             // number of reports
	}{
		"single arrival":                           {arrivals: []time.Duration{30 * time.Millisecond}},
		"two arrivals within a tick":               {arrivals: []time.Duration{30 * time.Millisecond, 40 * time.Millisecond}, want: 1},
		"two arrivals right after a report":        {arrivals: []time.Duration{time.Millisecond, 2 * time.Millisecond}},
		"third arrival after the minimum interval": {arrivals: []time.Duration{time.Millisecond, 2 * time.Millisecond, 30 * time.Millisecond}, want: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, _ := newAdmitter(16).Step(start, messenger.Tick{})
			reports := 0
			for i, after := range tc.arrivals {
				arrive := request(uint64(i), "x", 3, time.Minute)
				var out []messenger.Message
				s, out = s.Step(start.Add(after), arrive)
				for _, m := range out {
					d, ok := m.Body.(messenger.LocalDemand)
					if ok {
						must.True(t, d.Urgent)
						must.Eq(t, i+1, d.Demands[0].InUse)
						reports++
					}
				}
			}
			must.Eq(t, tc.want, reports)
		})
	}
}

// TestMaxRun checks that the declared maximum run time shortens the deadline of
// an admitted request.
func TestMaxRun(t *testing.T) {
	tests := map[string]struct{ maxRun, timeout, want time.Duration }{
		"not declared":                 {timeout: time.Minute, want: time.Minute},
		"declared":                     {maxRun: 20 * time.Second, timeout: time.Minute, want: 20 * time.Second},
		"caller's deadline is earlier": {maxRun: 20 * time.Second, timeout: 5 * time.Second, want: 5 * time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newAdmitter(1)
			d := s.declared.Declarations()
			d.Services = []keeper.Service{{Name: "v", Pool: "p", Share: 1, MaxRun: tc.maxRun}}
			s, _ = s.Step(start, messenger.DeclarationsView{State: s.declared.WithDeclarations(d)})
			_, out := s.Step(start, request(1, "x", 3, tc.timeout))
			for _, m := range out {
				a, ok := m.Body.(messenger.RequestAdmitted)
				if ok {
					must.Eq(t, start.Add(tc.want), a.Request.Deadline)
					return
				}
			}
			t.Fatal("request was not admitted")
		})
	}
}
