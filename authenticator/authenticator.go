// Package authenticator authenticates HTTP requests by bearer tokens from a file.
package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrTokenFile is returned for a token file that has no token or one that is too short.
var ErrTokenFile = eris.New("invalid token file")

// minTokenBytes is the minimum length of a token.
const minTokenBytes = 16

// checkInterval is the minimum time between two checks of the file's modification time.
const checkInterval = time.Second

// Authenticator holds the tokens of a file, which has one token per line. Empty lines and
// lines that start with # are ignored. It is safe for concurrent use.
type Authenticator struct {
	path  string
	clock func() time.Time

	mu        sync.Mutex
	first     string              // token that this process sends to others
	digests   [][sha256.Size]byte // of all tokens; of equal length, so that a comparison always takes the same time
	modTime   time.Time
	checkedAt time.Time
}

// NewAuthenticator reads a token file. IsValid reads the file again when its modification time
// has changed.
func NewAuthenticator(path string, clock func() time.Time) (*Authenticator, error) {
	a := &Authenticator{path: path, clock: clock}
	err := a.load()
	if err != nil {
		return nil, fmt.Errorf("read token file: %w", err)
	}
	return a, nil
}

// load reads the file and replaces the tokens. On an error, it keeps the previous ones.
func (a *Authenticator) load() error {
	info, err := os.Stat(a.path)
	if err != nil {
		return fmt.Errorf("stat %s: %w", a.path, err)
	}
	tokens, err := ReadTokens(a.path)
	if err != nil {
		return err
	}
	a.first = tokens[0]
	a.digests = nil
	for _, t := range tokens {
		a.digests = append(a.digests, sha256.Sum256([]byte(t)))
	}
	a.modTime = info.ModTime()
	return nil
}

// FirstToken returns the first token of the file as last read, with which this process authenticates
// itself. It does not check whether the file has changed.
func (a *Authenticator) FirstToken() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.first
}

// ReadTokens returns the tokens of a file. A file without a token or with a token shorter
// than minTokenBytes is an error.
func ReadTokens(path string) ([]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	var tokens []string
	lineNumber := 0
	for line := range strings.Lines(string(data)) {
		lineNumber++
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if len(line) < minTokenBytes {
			return nil, fmt.Errorf("%s:%d: token is shorter than %d bytes: %w", path, lineNumber, minTokenBytes, ErrTokenFile)
		}
		tokens = append(tokens, line)
	}
	if len(tokens) == 0 {
		return nil, fmt.Errorf("%s has no token: %w", path, ErrTokenFile)
	}
	return tokens, nil
}

// IsValid reports whether a token is in the file. The comparison takes equally long for every
// token, so that the response time does not help to guess a valid one.
func (a *Authenticator) IsValid(token string) bool {
	digest := sha256.Sum256([]byte(token))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reloadIfChanged()
	matched := 0
	for _, d := range a.digests {
		matched |= subtle.ConstantTimeCompare(d[:], digest[:])
	}
	return matched == 1
}

// reloadIfChanged reads the file again if it has changed. If the file cannot be read or holds
// no valid tokens, the previous tokens stay in use.
func (a *Authenticator) reloadIfChanged() {
	now := a.clock()
	if now.Sub(a.checkedAt) < checkInterval {
		return
	}
	a.checkedAt = now
	info, err := os.Stat(a.path)
	if err != nil || info.ModTime().Equal(a.modTime) {
		return
	}
	_ = a.load()
}

// Guard returns a handler that passes requests with a valid bearer token to next and responds to
// all others with status 401 and no details.
func (a *Authenticator) Guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || !a.IsValid(token) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, http.StatusText(http.StatusUnauthorized), http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// BearerTransport is an http.RoundTripper that adds a bearer token to every request.
type BearerTransport struct {
	Token string
	Next  http.RoundTripper
}

// RoundTrip sends a copy of the request with the token.
func (b BearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.Token)
	return b.Next.RoundTrip(r)
}
