package operator

import (
	"net/http"
	"time"

	"laburnumwind/authenticator"
)

// callTimeout is longer than the longest wait of a Get.
const callTimeout = watchWait + 10*time.Second

// Client is an HTTP client that shows an operators' token.
func Client(token string) *http.Client {
	return &http.Client{
		Timeout:   callTimeout,
		Transport: authenticator.Bearer{Token: token, Next: http.DefaultTransport},
	}
}
