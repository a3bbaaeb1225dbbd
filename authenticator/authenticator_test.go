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
	first  = "the-first-token-0123456789"
	second = "the-second-token-0123456789"
)

func write(t *testing.T, path, text string, at time.Time) {
	t.Helper()
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	must.NoError(t, os.Chtimes(path, at, at))
}

func TestNewAuthenticator(t *testing.T) {
	tests := map[string]struct {
		text string
		want string // part of the error
	}{
		"one":            {text: first + "\n"},
		"with a comment": {text: "# of the zone\n\n" + first + "\n" + second + "\n"},
		"empty":          {text: "# none\n", want: "no token"},
		"a short token":  {text: first + "\nshort\n", want: ":2: a token has at least 16 bytes"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "token")
			write(t, path, tc.text, time.Unix(1, 0))
			a, err := NewAuthenticator(path, func() time.Time { return time.Unix(10, 0) })
			if tc.want != "" {
				must.ErrorContains(t, err, tc.want)
				return
			}
			must.NoError(t, err)
			must.True(t, a.Knows(first))
			must.False(t, a.Knows(first+"x"))
			must.False(t, a.Knows(""))
		})
	}
}

func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "token")
	now := time.Unix(10, 0)
	write(t, path, first+"\n", time.Unix(1, 0))
	a, err := NewAuthenticator(path, func() time.Time { return now })
	must.NoError(t, err)
	steps := map[string]struct {
		text   string
		first  bool
		second bool
	}{
		"both":               {text: first + "\n" + second + "\n", first: true, second: true},
		"only the second":    {text: second + "\n", second: true},
		"unreadable: as was": {text: "", second: true},
	}
	for i, name := range []string{"both", "only the second", "unreadable: as was"} {
		step := steps[name]
		write(t, path, step.text, time.Unix(int64(20+i), 0))
		now = now.Add(2 * recheck)
		must.Eq(t, step.first, a.Knows(first), must.Sprint(name))
		must.Eq(t, step.second, a.Knows(second), must.Sprint(name))
	}
}

func TestGuard(t *testing.T) {
	path := filepath.Join(t.TempDir(), "token")
	write(t, path, first+"\n", time.Unix(1, 0))
	a, err := NewAuthenticator(path, time.Now)
	must.NoError(t, err)
	guarded := a.Guard(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }))
	tests := map[string]struct {
		header string
		want   int
	}{
		"known":      {header: "Bearer " + first, want: http.StatusTeapot},
		"unknown":    {header: "Bearer " + second, want: http.StatusUnauthorized},
		"none":       {want: http.StatusUnauthorized},
		"other kind": {header: "Basic " + first, want: http.StatusUnauthorized},
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
