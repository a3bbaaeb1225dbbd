package encoder

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"laburnumwind/claimer"
	"laburnumwind/keeper"
	"laburnumwind/replicator"
)

// Codec converts the messages and disk records of one replicated group to protobuf and back.
// Its fields convert the group's commands, state machine and results, which differ between the groups.
type Codec[C, S, R any] struct {
	encodeCommand  func(*Entry, C)
	decodeCommand  func(*Entry) (C, error)
	encodeMachine  func(*Snapshot, S)
	decodeMachine  func(*Snapshot) (S, error)
	encodeProposal func(*GroupMessage, C, R)
	decodeProposal func(*GroupMessage) (C, R, error)
}

// DeclarationsCodec returns the codec of the declarations group.
func DeclarationsCodec() Codec[keeper.Command, keeper.State, keeper.Result] {
	return Codec[keeper.Command, keeper.State, keeper.Result]{
		encodeCommand: func(e *Entry, c keeper.Command) { e.Command = encodeDeclarationsCommand(c) },
		decodeCommand: func(e *Entry) (keeper.Command, error) { return decodeDeclarationsCommand(e.GetCommand()) },
		encodeMachine: func(s *Snapshot, m keeper.State) { s.Image = encodeState(m) },
		decodeMachine: func(s *Snapshot) (keeper.State, error) { return decodeState(s.GetImage()) },
		encodeProposal: func(m *GroupMessage, c keeper.Command, r keeper.Result) {
			m.Command, m.Result = encodeDeclarationsCommand(c), encodeResult(r)
		},
		decodeProposal: func(m *GroupMessage) (keeper.Command, keeper.Result, error) {
			c, err := decodeDeclarationsCommand(m.GetCommand())
			return c, decodeResult(m.GetResult()), err
		},
	}
}

// ClaimsCodec returns the codec of the claims group.
func ClaimsCodec() Codec[claimer.Command, claimer.Claims, claimer.Result] {
	return Codec[claimer.Command, claimer.Claims, claimer.Result]{
		encodeCommand: func(e *Entry, c claimer.Command) { e.Claim = encodeClaimCommand(c) },
		decodeCommand: func(e *Entry) (claimer.Command, error) { return decodeClaimCommand(e.GetClaim()), nil },
		encodeMachine: func(s *Snapshot, m claimer.Claims) { s.Register = encodeClaims(m) },
		decodeMachine: func(s *Snapshot) (claimer.Claims, error) { return decodeClaims(s.GetRegister()), nil },
		encodeProposal: func(m *GroupMessage, c claimer.Command, r claimer.Result) {
			m.Claim, m.ClaimResult = encodeClaimCommand(c), encodeClaimResult(r)
		},
		decodeProposal: func(m *GroupMessage) (claimer.Command, claimer.Result, error) {
			return decodeClaimCommand(m.GetClaim()), decodeClaimResult(m.GetClaimResult()), nil
		},
	}
}

func encodeMember(m replicator.Member) *Member { return &Member{Name: m.Name, Disk: m.DiskID} }

func decodeMember(m *Member) replicator.Member {
	return replicator.Member{Name: m.GetName(), DiskID: m.GetDisk()}
}

func (k Codec[C, S, R]) encodeEntry(e replicator.Entry[C]) *Entry {
	out := &Entry{
		Index:   e.Index,
		Term:    e.Term,
		At:      encodeTime(e.At),
		Kind:    int32(e.Kind),
		Members: convertAll(e.Members, encodeMember),
		Origin:  e.Origin,
		Ticket:  e.ProposalID,
	}
	if e.Kind == replicator.CommandEntry {
		k.encodeCommand(out, e.Command)
	}
	return out
}

func (k Codec[C, S, R]) decodeEntries(entries []*Entry) ([]replicator.Entry[C], error) {
	var out []replicator.Entry[C]
	for _, e := range entries {
		entry := replicator.Entry[C]{
			Index:      e.GetIndex(),
			Term:       e.GetTerm(),
			At:         decodeTime(e.GetAt()),
			Kind:       replicator.EntryKind(e.GetKind()),
			Members:    convertAll(e.GetMembers(), decodeMember),
			Origin:     e.GetOrigin(),
			ProposalID: e.GetTicket(),
		}
		if entry.Kind == replicator.CommandEntry {
			command, err := k.decodeCommand(e)
			if err != nil {
				return nil, fmt.Errorf("decode entry %d: %w", entry.Index, err)
			}
			entry.Command = command
		}
		out = append(out, entry)
	}
	return out, nil
}

func (k Codec[C, S, R]) encodeSnapshot(s *replicator.Snapshot[S]) *Snapshot {
	if s == nil {
		return nil
	}
	out := &Snapshot{Index: s.Index, Term: s.Term, Members: convertAll(s.Members, encodeMember)}
	k.encodeMachine(out, s.Machine)
	return out
}

