package loader

import (
	"fmt"
	"os"

	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/encoding/protojson"

	"laburnumwind/encoder"
)

// LoadDeclarations reads a file of declarations, which is JSON with comments. It returns an
// error if a key is unknown or a duration is invalid. Whether the declarations are
// consistent is checked when they are applied.
func LoadDeclarations(path string) (*encoder.Declarations, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read declarations: %w", err)
	}
	return ParseDeclarations(path, data)
}

// ParseDeclarations parses the text of a file of declarations, with the same checks as
// LoadDeclarations. The file name appears in its errors.
func ParseDeclarations(file string, data []byte) (*encoder.Declarations, error) {
	standard, err := hujson.Standardize(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	var d encoder.Declarations
	err = protojson.Unmarshal(standard, &d)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	_, err = encoder.DecodeDeclarations(&d)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return &d, nil
}
