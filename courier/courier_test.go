package courier

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/assembler"
	"laburnumwind/buffer"
	"laburnumwind/encoder"
	"laburnumwind/messenger"
	"laburnumwind/replicator"
)

// testInstance is one of two entry instances that are peers of each other.
type testInstance struct {
	courier  *Courier
	inbox    *Inbox
	received *buffer.Ring[replicator.Kind] // kinds of the received messages
	sent     *buffer.Ring[int]             // number of messages in each exchange that it started
}

// newTestInstance returns an entry instance that replies to each append message after the given delay.
func newTestInstance(t *testing.T, name string, peer Peer, delay time.Duration) *testInstance {
	s := &testInstance{received: buffer.NewRing[replicator.Kind](16), sent: buffer.NewRing[int](16)}
	replies := NewReplies()
	s.inbox = &Inbox{Replies: replies, Put: func(_ messenger.Stage, body any) bool {
		m, ok := body.(assembler.DeclarationsMessage)
		must.True(t, ok)
		if m.Kind == replicator.Append {
			time.AfterFunc(delay, func() {
				s.courier.Send(assembler.DeclarationsMessage{Kind: replicator.AppendReply, From: name, To: peer.Name})
			})
		}
		return s.received.TryPut(m.Kind)
	}}
	s.courier = NewCourier(Config{
		Name:      name,
		Peers:     []Peer{peer},
		Client:    http.DefaultClient,
		OnDropped: func(peer string) { t.Errorf("a message to %s was dropped", peer) },
		OnSent:    func(_ string, n, _ int) { s.sent.TryPut(n) },
		Replies:   replies,
		Receive:   s.inbox.ReceiveAll,
	})
	return s
}

// TestReplyIsSentInResponse checks which replies are sent in the response of the exchange that they
// answer: replies to heartbeats that are ready within replyWait, and never replies to other appends, which
// may have to wait for a disk sync.
func TestReplyIsSentInResponse(t *testing.T) {
	tests := map[string]struct {
		message    assembler.DeclarationsMessage
		delay      time.Duration
		inResponse bool
	}{
		"a heartbeat":                    {message: assembler.DeclarationsMessage{Kind: replicator.Append, HeartbeatOnly: true}, inResponse: true},
		"a heartbeat with a late reply":  {message: assembler.DeclarationsMessage{Kind: replicator.Append, HeartbeatOnly: true}, delay: 5 * replyWait},
		"an append that may need a sync": {message: assembler.DeclarationsMessage{Kind: replicator.Append}, delay: replyWait / 4},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			mux := http.NewServeMux()
			server := httptest.NewServer(mux)
			defer server.Close()
			a := newTestInstance(t, "a", Peer{Name: "b", URL: server.URL + "/b"}, 0)
			defer a.courier.Stop()
			b := newTestInstance(t, "b", Peer{Name: "a", URL: server.URL + "/a"}, tc.delay)
			defer b.courier.Stop()
			mux.Handle("/a/", http.StripPrefix("/a", encoder.NewPeerServer(a.inbox)))
			mux.Handle("/b/", http.StripPrefix("/b", encoder.NewPeerServer(b.inbox)))

			tc.message.From, tc.message.To = "a", "b"
			a.courier.Send(tc.message)
			must.Eq(t, replicator.AppendReply, <-a.received.Out())
			must.Eq(t, 1, <-a.sent.Out())
			if tc.inResponse {
				_, separate := b.sent.TryTake()
				must.False(t, separate, must.Sprint("the reply was sent in a separate exchange"))
				return
			}
			must.Eq(t, 1, <-b.sent.Out())
		})
	}
}

func TestRepliesKeepOneOpenExchangePerPeer(t *testing.T) {
	r := NewReplies()
	must.True(t, r.Open("a"))
	must.False(t, r.Open("a"))
	must.True(t, r.Open("b"))
	must.True(t, r.TryPut("a", &encoder.Envelope{}))
	must.False(t, r.TryPut("c", &encoder.Envelope{}))
	must.SliceLen(t, 1, r.Close("a", 1))
	must.False(t, r.TryPut("a", &encoder.Envelope{}), must.Sprint("a closed exchange accepted a reply"))
	must.SliceEmpty(t, r.Close("b", 0))
}
