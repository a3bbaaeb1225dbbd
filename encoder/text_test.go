package encoder

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"laburnumwind/claimer"
	"laburnumwind/messenger"
	"laburnumwind/registrar"
	"laburnumwind/replicator"
)

// notUTF8 is a text that is not valid UTF-8, as it can arrive in a path or in a header.
const notUTF8 = "\xff\xfe"

// TestWritesWithAnyText guards against an entry that the leader can write but no replica can read: it blocked all
// later commits, and the leader could not start again from its disk.
func TestWritesWithAnyText(t *testing.T) {
	tests := map[string]func(*testing.T){
		"ID of a removed worker": func(t *testing.T) {
			roundTrip(t, JobsCodec(), registrar.Command{RemovedWorkers: []string{notUTF8}})
		},
		"label of a worker": func(t *testing.T) {
			roundTrip(t, JobsCodec(), registrar.Command{Workers: []registrar.Worker{{ID: "i-1", Labels: []string{notUTF8}}}})
		},
		"payload of a job": func(t *testing.T) {
			roundTrip(t, JobsCodec(), registrar.Command{Submit: &registrar.Job{ID: "j", Payload: notUTF8}})
		},
		"more removed workers than CBOR libraries read by default": func(t *testing.T) {
			roundTrip(t, JobsCodec(), registrar.Command{RemovedWorkers: make([]string, 1<<17+1)})
		},
		"header value of a recorded answer": func(t *testing.T) {
			roundTrip(t, ClaimsCodec(), claimer.Command{
				Kind: claimer.SettleKey, Key: "k", Answer: messenger.Answer{Status: 200, Header: []messenger.Field{{Name: "X-Title", Value: notUTF8}}},
			})
		},
	}
	for name, run := range tests {
		t.Run(name, run)
	}
}

// roundTrip checks that a command survives a record on disk and a message between replicas.
func roundTrip[C, S, R any](t *testing.T, codec Codec[C, S, R], command C) {
	t.Helper()
	entries := []replicator.Entry[C]{{Index: 2, Term: 1, Kind: replicator.CommandEntry, Command: command}}
	record, err := codec.MarshalWrite(replicator.Write[C, S]{Term: 1, ReplaceFrom: 2, Entries: entries})
	must.NoError(t, err)
	w, err := codec.UnmarshalWrite(record)
	must.NoError(t, err)
	must.Eq(t, command, w.Entries[0].Command)
	data, err := proto.Marshal(codec.EncodeMessage(replicator.Message[C, S, R]{Kind: replicator.Append, Entries: entries}))
	must.NoError(t, err)
	var encoded GroupMessage
	must.NoError(t, proto.Unmarshal(data, &encoded))
	m, err := codec.DecodeMessage(&encoded)
	must.NoError(t, err)
	must.Eq(t, command, m.Entries[0].Command)
}
