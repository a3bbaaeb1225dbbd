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

// side is one of two entry instances that know each other.
type side struct {
	courier *Courier
	inbox   *Inbox
	got     *buffer.Ring[replicator.Kind] // of the messages that came
	sent    *buffer.Ring[int]             // messages of each exchange that it made
}

// newSide answers each append after a while.
func newSide(t *testing.T, name string, peer Peer, after time.Duration) *side {
	s := &side{got: buffer.NewRing[replicator.Kind](16), sent: buffer.NewRing[int](16)}
	replies := NewReplies()
	s.inbox = &Inbox{Replies: replies, Put: func(_ messenger.Stage, body any) bool {
		m, ok := body.(assembler.DeclarationsMessage)
		must.True(t, ok)
		if m.Kind == replicator.Append {
			time.AfterFunc(after, func() {
				s.courier.Send(assembler.DeclarationsMessage{Kind: replicator.AppendReply, From: name, To: peer.Name})
			})
		}
		return s.got.TryPut(m.Kind)
	}}
	s.courier = NewCourier(Config{
		Name:    name,
		Peers:   []Peer{peer},
		Client:  http.DefaultClient,
		Dropped: func(peer string) { t.Errorf("a message to %s was dropped", peer) },
		Sent:    func(_ string, n, _ int) { s.sent.TryPut(n) },
		Replies: replies,
		Take:    s.inbox.TakeAll,
	})
	return s
}

func TestReplyGoesBackInItsExchange(t *testing.T) {
	tests := map[string]struct {
		message assembler.DeclarationsMessage
		after   time.Duration
		want    bool
	}{
		"a heartbeat":                    {message: assembler.DeclarationsMessage{Kind: replicator.Append, Beat: true}, want: true},
		"a heartbeat that is held up":    {message: assembler.DeclarationsMessage{Kind: replicator.Append, Beat: true}, after: 5 * replyWait},
		"an append, which may be synced": {message: assembler.DeclarationsMessage{Kind: replicator.Append}, after: replyWait / 4},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			mux := http.NewServeMux()
			server := httptest.NewServer(mux)
			defer server.Close()
			a := newSide(t, "a", Peer{Name: "b", URL: server.URL + "/b"}, 0)
			defer a.courier.Stop()
			b := newSide(t, "b", Peer{Name: "a", URL: server.URL + "/a"}, tc.after)
			defer b.courier.Stop()
			mux.Handle("/a/", http.StripPrefix("/a", encoder.NewPeerServer(a.inbox)))
			mux.Handle("/b/", http.StripPrefix("/b", encoder.NewPeerServer(b.inbox)))

			tc.message.From, tc.message.To = "a", "b"
			a.courier.Send(tc.message)
			must.Eq(t, replicator.AppendReply, <-a.got.Out())
			must.Eq(t, 1, <-a.sent.Out())
			if tc.want {
				_, own := b.sent.TryTake()
				must.False(t, own, must.Sprint("the reply went in an exchange of its own"))
				return
			}
			must.Eq(t, 1, <-b.sent.Out())
		})
	}
}

func TestOneExchangeIsOpen(t *testing.T) {
	r := NewReplies()
	must.True(t, r.Open("a"))
	must.False(t, r.Open("a"))
	must.True(t, r.Open("b"))
	must.True(t, r.TryPut("a", &encoder.Envelope{}))
	must.False(t, r.TryPut("c", &encoder.Envelope{}))
	must.SliceLen(t, 1, r.Close("a", 1))
	must.False(t, r.TryPut("a", &encoder.Envelope{}), must.Sprint("it is closed"))
	must.SliceEmpty(t, r.Close("b", 0))
}
