package forwarder

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/buffer"
	"laburnumwind/messenger"
)

// serveRaw starts a server that answers each request with raw bytes and then closes the
// connection. It returns the address of the server.
func serveRaw(t *testing.T, answer string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		must.NoError(t, err)
		_, err = conn.Write([]byte(answer))
		must.NoError(t, err)
		must.NoError(t, conn.Close())
	})}
	t.Cleanup(func() { _ = server.Close() })
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	return l.Addr().String()
}

// runAttempt sends one attempt to an address and returns its result. With acceptTruncated,
// the forwarder does not check that the answer is complete.
func runAttempt(t *testing.T, address string, acceptTruncated bool) messenger.AttemptResult {
	done := buffer.NewRing[messenger.AttemptResult](1)
	f := NewForwarder(Config{
		Entry: "a1-run", Senders: 1, QueueCapacity: 1, MaxAnswer: 64, Client: http.DefaultClient, Clock: time.Now,
		OnDone: func(x messenger.AttemptResult) { done.TryPut(x) }, AcceptTruncated: acceptTruncated,
	})
	defer f.Stop(t.Context())
	f.Put(messenger.SendAttempt{Request: messenger.Request{
		ID: 7, Method: http.MethodPost, Path: "/", Body: []byte("b"), Deadline: time.Now().Add(5 * time.Second),
		Endpoint: messenger.Endpoint{Instance: "w1", Address: address},
	}})
	return <-done.Out()
}

// TestOnlyCompleteAnswers checks that a truncated answer isn't accepted. It also shows that
// without the length check a truncated answer would be accepted as complete.
func TestOnlyCompleteAnswers(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n"
	tests := map[string]struct {
		answer     string
		want       messenger.AttemptResultKind
		body       string
		undetected bool // accepted as complete without the length check
	}{
		"complete":                       {answer: head + "Content-Length: 4\r\n\r\nfour", want: messenger.CompleteResponse, body: "four"},
		"complete, chunked":              {answer: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n", want: messenger.CompleteResponse, body: "four"},
		"shorter than Content-Length":    {answer: head + "Content-Length: 9\r\n\r\nfour", want: messenger.IncompleteResponse, undetected: true},
		"last chunk missing":             {answer: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n", want: messenger.IncompleteResponse, undetected: true},
		"truncated header":               {answer: head + "Content-Le", want: messenger.IncompleteResponse},
		"no bytes":                       {answer: "", want: messenger.IncompleteResponse},
		"not HTTP":                       {answer: "hello\r\n\r\n", want: messenger.IncompleteResponse},
		"larger than the limit":          {answer: head + "Content-Length: 65\r\n\r\n" + strings.Repeat("x", 65), want: messenger.ResponseTooLarge},
		"larger than the limit, chunked": {answer: head + "Transfer-Encoding: chunked\r\n\r\n41\r\n" + strings.Repeat("x", 65) + "\r\n0\r\n\r\n", want: messenger.ResponseTooLarge},
		"not started":                    {answer: head + "Laburnum-Not-Started: full\r\nContent-Length: 0\r\n\r\n", want: messenger.AttemptNotStarted},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			address := serveRaw(t, tc.answer)
			x := runAttempt(t, address, false)
			must.Eq(t, tc.want, x.Kind)
			must.Eq(t, tc.body, string(x.Answer.Body))
			if tc.undetected {
				must.Eq(t, messenger.CompleteResponse, runAttempt(t, address, true).Kind)
			}
		})
	}
}

// TestRequestNotSentOnlyIfNoBytesWereSent checks that an attempt that may have started isn't
// reported as RequestNotSent, because the request would then be retried and could run twice.
func TestRequestNotSentOnlyIfNoBytesWereSent(t *testing.T) {
	hanging := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer hanging.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, closed.Close())
	tests := map[string]struct {
		address string
		want    messenger.AttemptResultKind
	}{
		"connection refused": {address: closed.Addr().String(), want: messenger.RequestNotSent},
		"invalid address":    {address: "not an address", want: messenger.RequestNotSent},
		"no answer":          {address: hanging.Listener.Addr().String(), want: messenger.ResponseTimeout},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			done := buffer.NewRing[messenger.AttemptResult](1)
			f := NewForwarder(Config{Entry: "a1-run", Senders: 1, QueueCapacity: 1, MaxAnswer: 64, Client: http.DefaultClient, Clock: time.Now, OnDone: func(x messenger.AttemptResult) { done.TryPut(x) }})
			defer f.Stop(t.Context())
			f.Put(messenger.SendAttempt{Request: messenger.Request{
				Method: http.MethodPost, Path: "/", Deadline: time.Now().Add(300 * time.Millisecond),
				Endpoint: messenger.Endpoint{Address: tc.address},
			}})
			x := <-done.Out()
			must.Eq(t, tc.want, x.Kind, must.Sprint(fmt.Sprintf("%+v", x)))
		})
	}
}
