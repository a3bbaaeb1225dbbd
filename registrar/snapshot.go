package registrar

import "time"

// Snapshot is the state in exported fields, as it is written to the snapshots of the
// log.
type Snapshot struct {
	Config  Config   `cbor:"1,keyasint,omitempty"`
	Active  []Job    `cbor:"2,keyasint,omitempty"`
	Ended   []Job    `cbor:"3,keyasint,omitempty"`
	Workers []Worker `cbor:"4,keyasint,omitempty"`
	Waves   []Wave   `cbor:"5,keyasint,omitempty"`
	NextSeq uint64   `cbor:"6,keyasint,omitempty"`

	LastOrders map[string]int64 `cbor:"7,keyasint,omitempty"`
	Departures []Departure      `cbor:"8,keyasint,omitempty"`

	MachineOrders []MachineOrder `cbor:"9,keyasint,omitempty"` // the last order for each machine in LastOrders

	Silences       []Silence `cbor:"31,keyasint,omitempty"`
	SilencesKeptBy uint64    `cbor:"32,keyasint,omitempty"`
}

// Snapshot returns a snapshot of the state.
func (s State) Snapshot() Snapshot {
	snapshot := Snapshot{Config: s.config, NextSeq: s.nextSeq}
	s.EachActive(func(j Job) { snapshot.Active = append(snapshot.Active, j) })
	for it := s.ended.Iterator(); !it.Done(); {
		_, j, _ := it.Next()
		snapshot.Ended = append(snapshot.Ended, j)
	}
	s.EachWorker(func(w Worker) { snapshot.Workers = append(snapshot.Workers, w) })
	s.EachWave(func(w Wave) { snapshot.Waves = append(snapshot.Waves, w) })
	snapshot.LastOrders = make(map[string]int64, s.lastOrders.Len())
	for it := s.lastOrders.Iterator(); !it.Done(); {
		m, order, _ := it.Next()
		snapshot.LastOrders[m] = order.At.UnixNano()
		snapshot.MachineOrders = append(snapshot.MachineOrders, order.MachineOrder)
	}
	for it := s.departures.Iterator(); !it.Done(); {
		_, d, _ := it.Next()
		snapshot.Departures = append(snapshot.Departures, d)
	}
	s.EachSilence(func(r Silence) { snapshot.Silences = append(snapshot.Silences, r) })
	snapshot.SilencesKeptBy = s.silencesKeptBy
	return snapshot
}

// FromSnapshot returns the state that a snapshot holds.
func FromSnapshot(snapshot Snapshot) State {
	s := NewState()
	s.config, s.nextSeq = snapshot.Config, max(snapshot.NextSeq, 1)
	for _, j := range snapshot.Active {
		s.active = s.active.With(j.Seq, j)
		s.seqs = s.seqs.Set(j.ID, j.Seq)
		s = s.withRunningTasks(j)
	}
	for _, j := range snapshot.Ended {
		s.ended = s.ended.Set(j.ID, j)
	}
	for _, w := range snapshot.Workers {
		s.workers = s.workers.Set(w.ID, w)
	}
	for _, w := range snapshot.Waves {
		s.waves = s.waves.Set(w.ID, w)
	}
	for m, at := range snapshot.LastOrders {
		s.lastOrders = s.lastOrders.Set(m, LastOrder{MachineOrder: MachineOrder{Machine: m}, At: time.Unix(0, at)})
	}
	for _, order := range snapshot.MachineOrders {
		s.lastOrders = s.lastOrders.Set(order.Machine, LastOrder{MachineOrder: order, At: time.Unix(0, snapshot.LastOrders[order.Machine])})
	}
	for _, d := range snapshot.Departures {
		s.departures = s.departures.Set(d.Worker, d)
	}
	for _, r := range snapshot.Silences {
		s.silences = s.silences.Set(r.Worker, r)
	}
	s.silencesKeptBy = snapshot.SilencesKeptBy
	return s
}

// SnapshotCost returns the number of log entries that cost as much to write as a snapshot of the
// state. An ended job counts less than an active one, since it is kept without its payload and
// steps.
func (s State) SnapshotCost() uint64 {
	return uint64(s.active.Len()+s.ended.Len()/8) + 1
}
