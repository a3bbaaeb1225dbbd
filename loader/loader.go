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

// ErrSettings reports settings that cannot be used.
var ErrSettings = eris.New("bad settings")

// Fault is one thing that is wrong with a settings file.
type Fault struct {
	File string
	Line int
	Key  string
	What string
}

// String is the fault as a line for the operator.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.What)
}

// Faults is every fault of a file.
type Faults []Fault

// Error lists all faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap tells that faults are bad settings.
func (f Faults) Unwrap() error { return ErrSettings }

// Load reads and checks a settings file. Files that it names are relative to its folder.
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

// Parse checks the text of a settings file and reports every fault at once.
func Parse(file string, data []byte) (Settings, error) {
	p := &parse{file: file, data: data, seen: make(map[string]bool)}
	root, err := hujson.Parse(data)
	if err != nil {
		return p.settings, Faults{{File: file, Line: 1, Key: "(whole file)", What: err.Error()}}
	}
	p.object("", root)
	p.defaults()
	if len(p.faults) == 0 {
		p.together()
	}
	if len(p.faults) > 0 {
		return p.settings, p.faults
	}
	return p.settings, nil
}

// Defaults is a settings file in which every key with a default has it.
func Defaults() string {
	var b strings.Builder
	b.WriteString("{\n")
	section := ""
	for _, k := range Keys() {
		head, name, nested := strings.Cut(k.Path, ".")
		if !nested {
			head, name = "", k.Path
		}
		if section != "" && head != section {
			b.WriteString("  },\n")
		}
		if head != "" && head != section {
			fmt.Fprintf(&b, "  %q: {\n", head)
		}
		section = head
		indent := "  "
		if nested {
			indent = "    "
		}
		if k.Default == "" {
			fmt.Fprintf(&b, "%s// %q: must be given (%s)\n", indent, name, k.allowed())
			continue
		}
		fmt.Fprintf(&b, "%s%q: %s, // %s\n", indent, name, k.Default, k.allowed())
	}
	if section != "" {
		b.WriteString("  },\n")
	}
	b.WriteString("}\n")
	return b.String()
}

func (k Key) allowed() string {
	if k.Unit == "" {
		return k.Allowed
	}
	return k.Unit + ", " + k.Allowed
}

type parse struct {
	file     string
	data     []byte
	settings Settings
	faults   Faults
	seen     map[string]bool
}

func (p *parse) fault(offset int, key, format string, args ...any) {
	line := 1 + strings.Count(string(p.data[:min(offset, len(p.data))]), "\n")
	p.faults = append(p.faults, Fault{File: p.file, Line: line, Key: key, What: fmt.Sprintf(format, args...)})
}

func (p *parse) object(prefix string, v hujson.Value) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		p.fault(v.StartOffset, strings.TrimSuffix(prefix, "."), "must be an object")
		return
	}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		path := prefix + name
		if p.seen[path] {
			p.fault(m.Name.StartOffset, path, "stands twice")
			continue
		}
		p.seen[path] = true
		p.member(path, m)
	}
}

func (p *parse) member(path string, m hujson.ObjectMember) {
	known := false
	for _, k := range Keys() {
		if k.Path == path {
			p.take(k, m.Value)
			return
		}
		known = known || strings.HasPrefix(k.Path, path+".")
	}
	if known {
		p.object(path+".", m.Value)
		return
	}
	p.fault(m.Name.StartOffset, path, "no such key")
}

func (p *parse) take(k Key, v hujson.Value) {
	got, fault := k.read(v)
	if fault != "" {
		p.fault(v.StartOffset, k.Path, "%s", fault)
		return
	}
	k.set(&p.settings, got)
}

// read returns the value of a key, or what is wrong with it.
func (k Key) read(v hujson.Value) (value, string) {
	var got value
	var err error
	switch k.Kind {
	case PeerList:
		return readPeers(v)
	case Number:
		var n float64
		err = decode(v, &n)
		got.number = int(n)
		if err != nil || n != float64(got.number) || n < k.Least || n > k.Most {
			return got, "must be a whole number of " + k.allowed()
		}
		return got, ""
	}
	err = decode(v, &got.text)
	if err != nil {
		return got, "must be text: " + k.allowed()
	}
	switch k.Kind {
	case Duration:
		got.duration, err = time.ParseDuration(got.text)
		if err != nil || float64(got.duration) < k.Least || float64(got.duration) > k.Most {
			return got, fmt.Sprintf("%q must be a %s", got.text, k.allowed())
		}
	case Address:
		return got, addressFault(got.text)
	case Choice:
		if !slices.Contains(k.OneOf, got.text) {
			return got, fmt.Sprintf("%q must be %s", got.text, k.allowed())
		}
	case Text:
		if got.text == "" && k.Default == "" {
			return got, "is empty: " + k.allowed()
		}
	}
	return got, ""
}

func addressFault(s string) string {
	_, err := netip.ParseAddrPort(s)
	if err != nil {
		return fmt.Sprintf("%q must be an IP number and a port, such as \"127.0.0.1:7001\"", s)
	}
	return ""
}

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

func readPeers(v hujson.Value) (value, string) {
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
	var got value
	names := make(map[string]bool)
	for _, p := range peers {
		fault := addressFault(p.Address)
		switch {
		case p.Name == "" || names[p.Name]:
			return got, fmt.Sprintf("name %q is empty or stands twice", p.Name)
		case p.Zone == "":
			return got, fmt.Sprintf("zone of %q is empty", p.Name)
		case fault != "":
			return got, fmt.Sprintf("address of %q: %s", p.Name, fault)
		}
		names[p.Name] = true
		got.peers = append(got.peers, Peer(p))
	}
	return got, ""
}

func (p *parse) defaults() {
	for _, k := range Keys() {
		if p.seen[k.Path] {
			continue
		}
		if k.Default == "" {
			p.fault(0, k.Path, "must be given: %s", k.allowed())
			continue
		}
		v, err := hujson.Parse([]byte(k.Default))
		if err == nil {
			p.take(k, v)
		}
	}
}

// together checks what several keys say together.
func (p *parse) together() {
	s := p.settings
	self := false
	for _, peer := range s.Peers {
		self = self || peer.Name == s.Name && peer.Zone == s.Zone
	}
	if !self {
		p.fault(0, "peers", "must name this instance, %q, in zone %q", s.Name, s.Zone)
	}
	voters := len(s.Voters())
	if voters != 1 && voters != 3 && voters != 5 {
		p.fault(0, "peers", "must have 1, 3 or 5 voters, has %d", voters)
	}
	if s.IsVoter() && s.DataFolder == "" {
		p.fault(0, "dataFolder", "must be given: this instance is a voter")
	}
	if s.Timing.DefaultWait > s.Timing.MaxWait {
		p.fault(0, "timing.defaultWait", "must not be over timing.maxWait")
	}
	if (s.TLS.Certificate == "") != (s.TLS.Key == "") {
		p.fault(0, "tls", "needs both certificate and key")
	}
	if s.TLS.PeerCA != "" && s.TLS.Certificate == "" {
		p.fault(0, "tls.peerCa", "needs certificate and key")
	}
}
