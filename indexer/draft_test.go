package indexer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// TestDraft compares a draft with a plain map under random changes, and checks that maps taken from the draft earlier
// do not change with it.
func TestDraft(t *testing.T) {
	tests := map[string]struct {
		keys, changes int
	}{
		"fewer keys than pending values": {keys: 3, changes: 400},
		"more keys than pending values":  {keys: 50, changes: 3000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			d := NewDraft(NewMap[string, int]())
			want := make(map[string]int)
			type taken struct {
				m    Map[string, int]
				want map[string]int
			}
			var snapshots []taken
			for n := range tt.changes {
				key := fmt.Sprint(r.IntN(tt.keys))
				switch r.IntN(12) {
				case 0:
					d.Delete(key)
					delete(want, key)
				case 1:
					copied := make(map[string]int)
					for k, v := range want {
						copied[k] = v
					}
					snapshots = append(snapshots, taken{m: d.Map(), want: copied})
				case 2:
					must.EqOp(t, len(want), d.Len())
				default:
					d.Set(key, n)
					want[key] = n
				}
				got, ok := d.Get(key)
				v, known := want[key]
				must.EqOp(t, known, ok)
				must.EqOp(t, v, got)
			}
			snapshots = append(snapshots, taken{m: d.Map(), want: want})
			for _, s := range snapshots {
				must.EqOp(t, len(s.want), s.m.Len())
				for k, v := range s.m.All() {
					must.EqOp(t, s.want[k], v)
				}
			}
			d.Reset()
			must.EqOp(t, 0, d.Len())
		})
	}
}
