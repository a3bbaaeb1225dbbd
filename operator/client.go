package operator

import (
	"net/http"
	"time"

	"laburnumwind/authenticator"
)

// callTimeout exceeds the time that a Get may wait for a change.
const callTimeout = maxWatchWait + 10*time.Second

// NewClient returns an HTTP client that authenticates with an operators' token.
func NewClient(token string) *http.Client {
	return &http.Client{
		Timeout:   callTimeout,
		Transport: authenticator.BearerTransport{Token: token, Next: http.DefaultTransport},
	}
}
