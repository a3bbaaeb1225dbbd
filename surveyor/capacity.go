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

const (
	poolCount     = 29  // pools of the full fleet
	customerCount = 440 // customers of the full fleet
	zoneCount     = 14  // availability zones of the full fleet
	repeats       = 20  // calls over which a duration is averaged
)

// Capacity is the cost of the state and of the control loops at a fleet size.
type Capacity struct {
	Workers           int
	HeapBytes         uint64        // bytes of the declarations state in memory
	SnapshotBytes     int           // bytes of an encoded snapshot of the declarations
	Register          time.Duration // to apply one register command
	Announce          time.Duration // for the tracker to handle one announcement
	TrackerTick       time.Duration // for the tracker to handle one tick
	PlannerTick       time.Duration // for the planner to handle the reports on all endpoints and one tick
	PlannerTickInWave time.Duration // the same during a maintenance wave
	GossipReportBytes int           // bytes of the report on one endpoint in gossip between entry instances
}

// MeasureCapacity measures a fleet of n workers with the pools and customers of the
// full fleet.
func MeasureCapacity(n int) Capacity {
	now := time.Unix(1_800_000_000, 0)
	c := Capacity{Workers: n}
	before := heapBytes()
	state := newFleetState(now, n)
	c.HeapBytes = heapBytes() - before
	c.SnapshotBytes = proto.Size(encoder.DeclarationsCodec().EncodeMessage(assembler.DeclarationsMessage{
		Kind:     replicator.InstallSnapshot,
		Snapshot: &replicator.Snapshot[keeper.State]{Machine: state},
	}))
	c.Register = meanDuration(func(i int) {
		state.Apply(now, keeper.Command{Kind: keeper.Register, Instance: keeper.Instance{Name: "fresh", Incarnation: uint64(i + 1)}})
	})
	announced := announcements(state)
	c.Announce, c.TrackerTick = measureTracker(now, state, announced)
	c.PlannerTick = measurePlanner(now, state, announced)
	wave, _ := state.Apply(now, keeper.Command{Kind: keeper.StartWave, MaxFailed: 1})
	c.PlannerTickInWave = measurePlanner(now, wave, announced)
	c.GossipReportBytes = proto.Size(encoder.EncodeGossip(messenger.Gossip{From: "a1", Reports: []messenger.EndpointReport{{Announcement: announced[0], Age: time.Second}}}))
	return c
}

// measureTracker returns the mean times that a tracker needs to handle an announcement and
// a tick. The tracker knows all endpoints through gossip.
func measureTracker(now time.Time, state keeper.State, announced []messenger.Announcement) (announce, tick time.Duration) {
	trackerState := tracker.NewState(tracker.Config{Name: "a1"})
	trackerState, _ = trackerState.Step(now, messenger.DeclarationsView{State: state})
	for _, a := range announced {
		trackerState, _ = trackerState.Step(now, messenger.Gossip{From: "b1", Reports: []messenger.EndpointReport{{Announcement: a}}})
	}
	announce = meanDuration(func(i int) { trackerState, _ = trackerState.Step(now, announced[i%len(announced)]) })
	at := now
	tick = meanDuration(func(int) {
		at = at.Add(time.Second + time.Duration(len(announced))*time.Millisecond) // long enough that every tick scans the endpoints and gossips
		trackerState, _ = trackerState.Step(at, messenger.Tick{})
	})
	return announce, tick
}

// meanDuration returns the mean duration of a call, over repeats calls.
func meanDuration(call func(i int)) time.Duration {
	started := time.Now()
	for i := range repeats {
		call(i)
	}
	return time.Since(started) / repeats
}

// heapBytes returns the bytes on the heap after a garbage collection.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// newFleetState returns the state of a fleet of n workers in racks of four, with the
// pools and customers of the full fleet.
func newFleetState(now time.Time, n int) keeper.State {
	const rackSize = 4
	var d keeper.Declarations
	for p := range poolCount {
		name := fmt.Sprintf("pool-%d", p)
		d.Pools = append(d.Pools, keeper.Pool{Name: name, Size: n/poolCount + 1, Lendable: true})
		d.Services = append(d.Services, keeper.Service{Name: "service-" + name, Pool: name, Share: 1})
	}
	for k := range customerCount {
		d.Customers = append(d.Customers, keeper.Customer{
			Name: fmt.Sprintf("team-%d", k), Token: fmt.Sprintf("%064d", k), Weight: 1,
			Services: []string{d.Services[k%poolCount].Name},
			Budget:   keeper.Budget{MaxDown: n/poolCount/5 + 2, Downtime: time.Hour * 1000, Window: 840 * time.Hour},
		})
	}
	s, _ := keeper.NewState().Apply(now, keeper.Command{Kind: keeper.Apply, Declarations: d})
	snapshot := s.Snapshot()
	for i := range n {
		snapshot.Instances = append(snapshot.Instances, keeper.Instance{
			Name: fmt.Sprintf("worker-%04d", i), Incarnation: 1, Zone: fmt.Sprintf("zone-%d", i%zoneCount),
			Rack: fmt.Sprintf("rack-%d", i/rackSize), Slots: 8, State: keeper.Serving,
			Pool: d.Pools[i%poolCount].Name, Epoch: 1, Since: now,
		})
	}
	return keeper.FromSnapshot(snapshot)
}

// announcements returns an announcement of each instance in the state.
func announcements(s keeper.State) []messenger.Announcement {
	var out []messenger.Announcement
	for _, i := range s.Instances() {
		out = append(out, messenger.Announcement{InUse: 4, Endpoint: messenger.Endpoint{
			Instance: i.Name, Incarnation: i.Incarnation, Address: "10.0.0.1:8000", Zone: i.Zone, Rack: i.Rack, Slots: 8, Connections: 64, Epoch: 1,
		}})
	}
	return out
}

// measurePlanner returns the mean time that the planner on the leader needs to handle the
// reports on all endpoints and one tick.
func measurePlanner(now time.Time, s keeper.State, announced []messenger.Announcement) time.Duration {
	p := planner.NewState(planner.Config{}, 0)
	p, _ = p.Step(now, messenger.DeclarationsView{State: s, IsLeader: true})
	reports := make([]messenger.EndpointReport, 0, len(announced))
	for _, a := range announced {
		reports = append(reports, messenger.EndpointReport{Announcement: a})
	}
	at := now
	return meanDuration(func(int) {
		at = at.Add(time.Minute)
		p, _ = p.Step(at, messenger.EndpointReports{Reports: reports})
		p, _ = p.Step(at, messenger.Tick{})
	})
}
