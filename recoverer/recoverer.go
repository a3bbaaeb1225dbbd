// Package recoverer turns a panic into an error, so that one message which triggers an unexpected fault does not end
// the process.
package recoverer

import (
	"fmt"
	"runtime/debug"

	"github.com/rotisserie/eris"
)

// ErrPanic is wrapped by the errors that Do returns.
var ErrPanic = eris.New("panic")

// Do calls f. If f panics, Do returns an error with the value and the stack of the panic.
func Do(f func()) (err error) {
	defer func() {
		v := recover()
		if v != nil {
			err = fmt.Errorf("%w: %v\n%s", ErrPanic, v, debug.Stack())
		}
	}()
	f()
	return nil
}
