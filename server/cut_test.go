package server

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/encoder"
)

// post sends one request as a caller and returns the status and the outcome.
func (d *testDaemon) post(service, key string) (int, string) {
	t := d.fleet.t
	r, err := http.NewRequest(http.MethodPost, "http://"+d.set.Listen.Callers+"/v1/services/"+service+"/work", bytes.NewReader([]byte("body")))
	must.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+testToken)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	client := &http.Client{Timeout: stateWait}
	response, err := client.Do(r)
	must.NoError(t, err)
	defer func() { must.NoError(t, response.Body.Close()) }()
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return response.StatusCode, string(body)
}

// TestZoneCutOff cuts one of three zones off from the others, between real
// processes: it goes on with what needs no majority, refuses the rest unrun, and
// the others go on with everything.
func TestZoneCutOff(t *testing.T) {
	tests := map[string]struct{ silent bool }{
		"connections refused": {},
		"bytes go nowhere":    {silent: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var between []*relay // those between zone a and the others
			f := newTestFleetVia(t, func(from, to, address string) string {
				r := newRelay(t, address)
				if (from[0] == 'a') != (to[0] == 'a') {
					between = append(between, r)
				}
				return r.listen.Addr().String()
			})
			f.begin(t)
			inside, outside := f.daemons[3], f.daemons[1]
			for _, r := range between {
				r.set(true, tc.silent)
			}
			f.eventually("a leader outside", func() bool {
				return f.daemons[1].status().GetLeads() || f.daemons[2].status().GetLeads()
			})
			f.eventually("the inside knows of no fresh leader", func() bool { return !inside.status().GetFresh() && !f.daemons[0].status().GetLeads() })

			status, body := inside.post("check", "")
			must.Eq(t, http.StatusOK, status, must.Sprint(body))
			status, body = inside.post("build", "inside")
			must.Eq(t, http.StatusServiceUnavailable, status, must.Sprint(body))
			must.StrContains(t, body, "refused")
			_, err := f.daemons[0].operator().Apply(t.Context(), &encoder.ApplyRequest{
				Declarations: testDeclarations(8), Revision: 1, Operator: "test", ChangeId: "inside",
			})
			must.Error(t, err)

			must.Eq(t, "accepted", f.apply(outside, 1, "outside", 7).GetCode())
			status, body = outside.post("build", "outside")
			must.Eq(t, http.StatusOK, status, must.Sprint(body))

			for _, r := range between {
				r.set(false, false)
			}
			took := f.eventually("revision 2 everywhere", func() bool { return f.allAt(2) })
			t.Logf("the cut-off zone has the change %s after the cut", took.Round(time.Millisecond))
			must.Eq(t, "conflict", f.apply(f.daemons[0], 1, "inside", 8).GetCode())
			tries := 0
			f.eventually("keyed work inside", func() bool {
				tries++
				status, body = inside.post("build", fmt.Sprintf("after-%d", tries))
				return status == http.StatusOK
			})
			f.checkStarts()
			must.Eq(t, 0, f.starts["school inside"], must.Sprint("refused and started"))
		})
	}
}
