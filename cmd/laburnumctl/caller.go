package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/tailscale/hujson"

	"laburnumwind/authenticator"
	"laburnumwind/driver"
	"laburnumwind/emulator"
	"laburnumwind/receiver"
	"laburnumwind/server"
)

// idleConnections is how many connections a caller keeps to an entry instance.
const idleConnections = 1024

func readToken(file string) (string, error) {
	if file == "" {
		return server.DevToken, nil
	}
	tokens, err := authenticator.ReadTokens(file)
	if err != nil {
		return "", fmt.Errorf("read token: %w", err)
	}
	return tokens[0], nil
}

type submitCommand struct {
	Service   string        `arg:"" help:"Service."`
	Path      string        `arg:"" default:"/" help:"Path at the service."`
	Entry     string        `short:"e" default:"http://127.0.0.1:7101" help:"URL of an entry instance's callers' listener."`
	TokenFile string        `type:"existingfile" help:"File with the customer's token; without it the token of development mode."`
	Method    string        `short:"X" default:"POST" help:"Method."`
	Data      string        `short:"d" help:"Body."`
	Key       string        `help:"Idempotency key."`
	Urgency   int           `default:"3" help:"Urgency, 0 to 7; 0 is the most urgent."`
	Timeout   time.Duration `default:"30s" help:"How long to wait."`
}

