package server

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"laburnumwind/loader"
)

// DevToken is the token of all listeners of an instance in development mode.
const DevToken = "development-token"

// Addresses of an instance in development mode.
const (
	devCallers   = "127.0.0.1:7101"
	devEndpoints = "127.0.0.1:7102"
	devOperators = "127.0.0.1:7103"
	devPeers     = "127.0.0.1:7104"
)

const devFileMode = 0o600

// DevSettings are the settings of one instance with a voter in a temporary
// folder, and a function that removes the folder.
func DevSettings() (loader.Settings, func(), error) {
	folder, err := os.MkdirTemp("", "laburnumd-")
	if err != nil {
		return loader.Settings{}, nil, fmt.Errorf("make temporary folder: %w", err)
	}
	clean := func() { _ = os.RemoveAll(folder) } // a folder that stays behind does no harm
	token := filepath.Join(folder, "token")
	err = os.WriteFile(token, []byte(DevToken+"\n"), devFileMode)
	if err != nil {
		clean()
		return loader.Settings{}, nil, fmt.Errorf("write token: %w", err)
	}
	text := fmt.Sprintf(`{
  "name": "dev", "zone": "zone-a", "dataFolder": %q,
  "listen": {"callers": %q, "endpoints": %q, "operators": %q, "peers": %q},
  "peers": [{"name": "dev", "zone": "zone-a", "address": %q, "voter": true}],
  "tokens": {"endpoints": %q, "operators": %q, "peers": %q},
}`, filepath.Join(folder, "data"), devCallers, devEndpoints, devOperators, devPeers, devPeers, token, token, token)
	set, err := loader.Parse("development settings", []byte(text))
	if err == nil {
		set.Timing.Stop = time.Second
		err = Init(set)
	}
	if err != nil {
		clean()
		return set, nil, fmt.Errorf("make development settings: %w", err)
	}
	return set, clean, nil
}
