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

// diskIDRandomBytes is the length of the random part of a disk ID in bytes, before it is
// written in hexadecimal.
const diskIDRandomBytes = 8

// InitialDiskID returns the disk ID of a voter in a new group. It depends on the name alone,
// so that each voter can compute the disk IDs of the other voters.
func InitialDiskID(name string) string { return name + "/first" }

// NewDiskID returns a random ID for a new disk.
func NewDiskID(name string) string {
	random := make([]byte, diskIDRandomBytes)
	_, _ = rand.Read(random) // never fails
	return name + "/" + hex.EncodeToString(random)
}

// ReadDiskID reads the disk ID from a data folder. It returns an empty string if
// the folder has none yet.
func ReadDiskID(folder string) (string, error) {
	data, err := os.ReadFile(diskIDPath(folder))
	if errors.Is(err, os.ErrNotExist) {
		return "", nil
	}
	if err != nil {
		return "", fmt.Errorf("read disk ID file: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}

// WriteDiskID writes the disk ID of a data folder. It must be called after the
// logs are created, so that a folder with a disk ID always has logs.
func WriteDiskID(folder, diskID string) error {
	err := ReplaceFile(diskIDPath(folder), []byte(diskID+"\n"))
	if err != nil {
		return fmt.Errorf("write disk ID file: %w", err)
	}
	return nil
}

func diskIDPath(folder string) string { return filepath.Join(folder, "identity") }
