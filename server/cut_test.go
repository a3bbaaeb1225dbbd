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

// post sends one request as a caller and returns the status and the body of the answer.
func (d *testDaemon) post(service, key string) (int, string) {
	t := d.fleet.t
	r, err := http.NewRequest(http.MethodPost, "http://"+d.settings.Listen.Callers+"/v1/services/"+service+"/work", bytes.NewReader([]byte("body")))
	must.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+testToken)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	client := &http.Client{Timeout: stateTimeout}
	response, err := client.Do(r)
	must.NoError(t, err)
	defer func() { must.NoError(t, response.Body.Close()) }()
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return response.StatusCode, string(body)
}

// TestZonePartition partitions one of three availability zones from the others; each
// instance is a process of its own. The isolated zone must keep serving requests that
// need no majority and refuse the others without starting them. The majority must keep
// serving all requests and accept changes of the declarations.
func TestZonePartition(t *testing.T) {
	tests := map[string]struct{ blackhole bool }{
		"connections closed":     {},
		"bytes dropped silently": {blackhole: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var partitioned []*tcpProxy // the proxies between zone a, which is isolated, and the other zones
			f := newTestFleetWithProxies(t, func(from, to, address string) string {
				proxy := newTCPProxy(t, address)
				if (from[0] == 'a') != (to[0] == 'a') {
					partitioned = append(partitioned, proxy)
				}
				return proxy.listener.Addr().String()
			})
			f.startServing(t)
			isolated, majority := f.daemons[3], f.daemons[1]
			for _, proxy := range partitioned {
				proxy.setPartition(true, tc.blackhole)
			}
			f.eventually("a leader outside the isolated zone", func() bool {
				return f.daemons[1].status().GetLeads() || f.daemons[2].status().GetLeads()
			})
			f.eventually("the isolated zone has no fresh leader", func() bool { return !isolated.status().GetFresh() && !f.daemons[0].status().GetLeads() })

			status, body := isolated.post("check", "")
			must.Eq(t, http.StatusOK, status, must.Sprint(body))
			status, body = isolated.post("build", "isolated")
			must.Eq(t, http.StatusServiceUnavailable, status, must.Sprint(body))
			must.StrContains(t, body, "refused")
			_, err := f.daemons[0].operator().Apply(t.Context(), &encoder.ApplyRequest{
				Declarations: testDeclarations(8), Revision: 1, Operator: "test", ChangeId: "isolated",
			})
			must.Error(t, err)

			must.Eq(t, "accepted", f.apply(majority, 1, "majority", 7).GetCode())
			status, body = majority.post("build", "majority")
			must.Eq(t, http.StatusOK, status, must.Sprint(body))

			for _, proxy := range partitioned {
				proxy.setPartition(false, false)
			}
			elapsed := f.eventually("revision 2 everywhere", func() bool { return f.allAtRevision(2) })
			t.Logf("the isolated zone applied the change %s after the partition healed", elapsed.Round(time.Millisecond))
			must.Eq(t, "conflict", f.apply(f.daemons[0], 1, "isolated", 8).GetCode())
			attempts := 0
			f.eventually("keyed request answered in the zone that was isolated", func() bool {
				attempts++
				status, body = isolated.post("build", fmt.Sprintf("after-%d", attempts))
				return status == http.StatusOK
			})
			f.checkStarts()
			must.Eq(t, 0, f.starts["school isolated"], must.Sprint("a refused request was started"))
		})
	}
}
