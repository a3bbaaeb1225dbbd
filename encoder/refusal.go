package encoder

import (
	"errors"
	"net/http"

	"github.com/twitchtv/twirp"
)

// metaNotCarriedOut marks the error response to a call that was refused before any of it was carried out.
const metaNotCarriedOut = "notCarriedOut"

// RefuseCall responds to a twirp call that none of it was carried out, because of a limit. It may only be used before the
// handler of the call runs.
func RefuseCall(w http.ResponseWriter) {
	_ = twirp.WriteError(w, twirp.NewError(twirp.Unavailable, "byte budget exhausted").WithMeta(metaNotCarriedOut, "true")) // the client may have disconnected
}

// IsNotCarriedOut reports whether the error of a twirp call is a response of RefuseCall.
func IsNotCarriedOut(err error) bool {
	var refusal twirp.Error
	return errors.As(err, &refusal) && refusal.Meta(metaNotCarriedOut) != ""
}
