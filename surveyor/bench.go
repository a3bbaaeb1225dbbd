// Package surveyor benchmarks entry instances on the local machine in real time: latency,
// throughput, CPU time, memory, log size and recovery. All servers run in one process.
// Package experimenter measures policies in simulated time instead.
package surveyor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"laburnumwind/emulator"
	"laburnumwind/encoder"
	"laburnumwind/loader"
	"laburnumwind/operator"
	"laburnumwind/receiver"
	"laburnumwind/server"
)

var errAnswer = eris.New("unexpected answer")

const (
	benchConnections = 256              // idle connections that a client keeps per host
	settleTimeout    = 20 * time.Second // timeout of the start of a bench, and of reading a request header at the proxy
	pollInterval     = 20 * time.Millisecond
	endpointSlots    = 512 // slots and connections of the endpoint
	tokenFileMode    = 0o600
)

// benchDeclarations declares one pool, one service and one customer.
const benchDeclarations = `{
  "pools": [{"name": "imaging", "size": 1}],
  "services": [{"name": "imaging", "pool": "imaging"}],
  "customers": [{"name": "dev", "tokenSha256": "` + devDigest + `", "services": ["imaging"]}],
}`

// devDigest is the SHA-256 of server.DevToken.
const devDigest = "138d55e9c73aa830bff6f7280e9ff202c139a8318fbf9cec8f40d602f06affab"

// Config configures a bench.
type Config struct {
	Voters int  // entry instances, each a voter in a zone of its own
	NoLog  bool // disables logging, to measure its cost
}

// Bench runs an endpoint, entry instances, and a minimal proxy as their baseline, which the
// results call the bare hop.
type Bench struct {
	folder   string
	settings []loader.Settings
	servers  []*server.Server
	endpoint *emulator.Endpoint
	proxy    *http.Server
	paths    []path // measured in this order; the direct call is first
}

// path is a route by which a request reaches the endpoint.
type path struct {
	name   string
	urls   []string // used round-robin
	header http.Header
	keyed  bool // every request has an idempotency key, so that it needs a claim
}

// NewBench starts a bench and waits until its endpoint serves requests. It fails if
// that takes longer than settleTimeout.
func NewBench(cfg Config) (*Bench, error) {
	folder, err := os.MkdirTemp("", "laburnumlab-")
	if err != nil {
		return nil, fmt.Errorf("create temporary folder: %w", err)
	}
	b := &Bench{folder: folder}
	err = b.start(cfg)
	if err != nil {
		b.Stop()
		return nil, err
	}
	return b, nil
}

// start starts the entry instances, the endpoint and the proxy. If it fails, the caller
// stops those that have started.
func (b *Bench) start(cfg Config) error {
	err := b.makeSettings(cfg.Voters)
	if err != nil {
		return fmt.Errorf("create settings: %w", err)
	}
	log := zerolog.New(io.Discard).Level(zerolog.InfoLevel)
	if cfg.NoLog {
		log = zerolog.Nop()
	}
	for _, settings := range b.settings {
		s, err := server.NewServer(server.Config{Settings: settings, Log: log, OnFailure: func(error) {}})
		if err != nil {
			return fmt.Errorf("start entry instance: %w", err)
		}
		b.servers = append(b.servers, s)
	}
	b.endpoint, err = emulator.NewEndpoint(emulator.Config{
		Instance: "w", Zone: b.settings[0].Zone, Rack: "r", Slots: endpointSlots, Connections: endpointSlots, Address: "127.0.0.1:0",
		Entries: []string{"http://" + b.settings[0].Listen.Endpoints}, Token: server.DevToken, Client: http.DefaultClient,
	})
	if err != nil {
		return fmt.Errorf("start endpoint: %w", err)
	}
	err = b.applyDeclarations()
	if err != nil {
		return fmt.Errorf("apply declarations: %w", err)
	}
	return b.makePaths()
}

