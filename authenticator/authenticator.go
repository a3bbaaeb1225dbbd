// Package authenticator lets in who shows a token from a file.
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

// ErrEmpty reports a token file without a token.
var ErrEmpty = eris.New("no token in file")

// leastToken is the shortest token, in bytes.
const leastToken = 16

// recheck is how often a changed file is looked for.
const recheck = time.Second

// Authenticator knows the tokens of a file, one a line. Lines that begin with # are comments.
type Authenticator struct {
	path  string
	clock func() time.Time

	mu       sync.Mutex
	first    string // the one that this process shows itself
	digests  [][sha256.Size]byte
	modified time.Time
	checked  time.Time
}

// NewAuthenticator reads a token file. It is read again when it changes.
func NewAuthenticator(path string, clock func() time.Time) (*Authenticator, error) {
	a := &Authenticator{path: path, clock: clock}
	err := a.load()
	if err != nil {
		return nil, fmt.Errorf("read token file: %w", err)
	}
	return a, nil
}

func (a *Authenticator) load() error {
	info, err := os.Stat(a.path)
	if err != nil {
		return fmt.Errorf("look at %s: %w", a.path, err)
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
	a.modified = info.ModTime()
	return nil
}

// First is the first token of the file, for this process to show to others.
func (a *Authenticator) First() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.first
}

// ReadTokens returns the tokens of a file.
func ReadTokens(path string) ([]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	var tokens []string
	n := 0
	for line := range strings.Lines(string(data)) {
		n++
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if len(line) < leastToken {
			return nil, fmt.Errorf("%s:%d: a token has at least %d bytes: %w", path, n, leastToken, ErrEmpty)
		}
		tokens = append(tokens, line)
	}
	if len(tokens) == 0 {
		return nil, fmt.Errorf("%s: %w", path, ErrEmpty)
	}
	return tokens, nil
}

// Knows tells whether a token is one of the file's, in a time that does not depend on it.
func (a *Authenticator) Knows(token string) bool {
	digest := sha256.Sum256([]byte(token))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reload()
	found := 0
	for _, d := range a.digests {
		found |= subtle.ConstantTimeCompare(d[:], digest[:])
	}
	return found == 1
}

// reload reads a file that changed. One that cannot be read leaves the tokens as they were.
func (a *Authenticator) reload() {
	now := a.clock()
	if now.Sub(a.checked) < recheck {
		return
	}
	a.checked = now
	info, err := os.Stat(a.path)
	if err != nil || info.ModTime().Equal(a.modified) {
		return
	}
	_ = a.load()
}

// Guard serves only requests with a known bearer token. Others learn nothing.
func (a *Authenticator) Guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || !a.Knows(token) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, http.StatusText(http.StatusUnauthorized), http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Bearer is a transport that shows a token with every request.
type Bearer struct {
	Token string
	Next  http.RoundTripper
}

// RoundTrip sends a request with the token.
func (b Bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.Token)
	return b.Next.RoundTrip(r)
}
