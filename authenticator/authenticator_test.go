package authenticator

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	firstToken  = "the-first-token-0123456789"
	secondToken = "the-second-token-0123456789"
)

func writeTokenFile(t *testing.T, path, text string, modTime time.Time) {
	t.Helper()
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	must.NoError(t, os.Chtimes(path, modTime, modTime))
}

func TestNewAuthenticator(t *testing.T) {
	tests := map[string]struct {
		text string
		want string // part of the error
	}{
		"one token":              {text: firstToken + "\n"},
		"comment and two tokens": {text: "# of the zone\n\n" + firstToken + "\n" + secondToken + "\n"},
		"no token":               {text: "# none\n", want: "has no token"},
		"short token":            {text: firstToken + "\nshort\n", want: ":2: token is shorter than 16 bytes"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "token")
			writeTokenFile(t, path, tc.text, time.Unix(1, 0))
			a, err := NewAuthenticator(path, func() time.Time { return time.Unix(10, 0) })
			if tc.want != "" {
				must.ErrorContains(t, err, tc.want)
				return
			}
			must.NoError(t, err)
			must.True(t, a.IsValid(firstToken))
			must.False(t, a.IsValid(firstToken+"x"))
			must.False(t, a.IsValid(""))
		})
	}
}

// TestReload checks that a changed token file replaces the tokens, unless it has no token.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "token")
	now := time.Unix(10, 0)
	writeTokenFile(t, path, firstToken+"\n", time.Unix(1, 0))
	a, err := NewAuthenticator(path, func() time.Time { return now })
	must.NoError(t, err)
	steps := map[string]struct {
		text        string
		firstValid  bool
		secondValid bool
	}{
		"both tokens":                      {text: firstToken + "\n" + secondToken + "\n", firstValid: true, secondValid: true},
		"second token only":                {text: secondToken + "\n", secondValid: true},
		"no token keeps the previous ones": {text: "", secondValid: true},
	}
	for i, name := range []string{"both tokens", "second token only", "no token keeps the previous ones"} {
		step := steps[name]
		writeTokenFile(t, path, step.text, time.Unix(int64(20+i), 0))
		now = now.Add(2 * checkInterval)
		must.Eq(t, step.firstValid, a.IsValid(firstToken), must.Sprint(name))
		must.Eq(t, step.secondValid, a.IsValid(secondToken), must.Sprint(name))
	}
}

func TestGuard(t *testing.T) {
	path := filepath.Join(t.TempDir(), "token")
	writeTokenFile(t, path, firstToken+"\n", time.Unix(1, 0))
	a, err := NewAuthenticator(path, time.Now)
	must.NoError(t, err)
	guarded := a.Guard(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }))
	tests := map[string]struct {
		header string
		want   int
	}{
		"known token":   {header: "Bearer " + firstToken, want: http.StatusTeapot},
		"unknown token": {header: "Bearer " + secondToken, want: http.StatusUnauthorized},
		"no header":     {want: http.StatusUnauthorized},
		"other scheme":  {header: "Basic " + firstToken, want: http.StatusUnauthorized},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			r.Header.Set("Authorization", tc.header)
			w := httptest.NewRecorder()
			guarded.ServeHTTP(w, r)
			must.Eq(t, tc.want, w.Code)
		})
	}
}
