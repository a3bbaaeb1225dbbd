package encoder

import (
	"time"

	"laburnumwind/messenger"
)

// FromGossip returns the soft state as protobuf.
func FromGossip(g messenger.Gossip) *Gossip {
	return &Gossip{
		From: g.From,
		Reports: each(g.Reports, func(r messenger.Report) *Report {
			a := r.Announcement
			return &Report{Age: int64(r.Age), Announcement: &Announcement{
				Endpoint: fromEndpoint(a.Endpoint),
				InUse:    int64(a.InUse),
				Leaving:  a.Leaving,
				Empty:    a.Empty,
			}}
		}),
		Demands: each(g.Demands, func(d messenger.Demand) *Demand {
			return &Demand{Service: d.Service, Pool: d.Pool, InUse: int64(d.InUse), Waiting: int64(d.Waiting)}
		}),
		Whole:      g.Whole,
		HasDemands: g.Demands != nil,
	}
}

// ToGossip is the inverse of FromGossip.
func ToGossip(g *Gossip) messenger.Gossip {
	out := messenger.Gossip{
		From: g.GetFrom(),
		Reports: each(g.GetReports(), func(r *Report) messenger.Report {
			a := r.GetAnnouncement()
			return messenger.Report{Age: time.Duration(r.GetAge()), Announcement: messenger.Announcement{
				Endpoint: toEndpoint(a.GetEndpoint()),
				InUse:    int(a.GetInUse()),
				Leaving:  a.GetLeaving(),
				Empty:    a.GetEmpty(),
			}}
		}),
		Demands: each(g.GetDemands(), func(d *Demand) messenger.Demand {
			return messenger.Demand{Service: d.GetService(), Pool: d.GetPool(), InUse: int(d.GetInUse()), Waiting: int(d.GetWaiting())}
		}),
		Whole: g.GetWhole(),
	}
	if g.GetHasDemands() && out.Demands == nil {
		out.Demands = []messenger.Demand{}
	}
	return out
}
