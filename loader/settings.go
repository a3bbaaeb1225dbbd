// Package loader reads the daemon's settings: JSON with comments, checked whole before start.
package loader

import (
	"fmt"
	"time"
)

// Settings is all that a daemon is told.
type Settings struct {
	Name       string
	Zone       string
	Region     string
	DataFolder string // empty: no disk
	Listen     Listen
	Peers      []Peer
	Tokens     Tokens
	TLS        TLS
	Limits     Limits
	Timing     Timing
	Log        Log
}

// Listen holds the four listeners, each an IP and a port.
type Listen struct {
	Callers   string
	Endpoints string
	Operators string
	Peers     string
}

// Peer is an entry instance; the list may name this one too.
type Peer struct {
	Name    string
	Zone    string
	Address string // of its peer listener
	Voter   bool
}

// Tokens names files with one token a line; the first is the one that the daemon shows.
type Tokens struct {
	Endpoints string
	Operators string
	Peers     string
}

// TLS names the files of certificates; empty: plain TCP.
type TLS struct {
	Certificate string
	Key         string
	PeerCA      string // peers prove themselves by a certificate of this authority
}

// Limits holds the bounds of a daemon.
type Limits struct {
	Body     int // bytes of a request
	Header   int // bytes of a request's header
	Answer   int // bytes of an answer
	InFlight int // requests without an answer
	Senders  int // attempts at once
	Queue    int // requests of one customer and service that wait
}

// Timing holds the times of a daemon.
type Timing struct {
	DefaultWait time.Duration // of a caller that names no Request-Timeout
	MaxWait     time.Duration
	Announce    time.Duration // least time between two announcements
	LostAfter   time.Duration
	Reboot      time.Duration // longest maintenance of one instance
	Leave       time.Duration // for which a stopping instance is not ready and still takes requests
	Stop        time.Duration // longest graceful stop
}

// Log says what is logged.
type Log struct {
	Level string
	Every int // one in this many placements
}

// Voters are the names of the peers that vote, with this one if it does.
func (s Settings) Voters() []string {
	var names []string
	for _, p := range s.Peers {
		if p.Voter {
			names = append(names, p.Name)
		}
	}
	return names
}

// IsVoter tells whether this instance is named as a voter.
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
	Unit    string
	Allowed string
	Default string // as written in JSON; empty: the key must be there
	Least   float64
	Most    float64
	OneOf   []string
	set     func(*Settings, value)
}

// Kind is what a value must be.
type Kind int

// The kinds of value.
const (
	Text Kind = iota + 1
	Number
	Duration
	Address
	Choice
	PeerList
)

type value struct {
	text     string
	number   int
	duration time.Duration
	peers    []Peer
}

const mebibyte = 1 << 20

