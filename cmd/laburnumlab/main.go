// Command laburnumlab compares policies with their baselines on simulated time
// (package experimenter) and benchmarks real servers on real time (package surveyor).
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
	ctx := kong.Parse(&c, kong.Name("laburnumlab"), kong.Description("Compares policies with their baselines in simulated time, and benchmarks real servers."))
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

// Run prints the goodput and wait of all other requests during a flood of one customer,
// for each policy and seed.
func (c floodCommand) Run() error {
	fmt.Println("| flood | policy | seed | others' goodput | of that without flood | p99 wait | times without flood | flood answered |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, urgency := range []int{7, 0} {
		for _, policy := range experimenter.AdmissionPolicies() {
			if c.Policy != "" && c.Policy != policy.Name {
				continue
			}
			for seed := range c.Seeds {
				c.printRow(urgency, policy, seed+1)
			}
		}
	}
	return nil
}

// printRow runs one trial with a flood and one without (urgency -1), and prints their
// comparison.
func (c floodCommand) printRow(urgency int, policy admitter.Policy, seed uint64) {
	var baseline, flooded []experimenter.Outcome
	fault := experimenter.FloodFaults()[c.Fault]
	var wg sync.WaitGroup
	wg.Go(func() { baseline, _ = experimenter.FloodTrial(seed, policy, -1).WithFault(fault).Run() })
	wg.Go(func() { flooded, _ = experimenter.FloodTrial(seed, policy, urgency).WithFault(fault).Run() })
	wg.Wait()
	others, othersInFlood := experimenter.BackgroundOutcome(baseline), experimenter.BackgroundOutcome(flooded)
	flood := experimenter.FloodOutcome(flooded)
	fmt.Printf("| urgency %d | %s | %d | %.4f | %.4f | %s | %.2f | %d of %d |\n",
		urgency, policy.Name, seed, othersInFlood.Goodput(), othersInFlood.Goodput()/others.Goodput(),
		othersInFlood.WaitQuantile(0.99).Round(time.Millisecond), float64(othersInFlood.WaitQuantile(0.99))/float64(others.WaitQuantile(0.99)), flood.Answered, flood.Offered)
	for _, outcome := range flooded {
		if c.Detail {
			fmt.Printf("  %s: %.4f of %d, p50 %s, p99 %s\n", outcome.Workload, outcome.Goodput(), outcome.Offered, outcome.WaitQuantile(0.5), outcome.WaitQuantile(0.99))
		}
	}
}

type rotationCommand struct {
	Seeds  uint64 `default:"1" help:"Number of seeds."`
	Policy string `help:"Only the policy with this name."`
}

// Run prints the goodput under demand that rotates between services, and its ratio to
// that of a single queue, for each policy and seed.
func (c rotationCommand) Run() error {
	fmt.Println("| policy | seed | goodput | of the best with hindsight | p99 wait | moves | moves on each peak |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, policy := range experimenter.AdmissionPolicies() {
		if c.Policy != "" && c.Policy != policy.Name {
			continue
		}
		for seed := range c.Seeds {
			trial := experimenter.RotationTrial(seed+1, policy)
			outcomes, moves := trial.Run()
			total := experimenter.MergeOutcomes(outcomes)
			fmt.Printf("| %s | %d | %.4f | %.4f | %s | %d | %d |\n",
				policy.Name, seed+1, total.Goodput(), total.Goodput()/trial.SingleQueueGoodput(),
				total.WaitQuantile(0.99).Round(time.Millisecond), moves, experimenter.PeakMoves())
		}
	}
	return nil
}

// rolloutMaxFailed is the number of instances that may fail before a wave stops. It is larger
// than a rack, so that the loss of one rack doesn't stop the wave.
const rolloutMaxFailed = 5

type rolloutCommand struct {
	Seeds   uint64 `default:"1" help:"Number of seeds."`
	MaxDown int    `default:"3" help:"Instances of a pool that may be down at once."`
	Quick   bool   `help:"Without the baseline."`
	Fault   string `default:"none" enum:"none,rack lost,zone cut,leader lost" help:"What happens from 60 to 120 s: none, rack lost, zone cut or leader lost."`
}

// Run prints how long a maintenance of the whole fleet takes, for each planner and seed.
func (c rolloutCommand) Run() error {
	fmt.Println("| planner | seed | took | bound | times bound | done | worst down in a pool | reserve | one rack for each pool | requests cut off | broken |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, oneByOne := range []bool{false, true} {
		if oneByOne && c.Quick {
			continue
		}
		for seed := range c.Seeds {
			result := experimenter.RolloutTrial{
				Seed: seed + 1, MaxDown: c.MaxDown, DrainOneAtATime: oneByOne, MaxFailed: rolloutMaxFailed,
				InjectFault: experimenter.RolloutFaults()[c.Fault],
			}.Run()
			planner := "by budget"
			if oneByOne {
				planner = "one at a time"
			}
			fmt.Printf("| %s | %d | %s | %s | %.2f | %d | %d | %d | %d | %d of %d | %d |\n", planner, seed+1,
				result.Duration.Round(time.Second), result.MinDuration.Round(time.Second), result.Duration.Seconds()/result.MinDuration.Seconds(),
				result.Done, result.PeakDown, result.Reserve, result.RackReserve, result.Interrupted, result.Requests, result.Violations)
		}
	}
	return nil
}

type allCommand struct {
	Seeds uint64 `default:"1" help:"Number of seeds."`
}

// Run prints the tables of all trials in simulated time, and the table of the capacity,
// which is measured in real time.
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
	for _, table := range tables {
		fmt.Printf("\n## %s\n\n", table.title)
		err := table.run()
		if err != nil {
			return fmt.Errorf("%s: %w", table.title, err)
		}
	}
	return nil
}
