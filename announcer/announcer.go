// Package announcer receives the announcements of endpoints over HTTP and passes them to the tracker.
package announcer

import (
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"laburnumwind/keeper"
	"laburnumwind/messenger"
)

// PathAnnounce is the path to which endpoints post their announcements.
const PathAnnounce = "/v1/announce"

// MaxAnnouncementBytes is the maximum size of an announcement, in bytes.
const MaxAnnouncementBytes = 16 << 10

// Announcement is the periodic status report of an endpoint, as received in JSON.
type Announcement struct {
	Instance     string `json:"instance"`
	Incarnation  uint64 `json:"incarnation"` // must increase with each start; the start time in Unix nanoseconds is suitable
	Address      string `json:"address"`     // IP address and port at which the endpoint accepts requests
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	Slots        int    `json:"slots"`           // maximum number of attempts that run at once
	Connections  int    `json:"connections"`     // maximum number of connections of one entry instance; zero: no limit
	Cores        int    `json:"cores,omitempty"` // accepted but not used, like MemoryMb and Accelerators
	MemoryMb     int    `json:"memoryMb,omitempty"`
	Accelerators int    `json:"accelerators,omitempty"`
	InUse        int    `json:"inUse"`   // slots in use
	Epoch        uint64 `json:"epoch"`   // epoch that the endpoint currently holds
	Empty        bool   `json:"empty"`   // no attempt is in progress and, if the endpoint is draining, none will start
	Leaving      bool   `json:"leaving"` // the endpoint is shutting down and starts no attempts
}

// Reply is the response to an announcement: the state and epoch of the endpoint in the declarations.
type Reply struct {
	Incarnation     uint64  `json:"incarnation"` // registered incarnation, or zero; an endpoint whose own is lower must change to a higher one
	State           string  `json:"place"`       // name of a keeper.InstanceState; unknown if this incarnation is not registered
	Pool            string  `json:"pool"`
	Epoch           uint64  `json:"epoch"`
	IntervalSeconds float64 `json:"intervalSeconds"` // time until the next announcement is due
}

// Config configures an Announcer.
type Config struct {
	Send        func(a messenger.Announcement) bool // passes an announcement to the tracker; returns false if the tracker's ring is full
	MinInterval time.Duration                       // interval between announcements until the tracker sets a longer one
}

// Announcer is the HTTP handler for announcements.
type Announcer struct {
	cfg      Config
	view     atomic.Pointer[messenger.DeclarationsView]
	interval atomic.Int64 // between announcements, in nanoseconds
}

// NewAnnouncer returns an announcer with empty declarations.
func NewAnnouncer(cfg Config) *Announcer {
	a := &Announcer{cfg: cfg}
	a.view.Store(&messenger.DeclarationsView{State: keeper.NewState()})
	a.interval.Store(int64(cfg.MinInterval))
	return a
}

// Handle handles a message of another stage: a new DeclarationsView or AnnounceInterval.
func (a *Announcer) Handle(body any) {
	switch m := body.(type) {
	case messenger.DeclarationsView:
		a.view.Store(&m)
	case messenger.AnnounceInterval:
		a.interval.Store(int64(m.Interval))
	}
}

// ServeHTTP validates an announcement, passes it to the tracker and responds with a Reply.
func (a *Announcer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.Error(w, "announcements are posted", http.StatusMethodNotAllowed)
		return
	}
	var in Announcement
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxAnnouncementBytes)).Decode(&in)
	if err != nil {
		http.Error(w, "malformed announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	problem := in.validate()
	if problem != "" {
		http.Error(w, problem, http.StatusBadRequest)
		return
	}
	if !a.cfg.Send(in.toMessage()) {
		http.Error(w, "too many announcements", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.reply(in)) // an error means that the endpoint disconnected
}

// validate returns a description of the first invalid field, or an empty string.
func (in Announcement) validate() string {
	_, _, err := net.SplitHostPort(in.Address)
	if err == nil {
		_, err = url.Parse("http://" + in.Address) // the forwarder uses it as a URL
	}
	switch {
	case in.Instance == "":
		return "instance: is empty"
	case in.Incarnation == 0:
		return "incarnation: is zero"
	case err != nil:
		return "address: " + err.Error()
	case in.Slots < 1:
		return "slots: is below one"
	case in.InUse < 0:
		return "inUse: is below zero"
	}
	return ""
}

func (in Announcement) toMessage() messenger.Announcement {
	return messenger.Announcement{
		Endpoint: messenger.Endpoint{
			Instance:    in.Instance,
			Incarnation: in.Incarnation,
			Address:     in.Address,
			Zone:        in.Zone,
			Rack:        in.Rack,
			Slots:       in.Slots,
			Connections: in.Connections,
			Epoch:       in.Epoch,
		},
		InUse:   in.InUse,
		Leaving: in.Leaving,
		Empty:   in.Empty,
	}
}

// reply returns the response to an announcement, from the latest view of the declarations.
func (a *Announcer) reply(in Announcement) Reply {
	out := Reply{IntervalSeconds: time.Duration(a.interval.Load()).Seconds()}
	i, ok := a.view.Load().State.Instance(in.Instance)
	if !ok {
		out.State = keeper.Unknown.String()
		return out
	}
	out.Incarnation = i.Incarnation
	if i.Incarnation != in.Incarnation {
		out.State = keeper.Unknown.String() // the new incarnation is not registered yet
		return out
	}
	out.State = i.State.String()
	out.Pool = i.Pool
	out.Epoch = i.Epoch
	return out
}
