// Package recorder stores the logs and snapshots of the replicated groups on disk.
// A record is durable only once it is synced. Messages that depend on a record are sent
// only after that.
package recorder

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ErrCorrupt reports that a record was changed after it was written or that the files of a
// group are missing. The node must not vote with the part of the log that is left. It must
// be restarted with an empty data folder, as a learner.
var ErrCorrupt = eris.New("corrupt record")

const (
	headerBytes     = 16
	maxPayloadBytes = 256 << 20 // a header with a greater payload length is corrupt
)

// frameRecord returns a record: a header with the length of the payload, the checksum of
// the length and the checksum of the payload, and then the payload. The length has its own
// checksum because otherwise a changed length could look like a torn write.
func frameRecord(payload []byte) []byte {
	record := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(record[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(record[4:], uint32(xxhash.Sum64(record[:4])))
	binary.LittleEndian.PutUint64(record[8:], xxhash.Sum64(payload))
	return append(record, payload...)
}

// splitRecords returns the payloads of the records in data and the total length of the
// complete records in bytes. Bytes after them are a torn write. It returns ErrCorrupt if the
// length in a header has a wrong checksum or exceeds maxPayloadBytes, or if a record has
// all its bytes but its payload has a wrong checksum: it was changed after it was written.
func splitRecords(data []byte) (payloads [][]byte, validBytes int, err error) {
	for validBytes < len(data) {
		rest := data[validBytes:]
		if len(rest) < headerBytes {
			return payloads, validBytes, nil
		}
		if uint32(xxhash.Sum64(rest[:4])) != binary.LittleEndian.Uint32(rest[4:]) {
			return payloads, validBytes, ErrCorrupt
		}
		n := int(binary.LittleEndian.Uint32(rest))
		if n > maxPayloadBytes {
			return payloads, validBytes, ErrCorrupt
		}
		if len(rest) < headerBytes+n {
			return payloads, validBytes, nil
		}
		payload := rest[headerBytes : headerBytes+n]
		if xxhash.Sum64(payload) != binary.LittleEndian.Uint64(rest[8:]) {
			return payloads, validBytes, ErrCorrupt
		}
		payloads = append(payloads, payload)
		validBytes += headerBytes + n
	}
	return payloads, validBytes, nil
}
