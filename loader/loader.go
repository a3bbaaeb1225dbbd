package loader

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// ErrSettings is returned for invalid settings.
var ErrSettings = eris.New("invalid settings")

// Problem is one error in a settings file.
type Problem struct {
	File    string
	Line    int // 1 if the problem has no place in the file, such as a missing key
	Key     string
	Message string
}

// String returns the problem as a line of the form FILE:LINE: KEY: MESSAGE.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Message)
}

// Problems holds all errors in a settings file.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns ErrSettings.
func (p Problems) Unwrap() error { return ErrSettings }

// Load reads and validates a settings file. Relative paths in it are resolved against the
// folder of the file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(path, data)
	if err != nil {
		return s, err
	}
	for _, p := range []*string{
		&s.DataFolder, &s.Tokens.Endpoints, &s.Tokens.Operators, &s.Tokens.Peers,
		&s.TLS.Certificate, &s.TLS.Key, &s.TLS.PeerCA,
	} {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(filepath.Dir(path), *p)
		}
	}
	return s, nil
}

// Parse parses and validates the text of a settings file. Its error is of type Problems and
// holds every problem found. Constraints between keys are checked only if each key is valid.
func Parse(file string, data []byte) (Settings, error) {
	p := &settingsParser{file: file, data: data, seen: make(map[string]bool)}
	root, err := hujson.Parse(data)
	if err != nil {
		return p.settings, Problems{{File: file, Line: 1, Key: "(whole file)", Message: err.Error()}}
	}
	p.parseObject("", root)
	p.applyDefaults()
	if len(p.problems) == 0 {
		p.checkConsistency()
	}
	if len(p.problems) > 0 {
		return p.settings, p.problems
	}
	return p.settings, nil
}

// Defaults returns a settings file that sets every key to its default. Keys without a
// default are listed in comments.
func Defaults() string {
	var b strings.Builder
	b.WriteString("{\n")
	currentSection := ""
	for _, k := range Keys() {
		section, name, nested := strings.Cut(k.Path, ".")
		if !nested {
			section, name = "", k.Path
		}
		if currentSection != "" && section != currentSection {
			b.WriteString("  },\n")
		}
		if section != "" && section != currentSection {
			fmt.Fprintf(&b, "  %q: {\n", section)
		}
		currentSection = section
		indentation := "  "
		if nested {
			indentation = "    "
		}
		if k.Default == "" {
			fmt.Fprintf(&b, "%s// %q: must be given (%s)\n", indentation, name, k.allowed())
			continue
		}
		fmt.Fprintf(&b, "%s%q: %s, // %s\n", indentation, name, k.Default, k.allowed())
	}
	if currentSection != "" {
		b.WriteString("  },\n")
	}
	b.WriteString("}\n")
	return b.String()
}

// allowed describes the unit and the allowed values of the key.
func (k Key) allowed() string {
	if k.Unit == "" {
		return k.Allowed
	}
	return k.Unit + ", " + k.Allowed
}

// settingsParser parses a settings file and collects the problems in it.
type settingsParser struct {
	file     string
	data     []byte
	settings Settings
	problems Problems
	seen     map[string]bool // paths of the keys and sections found in the file
}

// addProblem records a problem at the line of a byte offset.
func (p *settingsParser) addProblem(offset int, key, format string, args ...any) {
	line := 1 + strings.Count(string(p.data[:min(offset, len(p.data))]), "\n")
	p.problems = append(p.problems, Problem{File: p.file, Line: line, Key: key, Message: fmt.Sprintf(format, args...)})
}

// parseObject parses the file or a section of it. The prefix is the path of the section with a
// trailing dot, or empty for the file.
func (p *settingsParser) parseObject(prefix string, v hujson.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		p.addProblem(v.StartOffset, strings.TrimSuffix(prefix, "."), "must be an object")
		return
	}
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		path := prefix + name
		if p.seen[path] {
			p.addProblem(m.Name.StartOffset, path, "is duplicated")
			continue
		}
		p.seen[path] = true
		p.parseMember(path, m)
	}
}

// parseMember parses a key or a section.
func (p *settingsParser) parseMember(path string, m hujson.ObjectMember) {
	isSection := false
	for _, k := range Keys() {
		if k.Path == path {
			p.setKey(k, m.Value)
			return
		}
		isSection = isSection || strings.HasPrefix(k.Path, path+".")
	}
	if isSection {
		p.parseObject(path+".", m.Value)
		return
	}
	p.addProblem(m.Name.StartOffset, path, "no such key")
}

// setKey stores the value of a key in the settings, or records the problem with it.
func (p *settingsParser) setKey(k Key, v hujson.Value) {
	parsed, problem := k.parseValue(v)
	if problem != "" {
		p.addProblem(v.StartOffset, k.Path, "%s", problem)
		return
	}
	k.set(&p.settings, parsed)
}

