package recoverer

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"
)

func TestDo(t *testing.T) {
	var missing map[string]int
	tests := map[string]struct {
		f        func()
		panicked bool
	}{
		"returns":       {f: func() {}},
		"panics":        {f: func() { panic("full") }, panicked: true},
		"runtime error": {f: func() { missing["a"] = 1 }, panicked: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			err := Do(tt.f)
			must.EqOp(t, tt.panicked, errors.Is(err, ErrPanic))
		})
	}
}
