package operator

import (
	"net/http"
	"time"

	"laburnumwind/authenticator"
)

// callTimeout is the timeout of a call, including its response. It is longer than maxWatchWait, so that a Get
// that waits for a change does not time out at the client first.
const callTimeout = maxWatchWait + 10*time.Second

// NewClient returns an HTTP client that authenticates with an operators' token.
func NewClient(token string) *http.Client {
	return &http.Client{
		Timeout:   callTimeout,
		Transport: authenticator.BearerTransport{Token: token, Next: http.DefaultTransport},
	}
}
