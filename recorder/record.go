// Package recorder keeps the logs of the replicated groups on disk.
// A record lasts only once it is synced, and nothing that rests on it goes out before.
package recorder

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ErrCorrupt reports a record that was whole once and no longer is.
// The voter must not vote with what is left: it starts again with an empty folder, as a learner.
var ErrCorrupt = eris.New("corrupt record")

const (
	headerBytes = 16
	maxRecord   = 256 << 20 // bytes
)

// frame puts length and checksums before a payload.
func frame(payload []byte) []byte {
	out := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(out[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(out[4:], uint32(xxhash.Sum64(out[:4])))
	binary.LittleEndian.PutUint64(out[8:], xxhash.Sum64(payload))
	return append(out, payload...)
}

// split takes the records of a log apart. It returns the length of the whole
// records: what lies behind is a torn write. A record that has all its bytes
// and a wrong checksum was changed after it was written.
func split(data []byte) (payloads [][]byte, whole int, err error) {
	for whole < len(data) {
		rest := data[whole:]
		if len(rest) < headerBytes {
			return payloads, whole, nil
		}
		if uint32(xxhash.Sum64(rest[:4])) != binary.LittleEndian.Uint32(rest[4:]) {
			return payloads, whole, ErrCorrupt
		}
		n := int(binary.LittleEndian.Uint32(rest))
		if n > maxRecord {
			return payloads, whole, ErrCorrupt
		}
		if len(rest) < headerBytes+n {
			return payloads, whole, nil
		}
		payload := rest[headerBytes : headerBytes+n]
		if xxhash.Sum64(payload) != binary.LittleEndian.Uint64(rest[8:]) {
			return payloads, whole, ErrCorrupt
		}
		payloads = append(payloads, payload)
		whole += headerBytes + n
	}
	return payloads, whole, nil
}
