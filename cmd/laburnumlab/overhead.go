package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
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

type overheadCommand struct {
	Rate   float64       `default:"1000" help:"Requests a second."`
	For    time.Duration `default:"4s" help:"Time of each phase."`
	Rounds int           `default:"3" help:"Rounds; the phases of a round follow each other."`
	Bytes  int           `default:"1024" help:"Bytes of a body."`
	NoLog  bool          `help:"Write no log lines, to see what they cost."`
}

const (
	benchConnections = 256
	settleWait       = 20 * time.Second
	pollEvery        = 20 * time.Millisecond
	endpointSlots    = 512
)

// path is one way to the endpoint.
type path struct {
	name   string
	url    string
	header http.Header
	keyed  bool
}

// phase is what one path cost.
type phase struct {
	p50, p99 time.Duration
	cpu      time.Duration // of the whole process, for each request
	allocs   float64       // for each request
	answered int
}

// Run runs the command: a direct call, a bare net/http hop, an entry instance,
// and an entry instance with a claim, at the same rate, in one process.
func (c overheadCommand) Run() error {
	b, err := newBench(c.NoLog)
	if err != nil {
		return err
	}
	defer b.stop()
	fmt.Println("| path | round | p50 | p99 | added p50 | added p99 | CPU a request | added CPU | of the hop's | allocations added |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for round := range c.Rounds {
		var direct, hop phase
		for i, p := range b.paths {
			got, err := c.measure(p)
			if err != nil {
				return fmt.Errorf("measure %s: %w", p.name, err)
			}
			if i == 0 {
				direct = got
			}
			if i == 1 {
				hop = got
			}
			added := got.cpu - direct.cpu
			fmt.Printf("| %s | %d | %s | %s | %s | %s | %s | %s | %.2f | %.0f |\n", p.name, round+1,
				got.p50.Round(time.Microsecond), got.p99.Round(time.Microsecond),
				(got.p50 - direct.p50).Round(time.Microsecond), (got.p99 - direct.p99).Round(time.Microsecond),
				got.cpu.Round(time.Microsecond), added.Round(time.Microsecond),
				added.Seconds()/(hop.cpu-direct.cpu).Seconds(), got.allocs-direct.allocs)
		}
	}
	return nil
}

// measure sends at random times with a rate and waits for all answers.
func (c overheadCommand) measure(p path) (phase, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchConnections, DisableCompression: true}}
	defer client.CloseIdleConnections()
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	body := bytes.Repeat([]byte("x"), c.Bytes)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	cpu := cpuTime()
	due := time.Now()
	end := due.Add(c.For)
	n := 0
	for {
		due = due.Add(time.Duration(rand.ExpFloat64() / c.Rate * float64(time.Second)))
		if due.After(end) {
			break
		}
		<-time.After(time.Until(due))
		n++
		at := due
		wg.Go(func() {
			err := call(client, p, body, n)
			took := time.Since(at)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
				return
			}
			_ = histogram.RecordValue(took.Microseconds()) // within the range
		})
	}
	wg.Wait()
	used := cpuTime() - cpu
	runtime.ReadMemStats(&after)
	return phase{
		p50:      time.Duration(histogram.ValueAtQuantile(50)) * time.Microsecond,
		p99:      time.Duration(histogram.ValueAtQuantile(99)) * time.Microsecond,
		cpu:      used / time.Duration(max(n, 1)),
		allocs:   float64(after.Mallocs-before.Mallocs) / float64(max(n, 1)),
		answered: n,
	}, failed
}