// Run runs the command.
func (c submitCommand) Run() error {
	token, err := readToken(c.TokenFile)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(c.Method, c.Entry+receiver.PathServices+c.Service+"/"+strings.TrimPrefix(c.Path, "/"), strings.NewReader(c.Data))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Priority", "u="+strconv.Itoa(c.Urgency))
	request.Header.Set("Request-Timeout", strconv.FormatFloat(c.Timeout.Seconds(), 'f', 3, 64))
	if c.Key != "" {
		request.Header.Set("Idempotency-Key", c.Key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("send: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	fmt.Fprintf(os.Stderr, "%s, outcome %s\n", response.Status, response.Header.Get(receiver.HeaderOutcome))
	_, err = io.Copy(os.Stdout, response.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if response.Header.Get(receiver.HeaderOutcome) != "answered" {
		return fmt.Errorf("request was not answered: %w", errRefused)
	}
	return nil
}

type loadCommand struct {
	File    string   `arg:"" type:"existingfile" help:"Demand, JSON with comments: a list of {name, service, tokenFile, urgency, keyed, bytes, deadline, steps: [{rate, for}]}."`
	Entries []string `short:"e" default:"http://127.0.0.1:7101" help:"URLs of callers' listeners, in turn."`
	Seed    uint64   `default:"1" help:"Seed of the arrival times."`
	Output  string   `short:"o" default:"table" enum:"table,json" help:"Form: table or json."`
	Quiet   bool     `help:"Show no progress."`
}

// demandFile is a demand as it is written in a file.
type demandFile struct {
	Name      string `json:"name"`
	Service   string `json:"service"`
	TokenFile string `json:"tokenFile"`
	Urgency   int    `json:"urgency"`
	Keyed     bool   `json:"keyed"`
	Bytes     int    `json:"bytes"`
	Deadline  string `json:"deadline"`
	Steps     []struct {
		Rate float64 `json:"rate"`
		For  string  `json:"for"`
	} `json:"steps"`
}

// Run runs the command.
func (c loadCommand) Run() error {
	demands, err := readDemands(c.File)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	cfg := driver.Config{
		Entries: c.Entries,
		Demands: demands,
		Seed:    c.Seed,
		Name:    rand.Text(),
		Client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}},
	}
	if !c.Quiet {
		cfg.Progress = func(sent, answered int64) { fmt.Fprintf(os.Stderr, "sent %d, done %d\n", sent, answered) }
	}
	reports := driver.Run(context.Background(), cfg)
	err = showReports(reports, c.Output)
	if err != nil {
		return err
	}
	for _, r := range reports {
		if r.Lost > 0 || r.MixedUp > 0 {
			return errOutcomes
		}
	}
	return nil
}

func readDemands(path string) ([]driver.Demand, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read demand: %w", err)
	}
	data, err = hujson.Standardize(data)
	if err != nil {
		return nil, fmt.Errorf("read demand: %w", err)
	}
	var files []demandFile
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(&files)
	if err != nil {
		return nil, fmt.Errorf("read demand: %w", err)
	}
	var out []driver.Demand
	for _, f := range files {
		d, err := f.demand()
		if err != nil {
			return nil, fmt.Errorf("demand of %s: %w", f.Service, err)
		}
		out = append(out, d)
	}
	return out, nil
}

func (f demandFile) demand() (driver.Demand, error) {
	d := driver.Demand{Name: f.Name, Service: f.Service, Urgency: f.Urgency, Keyed: f.Keyed, Bytes: f.Bytes}
	var err error
	d.Token, err = readToken(f.TokenFile)
	if err != nil {
		return d, err
	}
	if f.Deadline != "" {
		d.Deadline, err = time.ParseDuration(f.Deadline)
		if err != nil {
			return d, fmt.Errorf("deadline: %w", err)
		}
	}
	for _, s := range f.Steps {
		length, err := time.ParseDuration(s.For)
		if err != nil {
			return d, fmt.Errorf("steps.for: %w", err)
		}
		d.Steps = append(d.Steps, driver.Step{Rate: s.Rate, For: length})
	}
	return d, nil
}

func showReports(reports []driver.Report, form string) error {
	if form == "json" {
		text, err := json.MarshalIndent(reports, "", "  ")
		if err != nil {
			return fmt.Errorf("write JSON: %w", err)
		}
		fmt.Println(string(text))
		return nil
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SERVICE\tSENT\tANSWERED\tREFUSED\tFAILED\tUNKNOWN\tLOST\tMIXED UP\tP50 MS\tP99 MS\tMAX MS")
	for _, r := range reports {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\n",
			r.Service, r.Sent, r.Answered, r.Refused, r.Failed, r.Unknown, r.Lost, r.MixedUp, r.P50Ms, r.P99Ms, r.MaxMs)
	}
	err := t.Flush()
	if err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

type standinCommand struct {
	Entries     []string      `short:"e" default:"http://127.0.0.1:7102" help:"URLs of endpoint listeners, those of its zone."`
	TokenFile   string        `type:"existingfile" help:"File with the endpoints' token; without it the token of development mode."`
	Name        string        `default:"worker" help:"Name; several get numbers."`
	Count       int           `default:"1" help:"Number of endpoints."`
	First       int           `default:"1" help:"Number of the first."`
	Zone        string        `default:"zone-a" help:"Availability zone."`
	RackSize    int           `default:"4" help:"Endpoints in a rack."`
	Slots       int           `default:"8" help:"Slots of each."`
	Connections int           `default:"64" help:"Connections of each."`
	IP          string        `default:"127.0.0.1" help:"IP number to listen at."`
	Delay       time.Duration `default:"20ms" help:"Run time of an attempt."`
	Fail        float64       `help:"Part of the attempts that fail."`
	Truncate    float64       `help:"Part of the answers that are cut short."`
	Late        float64       `help:"Part of the answers that come late."`
	LateBy      time.Duration `default:"5s" help:"How much later those come."`
	Hang        float64       `help:"Part of the attempts that never answer."`
	Reboot      time.Duration `default:"2s" help:"Time of a reboot."`
	Journal     string        `help:"File that gets a line for each start of a keyed request."`
	Seed        uint64        `default:"1" help:"Seed of the faults."`
}

// Run runs the command.
func (c standinCommand) Run() error {
	token, err := readToken(c.TokenFile)
	if err != nil {
		return err
	}
	journal, err := newJournal(c.Journal)
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}
	var endpoints []*emulator.Endpoint
	for n := range c.Count {
		e, err := emulator.NewEndpoint(emulator.Config{
			Instance:    fmt.Sprintf("%s-%d", c.Name, c.First+n),
			Zone:        c.Zone,
			Rack:        fmt.Sprintf("%s-rack-%d", c.Zone, (c.First+n-1)/c.RackSize),
			Slots:       c.Slots,
			Connections: c.Connections,
			Address:     c.IP + ":0",
			Entries:     c.Entries,
			Token:       token,
			Faults: emulator.Faults{
				Delay: c.Delay, Fail: c.Fail, Truncate: c.Truncate,
				Late: c.Late, LateBy: c.LateBy, Hang: c.Hang, Reboot: c.Reboot,
			},
			Seed:    c.Seed + uint64(n),
			Client:  client,
			Started: journal.line,
		})
		if err != nil {
			return fmt.Errorf("start endpoint: %w", err)
		}
		endpoints = append(endpoints, e)
	}
	fmt.Fprintf(os.Stderr, "%d endpoints, the first at %s\n", len(endpoints), endpoints[0].Address())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return stopAll(endpoints)
}

func stopAll(endpoints []*emulator.Endpoint) error {
	var wg sync.WaitGroup
	faults := make([]error, len(endpoints))
	for i, e := range endpoints {
		wg.Go(func() { faults[i] = e.Stop() })
	}
	wg.Wait()
	return errors.Join(faults...)
}

// journal writes a line for each start, so that starts of several processes can be compared.
type journal struct {
	mu   sync.Mutex
	file *os.File
}

const journalMode = 0o644

func newJournal(path string) (*journal, error) {
	if path == "" {
		return &journal{}, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, journalMode)
	if err != nil {
		return nil, fmt.Errorf("open journal: %w", err)
	}
	return &journal{file: f}, nil
}

func (j *journal) line(customer, key, attempt string) {
	if j.file == nil || key == "" {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = fmt.Fprintf(j.file, "%s %s %s\n", customer, key, attempt) // a full disk shows as missing starts
}
