package simulator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestRunFor(t *testing.T) {
	tests := map[string]struct {
		delays []int // of each event, in seconds
		run    int   // in seconds
		want   []int // indexes of the delays in the order of the calls
	}{
		"ordered by time":                  {delays: []int{3, 1, 2}, run: 5, want: []int{1, 2, 0}},
		"same time in order of scheduling": {delays: []int{1, 1, 1}, run: 1, want: []int{0, 1, 2}},
		"events after the end stay":        {delays: []int{1, 9}, run: 5, want: []int{0}},
		"negative delay":                   {delays: []int{-4}, run: 0, want: []int{0}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewSimulator(time.Unix(100, 0))
			var got []int
			for i, delay := range tc.delays {
				s.After(time.Duration(delay)*time.Second, func() { got = append(got, i) })
			}
			s.RunFor(time.Duration(tc.run) * time.Second)
			must.Eq(t, tc.want, got)
			must.Eq(t, time.Unix(100+int64(tc.run), 0), s.Now())
		})
	}
}

func TestEvery(t *testing.T) {
	s := NewSimulator(time.Unix(0, 0))
	n := 0
	s.Every(time.Second, func() { n++ })
	s.RunFor(3500 * time.Millisecond)
	must.Eq(t, 3, n)
}
