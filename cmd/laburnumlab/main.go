// Command laburnumlab measures the decisions on fake time, each beside its baselines in the same run.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/alecthomas/kong"

	"laburnumwind/admitter"
	"laburnumwind/experimenter"
)

type commands struct {
	All        allCommand        `cmd:"" help:"All tables on fake time, each beside its baselines in the same run."`
	Flood      floodCommand      `cmd:"" help:"Service that other work keeps in a flood."`
	Rotation   rotationCommand   `cmd:"" help:"Goodput under rotating demand."`
	Overhead   overheadCommand   `cmd:"" help:"What an entry instance adds to a direct call, beside a bare hop."`
	Saturation saturationCommand `cmd:"" help:"Answers a second through a bare hop, an entry instance, and with a claim."`
	Recovery   recoveryCommand   `cmd:"" help:"What a voter needs after a restart to read and apply its log."`
	Capacity   capacityCommand   `cmd:"" help:"What state and control cost as the fleet grows."`
	Plot       plotCommand       `cmd:"" help:"Draw a flood and a roll-out as SVG files."`
	Rollout    rolloutCommand    `cmd:"" help:"Time of a maintenance of the whole fleet, and the reserve."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("laburnumlab"), kong.Description("Measures the decisions on fake time."))
	err := ctx.Run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

type floodCommand struct {
	Seeds  uint64 `default:"1" help:"Number of seeds."`
	Policy string `help:"Only the policy with this name."`
	Fault  string `default:"none" enum:"none,rack lost,zone cut" help:"What happens after 20 s: none, rack lost or zone cut."`
	Detail bool   `help:"Show every kind of work."`
}

// Run runs the command.
func (c floodCommand) Run() error {
	fmt.Println("| flood | policy | seed | others' goodput | of that without flood | p99 wait | times without flood | flood answered |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, urgency := range []int{7, 0} {
		for _, policy := range experimenter.Policies() {
			if c.Policy != "" && c.Policy != policy.Name {
				continue
			}
			for seed := range c.Seeds {
				c.row(urgency, policy, seed+1)
			}
		}
	}
	return nil
}

func (c floodCommand) row(urgency int, policy admitter.Policy, seed uint64) {
	var calm, flooded []experimenter.Outcome
	fault := experimenter.Faults()[c.Fault]
	var wg sync.WaitGroup
	wg.Go(func() { calm, _ = experimenter.FloodTrial(seed, policy, -1).WithFault(fault).Run() })
	wg.Go(func() { flooded, _ = experimenter.FloodTrial(seed, policy, urgency).WithFault(fault).Run() })
	wg.Wait()
	a, b := experimenter.Others(calm), experimenter.Others(flooded)
	f := experimenter.Flood(flooded)
	fmt.Printf("| urgency %d | %s | %d | %.4f | %.4f | %s | %.2f | %d of %d |\n",
		urgency, policy.Name, seed, b.Goodput(), b.Goodput()/a.Goodput(),
		b.Wait(0.99).Round(time.Millisecond), float64(b.Wait(0.99))/float64(a.Wait(0.99)), f.Answered, f.Offered)
	for _, o := range flooded {
		if c.Detail {
			fmt.Printf("  %s: %.4f of %d, p50 %s, p99 %s\n", o.Kind, o.Goodput(), o.Offered, o.Wait(0.5), o.Wait(0.99))
		}
	}
}

type rotationCommand struct {
	Seeds  uint64 `default:"1" help:"Number of seeds."`
	Policy string `help:"Only the policy with this name."`
}

// Run runs the command.
func (c rotationCommand) Run() error {
	fmt.Println("| policy | seed | goodput | of the best with hindsight | p99 wait | moves | moves on each peak |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, policy := range experimenter.Policies() {
		if c.Policy != "" && c.Policy != policy.Name {
			continue
		}
		for seed := range c.Seeds {
			trial := experimenter.RotationTrial(seed+1, policy)
			outcomes, moves := trial.Run()
			o := experimenter.All(outcomes)
			fmt.Printf("| %s | %d | %.4f | %.4f | %s | %d | %d |\n",
				policy.Name, seed+1, o.Goodput(), o.Goodput()/trial.Hindsight(),
				o.Wait(0.99).Round(time.Millisecond), moves, experimenter.PeakMoves())
		}
	}
	return nil
}

// rolloutMaxFailed is more than a rack, so that the loss of one does not stop the wave.
const rolloutMaxFailed = 5

type rolloutCommand struct {
	Seeds   uint64 `default:"1" help:"Number of seeds."`
	MaxDown int    `default:"3" help:"Instances of a pool that may be down at once."`
	Quick   bool   `help:"Without the baseline."`
	Fault   string `default:"none" enum:"none,rack lost,zone cut,leader lost" help:"What happens from 60 to 120 s: none, rack lost, zone cut or leader lost."`
}

// Run runs the command.
func (c rolloutCommand) Run() error {
	fmt.Println("| planner | seed | took | bound | times bound | done | worst down in a pool | reserve | one rack for each pool | requests cut off | broken |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, oneByOne := range []bool{false, true} {
		if oneByOne && c.Quick {
			continue
		}
		for seed := range c.Seeds {
			r := experimenter.RolloutTrial{
				Seed: seed + 1, MaxDown: c.MaxDown, OneByOne: oneByOne, MaxFailed: rolloutMaxFailed,
				Fault: experimenter.RolloutFaults()[c.Fault],
			}.Run()
			name := "by budget"
			if oneByOne {
				name = "one at a time"
			}
			fmt.Printf("| %s | %d | %s | %s | %.2f | %d | %d | %d | %d | %d of %d | %d |\n", name, seed+1,
				r.Took.Round(time.Second), r.Bound.Round(time.Second), r.Took.Seconds()/r.Bound.Seconds(),
				r.Done, r.WorstDown, r.Reserve, r.RackEach, r.Cut, r.Requests, r.Broken)
		}
	}
	return nil
}

type allCommand struct {
	Seeds uint64 `default:"1" help:"Number of seeds."`
}

// Run runs the command.
func (c allCommand) Run() error {
	tables := []struct {
		title string
		run   func() error
	}{
		{"Flood", floodCommand{Seeds: c.Seeds, Fault: "none"}.Run},
		{"Flood, a rack lost", floodCommand{Seeds: c.Seeds, Fault: "rack lost"}.Run},
		{"Flood, a zone cut", floodCommand{Seeds: c.Seeds, Fault: "zone cut"}.Run},
		{"Rotation", rotationCommand{Seeds: c.Seeds}.Run},
		{"Roll-out", rolloutCommand{Seeds: c.Seeds, MaxDown: 3, Fault: "none"}.Run},
		{"Roll-out, a rack lost", rolloutCommand{Seeds: c.Seeds, MaxDown: 3, Fault: "rack lost", Quick: true}.Run},
		{"Roll-out, a zone cut", rolloutCommand{Seeds: c.Seeds, MaxDown: 3, Fault: "zone cut", Quick: true}.Run},
		{"Roll-out, the leader lost", rolloutCommand{Seeds: c.Seeds, MaxDown: 3, Fault: "leader lost", Quick: true}.Run},
		{"Capacity", capacityCommand{Sizes: []int{49, 500, 1500, 4100}}.Run},
	}
	for _, t := range tables {
		fmt.Printf("\n## %s\n\n", t.title)
		err := t.run()
		if err != nil {
			return fmt.Errorf("%s: %w", t.title, err)
		}
	}
	return nil
}
