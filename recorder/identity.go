package recorder

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// identityBytes is the length of the random part of a disk identity in bytes, before it is
// written in hexadecimal.
const identityBytes = 8

// InitialDiskID returns the identity of the disk of a voter in a new group. It depends on
// the name alone, so that each voter can list the disk identities of all voters.
func InitialDiskID(name string) string { return name + "/first" }

// NewDiskID returns a random identity for a new disk.
func NewDiskID(name string) string {
	random := make([]byte, identityBytes)
	_, _ = rand.Read(random) // never fails
	return name + "/" + hex.EncodeToString(random)
}

// ReadDiskID reads the disk identity from a data folder. It returns an empty string if
// the folder has none yet.
func ReadDiskID(folder string) (string, error) {
	data, err := os.ReadFile(identityPath(folder))
	if errors.Is(err, os.ErrNotExist) {
		return "", nil
	}
	if err != nil {
		return "", fmt.Errorf("read disk identity: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}

// WriteDiskID writes the disk identity of a data folder. It must be called after the
// logs are created, so that a folder with an identity always has logs.
func WriteDiskID(folder, diskID string) error {
	err := ReplaceFile(identityPath(folder), []byte(diskID+"\n"))
	if err != nil {
		return fmt.Errorf("write disk identity: %w", err)
	}
	return nil
}

func identityPath(folder string) string { return filepath.Join(folder, "identity") }