func (k Codec[C, S, R]) decodeSnapshot(s *Snapshot) (*replicator.Snapshot[S], error) {
	if s == nil {
		return nil, nil
	}
	machine, err := k.decodeMachine(s)
	if err != nil {
		return nil, fmt.Errorf("decode snapshot %d: %w", s.GetIndex(), err)
	}
	return &replicator.Snapshot[S]{
		Index:   s.GetIndex(),
		Term:    s.GetTerm(),
		Members: convertAll(s.GetMembers(), decodeMember),
		Machine: machine,
	}, nil
}

// EncodeMessage converts a message between nodes to protobuf.
func (k Codec[C, S, R]) EncodeMessage(m replicator.Message[C, S, R]) *GroupMessage {
	out := &GroupMessage{
		Kind:     int32(m.Kind),
		From:     m.From,
		Disk:     m.DiskID,
		To:       m.To,
		Term:     m.Term,
		Index:    m.Index,
		LogTerm:  m.LogTerm,
		Commit:   m.Commit,
		Entries:  convertAll(m.Entries, k.encodeEntry),
		Snapshot: k.encodeSnapshot(m.Snapshot),
		Granted:  m.Granted,
		Leased:   m.LeaseHeld,
		SentAt:   encodeTime(m.SentAt),
		Echo:     encodeTime(m.EchoedSentAt),
		Ticket:   m.ProposalID,
		Failed:   m.Failed,
		Passed:   m.Forwarded,
		Beat:     m.HeartbeatOnly,
		Learners: m.Learners,
		Stopping: m.Stopping,
		Resigned: m.LeaderTransfer,
	}
	if m.Kind == replicator.Propose || m.Kind == replicator.ProposeReply {
		k.encodeProposal(out, m.Command, m.Result)
	}
	return out
}

// DecodeMessage converts a protobuf message back. It returns an error if an entry, the snapshot or the
// command cannot be decoded, or if an InstallSnapshot message has no snapshot.
func (k Codec[C, S, R]) DecodeMessage(m *GroupMessage) (replicator.Message[C, S, R], error) {
	var zero replicator.Message[C, S, R]
	entries, err := k.decodeEntries(m.GetEntries())
	if err != nil {
		return zero, fmt.Errorf("decode message: %w", err)
	}
	snapshot, err := k.decodeSnapshot(m.GetSnapshot())
	if err != nil {
		return zero, fmt.Errorf("decode message: %w", err)
	}
	out := replicator.Message[C, S, R]{
		Kind:           replicator.Kind(m.GetKind()),
		From:           m.GetFrom(),
		DiskID:         m.GetDisk(),
		To:             m.GetTo(),
		Term:           m.GetTerm(),
		Index:          m.GetIndex(),
		LogTerm:        m.GetLogTerm(),
		Commit:         m.GetCommit(),
		Entries:        entries,
		Snapshot:       snapshot,
		Granted:        m.GetGranted(),
		LeaseHeld:      m.GetLeased(),
		SentAt:         decodeTime(m.GetSentAt()),
		EchoedSentAt:   decodeTime(m.GetEcho()),
		ProposalID:     m.GetTicket(),
		Failed:         m.GetFailed(),
		Forwarded:      m.GetPassed(),
		HeartbeatOnly:  m.GetBeat(),
		Learners:       m.GetLearners(),
		Stopping:       m.GetStopping(),
		LeaderTransfer: m.GetResigned(),
	}
	if out.Kind == replicator.InstallSnapshot && snapshot == nil {
		return zero, fmt.Errorf("InstallSnapshot message has no snapshot: %w", ErrMalformed)
	}
	if out.Kind == replicator.Propose || out.Kind == replicator.ProposeReply {
		out.Command, out.Result, err = k.decodeProposal(m)
		if err != nil {
			return zero, fmt.Errorf("decode message: %w", err)
		}
	}
	return out, nil
}

// MarshalWrite encodes a write as a disk record.
func (k Codec[C, S, R]) MarshalWrite(w replicator.Write[C, S]) ([]byte, error) {
	data, err := proto.Marshal(&Write{
		Term:     w.Term,
		VotedFor: w.VotedFor,
		From:     w.ReplaceFrom,
		Entries:  convertAll(w.Entries, k.encodeEntry),
		Snapshot: k.encodeSnapshot(w.Snapshot),
	})
	if err != nil {
		return nil, fmt.Errorf("encode write: %w", err)
	}
	return data, nil
}

// UnmarshalWrite decodes a disk record that MarshalWrite encoded.
func (k Codec[C, S, R]) UnmarshalWrite(data []byte) (replicator.Write[C, S], error) {
	var w Write
	var zero replicator.Write[C, S]
	err := proto.Unmarshal(data, &w)
	if err != nil {
		return zero, fmt.Errorf("decode write: %w", err)
	}
	entries, err := k.decodeEntries(w.GetEntries())
	if err != nil {
		return zero, fmt.Errorf("decode write: %w", err)
	}
	snapshot, err := k.decodeSnapshot(w.GetSnapshot())
	if err != nil {
		return zero, fmt.Errorf("decode write: %w", err)
	}
	return replicator.Write[C, S]{
		Term:        w.GetTerm(),
		VotedFor:    w.GetVotedFor(),
		ReplaceFrom: w.GetFrom(),
		Entries:     entries,
		Snapshot:    snapshot,
	}, nil
}
