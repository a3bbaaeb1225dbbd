package registrar

import (
	"time"

	"github.com/benbjohnson/immutable"
)

// Silence records that a worker does not answer its leader. From the proposal of the record on, no leader grants the
// worker a lease until the removal of the record is committed. Every Command.Workers entry of the worker removes it.
type Silence struct {
	Worker         string        `cbor:"1,keyasint,omitempty"`
	Incarnation    int64         `cbor:"2,keyasint,omitempty"` // of the worker
	Term           uint64        `cbor:"3,keyasint,omitempty"` // of the leader that made the record
	Number         uint64        `cbor:"4,keyasint,omitempty"` // differs between the records of one leader for the same worker
	LeaseRemaining time.Duration `cbor:"5,keyasint,omitempty"` // upper bound of the time that leases of the worker still last, at the proposal of the record
}

// Takeover is committed by each new leader that keeps the records of silent workers. A leader of a version that does
// not know the records may grant leases in spite of them, and commits no Takeover. So the records are dropped if the
// leader before committed none.
type Takeover struct {
	Term         uint64 `cbor:"1,keyasint,omitempty"` // of the leader
	PreviousTerm uint64 `cbor:"2,keyasint,omitempty"` // term of the last log entry before those of the leader
}

// Silence returns the record of a worker's silence, or false if there is none.
func (s State) Silence(worker string) (Silence, bool) { return s.silences.Get(worker) }

// EachSilence calls visit with the record of every silent worker.
func (s State) EachSilence(visit func(Silence)) {
	for it := s.silences.Iterator(); !it.Done(); {
		_, r, _ := it.Next()
		visit(r)
	}
}

// HasSilencesOf reports whether s has the records of silent workers that o has, unchanged since.
func (s State) HasSilencesOf(o State) bool { return s.silences == o.silences }

// KeptSilences reports whether every leader since the first record has kept the records, up to the leader of the given
// term. Without that, a lease may have been granted in spite of a record.
func (s State) KeptSilences(term uint64) bool { return term == s.silencesKeptBy }

// withTakeover notes that a leader keeps the records, and drops those that its predecessor may not have kept.
func (s State) withTakeover(t Takeover) State {
	if !s.KeptSilences(t.PreviousTerm) {
		s.silences = immutable.NewMap[string, Silence](nil)
	}
	s.silencesKeptBy = t.Term
	return s
}

// withSilence adds the record of a worker, unless that is not registered or has restarted since.
func (s State) withSilence(r Silence) State {
	w, ok := s.workers.Get(r.Worker)
	if ok && w.Incarnation == r.Incarnation {
		s.silences = s.silences.Set(r.Worker, r)
	}
	return s
}

// withoutSilence removes the record of a worker, if there is one.
func (s State) withoutSilence(worker string) State {
	_, ok := s.silences.Get(worker)
	if ok {
		s.silences = s.silences.Delete(worker)
	}
	return s
}
