package encoder

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"laburnumwind/claimer"
	"laburnumwind/keeper"
	"laburnumwind/replicator"
)

// Codec encodes what one replicated group sends and stores.
// Its fields are what differs between the groups.
type Codec[C, S, R any] struct {
	setCommand func(*Entry, C)
	command    func(*Entry) (C, error)
	setMachine func(*Snapshot, S)
	machine    func(*Snapshot) (S, error)
	setCall    func(*GroupMessage, C, R)
	call       func(*GroupMessage) (C, R, error)
}

// DeclarationsCodec is the codec of the declarations group.
func DeclarationsCodec() Codec[keeper.Command, keeper.State, keeper.Result] {
	return Codec[keeper.Command, keeper.State, keeper.Result]{
		setCommand: func(e *Entry, c keeper.Command) { e.Command = fromCommand(c) },
		command:    func(e *Entry) (keeper.Command, error) { return toCommand(e.GetCommand()) },
		setMachine: func(s *Snapshot, m keeper.State) { s.Image = fromImage(m) },
		machine:    func(s *Snapshot) (keeper.State, error) { return toImage(s.GetImage()) },
		setCall: func(m *GroupMessage, c keeper.Command, r keeper.Result) {
			m.Command, m.Result = fromCommand(c), fromResult(r)
		},
		call: func(m *GroupMessage) (keeper.Command, keeper.Result, error) {
			c, err := toCommand(m.GetCommand())
			return c, toResult(m.GetResult()), err
		},
	}
}

// ClaimsCodec is the codec of the claims group.
func ClaimsCodec() Codec[claimer.Command, claimer.Register, claimer.Result] {
	return Codec[claimer.Command, claimer.Register, claimer.Result]{
		setCommand: func(e *Entry, c claimer.Command) { e.Claim = fromClaimCommand(c) },
		command:    func(e *Entry) (claimer.Command, error) { return toClaimCommand(e.GetClaim()), nil },
		setMachine: func(s *Snapshot, m claimer.Register) { s.Register = fromRegister(m) },
		machine:    func(s *Snapshot) (claimer.Register, error) { return toRegister(s.GetRegister()), nil },
		setCall: func(m *GroupMessage, c claimer.Command, r claimer.Result) {
			m.Claim, m.ClaimResult = fromClaimCommand(c), fromClaimResult(r)
		},
		call: func(m *GroupMessage) (claimer.Command, claimer.Result, error) {
			return toClaimCommand(m.GetClaim()), toClaimResult(m.GetClaimResult()), nil
		},
	}
}

func fromMember(m replicator.Member) *Member { return &Member{Name: m.Name, Disk: m.Disk} }

func toMember(m *Member) replicator.Member {
	return replicator.Member{Name: m.GetName(), Disk: m.GetDisk()}
}

func (k Codec[C, S, R]) fromEntry(e replicator.Entry[C]) *Entry {
	out := &Entry{
		Index:   e.Index,
		Term:    e.Term,
		At:      fromTime(e.At),
		Kind:    int32(e.Kind),
		Members: each(e.Members, fromMember),
		Origin:  e.Origin,
		Ticket:  e.Ticket,
	}
	if e.Kind == replicator.CommandOf {
		k.setCommand(out, e.Command)
	}
	return out
}

func (k Codec[C, S, R]) toEntries(entries []*Entry) ([]replicator.Entry[C], error) {
	var out []replicator.Entry[C]
	for _, e := range entries {
		entry := replicator.Entry[C]{
			Index:   e.GetIndex(),
			Term:    e.GetTerm(),
			At:      toTime(e.GetAt()),
			Kind:    replicator.EntryKind(e.GetKind()),
			Members: each(e.GetMembers(), toMember),
			Origin:  e.GetOrigin(),
			Ticket:  e.GetTicket(),
		}
		if entry.Kind == replicator.CommandOf {
			command, err := k.command(e)
			if err != nil {
				return nil, fmt.Errorf("read entry %d: %w", entry.Index, err)
			}
			entry.Command = command
		}
		out = append(out, entry)
	}
	return out, nil
}

func (k Codec[C, S, R]) fromSnapshot(s *replicator.Snapshot[S]) *Snapshot {
	if s == nil {
		return nil
	}
	out := &Snapshot{Index: s.Index, Term: s.Term, Members: each(s.Members, fromMember)}
	k.setMachine(out, s.Machine)
	return out
}

