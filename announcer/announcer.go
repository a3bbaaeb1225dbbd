// Package announcer takes endpoints' words on themselves over HTTP.
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

// PathAnnounce is where endpoints announce themselves.
const PathAnnounce = "/v1/announce"

// mostBytes is the largest announcement.
const mostBytes = 16 << 10

// Announcement is what an endpoint says of itself.
type Announcement struct {
	Instance     string `json:"instance"`
	Incarnation  uint64 `json:"incarnation"` // higher at each start; Unix nanoseconds will do
	Address      string `json:"address"`     // IP and port at which it takes requests
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	Slots        int    `json:"slots"`
	Connections  int    `json:"connections"`
	Cores        int    `json:"cores,omitempty"`
	MemoryMb     int    `json:"memoryMb,omitempty"`
	Accelerators int    `json:"accelerators,omitempty"`
	InUse        int    `json:"inUse"`
	Epoch        uint64 `json:"epoch"` // the one that it holds
	Empty        bool   `json:"empty"` // nothing is in progress and, if it drains, nothing will be
	Leaving      bool   `json:"leaving"`
}

// Reply is what the endpoint is told.
type Reply struct {
	Incarnation     uint64  `json:"incarnation"` // the highest known; one that is lower must start above it
	Place           string  `json:"place"`
	Pool            string  `json:"pool"`
	Epoch           uint64  `json:"epoch"`
	IntervalSeconds float64 `json:"intervalSeconds"` // until the next announcement
}

// Config describes an announcer.
type Config struct {
	Send          func(a messenger.Announcement) bool // brings it to the tracker if there is room
	LeastInterval time.Duration
}

// Announcer is the HTTP handler of the endpoints' listener.
type Announcer struct {
	cfg      Config
	view     atomic.Pointer[messenger.View]
	interval atomic.Int64
}

// NewAnnouncer returns an announcer that knows no declarations yet.
func NewAnnouncer(cfg Config) *Announcer {
	a := &Announcer{cfg: cfg}
	a.view.Store(&messenger.View{State: keeper.NewState()})
	a.interval.Store(int64(cfg.LeastInterval))
	return a
}

// Take takes messages of the node.
func (a *Announcer) Take(body any) {
	switch m := body.(type) {
	case messenger.View:
		a.view.Store(&m)
	case messenger.Interval:
		a.interval.Store(int64(m.Every))
	}
}

// ServeHTTP takes one announcement.
func (a *Announcer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.Error(w, "announcements are posted", http.StatusMethodNotAllowed)
		return
	}
	var in Announcement
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostBytes)).Decode(&in)
	if err != nil {
		http.Error(w, "malformed announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	fault := in.fault()
	if fault != "" {
		http.Error(w, fault, http.StatusBadRequest)
		return
	}
	if !a.cfg.Send(in.message()) {
		http.Error(w, "too many announcements", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.reply(in)) // an endpoint that is gone gets nothing
}

func (in Announcement) fault() string {
	_, _, err := net.SplitHostPort(in.Address)
	if err == nil {
		_, err = url.Parse("http://" + in.Address) // attempts are sent there
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

func (in Announcement) message() messenger.Announcement {
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

func (a *Announcer) reply(in Announcement) Reply {
	out := Reply{IntervalSeconds: time.Duration(a.interval.Load()).Seconds()}
	i, ok := a.view.Load().State.Instance(in.Instance)
	if !ok {
		out.Place = keeper.Unknown.String()
		return out
	}
	out.Incarnation = i.Incarnation
	if i.Incarnation != in.Incarnation {
		out.Place = keeper.Unknown.String() // not placed under its new incarnation yet
		return out
	}
	out.Place = i.Place.String()
	out.Pool = i.Pool
	out.Epoch = i.Epoch
	return out
}
