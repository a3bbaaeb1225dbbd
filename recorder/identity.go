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

const identityBytes = 8

// FirstDisk is the identity of a voter's disk in a new group.
func FirstDisk(name string) string { return name + "/first" }

// NewDisk is an identity that no disk had before.
func NewDisk(name string) string {
	random := make([]byte, identityBytes)
	_, _ = rand.Read(random) // never fails
	return name + "/" + hex.EncodeToString(random)
}

// Identity returns the identity of the disk in a data folder, or nothing if it has none yet.
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

// WriteIdentity gives a data folder its identity. It comes after the logs, so
// that a folder with an identity has logs.
func WriteIdentity(folder, identity string) error {
	err := ReplaceFile(identityPath(folder), []byte(identity+"\n"))
	if err != nil {
		return fmt.Errorf("write disk identity: %w", err)
	}
	return nil
}

func identityPath(folder string) string { return filepath.Join(folder, "identity") }
