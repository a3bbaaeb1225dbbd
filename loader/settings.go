// Package loader reads and validates the settings of the daemon and the declarations of
// pools, services and customers. Both are JSON with comments. A daemon starts only if its
// whole settings file is valid.
package loader

import (
	"fmt"
	"time"
)

// Settings holds the settings of a daemon.
type Settings struct {
	Name       string
	Zone       string
	Region     string
	DataFolder string // empty for an instance without a disk
	Listen     Listen
	Peers      []Peer
	Tokens     Tokens
	TLS        TLS
	Limits     Limits
	Timing     Timing
	Log        Log
}

// Listen holds the addresses of the four listeners, each an IP address and a port.
type Listen struct {
	Callers   string
	Endpoints string
	Operators string
	Peers     string
}

// Peer is an entry instance. The list of peers includes this instance.
type Peer struct {
	Name    string
	Zone    string
	Address string // address of its peer listener
	Voter   bool
}

// Tokens holds the paths of the token files, which have one token per line. The daemon
// authenticates itself to endpoints and peers with the first token of their files.
type Tokens struct {
	Endpoints string
	Operators string
	Peers     string
}

// TLS holds the paths of the certificate files. They are empty for plain TCP.
type TLS struct {
	Certificate string
	Key         string
	PeerCA      string // authority that must have issued the certificates of the peers
}

// Limits holds the limits of a daemon. Each field is a maximum, in the unit that its comment gives.
type Limits struct {
	Body     int // bytes of a request body
	Header   int // bytes of a request header
	Answer   int // bytes of a response
	InFlight int // requests without a response yet
	Senders  int // concurrent attempts
	Queue    int // queued requests of one customer and service

	MemoryMB    int // MiB of memory of the process
	Descriptors int // open descriptors of the process
}

// Timing holds the timeouts and intervals of a daemon.
type Timing struct {
	DefaultWait time.Duration // timeout of a request without a Request-Timeout header
	MaxWait     time.Duration // maximum timeout of a request; a longer Request-Timeout is reduced to it
	Announce    time.Duration // minimum time between two announcements of an endpoint; the time is longer if many endpoints announce themselves
	LostAfter   time.Duration // a worker instance without an announcement for this long is considered lost
	Reboot      time.Duration // maximum duration of the maintenance of one worker instance
	Leave       time.Duration // time between the start of a shutdown, when the instance reports that it is not ready, and the refusal of new requests; callers switch to other instances meanwhile
	Stop        time.Duration // maximum duration of a graceful shutdown
}

// Log holds the settings of the log.
type Log struct {
	Level       string
	SampleEvery int // one in this many placements is logged; other decisions are not sampled
}

// Voters returns the names of the peers that are voters, including this instance if it is one.
func (s Settings) Voters() []string {
	var names []string
	for _, p := range s.Peers {
		if p.Voter {
			names = append(names, p.Name)
		}
	}
	return names
}

// IsVoter reports whether this instance is a voter.
func (s Settings) IsVoter() bool {
	for _, p := range s.Peers {
		if p.Name == s.Name {
			return p.Voter
		}
	}
	return false
}

// Key describes one key of the settings.
type Key struct {
	Path    string // such as "limits.body"
	Kind    Kind
	Unit    string   // unit of the value, such as "bytes"; empty if it has none
	Allowed string   // description of the allowed values
	Default string   // default value in JSON; empty for a required key
	Min     float64  // minimum of a Number or, in nanoseconds, of a Duration
	Max     float64  // maximum, in the same unit as Min
	Choices []string // allowed values of a Choice
	set     func(*Settings, value)
}

// Kind is the type of the value of a key.
type Kind int

// The kinds of values.
const (
	Text Kind = iota + 1
	Number
	Duration
	Address
	Choice
	PeerList
)

// value is a parsed value; its kind determines which field is set.
type value struct {
	text     string
	number   int
	duration time.Duration
	peers    []Peer
}

const mebibyte = 1 << 20

