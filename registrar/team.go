package registrar

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"math"
)

// ConfigRevision is the revision of the decoder of this version. Revision 1 is the first that decodes teams and public
// queues.
const ConfigRevision = 1

// Supersedes reports whether the configuration replaces the given one: its version is higher, or it is the same document,
// decoded by a later revision. A document of the same version that differs never replaces the committed one.
func (c Config) Supersedes(o Config) bool {
	return c.Version > o.Version || c.Version == o.Version && c.Revision > o.Revision && bytes.Equal(c.Raw, o.Raw)
}

// NeedsDecoding reports whether the document was decoded by an older revision, which may have ignored teams. A
// configuration without a document was not decoded from one.
func (c Config) NeedsDecoding() bool {
	return c.Version > 0 && c.Revision < ConfigRevision && len(c.Raw) > 0
}

// KeyDigest returns the digest under which a key of a team is stored and compared.
func KeyDigest(key string) []byte {
	digest := sha256.Sum256([]byte(key))
	return digest[:]
}

// validateTeams checks the teams of a configuration. Its errors never contain a key or a digest.
func (c Config) validateTeams() error {
	names := make(map[string]bool, len(c.Teams))
	teamOf := make(map[string]string)
	for _, t := range c.Teams {
		switch {
		case t.Name == "" || len(t.Name) > maxNameBytes:
			return fmt.Errorf("team has a name of %d bytes: %w", len(t.Name), ErrInvalid)
		case names[t.Name]:
			return fmt.Errorf("two teams have the name %.40q: %w", t.Name, ErrInvalid)
		case math.IsNaN(t.Weight) || t.Weight < 0 || t.Weight > maxAmount:
			return fmt.Errorf("team %.40q has weight %g: %w", t.Name, t.Weight, ErrInvalid)
		}
		names[t.Name] = true
		err := t.Limit.Validate()
		if err != nil {
			return fmt.Errorf("limit of team %.40q: %w", t.Name, err)
		}
		for _, digest := range t.KeyDigests {
			if len(digest) != sha256.Size {
				return fmt.Errorf("team %.40q has a key digest of %d bytes: %w", t.Name, len(digest), ErrInvalid)
			}
			other, known := teamOf[string(digest)]
			if known && other != t.Name {
				return fmt.Errorf("teams %.40q and %.40q share a key: %w", other, t.Name, ErrInvalid)
			}
			teamOf[string(digest)] = t.Name
		}
	}
	if len(c.Teams) > maxListEntries || len(teamOf) > maxListEntries {
		return fmt.Errorf("configuration has %d teams and %d keys: %w", len(c.Teams), len(teamOf), ErrInvalid)
	}
	return nil
}
