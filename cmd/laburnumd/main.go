// Command laburnumd runs an entry instance or, on the users' platform, a controller.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"laburnumwind/loader"
	"laburnumwind/platform"
	"laburnumwind/server"
)

// version is the version of the build; the linker sets it.
var version = "development"

// Exit codes.
const (
	exitError            = 1 // the instance could not start, or failed while running
	exitRequestsInFlight = 3 // the instance stopped with requests in flight
)

type commands struct {
	Run      runCommand       `cmd:"" default:"withargs" help:"Run an entry instance."`
	Entry    entryCommand     `cmd:"" help:"Run an entry instance on the users' platform."`
	Control  controlCommand   `cmd:"" help:"Run a controller on the users' platform."`
	Init     initCommand      `cmd:"" help:"Make the data folder of a voter of a new system. Never for a voter that lost its disk."`
	Check    checkCommand     `cmd:"" help:"Check a settings file and report every fault."`
	Defaults defaultsCommand  `cmd:"" help:"Print all settings with their defaults."`
	Version  kong.VersionFlag `help:"Print the version."`
}

type runCommand struct {
	Settings string `arg:"" optional:"" type:"existingfile" help:"Settings file, JSON with comments."`
	Dev      bool   `help:"Run one instance with an embedded voter in a temporary folder; no settings are needed."`
}

// Run starts the instance and runs it until SIGTERM or SIGINT, or until it fails. It exits
// with exitRequestsInFlight if requests were still in flight after the graceful stop.
func (c runCommand) Run() error {
	settings, cleanup, err := c.settings()
	if err != nil {
		return err
	}
	defer cleanup()
	level, err := zerolog.ParseLevel(settings.Log.Level)
	if err != nil {
		return fmt.Errorf("parse log level: %w", err)
	}
	logger := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("entry", settings.Name).Logger()
	failures := make(chan error, 1)
	instance, err := server.NewServer(server.Config{Settings: settings, Log: logger, OnFailure: func(err error) {
		select {
		case failures <- err:
		default: // only the first failure is reported
		}
	}})
	if err != nil {
		return fmt.Errorf("start instance: %w", err)
	}
	logger.Info().Str("callers", settings.Listen.Callers).Str("version", version).Msg("started")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case err = <-failures:
		instance.Kill()
		return fmt.Errorf("run instance: %w", err)
	}
	if instance.Stop() > 0 {
		os.Exit(exitRequestsInFlight)
	}
	return nil
}

// settings returns the settings of the instance, and a function to call when it has stopped.
func (c runCommand) settings() (loader.Settings, func(), error) {
	if c.Dev {
		return server.DevSettings()
	}
	if c.Settings == "" {
		return loader.Settings{}, nil, fmt.Errorf("no settings file given; pass a file or use --dev: %w", loader.ErrSettings)
	}
	settings, err := loader.Load(c.Settings)
	return settings, func() {}, err
}

type entryCommand struct{}

// Run runs an entry instance with the settings of the users' platform.
func (entryCommand) Run() error { return platform.RunEntry() }

type controlCommand struct{}

// Run runs a controller with the settings of the users' platform.
func (controlCommand) Run() error { return platform.RunController() }

type initCommand struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file."`
}

// Run creates the data folder of a voter. It returns an error if the settings don't make
// the instance a voter.
func (c initCommand) Run() error {
	settings, err := loader.Load(c.Settings)
	if err != nil {
		return err
	}
	if !settings.IsVoter() {
		return fmt.Errorf("%s is not a voter: %w", settings.Name, loader.ErrSettings)
	}
	return server.Init(settings)
}

type checkCommand struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file."`
}

// Run validates the settings file and returns every error in it.
func (c checkCommand) Run() error {
	_, err := loader.Load(c.Settings)
	if err != nil {
		return err
	}
	fmt.Println("ok")
	return nil
}

type defaultsCommand struct{}

// Run prints all settings with their default values.
func (defaultsCommand) Run() error {
	fmt.Print(loader.Defaults())
	return nil
}

func main() {
	var c commands
	ctx := kong.Parse(&c,
		kong.Name("laburnumd"),
		kong.Description("An entry instance of laburnumwind.\n\nExamples:\n  laburnumd --dev\n  laburnumd check entry-a.jsonc\n  laburnumd init entry-a.jsonc && laburnumd entry-a.jsonc"),
		kong.Vars{"version": version},
	)
	err := ctx.Run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitError)
	}
}
