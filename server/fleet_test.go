package server

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumwind/authenticator"
	"laburnumwind/emulator"
	"laburnumwind/encoder"
	"laburnumwind/loader"
)

const (
	testToken    = "token-of-the-tests-0123456789"
	stateTimeout = 30 * time.Second // maximum duration of eventually and of one request
)

// testFleet is a set of daemons, each a process of its own, with endpoints in the test process.
// The only daemon of a fleet from newTestServer runs in the test process too.
type testFleet struct {
	t         *testing.T
	folder    string
	daemons   []*testDaemon
	endpoints []*emulator.Endpoint
	mu        sync.Mutex
	starts    map[string]int // starts of requests at the endpoints, by customer and idempotency key
	token     string         // token that operators and endpoints send
}

// testDaemon is one daemon of a testFleet. Its cmd is nil while it isn't running.
type testDaemon struct {
	fleet        *testFleet
	settingsPath string
	settings     loader.Settings
	cmd          *exec.Cmd
}

// daemonBinary builds laburnumd once for all tests and returns its path.
var daemonBinary = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "laburnumd-test-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, "laburnumd")
	out, err := exec.Command("go", "build", "-o", path, "laburnumwind/cmd/laburnumd").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%s: %w", out, err)
	}
	return path, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	path, err := daemonBinary()
	if err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

const (
	firstPort = 20_000 // the range that ends at firstPort+portCount is below the ephemeral ports of outgoing connections
	portCount = 12_000
)

// portCounter selects the next port to try. It only grows, so that this process tries a
// port again only after all portCount ports, and starts at an offset derived from the
// process ID, so that two test processes rarely try the same ports.
var portCounter atomic.Int64

func init() {
	portCounter.Store(int64(os.Getpid()) * 97)
}

// freeAddress returns a loopback address with a free port. It tries ports in sequence:
// when it drew them at random, two daemons of a fleet occasionally got the same port, and
// one of them could not listen.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+portCounter.Add(1)%portCount)
		l, err := net.Listen("tcp", address)
		if err == nil {
			must.NoError(t, l.Close())
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// TestFreeAddressesAreUnique guards against two daemons of a fleet with the same port,
// which happened when ports were drawn at random.
func TestFreeAddressesAreUnique(t *testing.T) {
	const fleets, addresses = 50, 16
	seen := make(map[string]bool)
	for range fleets * addresses {
		address := freeAddress(t)
		must.False(t, seen[address], must.Sprintf("%s returned twice", address))
		seen[address] = true
	}
}

// newTestFleet writes the settings of three voters, one in each availability zone,
// and of one instance without a data folder. It doesn't start them.
func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	return newTestFleetWithProxies(t, func(_, _, address string) string { return address })
}

// newTestFleetWithProxies is like newTestFleet, but each instance connects to its peers
// at the addresses that proxy returns.
func newTestFleetWithProxies(t *testing.T, proxy func(from, to, address string) string) *testFleet {
	t.Helper()
	f := &testFleet{t: t, folder: t.TempDir(), starts: make(map[string]int), token: testToken}
	must.NoError(t, os.WriteFile(filepath.Join(f.folder, "token"), []byte(testToken+"\n"), 0o600))
	names := []string{"a1", "b1", "c1", "a2"}
	addresses := make(map[string]string)
	for _, name := range names {
		addresses[name] = freeAddress(t)
	}
	peersOf := func(from string) string {
		var peers []string
		for i, name := range names {
			address := addresses[name]
			if name != from {
				address = proxy(from, name, address)
			}
			peers = append(peers, fmt.Sprintf(`{"name": %q, "zone": %q, "address": %q, "voter": %t}`, name, name[:1], address, i < 3))
		}
		return strings.Join(peers, ", ")
	}
	for i, name := range names {
		dataFolder := ""
		if i < 3 {
			dataFolder = "data-" + name
		}
		text := fmt.Sprintf(`{
  "name": %q, "zone": %q, "dataFolder": %q,
  "listen": {"callers": %q, "endpoints": %q, "operators": %q, "peers": %q},
  "peers": [%s],
  "tokens": {"endpoints": "token", "operators": "token", "peers": "token"},
  "timing": {"leave": "200ms", "lostAfter": "3s"},
  "log": {"level": "warn"},
}`, name, name[:1], dataFolder, freeAddress(t), freeAddress(t), freeAddress(t), addresses[name], peersOf(name))
		path := filepath.Join(f.folder, name+".jsonc")
		must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		settings, err := loader.Load(path)
		must.NoError(t, err)
		f.daemons = append(f.daemons, &testDaemon{fleet: f, settingsPath: path, settings: settings})
		if i < 3 {
			must.NoError(t, Init(settings))
		}
	}
	t.Cleanup(f.stop)
	return f
}

func (f *testFleet) stop() {
	for _, e := range f.endpoints {
		e.Kill()
	}
	for _, d := range f.daemons {
		d.kill()
	}
}

func (f *testFleet) startAll() {
	for _, d := range f.daemons {
		d.start()
	}
}

func (d *testDaemon) start() {
	path, err := daemonBinary()
	must.NoError(d.fleet.t, err)
	d.cmd = exec.Command(path, d.settingsPath)
	d.cmd.Stderr = os.Stderr
	must.NoError(d.fleet.t, d.cmd.Start())
}

