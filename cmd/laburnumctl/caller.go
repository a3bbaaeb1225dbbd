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

// maxIdleConnections is the maximum number of idle connections kept to one entry instance.
const maxIdleConnections = 1024

// readToken returns the first token of a file, or the token of development mode if
// no file is given.
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

// Run sends one request and prints the answer. It returns errRefused if the outcome is
// not "answered".
func (c submitCommand) Run() error {
	token, err := readToken(c.TokenFile)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(c.Method, c.Entry+receiver.PathServices+c.Service+"/"+strings.TrimPrefix(c.Path, "/"), strings.NewReader(c.Data))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Priority", "u="+strconv.Itoa(c.Urgency))
	request.Header.Set("Request-Timeout", strconv.FormatFloat(c.Timeout.Seconds(), 'f', 3, 64))
	if c.Key != "" {
		request.Header.Set("Idempotency-Key", c.Key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
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

// demandSpec is one demand of a demand file: requests to one service at the rates of its
// steps, one after the other.
type demandSpec struct {
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

// Run sends the requests of a demand file and prints a report for each demand. It
// returns errLostOrMixedUp if answers were lost or belong to another request.
func (c loadCommand) Run() error {
	demands, err := readDemands(c.File)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	cfg := driver.Config{
		Entries:  c.Entries,
		Demands:  demands,
		Seed:     c.Seed,
		IDPrefix: rand.Text(),
		Client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}},
	}
	if !c.Quiet {
		cfg.Progress = func(sent, completed int64) { fmt.Fprintf(os.Stderr, "sent %d, done %d\n", sent, completed) }
	}
	reports := driver.Run(context.Background(), cfg)
	err = printReports(reports, c.Output)
	if err != nil {
		return err
	}
	for _, r := range reports {
		if r.Lost > 0 || r.MixedUp > 0 {
			return errLostOrMixedUp
		}
	}
	return nil
}

// readDemands reads and parses a demand file.
func readDemands(path string) ([]driver.Demand, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read demand file: %w", err)
	}
	data, err = hujson.Standardize(data)
	if err != nil {
		return nil, fmt.Errorf("parse demand file: %w", err)
	}
	var specs []demandSpec
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(&specs)
	if err != nil {
		return nil, fmt.Errorf("parse demand file: %w", err)
	}
	var out []driver.Demand
	for _, spec := range specs {
		d, err := spec.toDemand()
		if err != nil {
			return nil, fmt.Errorf("demand for service %s: %w", spec.Service, err)
		}
		out = append(out, d)
	}
	return out, nil
}

// toDemand converts the spec: it reads the token file and parses the durations.
func (s demandSpec) toDemand() (driver.Demand, error) {
	d := driver.Demand{Name: s.Name, Service: s.Service, Urgency: s.Urgency, Keyed: s.Keyed, Bytes: s.Bytes}
	var err error
	d.Token, err = readToken(s.TokenFile)
	if err != nil {
		return d, err
	}
	if s.Deadline != "" {
		d.Deadline, err = time.ParseDuration(s.Deadline)
		if err != nil {
			return d, fmt.Errorf("parse deadline: %w", err)
		}
	}
	for _, step := range s.Steps {
		duration, err := time.ParseDuration(step.For)
		if err != nil {
			return d, fmt.Errorf("parse steps.for: %w", err)
		}
		d.Steps = append(d.Steps, driver.Step{Rate: step.Rate, For: duration})
	}
	return d, nil
}

// printReports writes the reports as JSON or as a table.
func printReports(reports []driver.Report, format string) error {
	if format == "json" {
		text, err := json.MarshalIndent(reports, "", "  ")
		if err != nil {
			return fmt.Errorf("write JSON: %w", err)
		}
		fmt.Println(string(text))
		return nil
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tSENT\tANSWERED\tREFUSED\tFAILED\tUNKNOWN\tLOST\tMIXED UP\tP50 MS\tP99 MS\tMAX MS")
	for _, r := range reports {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\n",
			r.Service, r.Sent, r.Answered, r.Refused, r.Failed, r.Unknown, r.Lost, r.MixedUp, r.P50Ms, r.P99Ms, r.MaxMs)
	}
	err := table.Flush()
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

// Run runs emulated endpoints until SIGTERM or SIGINT and then stops them gracefully.
func (c standinCommand) Run() error {
	token, err := readToken(c.TokenFile)
	if err != nil {
		return err
	}
	starts, err := openStartLog(c.Journal)
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}}
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
			OnStart: starts.record,
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

// stopAll stops all endpoints at the same time and returns their errors.
func stopAll(endpoints []*emulator.Endpoint) error {
	var wg sync.WaitGroup
	errs := make([]error, len(endpoints))
	for i, e := range endpoints {
		wg.Go(func() { errs[i] = e.Stop() })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// startLog writes a line for each start of a keyed request, so that the starts at
// endpoints of several processes can be compared.
type startLog struct {
	mu   sync.Mutex
	file *os.File
}

const startLogFileMode = 0o644

// openStartLog opens the file for appending. Without a path, starts are not recorded.
func openStartLog(path string) (*startLog, error) {
	if path == "" {
		return &startLog{}, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, startLogFileMode)
	if err != nil {
		return nil, fmt.Errorf("open log of starts: %w", err)
	}
	return &startLog{file: f}, nil
}

// record writes a line with the customer, the key and the attempt ID.
func (l *startLog) record(customer, key, attempt string) {
	if l.file == nil || key == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.file, "%s %s %s\n", customer, key, attempt) // a write error, such as a full disk, is ignored; the file then lacks this start
}
