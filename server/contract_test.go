package server

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"laburnumwind/emulator"
	"laburnumwind/encoder"
	"laburnumwind/receiver"
)

// newTestServer starts one instance with an embedded voter in the test process,
// applies declarations to it and starts one endpoint.
func newTestServer(t *testing.T, faults emulator.Faults) (*Server, *testFleet) {
	t.Helper()
	settings, cleanup, err := DevSettings()
	must.NoError(t, err)
	t.Cleanup(cleanup)
	for _, address := range []*string{&settings.Listen.Callers, &settings.Listen.Endpoints, &settings.Listen.Operators, &settings.Listen.Peers} {
		*address = freeAddress(t)
	}
	settings.Timing.Leave = 0
	settings.Limits.Body = 1000
	s, err := NewServer(Config{Settings: settings, Log: zerolog.Nop(), OnFailure: func(err error) { t.Error(err) }})
	must.NoError(t, err)
	t.Cleanup(func() {
		must.Zero(t, s.Counter("invariantViolations"))
		s.Stop()
	})
	f := &testFleet{t: t, starts: make(map[string]int), token: DevToken}
	f.daemons = []*testDaemon{{fleet: f, settings: settings}}
	t.Cleanup(func() {
		for _, e := range f.endpoints {
			e.Kill()
		}
	})
	must.Eq(t, "accepted", f.apply(f.daemons[0], 0, "first", 2).GetCode())
	f.startEndpoints(1, faults)
	return s, f
}

// call sends one request to the first daemon as a caller and returns the answer and its body.
func (f *testFleet) call(t *testing.T, method, path string, header map[string]string, body string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+f.daemons[0].settings.Listen.Callers+path, strings.NewReader(body))
	must.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+testToken)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return response, string(text)
}

// TestCallerContract checks the answers to valid and refused requests, and that a repeated
// idempotency key replays the stored answer.
func TestCallerContract(t *testing.T) {
	_, f := newTestServer(t, emulator.Faults{})
	tests := map[string]struct {
		method, path string
		header       map[string]string
		body         string
		status       int
		outcome      string
		want         string // part of the body
	}{
		"answered":            {method: "POST", path: "build/x", body: "hello", status: 200, outcome: "answered", want: "hello"},
		"empty body":          {method: "GET", path: "build/", status: 200, outcome: "answered"},
		"no token":            {method: "POST", path: "build/", header: map[string]string{"Authorization": ""}, status: 401, outcome: "refused"},
		"wrong token":         {method: "POST", path: "build/", header: map[string]string{"Authorization": "Bearer x"}, status: 401, outcome: "refused"},
		"no such service":     {method: "POST", path: "none/", status: 404, outcome: "refused"},
		"body over the limit": {method: "POST", path: "build/", body: strings.Repeat("x", 1001), status: 413, outcome: "refused"},
		"malformed priority":  {method: "POST", path: "build/", header: map[string]string{"Priority": "u=9"}, status: 400, outcome: "refused", want: "Priority"},
		"malformed timeout":   {method: "POST", path: "build/", header: map[string]string{"Request-Timeout": "-1"}, status: 400, outcome: "refused", want: "Request-Timeout"},
		"idempotency key":     {method: "POST", path: "build/", header: map[string]string{"Idempotency-Key": "one"}, body: "k", status: 200, outcome: "answered", want: "k"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			response, text := f.call(t, tc.method, receiver.PathServices+tc.path, tc.header, tc.body)
			must.Eq(t, tc.status, response.StatusCode)
			must.Eq(t, tc.outcome, response.Header.Get(receiver.HeaderOutcome))
			must.StrContains(t, text, tc.want)
			if tc.outcome == "refused" {
				must.Eq(t, "application/problem+json", response.Header.Get("Content-Type"))
			}
		})
	}
	response, text := f.call(t, "POST", receiver.PathServices+"build/", map[string]string{"Idempotency-Key": "twice"}, "b")
	must.Eq(t, "", response.Header.Get(receiver.HeaderReplayed))
	must.Eq(t, "b", text)
	response, text = f.call(t, "POST", receiver.PathServices+"build/", map[string]string{"Idempotency-Key": "twice"}, "b")
	must.Eq(t, "true", response.Header.Get(receiver.HeaderReplayed))
	must.Eq(t, "b", text)
	f.checkStarts()
}

// TestEndpointFaults checks the outcome that a caller gets if the endpoint fails: an attempt
// that may have run must not be reported as refused.
func TestEndpointFaults(t *testing.T) {
	tests := map[string]struct {
		faults  emulator.Faults
		service string
		status  int
		outcome string
	}{
		"truncated answer, not idempotent": {faults: emulator.Faults{Truncate: 1}, service: "build", status: 502, outcome: "unknown"},
		"truncated answer, idempotent":     {faults: emulator.Faults{Truncate: 1}, service: "check", status: 502, outcome: "unknown"},
		"server error":                     {faults: emulator.Faults{Fail: 1}, service: "build", status: 500, outcome: "failed"},
		"no answer":                        {faults: emulator.Faults{Hang: 1}, service: "build", status: 504, outcome: "unknown"},
		"late answer":                      {faults: emulator.Faults{Late: 1, LateBy: 2 * time.Second}, service: "build", status: 504, outcome: "unknown"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, f := newTestServer(t, tc.faults)
			response, _ := f.call(t, "POST", receiver.PathServices+tc.service+"/", map[string]string{"Request-Timeout": "1"}, "some body")
			must.Eq(t, tc.status, response.StatusCode)
			must.Eq(t, tc.outcome, response.Header.Get(receiver.HeaderOutcome))
		})
	}
}