// Keys returns all keys of the settings in the order in which they are printed.
func Keys() []Key {
	return []Key{
		textKey("name", "name of this entry instance", "", func(s *Settings) *string { return &s.Name }),
		textKey("zone", "name of its availability zone", "", func(s *Settings) *string { return &s.Zone }),
		textKey("region", "name of its region", `"region"`, func(s *Settings) *string { return &s.Region }),
		textKey("dataFolder", "folder, or empty for an instance without a disk", `""`, func(s *Settings) *string { return &s.DataFolder }),
		addressKey("listen.callers", func(s *Settings) *string { return &s.Listen.Callers }),
		addressKey("listen.endpoints", func(s *Settings) *string { return &s.Listen.Endpoints }),
		addressKey("listen.operators", func(s *Settings) *string { return &s.Listen.Operators }),
		addressKey("listen.peers", func(s *Settings) *string { return &s.Listen.Peers }),
		{
			Path: "peers", Kind: PeerList, Allowed: "list of {name, zone, address, voter}, this instance among them", Default: "",
			set: func(s *Settings, v value) { s.Peers = v.peers },
		},
		textKey("tokens.endpoints", "file", "", func(s *Settings) *string { return &s.Tokens.Endpoints }),
		textKey("tokens.operators", "file", "", func(s *Settings) *string { return &s.Tokens.Operators }),
		textKey("tokens.peers", "file", "", func(s *Settings) *string { return &s.Tokens.Peers }),
		textKey("tls.certificate", "PEM file, or empty for plain TCP", `""`, func(s *Settings) *string { return &s.TLS.Certificate }),
		textKey("tls.key", "PEM file", `""`, func(s *Settings) *string { return &s.TLS.Key }),
		textKey("tls.peerCa", "PEM file; with it peers need a certificate of this authority", `""`, func(s *Settings) *string { return &s.TLS.PeerCA }),
		numberKey("limits.body", "bytes", 1, 256*mebibyte, "8388608", func(s *Settings) *int { return &s.Limits.Body }),
		numberKey("limits.header", "bytes", 1024, mebibyte, "32768", func(s *Settings) *int { return &s.Limits.Header }),
		numberKey("limits.answer", "bytes", 1, 256*mebibyte, "16777216", func(s *Settings) *int { return &s.Limits.Answer }),
		numberKey("limits.inFlight", "requests", 1, 65536, "2048", func(s *Settings) *int { return &s.Limits.InFlight }),
		numberKey("limits.senders", "attempts", 1, 8192, "256", func(s *Settings) *int { return &s.Limits.Senders }),
		numberKey("limits.queue", "requests", 1, 65536, "1000", func(s *Settings) *int { return &s.Limits.Queue }),
		numberKey("limits.memoryMb", "MiB", 64, mebibyte, "2048", func(s *Settings) *int { return &s.Limits.MemoryMB }),
		numberKey("limits.descriptors", "descriptors", 64, mebibyte, "8192", func(s *Settings) *int { return &s.Limits.Descriptors }),
		durationKey("timing.defaultWait", time.Millisecond, time.Hour, `"30s"`, func(s *Settings) *time.Duration { return &s.Timing.DefaultWait }),
		durationKey("timing.maxWait", time.Millisecond, 24*time.Hour, `"10m"`, func(s *Settings) *time.Duration { return &s.Timing.MaxWait }),
		durationKey("timing.announce", 100*time.Millisecond, time.Minute, `"1s"`, func(s *Settings) *time.Duration { return &s.Timing.Announce }),
		durationKey("timing.lostAfter", time.Second, time.Hour, `"10s"`, func(s *Settings) *time.Duration { return &s.Timing.LostAfter }),
		durationKey("timing.reboot", time.Second, 24*time.Hour, `"15m"`, func(s *Settings) *time.Duration { return &s.Timing.Reboot }),
		durationKey("timing.leave", 0, time.Minute, `"1s"`, func(s *Settings) *time.Duration { return &s.Timing.Leave }),
		durationKey("timing.stop", 0, time.Hour, `"30s"`, func(s *Settings) *time.Duration { return &s.Timing.Stop }),
		{
			Path: "log.level", Kind: Choice, Choices: []string{"debug", "info", "warn", "error"}, Allowed: "debug, info, warn or error", Default: `"info"`,
			set: func(s *Settings, v value) { s.Log.Level = v.text },
		},
		numberKey("log.every", "placements per log line", 1, 1e9, "1", func(s *Settings) *int { return &s.Log.SampleEvery }),
	}
}

func textKey(path, allowed, defaultJSON string, field func(*Settings) *string) Key {
	return Key{Path: path, Kind: Text, Allowed: allowed, Default: defaultJSON, set: func(s *Settings, v value) { *field(s) = v.text }}
}

func addressKey(path string, field func(*Settings) *string) Key {
	return Key{Path: path, Kind: Address, Allowed: "IP address and port", set: func(s *Settings, v value) { *field(s) = v.text }}
}

func numberKey(path, unit string, minimum, maximum float64, defaultJSON string, field func(*Settings) *int) Key {
	return Key{
		Path: path, Kind: Number, Unit: unit, Min: minimum, Max: maximum, Default: defaultJSON,
		Allowed: fmt.Sprintf("%.0f to %.0f", minimum, maximum),
		set:     func(s *Settings, v value) { *field(s) = v.number },
	}
}

func durationKey(path string, minimum, maximum time.Duration, defaultJSON string, field func(*Settings) *time.Duration) Key {
	return Key{
		Path: path, Kind: Duration, Unit: "duration", Min: float64(minimum), Max: float64(maximum), Default: defaultJSON,
		Allowed: fmt.Sprintf("%q to %q", minimum, maximum),
		set:     func(s *Settings, v value) { *field(s) = v.duration },
	}
}