func call(client *http.Client, p path, body []byte, n int) error {
	r, err := http.NewRequest(http.MethodPost, p.url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	r.Header = p.header.Clone()
	if p.keyed {
		r.Header.Set("Idempotency-Key", fmt.Sprintf("%d-%d", time.Now().UnixNano(), n))
	}
	response, err := client.Do(r)
	if err != nil {
		return fmt.Errorf("send: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if response.StatusCode != http.StatusOK || len(got) != len(body) {
		return fmt.Errorf("status %d, %d bytes: %s: %w", response.StatusCode, len(got), got[:min(len(got), 200)], errAnswer)
	}
	return nil
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // never fails for the own process
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// bench is an endpoint, a bare hop and an entry instance in one process.
type bench struct {
	endpoint *emulator.Endpoint
	server   *server.Server
	hop      *http.Server
	clean    func()
	paths    []path
}

func newBench(noLog bool) (*bench, error) {
	set, clean, err := server.DevSettings()
	if err != nil {
		return nil, fmt.Errorf("make settings: %w", err)
	}
	b := &bench{clean: clean}
	for _, address := range []*string{&set.Listen.Callers, &set.Listen.Endpoints, &set.Listen.Operators, &set.Listen.Peers} {
		*address, err = freeAddress()
		if err != nil {
			return nil, err
		}
	}
	set.Timing.Leave = 0
	log := zerolog.New(io.Discard).Level(zerolog.InfoLevel)
	if noLog {
		log = zerolog.Nop()
	}
	b.server, err = server.NewServer(server.Config{Settings: set, Log: log, Failed: func(error) {}})
	if err != nil {
		return nil, fmt.Errorf("start entry instance: %w", err)
	}
	b.endpoint, err = emulator.NewEndpoint(emulator.Config{
		Instance: "w", Zone: "zone-a", Rack: "r", Slots: endpointSlots, Connections: endpointSlots, Address: "127.0.0.1:0",
		Entries: []string{"http://" + set.Listen.Endpoints}, Token: server.DevToken, Client: http.DefaultClient,
	})
	if err != nil {
		return nil, fmt.Errorf("start endpoint: %w", err)
	}
	err = declare(set)
	if err != nil {
		return nil, fmt.Errorf("declare: %w", err)
	}
	return b, b.makePaths(set)
}

// declare declares one service and waits until the endpoint serves it.
func declare(set loader.Settings) error {
	d, err := loader.LoadDeclarations("examples/dev.jsonc")
	if err != nil {
		return err
	}
	client := encoder.NewOperatorProtobufClient("http://"+set.Listen.Operators, operator.Client(server.DevToken))
	ctx, cancel := context.WithTimeout(context.Background(), settleWait)
	defer cancel()
	for ctx.Err() == nil {
		_, _ = client.Apply(ctx, &encoder.ApplyRequest{Declarations: d, Operator: "lab", ChangeId: "first"}) // until there is a leader
		status, err := client.Get(ctx, &encoder.GetRequest{})
		if err == nil && len(status.GetInstances()) > 0 {
			<-time.After(time.Second) // the roster follows within a tick
			return nil
		}
		<-time.After(pollEvery)
	}
	return fmt.Errorf("the endpoint does not serve: %w", ctx.Err())
}

func (b *bench) makePaths(set loader.Settings) error {
	direct := "http://" + b.endpoint.Address() + "/work"
	address, err := freeAddress()
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	b.hop = &http.Server{Handler: hopTo(direct), ReadHeaderTimeout: settleWait}
	go func() { _ = b.hop.Serve(listener) }() // ends with the server
	contract := http.Header{
		"Authorization":     {"Bearer " + server.DevToken},
		"Laburnum-Instance": {"w"},
		"Laburnum-Epoch":    {"1"},
	}
	caller := http.Header{"Authorization": {"Bearer " + server.DevToken}}
	entry := "http://" + set.Listen.Callers + receiver.PathServices + "imaging/work"
	b.paths = []path{
		{name: "direct call", url: direct, header: contract},
		{name: "bare hop", url: "http://" + address, header: contract},
		{name: "entry instance", url: entry, header: caller},
		{name: "entry instance with a claim", url: entry, header: caller, keyed: true},
	}
	return nil
}

// hopTo is the least that an entry instance could do: read whole, send, read whole, answer.
func hopTo(url string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchConnections, DisableCompression: true}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		out, err := http.NewRequestWithContext(r.Context(), r.Method, url, bytes.NewReader(body))
		if err != nil {
			return
		}
		out.Header = r.Header.Clone()
		response, err := client.Do(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = response.Body.Close() }()
		answer, err := io.ReadAll(response.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		w.WriteHeader(response.StatusCode)
		_, _ = w.Write(answer) // a caller that is gone gets nothing
	})
}

func (b *bench) stop() {
	_ = b.hop.Close()
	b.endpoint.Kill()
	b.server.Stop()
	b.clean()
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
