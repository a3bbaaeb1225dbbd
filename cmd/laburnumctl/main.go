// Command laburnumctl is the command line client for operators and callers.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
)

// version is the version of the build; the linker sets it.
var version = "development"

// Exit codes. Code 3 is not used here: it is an exit code of laburnumd.
const (
	exitError         = 1 // the call failed
	exitRefused       = 2 // a change was refused, for example because of a conflict, a disruption budget or invalid declarations; or the outcome of a request is not "answered"
	exitLostOrMixedUp = 4 // in a load run, an answer was lost or belongs to another request
)

var (
	errUsage         = eris.New("wrong use of flags")
	errRefused       = eris.New("refused")
	errLostOrMixedUp = eris.New("some answers were lost or belong to another request")
)

type commands struct {
	Apply      applyCommand      `cmd:"" help:"Declare pools, services and customers from a file."`
	Get        getCommand        `cmd:"" help:"Show what holds."`
	Watch      watchCommand      `cmd:"" help:"Show what holds whenever it changes."`
	Status     statusCommand     `cmd:"" help:"Show an entry instance's own state."`
	Drain      drainCommand      `cmd:"" help:"Take an instance out of service, for maintenance or for another pool."`
	Quarantine quarantineCommand `cmd:"" help:"Put an instance aside."`
	Release    releaseCommand    `cmd:"" help:"End a quarantine."`
	Wave       waveCommand       `cmd:"" help:"Start or stop a maintenance of the whole fleet."`
	Explain    explainCommand    `cmd:"" help:"Show why a request was placed or refused, what became of an instance, or, with --job, where a job would go now and why, without sending it."`
	Submit     submitCommand     `cmd:"" help:"Send one request."`
	Load       loadCommand       `cmd:"" help:"Send a declared demand and report the outcomes."`
	Standin    standinCommand    `cmd:"" help:"Run stand-in endpoints."`
	Digest     digestCommand     `cmd:"" help:"Print the digest of a token from standard input, for a customer's tokenSha256."`
	Version    kong.VersionFlag  `help:"Print the version."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c,
		kong.Name("laburnumctl"),
		kong.Description("Command line client of laburnumwind for operators and callers.\n\nExamples:\n"+
			"  laburnumctl apply -f fleet.jsonc\n  laburnumctl get instances -o json\n"+
			"  laburnumctl wave start --max-failed 2\n  laburnumctl submit imaging --token-file school.token --data build.json"),
		kong.Vars{"version": version},
	)
	err := ctx.Run()
	switch {
	case err == nil:
	case errors.Is(err, errRefused):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitRefused)
	case errors.Is(err, errLostOrMixedUp):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitLostOrMixedUp)
	default:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitError)
	}
}
