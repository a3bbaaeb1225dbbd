package encoder

import (
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"

	"laburnumwind/registrar"
)

// decodeMode decodes everything that MarshalCBOR encodes. By default, the library rejects text that is not valid
// UTF-8 and long lists: a replica could not read what its leader has written.
var decodeMode = newDecodeMode()

func newDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid, MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// MarshalCBOR encodes a value as CBOR.
func MarshalCBOR(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode as CBOR: %w", err)
	}
	return data, nil
}

// UnmarshalCBOR decodes a value from CBOR.
func UnmarshalCBOR[T any](data []byte) (T, error) {
	var v T
	err := decodeMode.Unmarshal(data, &v)
	if err != nil {
		return v, fmt.Errorf("decode CBOR: %w", err)
	}
	return v, nil
}

// mustMarshal encodes a command, result or snapshot of the jobs group as CBOR. It panics on an error, which
// cannot occur because these types contain only values that CBOR supports.
func mustMarshal(v any) []byte {
	data, err := MarshalCBOR(v)
	if err != nil {
		panic(err)
	}
	return data
}

// JobsCodec returns the codec of the jobs group. Its commands, results and snapshots are CBOR within protobuf.
func JobsCodec() Codec[registrar.Command, registrar.State, registrar.Result] {
	return Codec[registrar.Command, registrar.State, registrar.Result]{
		encodeCommand: func(e *Entry, c registrar.Command) { e.JobCommand = mustMarshal(c) },
		decodeCommand: func(e *Entry) (registrar.Command, error) { return UnmarshalCBOR[registrar.Command](e.GetJobCommand()) },
		encodeMachine: func(s *Snapshot, m registrar.State) { s.Jobs = mustMarshal(m.Snapshot()) },
		decodeMachine: func(s *Snapshot) (registrar.State, error) {
			snapshot, err := UnmarshalCBOR[registrar.Snapshot](s.GetJobs())
			return registrar.FromSnapshot(snapshot), err
		},
		encodeProposal: func(m *GroupMessage, c registrar.Command, r registrar.Result) {
			m.JobCommand, m.JobResult = mustMarshal(c), mustMarshal(r)
		},
		decodeProposal: func(m *GroupMessage) (registrar.Command, registrar.Result, error) {
			c, err := UnmarshalCBOR[registrar.Command](m.GetJobCommand())
			if err != nil {
				return c, registrar.Result{}, err
			}
			r, err := UnmarshalCBOR[registrar.Result](m.GetJobResult())
			return c, r, err
		},
	}
}