// makeSettings writes the token file, and creates the settings and the data folder of each
// voter.
func (b *Bench) makeSettings(voters int) error {
	token := filepath.Join(b.folder, "token")
	err := os.WriteFile(token, []byte(server.DevToken+"\n"), tokenFileMode)
	if err != nil {
		return fmt.Errorf("write token: %w", err)
	}
	addresses, err := freeAddresses(4 * voters)
	if err != nil {
		return err
	}
	var peers []string
	for n := range voters {
		peers = append(peers, fmt.Sprintf(`{"name": "v%d", "zone": "zone-%d", "address": %q, "voter": true}`, n, n, addresses[4*n+3]))
	}
	for n := range voters {
		own := addresses[4*n:]
		text := fmt.Sprintf(`{
  "name": "v%d", "zone": "zone-%d", "dataFolder": %q,
  "listen": {"callers": %q, "endpoints": %q, "operators": %q, "peers": %q},
  "peers": [%s],
  "tokens": {"endpoints": %q, "operators": %q, "peers": %q},
  "timing": {"leave": "1ms", "stop": "1s"},
}`, n, n, filepath.Join(b.folder, fmt.Sprintf("data-%d", n)), own[0], own[1], own[2], own[3], strings.Join(peers, ", "), token, token, token)
		settings, err := loader.Parse("settings of the bench", []byte(text))
		if err != nil {
			return err
		}
		err = server.Init(settings)
		if err != nil {
			return fmt.Errorf("create data folder: %w", err)
		}
		b.settings = append(b.settings, settings)
	}
	return nil
}

// applyDeclarations applies benchDeclarations and waits until every entry instance lists
// the endpoint.
func (b *Bench) applyDeclarations() error {
	d, err := loader.ParseDeclarations("declarations of the bench", []byte(benchDeclarations))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	for _, settings := range b.settings {
		client := encoder.NewOperatorProtobufClient("http://"+settings.Listen.Operators, operator.NewClient(server.DevToken))
		for {
			_, _ = client.Apply(ctx, &encoder.ApplyRequest{Declarations: d, Operator: "lab", ChangeId: "first"}) // fails until a leader is elected
			status, err := client.Get(ctx, &encoder.GetRequest{})
			if err == nil && len(status.GetInstances()) > 0 {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("endpoint is not serving: %w", ctx.Err())
			}
			<-time.After(pollInterval)
		}
	}
	<-time.After(time.Second) // entry instances make a listed endpoint available within a tick
	return nil
}

// makePaths starts the proxy and sets the paths of the bench.
func (b *Bench) makePaths() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("start proxy: %w", err)
	}
	endpoint := "http://" + b.endpoint.Address() + "/work"
	b.proxy = &http.Server{Handler: newProxy(endpoint), ReadHeaderTimeout: settleTimeout}
	go func() { _ = b.proxy.Serve(listener) }() // returns when the server is closed
	endpointHeader := http.Header{
		"Authorization":     {"Bearer " + server.DevToken},
		"Laburnum-Instance": {"w"},
		"Laburnum-Epoch":    {"1"},
	}
	callerHeader := http.Header{"Authorization": {"Bearer " + server.DevToken}}
	var entries []string
	for _, settings := range b.settings {
		entries = append(entries, "http://"+settings.Listen.Callers+receiver.PathServices+"imaging/work")
	}
	b.paths = []path{
		{name: "direct call", urls: []string{endpoint}, header: endpointHeader},
		{name: "bare hop", urls: []string{"http://" + listener.Addr().String()}, header: endpointHeader},
		{name: "entry instance", urls: entries, header: callerHeader},
		{name: "entry instance with a claim", urls: entries, header: callerHeader, keyed: true},
	}
	return nil
}

// Counter returns the sum of a counter over all entry instances.
func (b *Bench) Counter(name string) int64 {
	n := int64(0)
	for _, s := range b.servers {
		n += s.Counter(name)
	}
	return n
}

// Stop stops everything that the bench started and removes its files.
func (b *Bench) Stop() {
	if b.proxy != nil {
		_ = b.proxy.Close()
	}
	if b.endpoint != nil {
		b.endpoint.Kill()
	}
	for _, s := range b.servers {
		s.Kill()
	}
	_ = os.RemoveAll(b.folder) // a leftover temporary folder does no harm
}

// freeAddresses returns n distinct local addresses with free ports. It holds all
// listeners open until the last is found, so that no port is returned twice.
func freeAddresses(n int) ([]string, error) {
	var out []string
	var listeners []net.Listener
	var failure error
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			failure = fmt.Errorf("find a free port: %w", err)
			break
		}
		listeners = append(listeners, l)
		out = append(out, l.Addr().String())
	}
	for _, l := range listeners {
		failure = errors.Join(failure, l.Close())
	}
	return out, failure
}
