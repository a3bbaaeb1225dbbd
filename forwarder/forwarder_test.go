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

// serveRaw answers every connection with some bytes and closes it.
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

func exchange(t *testing.T, address string, anyLength bool) messenger.Exchange {
	done := buffer.NewRing[messenger.Exchange](1)
	f := NewForwarder(Config{
		Entry: "a1-run", Senders: 1, Ring: 1, MaxAnswer: 64, Client: http.DefaultClient, Clock: time.Now,
		Done: func(x messenger.Exchange) { done.TryPut(x) }, AnyLength: anyLength,
	})
	defer f.Stop(t.Context())
	f.Put(messenger.Send{Request: messenger.Request{
		ID: 7, Method: http.MethodPost, Path: "/", Body: []byte("b"), Deadline: time.Now().Add(5 * time.Second),
		Endpoint: messenger.Endpoint{Instance: "w1", Address: address},
	}})
	return <-done.Out()
}

// TestOnlyWholeAnswers shows too that without the check of lengths an answer that was cut short passes as whole.
func TestOnlyWholeAnswers(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n"
	tests := map[string]struct {
		answer string
		want   messenger.ExchangeKind
		body   string
		cut    bool // passes as whole without the check
	}{
		"whole":                       {answer: head + "Content-Length: 4\r\n\r\nfour", want: messenger.Whole, body: "four"},
		"whole, in chunks":            {answer: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n", want: messenger.Whole, body: "four"},
		"shorter than it says":        {answer: head + "Content-Length: 9\r\n\r\nfour", want: messenger.Cut, cut: true},
		"without its last chunk":      {answer: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n", want: messenger.Cut, cut: true},
		"in the middle of its header": {answer: head + "Content-Le", want: messenger.Cut},
		"no byte":                     {answer: "", want: messenger.Cut},
		"no HTTP":                     {answer: "hello\r\n\r\n", want: messenger.Cut},
		"larger than the bound":       {answer: head + "Content-Length: 65\r\n\r\n" + strings.Repeat("x", 65), want: messenger.TooBig},
		"larger, in chunks":           {answer: head + "Transfer-Encoding: chunked\r\n\r\n41\r\n" + strings.Repeat("x", 65) + "\r\n0\r\n\r\n", want: messenger.TooBig},
		"it did not start":            {answer: head + "Laburnum-Not-Started: full\r\nContent-Length: 0\r\n\r\n", want: messenger.NotStarted},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			address := serveRaw(t, tc.answer)
			x := exchange(t, address, false)
			must.Eq(t, tc.want, x.Kind)
			must.Eq(t, tc.body, string(x.Answer.Body))
			if tc.cut {
				must.Eq(t, messenger.Whole, exchange(t, address, true).Kind)
			}
		})
	}
}

// TestUnsentOnlyIfNothingWasSent checks the line between an attempt that surely
// did not start and one that may have.
func TestUnsentOnlyIfNothingWasSent(t *testing.T) {
	hangs := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer hangs.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, closed.Close())
	tests := map[string]struct {
		address string
		want    messenger.ExchangeKind
	}{
		"nobody listens":       {address: closed.Addr().String(), want: messenger.Unsent},
		"an address of no use": {address: "not an address", want: messenger.Unsent},
		"no answer":            {address: hangs.Listener.Addr().String(), want: messenger.Late},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			done := buffer.NewRing[messenger.Exchange](1)
			f := NewForwarder(Config{Entry: "a1-run", Senders: 1, Ring: 1, MaxAnswer: 64, Client: http.DefaultClient, Clock: time.Now, Done: func(x messenger.Exchange) { done.TryPut(x) }})
			defer f.Stop(t.Context())
			f.Put(messenger.Send{Request: messenger.Request{
				Method: http.MethodPost, Path: "/", Deadline: time.Now().Add(300 * time.Millisecond),
				Endpoint: messenger.Endpoint{Address: tc.address},
			}})
			x := <-done.Out()
			must.Eq(t, tc.want, x.Kind, must.Sprint(fmt.Sprintf("%+v", x)))
		})
	}
}