func (k Codec[C, S, R]) toSnapshot(s *Snapshot) (*replicator.Snapshot[S], error) {
	if s == nil {
		return nil, nil
	}
	machine, err := k.machine(s)
	if err != nil {
		return nil, fmt.Errorf("read snapshot %d: %w", s.GetIndex(), err)
	}
	return &replicator.Snapshot[S]{
		Index:   s.GetIndex(),
		Term:    s.GetTerm(),
		Members: each(s.GetMembers(), toMember),
		Machine: machine,
	}, nil
}

// FromMessage returns a message between nodes as protobuf.
func (k Codec[C, S, R]) FromMessage(m replicator.Message[C, S, R]) *GroupMessage {
	out := &GroupMessage{
		Kind:     int32(m.Kind),
		From:     m.From,
		Disk:     m.Disk,
		To:       m.To,
		Term:     m.Term,
		Index:    m.Index,
		LogTerm:  m.LogTerm,
		Commit:   m.Commit,
		Entries:  each(m.Entries, k.fromEntry),
		Snapshot: k.fromSnapshot(m.Snapshot),
		Granted:  m.Granted,
		Leased:   m.Leased,
		SentAt:   fromTime(m.SentAt),
		Echo:     fromTime(m.Echo),
		Ticket:   m.Ticket,
		Failed:   m.Failed,
		Passed:   m.Passed,
		Beat:     m.Beat,
		Resigned: m.Resigned,
	}
	if m.Kind == replicator.Propose || m.Kind == replicator.ProposeReply {
		k.setCall(out, m.Command, m.Result)
	}
	return out
}

// ToMessage is the inverse of FromMessage.
func (k Codec[C, S, R]) ToMessage(m *GroupMessage) (replicator.Message[C, S, R], error) {
	var none replicator.Message[C, S, R]
	entries, err := k.toEntries(m.GetEntries())
	if err != nil {
		return none, fmt.Errorf("read message: %w", err)
	}
	snapshot, err := k.toSnapshot(m.GetSnapshot())
	if err != nil {
		return none, fmt.Errorf("read message: %w", err)
	}
	out := replicator.Message[C, S, R]{
		Kind:     replicator.Kind(m.GetKind()),
		From:     m.GetFrom(),
		Disk:     m.GetDisk(),
		To:       m.GetTo(),
		Term:     m.GetTerm(),
		Index:    m.GetIndex(),
		LogTerm:  m.GetLogTerm(),
		Commit:   m.GetCommit(),
		Entries:  entries,
		Snapshot: snapshot,
		Granted:  m.GetGranted(),
		Leased:   m.GetLeased(),
		SentAt:   toTime(m.GetSentAt()),
		Echo:     toTime(m.GetEcho()),
		Ticket:   m.GetTicket(),
		Failed:   m.GetFailed(),
		Passed:   m.GetPassed(),
		Beat:     m.GetBeat(),
		Resigned: m.GetResigned(),
	}
	if out.Kind == replicator.Install && snapshot == nil {
		return none, fmt.Errorf("install without a snapshot: %w", ErrMalformed)
	}
	if out.Kind == replicator.Propose || out.Kind == replicator.ProposeReply {
		out.Command, out.Result, err = k.call(m)
		if err != nil {
			return none, fmt.Errorf("read message: %w", err)
		}
	}
	return out, nil
}

// MarshalWrite returns a write as a record for the disk.
func (k Codec[C, S, R]) MarshalWrite(w replicator.Write[C, S]) ([]byte, error) {
	data, err := proto.Marshal(&Write{
		Term:     w.Term,
		VotedFor: w.VotedFor,
		From:     w.From,
		Entries:  each(w.Entries, k.fromEntry),
		Snapshot: k.fromSnapshot(w.Snapshot),
	})
	if err != nil {
		return nil, fmt.Errorf("encode write: %w", err)
	}
	return data, nil
}

// UnmarshalWrite is the inverse of MarshalWrite.
func (k Codec[C, S, R]) UnmarshalWrite(data []byte) (replicator.Write[C, S], error) {
	var w Write
	var none replicator.Write[C, S]
	err := proto.Unmarshal(data, &w)
	if err != nil {
		return none, fmt.Errorf("decode write: %w", err)
	}
	entries, err := k.toEntries(w.GetEntries())
	if err != nil {
		return none, fmt.Errorf("decode write: %w", err)
	}
	snapshot, err := k.toSnapshot(w.GetSnapshot())
	if err != nil {
		return none, fmt.Errorf("decode write: %w", err)
	}
	return replicator.Write[C, S]{
		Term:     w.GetTerm(),
		VotedFor: w.GetVotedFor(),
		From:     w.GetFrom(),
		Entries:  entries,
		Snapshot: snapshot,
	}, nil
}