func TestRequestsWithoutValidTokenAreRejected(t *testing.T) {
	_, f := newTestServer(t, emulator.Faults{})
	settings := f.daemons[0].settings
	tests := map[string]struct{ address, path, token string }{
		"announce without token":          {address: settings.Listen.Endpoints, path: "/v1/announce"},
		"announce with a wrong token":     {address: settings.Listen.Endpoints, path: "/v1/announce", token: "wrong-token-0123456789"},
		"operator call without token":     {address: settings.Listen.Operators, path: encoder.OperatorPathPrefix + "Get"},
		"metrics without token":           {address: settings.Listen.Operators, path: "/metrics"},
		"status without token":            {address: settings.Listen.Operators, path: "/status"},
		"peer message with a wrong token": {address: settings.Listen.Peers, path: encoder.PeerPathPrefix + "Deliver", token: "wrong-token-0123456789"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r, err := http.NewRequest(http.MethodPost, "http://"+tc.address+tc.path, bytes.NewReader([]byte(`{}`)))
			must.NoError(t, err)
			r.Header.Set("Content-Type", "application/json")
			if tc.token != "" {
				r.Header.Set("Authorization", "Bearer "+tc.token)
			}
			response, err := http.DefaultClient.Do(r)
			must.NoError(t, err)
			text, err := io.ReadAll(response.Body)
			must.NoError(t, err)
			must.NoError(t, response.Body.Close())
			must.Eq(t, http.StatusUnauthorized, response.StatusCode)
			must.Eq(t, "Unauthorized\n", string(text))
		})
	}
}

// TestAnnouncementContract checks that an invalid announcement is rejected with the field
// that is wrong.
func TestAnnouncementContract(t *testing.T) {
	_, f := newTestServer(t, emulator.Faults{})
	tests := map[string]struct {
		body   string
		status int
		want   string
	}{
		"valid":       {body: `{"instance": "n", "incarnation": 5, "address": "127.0.0.1:9", "slots": 1}`, status: 200, want: "intervalSeconds"},
		"malformed":   {body: `{`, status: 400, want: "malformed"},
		"no instance": {body: `{"incarnation": 5, "address": "127.0.0.1:9", "slots": 1}`, status: 400, want: "instance"},
		"no address":  {body: `{"instance": "n", "incarnation": 5, "slots": 1}`, status: 400, want: "address"},
		"no slots":    {body: `{"instance": "n", "incarnation": 5, "address": "127.0.0.1:9"}`, status: 400, want: "slots"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r, err := http.NewRequest(http.MethodPost, "http://"+f.daemons[0].settings.Listen.Endpoints+"/v1/announce", strings.NewReader(tc.body))
			must.NoError(t, err)
			r.Header.Set("Authorization", "Bearer "+DevToken)
			response, err := http.DefaultClient.Do(r)
			must.NoError(t, err)
			text, err := io.ReadAll(response.Body)
			must.NoError(t, err)
			must.NoError(t, response.Body.Close())
			must.Eq(t, tc.status, response.StatusCode)
			must.StrContains(t, string(text), tc.want)
		})
	}
}

// TestIncompleteHeaderTimesOut guards against a caller that holds a connection open
// by never completing its request header.
func TestIncompleteHeaderTimesOut(t *testing.T) {
	_, f := newTestServer(t, emulator.Faults{})
	conn, err := net.Dial("tcp", f.daemons[0].settings.Listen.Callers)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /v1/services/build/ HTTP/1.1\r\nHost: x\r\n") // the header is never completed
	must.NoError(t, err)
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(2*readHeaderTimeout)))
	_, err = io.ReadAll(conn)
	must.NoError(t, err) // the server closed the connection before the deadline
}

// TestOperatorContract checks that operators' calls that can't be accepted return an error or
// the outcome "conflict".
func TestOperatorContract(t *testing.T) {
	_, f := newTestServer(t, emulator.Faults{})
	ctx := context.Background()
	client := f.daemons[0].operator()
	tests := map[string]struct {
		call func() (*encoder.Outcome, error)
		code string
		err  string
	}{
		"stale revision": {
			call: func() (*encoder.Outcome, error) {
				return client.Apply(ctx, &encoder.ApplyRequest{Declarations: testDeclarations(1), ChangeId: "x"})
			},
			code: "conflict",
		},
		"no change ID": {
			call: func() (*encoder.Outcome, error) { return client.Apply(ctx, &encoder.ApplyRequest{}) },
			err:  "changeId",
		},
		"unknown instance": {
			call: func() (*encoder.Outcome, error) {
				return client.Move(ctx, &encoder.MoveRequest{Action: "drain", Instance: "none", ChangeId: "y"})
			},
			err: "no instance none",
		},
		"stop of an unknown wave": {
			call: func() (*encoder.Outcome, error) {
				return client.Maintain(ctx, &encoder.WaveRequest{Action: "stop", Wave: 3, ChangeId: "z"})
			},
			code: "conflict",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			out, err := tc.call()
			if tc.err != "" {
				must.ErrorContains(t, err, tc.err)
				return
			}
			must.NoError(t, err)
			must.Eq(t, tc.code, out.GetCode())
		})
	}
}
