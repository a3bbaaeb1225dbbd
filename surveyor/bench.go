// Package surveyor measures what an entry instance costs on this machine: time,
// processor, memory and disk, with real servers in one process.
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
	benchConnections = 256
	settleWait       = 20 * time.Second
	pollEvery        = 20 * time.Millisecond
	endpointSlots    = 512
	tokenMode        = 0o600
)

// declared is what the entry instances of a bench serve.
const declared = `{
  "pools": [{"name": "imaging", "size": 1}],
  "services": [{"name": "imaging", "pool": "imaging"}],
  "customers": [{"name": "dev", "tokenSha256": "` + devDigest + `", "services": ["imaging"]}],
}`

// devDigest is the SHA-256 of server.DevToken.
const devDigest = "138d55e9c73aa830bff6f7280e9ff202c139a8318fbf9cec8f40d602f06affab"

// Config describes a bench.
type Config struct {
	Voters int  // entry instances, each a voter in a zone of its own
	NoLog  bool // write no log lines, to see what they cost
}

// Bench is an endpoint, a bare hop and entry instances in one process.
type Bench struct {
	folder   string
	settings []loader.Settings
	servers  []*server.Server
	endpoint *emulator.Endpoint
	hop      *http.Server
	paths    []path // the direct call first
}

// path is one way to the endpoint.
type path struct {
	name   string
	urls   []string
	header http.Header
	keyed  bool
}

// NewBench starts a bench and waits until its endpoint serves.
func NewBench(cfg Config) (*Bench, error) {
	folder, err := os.MkdirTemp("", "laburnumlab-")
	if err != nil {
		return nil, fmt.Errorf("make temporary folder: %w", err)
	}
	b := &Bench{folder: folder}
	err = b.start(cfg)
	if err != nil {
		b.Stop()
		return nil, err
	}
	return b, nil
}

func (b *Bench) start(cfg Config) error {
	err := b.makeSettings(cfg.Voters)
	if err != nil {
		return fmt.Errorf("make settings: %w", err)
	}
	log := zerolog.New(io.Discard).Level(zerolog.InfoLevel)
	if cfg.NoLog {
		log = zerolog.Nop()
	}
	for _, set := range b.settings {
		s, err := server.NewServer(server.Config{Settings: set, Log: log, Failed: func(error) {}})
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
	err = b.declare()
	if err != nil {
		return fmt.Errorf("declare: %w", err)
	}
	return b.makePaths()
}

func (b *Bench) makeSettings(voters int) error {
	token := filepath.Join(b.folder, "token")
	err := os.WriteFile(token, []byte(server.DevToken+"\n"), tokenMode)
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
		set, err := loader.Parse("settings of the bench", []byte(text))
		if err != nil {
			return err
		}
		err = server.Init(set)
		if err != nil {
			return fmt.Errorf("make data folder: %w", err)
		}
		b.settings = append(b.settings, set)
	}
	return nil
}

// declare declares one service and waits until the endpoint serves it everywhere.
func (b *Bench) declare() error {
	d, err := loader.ParseDeclarations("declarations of the bench", []byte(declared))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleWait)
	defer cancel()
	for _, set := range b.settings {
		client := encoder.NewOperatorProtobufClient("http://"+set.Listen.Operators, operator.Client(server.DevToken))
		for {
			_, _ = client.Apply(ctx, &encoder.ApplyRequest{Declarations: d, Operator: "lab", ChangeId: "first"}) // until there is a leader
			status, err := client.Get(ctx, &encoder.GetRequest{})
			if err == nil && len(status.GetInstances()) > 0 {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("the endpoint does not serve: %w", ctx.Err())
			}
			<-time.After(pollEvery)
		}
	}
	<-time.After(time.Second) // the roster follows within a tick
	return nil
}

func (b *Bench) makePaths() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	endpoint := "http://" + b.endpoint.Address() + "/work"
	b.hop = &http.Server{Handler: hopTo(endpoint), ReadHeaderTimeout: settleWait}
	go func() { _ = b.hop.Serve(listener) }() // ends with the server
	contract := http.Header{
		"Authorization":     {"Bearer " + server.DevToken},
		"Laburnum-Instance": {"w"},
		"Laburnum-Epoch":    {"1"},
	}
	caller := http.Header{"Authorization": {"Bearer " + server.DevToken}}
	var entries []string
	for _, set := range b.settings {
		entries = append(entries, "http://"+set.Listen.Callers+receiver.PathServices+"imaging/work")
	}
	b.paths = []path{
		{name: "direct call", urls: []string{endpoint}, header: contract},
		{name: "bare hop", urls: []string{"http://" + listener.Addr().String()}, header: contract},
		{name: "entry instance", urls: entries, header: caller},
		{name: "entry instance with a claim", urls: entries, header: caller, keyed: true},
	}
	return nil
}

// Counter is the sum of a counter of all entry instances.
func (b *Bench) Counter(name string) int64 {
	n := int64(0)
	for _, s := range b.servers {
		n += s.Counter(name)
	}
	return n
}

// Stop ends what the bench started and removes its files.
func (b *Bench) Stop() {
	if b.hop != nil {
		_ = b.hop.Close()
	}
	if b.endpoint != nil {
		b.endpoint.Kill()
	}
	for _, s := range b.servers {
		s.Kill()
	}
	_ = os.RemoveAll(b.folder) // one that stays behind does no harm
}

// freeAddresses finds addresses that are different and free now.
func freeAddresses(n int) ([]string, error) {
	var out []string
	var held []net.Listener
	var failed error
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			failed = fmt.Errorf("find a free port: %w", err)
			break
		}
		held = append(held, l)
		out = append(out, l.Addr().String())
	}
	for _, l := range held {
		failed = errors.Join(failed, l.Close())
	}
	return out, failed
}
