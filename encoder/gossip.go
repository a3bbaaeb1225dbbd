package encoder

import (
	"time"

	"laburnumwind/messenger"
)

// EncodeGossip converts gossip to protobuf.
func EncodeGossip(g messenger.Gossip) *Gossip {
	return &Gossip{
		From: g.From,
		Reports: convertAll(g.Reports, func(r messenger.EndpointReport) *Report {
			a := r.Announcement
			return &Report{Age: int64(r.Age), Announcement: &Announcement{
				Endpoint: encodeEndpoint(a.Endpoint),
				InUse:    int64(a.InUse),
				Leaving:  a.Leaving,
				Empty:    a.Empty,
			}}
		}),
		Demands: convertAll(g.Demands, func(d messenger.Demand) *Demand {
			return &Demand{Service: d.Service, Pool: d.Pool, InUse: int64(d.InUse), Waiting: int64(d.Waiting)}
		}),
		Whole:      g.Full,
		HasDemands: g.Demands != nil,
	}
}

// DecodeGossip converts gossip back from protobuf. Protobuf does not distinguish an empty list from a missing
// one, so HasDemands records that the list of demands is not nil: an empty list reports that there is no demand.
func DecodeGossip(g *Gossip) messenger.Gossip {
	out := messenger.Gossip{
		From: g.GetFrom(),
		Reports: convertAll(g.GetReports(), func(r *Report) messenger.EndpointReport {
			a := r.GetAnnouncement()
			return messenger.EndpointReport{Age: time.Duration(r.GetAge()), Announcement: messenger.Announcement{
				Endpoint: decodeEndpoint(a.GetEndpoint()),
				InUse:    int(a.GetInUse()),
				Leaving:  a.GetLeaving(),
				Empty:    a.GetEmpty(),
			}}
		}),
		Demands: convertAll(g.GetDemands(), func(d *Demand) messenger.Demand {
			return messenger.Demand{Service: d.GetService(), Pool: d.GetPool(), InUse: int(d.GetInUse()), Waiting: int(d.GetWaiting())}
		}),
		Full: g.GetWhole(),
	}
	if g.GetHasDemands() && out.Demands == nil {
		out.Demands = []messenger.Demand{}
	}
	return out
}