// parseValue returns the value of a key, or a description of the problem with it.
func (k Key) parseValue(v hujson.Value) (value, string) {
	var parsed value
	var err error
	switch k.Kind {
	case PeerList:
		return parsePeers(v)
	case Number:
		var n float64
		err = decode(v, &n)
		parsed.number = int(n)
		if err != nil || n != float64(parsed.number) || n < k.Min || n > k.Max {
			return parsed, "must be a whole number of " + k.allowed()
		}
		return parsed, ""
	}
	err = decode(v, &parsed.text)
	if err != nil {
		return parsed, "must be a string: " + k.allowed()
	}
	switch k.Kind {
	case Duration:
		parsed.duration, err = time.ParseDuration(parsed.text)
		if err != nil || float64(parsed.duration) < k.Min || float64(parsed.duration) > k.Max {
			return parsed, fmt.Sprintf("%q must be a %s", parsed.text, k.allowed())
		}
	case Address:
		return parsed, addressProblem(parsed.text)
	case Choice:
		if !slices.Contains(k.Choices, parsed.text) {
			return parsed, fmt.Sprintf("%q must be %s", parsed.text, k.allowed())
		}
	case Text:
		if parsed.text == "" && k.Default == "" {
			return parsed, "is empty: " + k.allowed()
		}
	}
	return parsed, ""
}

// addressProblem returns the problem with an address, or an empty string.
func addressProblem(s string) string {
	_, err := netip.ParseAddrPort(s)
	if err != nil {
		return fmt.Sprintf("%q must be an IP address and a port, such as \"127.0.0.1:7001\"", s)
	}
	return ""
}

// decode unmarshals a JSON value. An unknown field is an error.
func decode(v hujson.Value, into any) error {
	v = v.Clone()
	v.Standardize()
	decoder := json.NewDecoder(strings.NewReader(string(v.Pack())))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}

func parsePeers(v hujson.Value) (value, string) {
	var peers []struct {
		Name    string `json:"name"`
		Zone    string `json:"zone"`
		Address string `json:"address"`
		Voter   bool   `json:"voter"`
	}
	err := decode(v, &peers)
	if err != nil {
		return value{}, "must be a list of {name, zone, address, voter}: " + err.Error()
	}
	var parsed value
	names := make(map[string]bool)
	for _, p := range peers {
		problem := addressProblem(p.Address)
		switch {
		case p.Name == "" || names[p.Name]:
			return parsed, fmt.Sprintf("name %q is empty or duplicated", p.Name)
		case p.Zone == "":
			return parsed, fmt.Sprintf("zone of %q is empty", p.Name)
		case problem != "":
			return parsed, fmt.Sprintf("address of %q: %s", p.Name, problem)
		}
		names[p.Name] = true
		parsed.peers = append(parsed.peers, Peer(p))
	}
	return parsed, ""
}

// applyDefaults sets the keys that are missing in the file. A missing key without a default
// is a problem.
func (p *settingsParser) applyDefaults() {
	for _, k := range Keys() {
		if p.seen[k.Path] {
			continue
		}
		if k.Default == "" {
			p.addProblem(0, k.Path, "must be given: %s", k.allowed())
			continue
		}
		v, err := hujson.Parse([]byte(k.Default))
		if err == nil {
			p.setKey(k, v)
		}
	}
}

// checkConsistency checks the constraints that involve several keys.
func (p *settingsParser) checkConsistency() {
	s := p.settings
	hasSelf := false
	for _, peer := range s.Peers {
		hasSelf = hasSelf || peer.Name == s.Name && peer.Zone == s.Zone
	}
	if !hasSelf {
		p.addProblem(0, "peers", "must include this instance, %q, in zone %q", s.Name, s.Zone)
	}
	voters := len(s.Voters())
	if voters != 1 && voters != 3 && voters != 5 {
		p.addProblem(0, "peers", "must have 1, 3 or 5 voters, has %d", voters)
	}
	if s.IsVoter() && s.DataFolder == "" {
		p.addProblem(0, "dataFolder", "must be given: this instance is a voter")
	}
	if s.Timing.DefaultWait > s.Timing.MaxWait {
		p.addProblem(0, "timing.defaultWait", "must not exceed timing.maxWait")
	}
	if (s.TLS.Certificate == "") != (s.TLS.Key == "") {
		p.addProblem(0, "tls", "needs both certificate and key")
	}
	if s.TLS.PeerCA != "" && s.TLS.Certificate == "" {
		p.addProblem(0, "tls.peerCa", "needs certificate and key")
	}
}
