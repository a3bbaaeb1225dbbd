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

func (f *testFleet) callerURLs() []string {
	var urls []string
	for _, d := range f.daemons {
		urls = append(urls, "http://"+d.settings.Listen.Callers)
	}
	return urls
}

// runLoad sends keyed and idempotent requests for the given number of seconds. It calls the
// function during while the load runs.
func (f *testFleet) runLoad(seconds int, during func()) []driver.Report {
	var wg sync.WaitGroup
	var reports []driver.Report
	steps := []driver.Step{{Rate: 60, For: time.Duration(seconds) * time.Second}}
	wg.Go(func() {
		reports = driver.Run(context.Background(), driver.Config{
			Entries:  f.callerURLs(),
			Client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
			Seed:     1,
			IDPrefix: fmt.Sprintf("%p", &wg),
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

// startServing starts all daemons, applies declarations and starts six endpoints.
func (f *testFleet) startServing(t *testing.T) {
	t.Helper()
	f.startAll()
	must.Eq(t, "accepted", f.apply(f.daemons[0], 0, "first", 6).GetCode())
	f.startEndpoints(6, emulator.Faults{Delay: 10 * time.Millisecond, Reboot: 300 * time.Millisecond})
}

// TestLeaderKilledUnderLoad checks that a killed leader is replaced within 2 seconds, that
// more than three quarters of the requests are answered, and that no keyed request starts
// twice.
func TestLeaderKilledUnderLoad(t *testing.T) {
	f := newTestFleet(t)
	f.startServing(t)
	var failoverTime time.Duration
	reports := f.runLoad(4, func() {
		leader := f.leader()
		<-time.After(time.Second) // lets some requests complete first
		leader.kill()
		failoverTime = f.eventually("another leader", func() bool { return f.currentLeader() != nil })
		leader.start()
	})
	t.Logf("another leader after %s; %+v", failoverTime, reports)
	must.Less(t, 2*time.Second, failoverTime)
	for _, r := range reports {
		must.Eq(t, 0, r.MixedUp)
		must.Greater(t, r.Sent*3/4, r.Answered)
	}
	must.Greater(t, 0, f.checkStarts())
}

// TestSuspendedLeader checks that a leader that was suspended, and so missed its
// replacement, doesn't accept a change at an old revision when it resumes.
func TestSuspendedLeader(t *testing.T) {
	f := newTestFleet(t)
	f.startServing(t)
	old := f.leader()
	old.signal(syscall.SIGSTOP)
	f.eventually("another leader", func() bool { return f.anotherLeads(old) })
	var other *testDaemon
	for _, d := range f.daemons {
		if d != old {
			other = d
		}
	}
	must.Eq(t, "accepted", f.apply(other, 1, "while suspended", 7).GetCode())
	old.signal(syscall.SIGCONT)
	out := f.apply(old, 1, "at the resumed daemon", 8)
	must.Eq(t, "conflict", out.GetCode())
	must.Eq(t, 2, out.GetRevision())
	f.eventually("revision 2 everywhere", func() bool { return f.allAtRevision(2) })
}

// allAtRevision reports whether every daemon has applied exactly this revision.
func (f *testFleet) allAtRevision(revision uint64) bool {
	for _, d := range f.daemons {
		if d.status().GetRevision() != revision {
			return false
		}
	}
	return true
}

// TestDiskLost checks that a voter that lost its disk becomes a voter again without a loss
// of accepted changes, also when another voter loses its disk right after that.
func TestDiskLost(t *testing.T) {
	f := newTestFleet(t)
	f.startServing(t)
	for round, d := range []*testDaemon{f.daemons[1], f.daemons[2]} { // the second disk is lost as soon as the first voter is restored
		d.kill()
		must.NoError(t, os.RemoveAll(d.settings.DataFolder))
		d.start()
		f.eventually("voter restored", func() bool { return d.status().GetVotes() && d.status().GetRevision() == uint64(round+1) })
		must.Eq(t, "accepted", f.apply(d, uint64(round+1), fmt.Sprintf("after loss %d", round), 6).GetCode())
	}
	f.eventually("revision 3 everywhere", func() bool { return f.allAtRevision(3) })
}

// TestRestartAfterManyChanges checks that all accepted changes, and the outcome that is
// remembered for each change ID, survive a kill of all daemons.
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
	elapsed := f.eventually("all changes everywhere", func() bool { return f.allAtRevision(changes) })
	t.Logf("%d changes applied everywhere %s after all daemons were killed", changes, elapsed)
	out := f.apply(f.daemons[3], 7, "change 7", 7) // a retry long after the first answer, as if that had been lost
	must.Eq(t, "accepted", out.GetCode())
	must.Eq(t, 8, out.GetRevision())
}

// TestLeaderStopTransfersLeadership checks that a graceful stop of the leader transfers
// leadership: without that, an election would start only after the minimum election timeout.
func TestLeaderStopTransfersLeadership(t *testing.T) {
	const minElectionTimeout = 600 * time.Millisecond
	f := newTestFleet(t)
	f.startServing(t)
	var transferTime time.Duration
	reports := f.runLoad(3, func() {
		leader := f.leader()
		<-time.After(time.Second) // lets some requests complete first
		leader.signal(syscall.SIGTERM)
		transferTime = f.eventually("another leader", func() bool { return f.anotherLeads(leader) })
		must.NoError(t, leader.cmd.Wait())
		leader.cmd = nil
	})
	t.Logf("another leader after %s", transferTime)
	must.Less(t, minElectionTimeout, transferTime)
	for _, r := range reports {
		must.Eq(t, r.Sent, r.Answered, must.Sprintf("%+v", r))
	}
	f.checkStarts()
}

// TestGracefulStopLosesNoRequest checks that the graceful stop of an entry instance and
// of an endpoint leaves every request answered.
func TestGracefulStopLosesNoRequest(t *testing.T) {
	f := newTestFleet(t)
	f.startServing(t)
	reports := f.runLoad(3, func() {
		<-time.After(time.Second) // lets some requests complete first
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