// Keys are all keys of the settings, in the order in which they are printed.
func Keys() []Key {
	return []Key{
		text("name", "name of this entry instance", "", func(s *Settings) *string { return &s.Name }),
		text("zone", "name of its availability zone", "", func(s *Settings) *string { return &s.Zone }),
		text("region", "name of its region", `"region"`, func(s *Settings) *string { return &s.Region }),
		text("dataFolder", "folder, or empty for an instance without a disk", `""`, func(s *Settings) *string { return &s.DataFolder }),
		address("listen.callers", func(s *Settings) *string { return &s.Listen.Callers }),
		address("listen.endpoints", func(s *Settings) *string { return &s.Listen.Endpoints }),
		address("listen.operators", func(s *Settings) *string { return &s.Listen.Operators }),
		address("listen.peers", func(s *Settings) *string { return &s.Listen.Peers }),
		{
			Path: "peers", Kind: PeerList, Allowed: "list of {name, zone, address, voter}, this instance among them", Default: "",
			set: func(s *Settings, v value) { s.Peers = v.peers },
		},
		text("tokens.endpoints", "file", "", func(s *Settings) *string { return &s.Tokens.Endpoints }),
		text("tokens.operators", "file", "", func(s *Settings) *string { return &s.Tokens.Operators }),
		text("tokens.peers", "file", "", func(s *Settings) *string { return &s.Tokens.Peers }),
		text("tls.certificate", "PEM file, or empty for plain TCP", `""`, func(s *Settings) *string { return &s.TLS.Certificate }),
		text("tls.key", "PEM file", `""`, func(s *Settings) *string { return &s.TLS.Key }),
		text("tls.peerCa", "PEM file; with it peers need a certificate of this authority", `""`, func(s *Settings) *string { return &s.TLS.PeerCA }),
		number("limits.body", "bytes", 1, 256*mebibyte, "8388608", func(s *Settings) *int { return &s.Limits.Body }),
		number("limits.header", "bytes", 1024, mebibyte, "32768", func(s *Settings) *int { return &s.Limits.Header }),
		number("limits.answer", "bytes", 1, 256*mebibyte, "16777216", func(s *Settings) *int { return &s.Limits.Answer }),
		number("limits.inFlight", "requests", 1, 65536, "2048", func(s *Settings) *int { return &s.Limits.InFlight }),
		number("limits.senders", "attempts", 1, 8192, "256", func(s *Settings) *int { return &s.Limits.Senders }),
		number("limits.queue", "requests", 1, 65536, "1000", func(s *Settings) *int { return &s.Limits.Queue }),
		duration("timing.defaultWait", time.Millisecond, time.Hour, `"30s"`, func(s *Settings) *time.Duration { return &s.Timing.DefaultWait }),
		duration("timing.maxWait", time.Millisecond, 24*time.Hour, `"10m"`, func(s *Settings) *time.Duration { return &s.Timing.MaxWait }),
		duration("timing.announce", 100*time.Millisecond, time.Minute, `"1s"`, func(s *Settings) *time.Duration { return &s.Timing.Announce }),
		duration("timing.lostAfter", time.Second, time.Hour, `"10s"`, func(s *Settings) *time.Duration { return &s.Timing.LostAfter }),
		duration("timing.reboot", time.Second, 24*time.Hour, `"15m"`, func(s *Settings) *time.Duration { return &s.Timing.Reboot }),
		duration("timing.leave", 0, time.Minute, `"1s"`, func(s *Settings) *time.Duration { return &s.Timing.Leave }),
		duration("timing.stop", 0, time.Hour, `"30s"`, func(s *Settings) *time.Duration { return &s.Timing.Stop }),
		{
			Path: "log.level", Kind: Choice, OneOf: []string{"debug", "info", "warn", "error"}, Allowed: "debug, info, warn or error", Default: `"info"`,
			set: func(s *Settings, v value) { s.Log.Level = v.text },
		},
		number("log.every", "placements for one line", 1, 1e9, "1", func(s *Settings) *int { return &s.Log.Every }),
	}
}

func text(path, allowed, fallback string, at func(*Settings) *string) Key {
	return Key{Path: path, Kind: Text, Allowed: allowed, Default: fallback, set: func(s *Settings, v value) { *at(s) = v.text }}
}

func address(path string, at func(*Settings) *string) Key {
	return Key{Path: path, Kind: Address, Allowed: "IP and port", set: func(s *Settings, v value) { *at(s) = v.text }}
}

func number(path, unit string, least, most float64, fallback string, at func(*Settings) *int) Key {
	return Key{
		Path: path, Kind: Number, Unit: unit, Least: least, Most: most, Default: fallback,
		Allowed: fmt.Sprintf("%.0f to %.0f", least, most),
		set:     func(s *Settings, v value) { *at(s) = v.number },
	}
}

func duration(path string, least, most time.Duration, fallback string, at func(*Settings) *time.Duration) Key {
	return Key{
		Path: path, Kind: Duration, Unit: "duration", Least: float64(least), Most: float64(most), Default: fallback,
		Allowed: fmt.Sprintf("%q to %q", least, most),
		set:     func(s *Settings, v value) { *at(s) = v.duration },
	}
}
