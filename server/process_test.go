package server

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/driver"
	"laburnumwind/emulator"
)

func (f *testFleet) callers() []string {
	var urls []string
	for _, d := range f.daemons {
		urls = append(urls, "http://"+d.set.Listen.Callers)
	}
	return urls
}

// load sends keyed and idempotent requests for a while, and calls during it.
func (f *testFleet) load(seconds int, during func()) []driver.Report {
	var wg sync.WaitGroup
	var reports []driver.Report
	steps := []driver.Step{{Rate: 60, For: time.Duration(seconds) * time.Second}}
	wg.Go(func() {
		reports = driver.Run(context.Background(), driver.Config{
			Entries: f.callers(),
			Client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
			Seed:    1,
			Name:    fmt.Sprintf("%p", &wg),
			Demands: []driver.Demand{
				{Service: "build", Token: testToken, Keyed: true, Bytes: 500, Steps: steps, Deadline: 5 * time.Second},
				{Service: "check", Token: testToken, Bytes: 500, Steps: steps, Deadline: 5 * time.Second},
			},
		})
	})
	during()
	wg.Wait()
	return reports
}

func (f *testFleet) begin(t *testing.T) {
	t.Helper()
	f.startAll()
	must.Eq(t, "accepted", f.apply(f.daemons[0], 0, "first", 6).GetCode())
	f.startEndpoints(6, emulator.Faults{Delay: 10 * time.Millisecond, Reboot: 300 * time.Millisecond})
}

func TestLeaderKilledUnderLoad(t *testing.T) {
	f := newTestFleet(t)
	f.begin(t)
	var failover time.Duration
	reports := f.load(4, func() {
		leader := f.leader()
		<-time.After(time.Second) // some load before the loss
		leader.kill()
		failover = f.eventually("another leader", func() bool { return f.leaderNow() != nil })
		leader.start()
	})
	t.Logf("another leader after %s; %+v", failover, reports)
	must.Less(t, 2*time.Second, failover)
	for _, r := range reports {
		must.Eq(t, 0, r.MixedUp)
		must.Greater(t, r.Sent*3/4, r.Answered)
	}
	must.Greater(t, 0, f.checkStarts())
}

func TestFrozenLeader(t *testing.T) {
	f := newTestFleet(t)
	f.begin(t)
	old := f.leader()
	old.signal(syscall.SIGSTOP)
	f.eventually("another leader", func() bool { return f.leadsWithout(old) })
	var other *testDaemon
	for _, d := range f.daemons {
		if d != old {
			other = d
		}
	}
	must.Eq(t, "accepted", f.apply(other, 1, "while frozen", 7).GetCode())
	old.signal(syscall.SIGCONT)
	out := f.apply(old, 1, "at the one that wakes", 8)
	must.Eq(t, "conflict", out.GetCode())
	must.Eq(t, 2, out.GetRevision())
	f.eventually("revision 2 everywhere", func() bool { return f.allAt(2) })
}

func (f *testFleet) allAt(revision uint64) bool {
	for _, d := range f.daemons {
		if d.status().GetRevision() != revision {
			return false
		}
	}
	return true
}

func TestDiskLost(t *testing.T) {
	f := newTestFleet(t)
	f.begin(t)
	for round, d := range []*testDaemon{f.daemons[1], f.daemons[2]} { // the second loss comes right after the repair
		d.kill()
		must.NoError(t, os.RemoveAll(d.set.DataFolder))
		d.start()
		f.eventually("a voter again", func() bool { return d.status().GetVotes() && d.status().GetRevision() == uint64(round+1) })
		must.Eq(t, "accepted", f.apply(d, uint64(round+1), fmt.Sprintf("after loss %d", round), 6).GetCode())
	}
	f.eventually("revision 3 everywhere", func() bool { return f.allAt(3) })
}

func TestRestartAfterManyChanges(t *testing.T) {
	const changes = 500
	f := newTestFleet(t)
	f.startAll()
	for n := range uint64(changes) {
		out := f.apply(f.daemons[n%4], n, fmt.Sprintf("change %d", n), int64(n%9))
		must.Eq(t, "accepted", out.GetCode(), must.Sprint(out.GetReason()))
	}
	for _, d := range f.daemons {
		d.kill()
	}
	f.startAll()
	took := f.eventually("all changes everywhere", func() bool { return f.allAt(changes) })
	t.Logf("%d changes in force everywhere %s after a kill of all", changes, took)
	out := f.apply(f.daemons[3], 7, "change 7", 7) // sent again long after its answer was lost
	must.Eq(t, "accepted", out.GetCode())
	must.Eq(t, 8, out.GetRevision())
}

// TestPlannedStopOfTheLeader checks that a planned stop hands the lead over: a
// loss would be noticed only after the shortest election time.
func TestPlannedStopOfTheLeader(t *testing.T) {
	const shortestElection = 600 * time.Millisecond
	f := newTestFleet(t)
	f.begin(t)
	var handOver time.Duration
	reports := f.load(3, func() {
		leader := f.leader()
		<-time.After(time.Second) // some load before the stop
		leader.signal(syscall.SIGTERM)
		handOver = f.eventually("another leader", func() bool { return f.leadsWithout(leader) })
		must.NoError(t, leader.cmd.Wait())
		leader.cmd = nil
	})
	t.Logf("another leader after %s", handOver)
	must.Less(t, shortestElection, handOver)
	for _, r := range reports {
		must.Eq(t, r.Sent, r.Answered, must.Sprintf("%+v", r))
	}
	f.checkStarts()
}

func TestPlannedStopCutsNothingOff(t *testing.T) {
	f := newTestFleet(t)
	f.begin(t)
	reports := f.load(3, func() {
		<-time.After(time.Second) // some load before the stop
		f.daemons[3].signal(syscall.SIGTERM)
		must.NoError(t, f.daemons[3].cmd.Wait())
		f.daemons[3].cmd = nil
		must.NoError(t, f.endpoints[0].Stop())
	})
	for _, r := range reports {
		must.Eq(t, r.Sent, r.Answered, must.Sprintf("%+v", r))
	}
	f.checkStarts()
}
