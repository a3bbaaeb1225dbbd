package surveyor

import (
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"laburnumwind/assembler"
	"laburnumwind/encoder"
	"laburnumwind/keeper"
	"laburnumwind/messenger"
	"laburnumwind/planner"
	"laburnumwind/replicator"
	"laburnumwind/tracker"
)

// Shape of the fleet at full size.
const (
	fullPools     = 29
	fullCustomers = 440
	fullZones     = 14
	repeats       = 20
)

// Capacity is what state and control cost at a size of the fleet.
type Capacity struct {
	Workers  int
	Heap     uint64        // of the declarations, in bytes
	Snapshot int           // of the declarations, in bytes
	Register time.Duration // one command applied
	Announce time.Duration // one announcement at the tracker
	Look     time.Duration // one look of the tracker
	Plan     time.Duration // one look of the planner
	Wave     time.Duration // the same in a wave
	Report   int           // of one endpoint between entry instances, in bytes
}

// MeasureCapacity measures a fleet of n workers with the pools and customers of full size.
func MeasureCapacity(n int) Capacity {
	now := time.Unix(1_800_000_000, 0)
	c := Capacity{Workers: n}
	before := heap()
	state := fleetOf(now, n)
	c.Heap = heap() - before
	c.Snapshot = proto.Size(encoder.DeclarationsCodec().FromMessage(assembler.DeclarationsMessage{
		Kind:     replicator.Install,
		Snapshot: &replicator.Snapshot[keeper.State]{Machine: state},
	}))
	c.Register = perCall(func(i int) {
		state.Apply(now, keeper.Command{Kind: keeper.Register, Instance: keeper.Instance{Name: "fresh", Incarnation: uint64(i + 1)}})
	})
	heard := announcements(state)
	c.Announce, c.Look = measureTracker(now, state, heard)
	c.Plan = plannerLook(now, state, heard)
	wave, _ := state.Apply(now, keeper.Command{Kind: keeper.StartWave, MaxFailed: 1})
	c.Wave = plannerLook(now, wave, heard)
	c.Report = proto.Size(encoder.FromGossip(messenger.Gossip{From: "a1", Reports: []messenger.Report{{Announcement: heard[0], Age: time.Second}}}))
	return c
}

func measureTracker(now time.Time, state keeper.State, heard []messenger.Announcement) (announce, look time.Duration) {
	tracked := tracker.NewState(tracker.Config{Name: "a1"})
	tracked, _ = tracked.Step(now, messenger.View{State: state})
	for _, a := range heard {
		tracked, _ = tracked.Step(now, messenger.Gossip{From: "b1", Reports: []messenger.Report{{Announcement: a}}})
	}
	announce = perCall(func(i int) { tracked, _ = tracked.Step(now, heard[i%len(heard)]) })
	at := now
	look = perCall(func(int) {
		at = at.Add(time.Second + time.Duration(len(heard))*time.Millisecond)
		tracked, _ = tracked.Step(at, messenger.Tick{})
	})
	return announce, look
}

func perCall(call func(i int)) time.Duration {
	began := time.Now()
	for i := range repeats {
		call(i)
	}
	return time.Since(began) / repeats
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// fleetOf is a fleet with the pools and customers of full size and n workers in racks of four.
func fleetOf(now time.Time, n int) keeper.State {
	const rackSize = 4
	var d keeper.Declarations
	for p := range fullPools {
		name := fmt.Sprintf("pool-%d", p)
		d.Pools = append(d.Pools, keeper.Pool{Name: name, Size: n/fullPools + 1, Lendable: true})
		d.Services = append(d.Services, keeper.Service{Name: "service-" + name, Pool: name, Share: 1})
	}
	for k := range fullCustomers {
		d.Customers = append(d.Customers, keeper.Customer{
			Name: fmt.Sprintf("team-%d", k), Token: fmt.Sprintf("%064d", k), Weight: 1,
			Services: []string{d.Services[k%fullPools].Name},
			Budget:   keeper.Budget{MaxDown: n/fullPools/5 + 2, Downtime: time.Hour * 1000, Window: 840 * time.Hour},
		})
	}
	s, _ := keeper.NewState().Apply(now, keeper.Command{Kind: keeper.Apply, Declarations: d})
	img := s.Image()
	for i := range n {
		img.Instances = append(img.Instances, keeper.Instance{
			Name: fmt.Sprintf("worker-%04d", i), Incarnation: 1, Zone: fmt.Sprintf("zone-%d", i%fullZones),
			Rack: fmt.Sprintf("rack-%d", i/rackSize), Slots: 8, Place: keeper.Serving,
			Pool: d.Pools[i%fullPools].Name, Epoch: 1, Since: now,
		})
	}
	return keeper.FromImage(img)
}

func announcements(s keeper.State) []messenger.Announcement {
	var out []messenger.Announcement
	for _, i := range s.Instances() {
		out = append(out, messenger.Announcement{InUse: 4, Endpoint: messenger.Endpoint{
			Instance: i.Name, Incarnation: i.Incarnation, Address: "10.0.0.1:8000", Zone: i.Zone, Rack: i.Rack, Slots: 8, Connections: 64, Epoch: 1,
		}})
	}
	return out
}

func plannerLook(now time.Time, s keeper.State, heard []messenger.Announcement) time.Duration {
	p := planner.NewState(planner.Config{}, 0)
	p, _ = p.Step(now, messenger.View{State: s, Leads: true})
	reports := make([]messenger.Report, 0, len(heard))
	for _, a := range heard {
		reports = append(reports, messenger.Report{Announcement: a})
	}
	at := now
	return perCall(func(int) {
		at = at.Add(time.Minute)
		p, _ = p.Step(at, messenger.Heard{Reports: reports})
		p, _ = p.Step(at, messenger.Tick{})
	})
}
