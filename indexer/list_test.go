package indexer

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestList checks the values after a change, and that the list before it stays as it was.
func TestList(t *testing.T) {
	tests := map[string]struct {
		change func(List[int]) List[int]
		want   []int
	}{
		"unchanged":                 {change: func(l List[int]) List[int] { return l }, want: []int{1, 2, 3}},
		"appended":                  {change: func(l List[int]) List[int] { return l.Append(4, 5) }, want: []int{1, 2, 3, 4, 5}},
		"appended twice":            {change: func(l List[int]) List[int] { _ = l.Append(7); return l.Append(8) }, want: []int{1, 2, 3, 8}},
		"replaced":                  {change: func(l List[int]) List[int] { return l.With(1, 9) }, want: []int{1, 9, 3}},
		"removed":                   {change: func(l List[int]) List[int] { return l.Without(0) }, want: []int{2, 3}},
		"appended to an empty list": {change: func(List[int]) List[int] { return List[int]{}.Append(6) }, want: []int{6}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			before := ListOf(1, 2, 3)
			after := tt.change(before)
			var got []int
			for i, v := range after.All() {
				must.EqOp(t, v, after.At(i))
				got = append(got, v)
			}
			must.Eq(t, tt.want, got)
			must.EqOp(t, len(tt.want), after.Len())
			must.EqOp(t, len(tt.want)-1, after.Index(func(v int) bool { return v == tt.want[len(tt.want)-1] }))
			must.False(t, after.Contains(func(v int) bool { return v > 100 }))
			must.EqOp(t, 3, before.Len())
			must.EqOp(t, 2, before.At(1))
		})
	}
}
