// Package limiter decides how many connections and how many bytes of requests a process holds at a time: what fits its
// limits, and which connection is closed if something does not. It knows no sockets; package acceptor applies it.
package limiter

import "time"

// Group is a kind of listener. Each has connections of its own, so that a flood on one leaves room on the others.
type Group int

// Groups of listeners.
const (
	Clients  Group = iota // callers, workers, endpoints and operators
	Peers                 // other processes of the system
	Monitors              // the load balancer and the collector of metrics
	groupCount
)

// Class is a part of the byte budget. The parts are separate, so that a flood of one kind leaves room for the others.
type Class int

// Classes of requests.
const (
	Large    Class = iota // bodies over SmallBody bytes and large responses
	Small                 // bodies of up to SmallBody bytes, such as heartbeats and ordinary jobs
	Reserved              // requests of peers
	classCount
)

const (
	// SmallBody is the maximum size of a body of class Small, in bytes. Heartbeats and usual jobs have a few hundred bytes.
	SmallBody = 8 << 10
	// bodyShare is the share of the memory limit that requests may hold. The rest is for the state, for connections and
	// for the garbage that the Go runtime keeps until a collection, which can be as large as what is in use.
	bodyShare = 0.3
	// connectionShare is the share of the memory limit that bounds the number of connections.
	connectionShare = 0.25
	// connectionBytes is what a connection is assumed to hold: the stack of its goroutine, two buffers of 4 KiB and a head
	// of average size.
	connectionBytes = 24 << 10
	minConnections  = 8
	// baseDescriptors are those of an idle process: files, listeners and the connections between its parts.
	baseDescriptors = 24
	// monitorsShare is the share of the descriptors for connections of Monitors.
	monitorsShare = 0.04
)

// classShares divides the bytes of requests among the classes.
var classShares = [classCount]float64{Large: 0.6, Small: 0.15, Reserved: 0.25}

// Config describes a process.
type Config struct {
	MemoryMB     int64         // memory limit of the process
	MaxFDs       int64         // limit of open descriptors
	ClientsShare float64       // share of MaxFDs, less baseDescriptors, for connections of clients
	PeersShare   float64       // the same for connections of peers
	MinIdle      time.Duration // time without progress before which no connection is closed for another
}

// Limits are the limits of one process.
type Limits struct {
	Bytes       [classCount]int64 // by class
	Connections [groupCount]int   // by group
	MinIdle     time.Duration
}

// NewLimits derives the limits of a process.
func NewLimits(cfg Config) Limits {
	l := Limits{MinIdle: cfg.MinIdle}
	bytes := float64(cfg.MemoryMB << 20)
	for class, share := range classShares {
		l.Bytes[class] = int64(bodyShare * share * bytes)
	}
	byMemory := connectionShare * bytes / connectionBytes
	for group, share := range [groupCount]float64{Clients: cfg.ClientsShare, Peers: cfg.PeersShare, Monitors: monitorsShare} {
		l.Connections[group] = max(minConnections, int(min(byMemory, share*float64(cfg.MaxFDs-baseDescriptors))))
	}
	return l
}

// CanEverFit reports whether n bytes fit a process that holds nothing else.
func (l Limits) CanEverFit(n int64) bool { return n <= sum(l.Bytes) }

func sum(bytes [classCount]int64) int64 {
	total := int64(0)
	for _, n := range bytes {
		total += n
	}
	return total
}

// Usage is what a process holds.
type Usage struct {
	bytes       [classCount]int64
	connections [groupCount]int
}

// WithBytes returns the usage with n more bytes of a class for a request that holds some already, and false if they do
// not fit. If no other request holds bytes of the class, it admits anything that fits the whole budget, so that a single
// request is always served. Class Reserved also takes what
// the other classes leave, because a snapshot for a peer can be large.
func (u Usage) WithBytes(l Limits, class Class, held, n int64) (Usage, bool) {
	switch {
	case u.bytes[class]+n <= l.Bytes[class]:
	case u.bytes[class] == held && l.CanEverFit(held+n):
	case class == Reserved && l.CanEverFit(sum(u.bytes)+n):
	default:
		return u, false
	}
	u.bytes[class] += n
	return u, true
}

// WithoutBytes returns the usage with n bytes of a class less.
func (u Usage) WithoutBytes(class Class, n int64) Usage {
	u.bytes[class] -= n
	return u
}

// WithConnection returns the usage with another connection, and false if it does not fit.
func (u Usage) WithConnection(l Limits, group Group) (Usage, bool) {
	if u.connections[group] >= l.Connections[group] {
		return u, false
	}
	u.connections[group]++
	return u, true
}

// WithoutConnection returns the usage with one connection less.
func (u Usage) WithoutConnection(group Group) Usage {
	u.connections[group]--
	return u
}

// Connection is what the choice of the connection to close depends on.
type Connection struct {
	Progress time.Time // when bytes were last received or sent
	Waiting  bool      // the process waits for the client: for a request, a head, a body, or for it to read a response
	Group    Group
	Held     int64 // bytes of Class
	Class    Class
}

// Need is what is short.
type Need struct {
	Connection bool // a connection of Group; otherwise bytes of Class
	Group      Group
	Class      Class
}

// relieves reports whether closing the connection supplies what is needed.
func (c Connection) relieves(n Need) bool {
	if n.Connection {
		return c.Group == n.Group
	}
	return c.Held > 0 && c.Class == n.Class
}

// Stalled returns the index of the connection to close: the one that has gone longest without progress, if that is at
// least l.MinIdle. Otherwise it returns -1 and the earliest time at which another choice can differ. A connection whose
// request is carried out is never chosen, because its client could not tell whether it was.
func Stalled(now time.Time, l Limits, connections []Connection, need Need) (int, time.Time) {
	victim := -1
	for i, c := range connections {
		if c.Waiting && c.relieves(need) && (victim < 0 || c.Progress.Before(connections[victim].Progress)) {
			victim = i
		}
	}
	if victim < 0 {
		return -1, now.Add(l.MinIdle / minIdleFraction)
	}
	due := connections[victim].Progress.Add(l.MinIdle)
	if due.After(now) {
		return -1, minTime(due, now.Add(l.MinIdle/minIdleFraction))
	}
	return victim, now
}

// minIdleFraction bounds how long a choice without a result stands, as a fraction of MinIdle: a request that has been
// carried out may have started to wait for its client meanwhile.
const minIdleFraction = 8

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Bytes that a decoder is assumed to allocate: for each object or array, the largest structure that one becomes together
// with the copies that growing slices leave; for each value in a list, a string header or number with such copies.
const (
	objectBytes = 512
	valueBytes  = 32
)

// SmallExpansion is the maximum Expansion of a document that is decoded at once. Larger ones are decoded one at a time.
const SmallExpansion = 64 << 10

// Expansion bounds the bytes that decoding a JSON document allocates. Text within strings counts once.
func Expansion(document []byte) int64 {
	objects, values := int64(0), int64(0)
	inString, escaped := false, false
	for _, b := range document {
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped = b == '\\'
			inString = b != '"'
		case b == '"':
			inString = true
		case b == '{' || b == '[':
			objects++
		case b == ',':
			values++
		}
	}
	return int64(len(document)) + objectBytes*objects + valueBytes*values
}
