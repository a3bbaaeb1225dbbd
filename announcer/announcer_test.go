package announcer

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/messenger"
)

func TestAnnouncements(t *testing.T) {
	const good = `{"instance": "w1", "incarnation": 5, "address": "127.0.0.1:80", "zone": "a", "rack": "a1", "slots": 8}`
	tests := map[string]struct {
		method string
		body   string
		full   bool
		want   int
		says   string
	}{
		"whole":                        {body: good, want: http.StatusOK, says: `"place":"unknown"`},
		"not posted":                   {method: http.MethodGet, body: good, want: http.StatusMethodNotAllowed, says: "posted"},
		"no JSON":                      {body: "hello", want: http.StatusBadRequest, says: "malformed"},
		"too large":                    {body: strings.Repeat(" ", mostBytes) + good, want: http.StatusBadRequest, says: "too large"},
		"no instance":                  {body: strings.Replace(good, "w1", "", 1), want: http.StatusBadRequest, says: "instance"},
		"no incarnation":               {body: strings.Replace(good, "5", "0", 1), want: http.StatusBadRequest, says: "incarnation"},
		"no port":                      {body: strings.Replace(good, ":80", "", 1), want: http.StatusBadRequest, says: "address"},
		"an address that no URL holds": {body: strings.Replace(good, "127.0.0.1", "bad host%zz", 1), want: http.StatusBadRequest, says: "address"},
		"no slots":                     {body: strings.Replace(good, "8}", "0}", 1), want: http.StatusBadRequest, says: "slots"},
		"the tracker has no room":      {body: good, full: true, want: http.StatusServiceUnavailable, says: "too many"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sent := 0
			a := NewAnnouncer(Config{LeastInterval: time.Second, Send: func(messenger.Announcement) bool {
				sent++
				return !tc.full
			}})
			method := tc.method
			if method == "" {
				method = http.MethodPost
			}
			w := httptest.NewRecorder()
			a.ServeHTTP(w, httptest.NewRequest(method, PathAnnounce, strings.NewReader(tc.body)))
			must.Eq(t, tc.want, w.Code)
			must.StrContains(t, w.Body.String(), tc.says)
			must.Eq(t, tc.want == http.StatusOK || tc.full, sent == 1)
		})
	}
}