func (d *testDaemon) signal(s syscall.Signal) {
	must.NoError(d.fleet.t, d.cmd.Process.Signal(s))
}

// kill ends the process at once with SIGKILL, without a graceful stop. It simulates a crash
// of the process.
func (d *testDaemon) kill() {
	if d.cmd == nil {
		return
	}
	_ = d.cmd.Process.Kill()
	_ = d.cmd.Wait()
	d.cmd = nil
}

func (d *testDaemon) operator() encoder.Operator {
	client := &http.Client{
		Timeout:   5 * time.Second,
		Transport: authenticator.BearerTransport{Token: d.fleet.token, Next: http.DefaultTransport},
	}
	return encoder.NewOperatorProtobufClient("http://"+d.settings.Listen.Operators, client)
}

// status returns the status of the daemon, which is empty if the daemon doesn't answer.
func (d *testDaemon) status() *encoder.Status {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s, err := d.operator().Get(ctx, &encoder.GetRequest{})
	if err != nil {
		return &encoder.Status{}
	}
	return s
}

// eventually polls until a condition holds and returns how long that took. It fails
// the test after stateTimeout.
func (f *testFleet) eventually(description string, condition func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for time.Since(start) < stateTimeout {
		if condition() {
			return time.Since(start)
		}
		<-time.After(20 * time.Millisecond)
	}
	f.t.Fatalf("timed out waiting for: %s", description)
	return 0
}

// leader waits for a daemon that leads with a valid lease and returns it.
func (f *testFleet) leader() *testDaemon {
	var leader *testDaemon
	f.eventually("a leader", func() bool {
		leader = f.currentLeader()
		return leader != nil
	})
	return leader
}

// anotherLeads reports whether a daemon other than old leads with a valid lease.
func (f *testFleet) anotherLeads(old *testDaemon) bool {
	for _, d := range f.daemons {
		if d != old && d.status().GetLeads() {
			return true
		}
	}
	return false
}

// currentLeader returns a running daemon that leads with a valid lease, or nil.
func (f *testFleet) currentLeader() *testDaemon {
	for _, d := range f.daemons {
		if d.cmd != nil && d.status().GetLeads() {
			return d
		}
	}
	return nil
}

// testDeclarations returns declarations whose pool has the given size.
func testDeclarations(size int64) *encoder.Declarations {
	d, err := loader.ParseDeclarations("test", fmt.Appendf(nil, `{
  "pools": [{"name": "imaging", "size": %d, "lendable": true}],
  "services": [{"name": "build", "pool": "imaging"}, {"name": "check", "pool": "imaging", "idempotent": true}],
  "customers": [{"name": "school", "tokenSha256": %q, "services": ["build", "check"], "budget": {"maxDown": 3}}],
}`, size, tokenDigest))
	if err != nil {
		panic(err)
	}
	return d
}

// tokenDigest is the SHA-256 digest of testToken, in hexadecimal.
const tokenDigest = "0b22685f9b78c09f405c9b3d827428f629ced40ecce59d38ea57c3b8ff3d85f6"

// apply applies testDeclarations at a daemon. It retries with the same change ID until
// the call succeeds.
func (f *testFleet) apply(d *testDaemon, revision uint64, id string, size int64) *encoder.Outcome {
	var out *encoder.Outcome
	f.eventually("apply "+id, func() bool {
		var err error
		out, err = d.operator().Apply(context.Background(), &encoder.ApplyRequest{
			Declarations: testDeclarations(size), Revision: revision, Operator: "test", ChangeId: id,
		})
		return err == nil
	})
	return out
}

// startEndpoints starts emulated endpoints, distributed over the availability zones,
// and waits until every daemon lists all of them as serving.
func (f *testFleet) startEndpoints(n int, faults emulator.Faults) {
	for i := range n {
		zone := []string{"a", "b", "c"}[i%3]
		var entries []string
		for _, d := range f.daemons {
			if d.settings.Zone == zone || len(f.daemons) == 1 {
				entries = append(entries, "http://"+d.settings.Listen.Endpoints)
			}
		}
		e, err := emulator.NewEndpoint(emulator.Config{
			Instance: fmt.Sprintf("w%d", i), Zone: zone, Rack: fmt.Sprintf("%s-%d", zone, i), Slots: 8, Connections: 64,
			Address: "127.0.0.1:0", Entries: entries, Token: f.token, Faults: faults, Seed: uint64(i),
			Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
			OnStart: func(customer, key, _ string) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.starts[customer+" "+key]++
			},
		})
		must.NoError(f.t, err)
		f.endpoints = append(f.endpoints, e)
	}
	f.eventually("all endpoints serve", func() bool {
		for _, d := range f.daemons {
			serving := 0
			for _, i := range d.status().GetInstances() {
				if i.GetPlaceName() == "serving" {
					serving++
				}
			}
			if serving != n {
				return false
			}
		}
		return true
	})
}

// checkStarts checks that no keyed request started more than once. It returns the number
// of keyed requests that started.
func (f *testFleet) checkStarts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	keyed := 0
	for key, count := range f.starts {
		if strings.HasSuffix(key, " ") {
			continue // the request has no idempotency key
		}
		keyed++
		must.Eq(f.t, 1, count, must.Sprintf("key %s started %d times", key, count))
	}
	return keyed
}
