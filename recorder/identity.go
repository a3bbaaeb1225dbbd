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

// identityBytes is the length of the random part of a disk identity.
const identityBytes = 8

// FirstDisk returns the identity of the disk of a voter in a new group.
func FirstDisk(name string) string { return name + "/first" }

// NewDisk returns a random identity for a new disk.
func NewDisk(name string) string {
	random := make([]byte, identityBytes)
	_, _ = rand.Read(random) // never fails
	return name + "/" + hex.EncodeToString(random)
}

// Identity reads the disk identity from a data folder. It returns an empty string if the
// folder has none yet.
func Identity(folder string) (string, error) {
	data, err := os.ReadFile(identityPath(folder))
	if errors.Is(err, os.ErrNotExist) {
		return "", nil
	}
	if err != nil {
		return "", fmt.Errorf("read disk identity: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}

// WriteIdentity writes the disk identity of a data folder. It must be called after the
// logs are created, so that a folder with an identity always has logs.
func WriteIdentity(folder, identity string) error {
	err := ReplaceFile(identityPath(folder), []byte(identity+"\n"))
	if err != nil {
		return fmt.Errorf("write disk identity: %w", err)
	}
	return nil
}

func identityPath(folder string) string { return filepath.Join(folder, "identity") }
