package main

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"laburnumwind/authenticator"
	"laburnumwind/encoder"
	"laburnumwind/loader"
	"laburnumwind/operator"
	"laburnumwind/server"
)

// target holds the flags that select the entry instance to call and the operators' token.
type target struct {
	Server    string `short:"s" default:"http://127.0.0.1:7103" help:"URL of an entry instance's operators' listener."`
	TokenFile string `type:"existingfile" help:"File with the operators' token; without it the token of development mode."`
}

// client returns a client of the operators' API. Without a token file, it uses the token of
// development mode.
func (t target) client() (encoder.Operator, error) {
	token := server.DevToken
	if t.TokenFile != "" {
		tokens, err := authenticator.ReadTokens(t.TokenFile)
		if err != nil {
			return nil, fmt.Errorf("read operators' token: %w", err)
		}
		token = tokens[0]
	}
	return encoder.NewOperatorProtobufClient(t.Server, operator.NewClient(token)), nil
}

// change holds the flags that name the operator and the ID of a change. After a lost
// answer, the change can be retried with the same ID.
type change struct {
	Operator string `default:"${user=operator}" help:"Who makes the change."`
	ChangeID string `help:"Name of the change; send the same again to learn the outcome of a lost answer."`
}

// id returns the change ID, which is random unless the flag is set.
func (c change) id() string {
	if c.ChangeID != "" {
		return c.ChangeID
	}
	return rand.Text()
}

// printOutcome prints the outcome of an accepted change. It returns errRefused for any
// other outcome.
func printOutcome(o *encoder.Outcome, err error) error {
	if err != nil {
		return fmt.Errorf("call entry instance: %w", err)
	}
	if o.GetCode() != "accepted" {
		return fmt.Errorf("%s: %s (current revision %d): %w", o.GetCode(), o.GetReason(), o.GetRevision(), errRefused)
	}
	fmt.Printf("accepted, revision %d\n", o.GetRevision())
	return nil
}

type applyCommand struct {
	target
	change
	File     string  `short:"f" required:"" type:"existingfile" help:"Declarations, JSON with comments."`
	Revision *uint64 `help:"Revision that the change expects; without it the present one."`
}

// Run replaces the declarations by those of the file.
func (c applyCommand) Run() error {
	d, err := loader.LoadDeclarations(c.File)
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx := context.Background()
	revision := c.Revision
	if revision == nil {
		status, err := client.Get(ctx, &encoder.GetRequest{})
		if err != nil {
			return fmt.Errorf("read current revision: %w", err)
		}
		revision = proto.Uint64(status.GetRevision())
	}
	return printOutcome(client.Apply(ctx, &encoder.ApplyRequest{
		Declarations: d,
		Revision:     *revision,
		Operator:     c.Operator,
		ChangeId:     c.id(),
	}))
}

type getCommand struct {
	target
	What   string `arg:"" default:"all" enum:"all,pools,services,customers,instances,budgets,wave" help:"What to show: all, pools, services, customers, instances, budgets or wave."`
	Pool   string `help:"Only this pool."`
	Output string `short:"o" default:"table" enum:"table,json" help:"Form: table or json."`
}

// Run prints the current state once.
func (c getCommand) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	status, err := client.Get(context.Background(), &encoder.GetRequest{Pool: c.Pool})
	if err != nil {
		return fmt.Errorf("get state: %w", err)
	}
	return printStatus(os.Stdout, status, c.What, c.Output)
}

type watchCommand struct {
	getCommand
	Changes int `default:"0" help:"End after this many changes; 0 goes on."`
}

// Run prints the current state, and again after each change.
func (c watchCommand) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	version := uint64(0)
	for n := 0; c.Changes == 0 || n < c.Changes; {
		status, err := client.Get(context.Background(), &encoder.GetRequest{Pool: c.Pool, After: version})
		if err != nil {
			return fmt.Errorf("watch state: %w", err)
		}
		if status.GetVersion() == version {
			continue // Get reached its maximum wait without a change
		}
		version = status.GetVersion()
		n++
		err = printStatus(os.Stdout, status, c.What, c.Output)
		if err != nil {
			return err
		}
	}
	return nil
}

