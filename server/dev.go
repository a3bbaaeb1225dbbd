package server

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"laburnumwind/loader"
)

// DevToken is the token that all listeners of an instance in development mode accept.
const DevToken = "development-token"

// Addresses of an instance in development mode.
const (
	devCallers   = "127.0.0.1:7101"
	devEndpoints = "127.0.0.1:7102"
	devOperators = "127.0.0.1:7103"
	devPeers     = "127.0.0.1:7104"
)

// devFileMode keeps the token readable by its owner only.
const devFileMode = 0o600

// DevSettings returns the settings of one instance with an embedded voter in a
// temporary folder, and a function that removes the folder. It creates the folder,
// the token file and the replicated logs.
func DevSettings() (loader.Settings, func(), error) {
	folder, err := os.MkdirTemp("", "laburnumd-")
	if err != nil {
		return loader.Settings{}, nil, fmt.Errorf("create temporary folder: %w", err)
	}
	cleanup := func() { _ = os.RemoveAll(folder) } // a leftover temporary folder does no harm
	tokenFile := filepath.Join(folder, "token")
	err = os.WriteFile(tokenFile, []byte(DevToken+"\n"), devFileMode)
	if err != nil {
		cleanup()
		return loader.Settings{}, nil, fmt.Errorf("write token file: %w", err)
	}
	document := fmt.Sprintf(`{
  "name": "dev", "zone": "zone-a", "dataFolder": %q,
  "listen": {"callers": %q, "endpoints": %q, "operators": %q, "peers": %q},
  "peers": [{"name": "dev", "zone": "zone-a", "address": %q, "voter": true}],
  "tokens": {"endpoints": %q, "operators": %q, "peers": %q},
}`, filepath.Join(folder, "data"), devCallers, devEndpoints, devOperators, devPeers, devPeers, tokenFile, tokenFile, tokenFile)
	settings, err := loader.Parse("development settings", []byte(document))
	if err == nil {
		settings.Timing.Stop = time.Second
		err = Init(settings)
	}
	if err != nil {
		cleanup()
		return settings, nil, fmt.Errorf("prepare development settings: %w", err)
	}
	return settings, cleanup, nil
}