type statusCommand struct {
	target
	Output string `short:"o" default:"table" enum:"table,json" help:"Form: table or json."`
}

// Run prints the state of one entry instance: its role, its leader, and whether its copy
// of the declarations is fresh.
func (c statusCommand) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	status, err := client.Get(context.Background(), &encoder.GetRequest{})
	if err != nil {
		return fmt.Errorf("get status: %w", err)
	}
	if c.Output == "json" {
		return printStatus(os.Stdout, status, "all", c.Output)
	}
	state := "fresh"
	if !status.GetFresh() {
		state = "isolated: its copy may be out of date, and it can neither grant a drain nor start a claimed request"
	}
	fmt.Printf("instance %s, zone %s, votes %t\nleader %s\nrevision %d, %s\n",
		status.GetName(), status.GetZone(), status.GetVotes(), status.GetLeader(), status.GetRevision(), state)
	return nil
}

// printStatus writes the status as JSON, or the tables of one section or of all sections.
func printStatus(w io.Writer, s *encoder.Status, section, format string) error {
	if format == "json" {
		text, err := protojson.MarshalOptions{Multiline: true}.Marshal(s)
		if err != nil {
			return fmt.Errorf("write JSON: %w", err)
		}
		fmt.Fprintln(w, string(text))
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, entry := range statusTables {
		if section == "all" || section == entry.name {
			entry.write(table, s)
		}
	}
	err := table.Flush()
	if err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// statusTables are the tables that printStatus can write.
var statusTables = []struct {
	name  string
	write func(io.Writer, *encoder.Status)
}{
	{"pools", writePools},
	{"services", writeServices},
	{"customers", writeCustomers},
	{"instances", writeInstances},
	{"budgets", writeBudgets},
	{"wave", writeWave},
}

func writePools(w io.Writer, s *encoder.Status) {
	fmt.Fprintln(w, "POOL\tWANTED\tSERVING\tDOWN\tSPARE\tLENDABLE")
	for _, p := range s.GetDeclarations().GetPools() {
		serving, down := 0, 0
		for _, i := range s.GetInstances() {
			switch {
			case i.GetPool() != p.GetName():
			case i.GetPlaceName() == "serving":
				serving++
			default:
				down++
			}
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%t\t%t\n", p.GetName(), p.GetSize(), serving, down, p.GetSpare(), p.GetLendable())
	}
}

func writeServices(w io.Writer, s *encoder.Status) {
	fmt.Fprintln(w, "SERVICE\tPOOL\tSHARE\tIDEMPOTENT")
	for _, service := range s.GetDeclarations().GetServices() {
		fmt.Fprintf(w, "%s\t%s\t%d\t%t\n", service.GetName(), service.GetPool(), service.GetShare(), service.GetIdempotent())
	}
}

func writeCustomers(w io.Writer, s *encoder.Status) {
	fmt.Fprintln(w, "CUSTOMER\tWEIGHT\tSERVICES")
	for _, c := range s.GetDeclarations().GetCustomers() {
		fmt.Fprintf(w, "%s\t%d\t%s\n", c.GetName(), c.GetWeight(), strings.Join(c.GetServices(), ","))
	}
}

func writeInstances(w io.Writer, s *encoder.Status) {
	fmt.Fprintln(w, "INSTANCE\tZONE\tRACK\tPLACE\tPOOL\tTARGET\tEPOCH")
	for _, i := range s.GetInstances() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\n", i.GetName(), i.GetZone(), i.GetRack(), i.GetPlaceName(), i.GetPool(), i.GetTarget(), i.GetEpoch())
	}
}

func writeBudgets(w io.Writer, s *encoder.Status) {
	fmt.Fprintln(w, "CUSTOMER\tPOOL\tDOWN\tRESERVE\tALLOWED\tSPENT\tOF")
	for _, b := range s.GetStandings() {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%s\n", b.GetCustomer(), b.GetPool(), b.GetDown(), b.GetReserve(), b.GetAllowed(), b.GetSpent(), b.GetBound())
	}
}

func writeWave(w io.Writer, s *encoder.Status) {
	wave := s.GetWave()
	fmt.Fprintln(w, "WAVE\tSTATE\tDONE\tFAILED\tTOTAL\tMAXFAILED")
	fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%d\t%d\n", wave.GetId(), wave.GetStateName(), wave.GetDone(), wave.GetFailed(), wave.GetTotal(), wave.GetMaxFailed())
	for _, waiting := range s.GetWaiting() {
		fmt.Fprintf(w, "%s waits: %s\n", waiting.GetInstance(), waiting.GetReason())
	}
}

type drainCommand struct {
	target
	change
	Instance string `arg:"" help:"Instance."`
	To       string `help:"Pool that it moves to; without it, it goes into maintenance."`
}

// Run drains the instance, for maintenance or for the pool To.
func (c drainCommand) Run() error { return move(c.target, c.change, "drain", c.Instance, c.To) }

type quarantineCommand struct {
	target
	change
	Instance string `arg:"" help:"Instance."`
}

// Run quarantines the instance.
func (c quarantineCommand) Run() error { return move(c.target, c.change, "quarantine", c.Instance, "") }

type releaseCommand struct{ quarantineCommand }

// Run releases the instance from quarantine.
func (c releaseCommand) Run() error { return move(c.target, c.change, "release", c.Instance, "") }

// move asks the entry instance for a drain, a quarantine or a release of an instance.
func move(t target, c change, action, instance, to string) error {
	client, err := t.client()
	if err != nil {
		return err
	}
	return printOutcome(client.Move(context.Background(), &encoder.MoveRequest{
		Action:   action,
		Instance: instance,
		Target:   to,
		Operator: c.Operator,
		ChangeId: c.id(),
	}))
}

type waveCommand struct {
	Start waveStartCommand `cmd:"" help:"Start a wave."`
	Stop  waveStopCommand  `cmd:"" help:"Stop a wave."`
}

type waveStartCommand struct {
	target
	change
	MaxFailed int64 `default:"1" help:"Instances that may fail before the wave stops by itself."`
}

// Run starts a maintenance wave over the whole fleet.
func (c waveStartCommand) Run() error {
	return callMaintain(c.target, &encoder.WaveRequest{Action: "start", MaxFailed: c.MaxFailed, Operator: c.Operator, ChangeId: c.id()})
}

type waveStopCommand struct {
	target
	change
	Wave uint64 `arg:"" help:"Number of the wave."`
}

// Run stops the maintenance wave with the given number.
func (c waveStopCommand) Run() error {
	return callMaintain(c.target, &encoder.WaveRequest{Action: "stop", Wave: c.Wave, Operator: c.Operator, ChangeId: c.id()})
}

// callMaintain asks the entry instance to start or stop a maintenance wave.
func callMaintain(t target, r *encoder.WaveRequest) error {
	client, err := t.client()
	if err != nil {
		return err
	}
	return printOutcome(client.Maintain(context.Background(), r))
}

type explainCommand struct {
	target
	jobQuestion
	Request  uint64 `help:"Number of a request, from Laburnum-Request, at the entry instance that served it."`
	Instance string `help:"Name of an instance."`
}

// Run prints the last decisions about a request or an instance, or what would become of a job.
func (c explainCommand) Run() error {
	if c.Job != "" {
		return c.explainJob()
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	explanation, err := client.Explain(context.Background(), &encoder.ExplainRequest{Request: c.Request, Instance: c.Instance})
	if err != nil {
		return fmt.Errorf("explain decision: %w", err)
	}
	for _, line := range explanation.GetLines() {
		fmt.Println(line)
	}
	return nil
}

type digestCommand struct{}

// Run prints the SHA-256 digest of the token on standard input, in hexadecimal.
func (digestCommand) Run() error {
	data, err := io.ReadAll(os.Stdin)
	if err != nil {
		return fmt.Errorf("read token: %w", err)
	}
	sum := sha256.Sum256([]byte(strings.TrimSpace(string(data))))
	fmt.Println(hex.EncodeToString(sum[:]))
	return nil
}
